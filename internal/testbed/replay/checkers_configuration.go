package replay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// checkApplied: soon after a version was acknowledged nothing is handled as only an older
// one would.
func checkApplied(r *record, finding *fleet.Finding) {
	for _, h := range r.handlings() {
		if !r.contact.inTouch(h.machine, h.sent) || !r.contact.inTouch(h.machine, h.at) {
			continue
		}
		due := 0
		for _, version := range r.versions {
			if version.outcome == acknowledged && !version.invalid && version.closed.Add(r.terms.Apply).Before(h.sent) {
				due = max(due, version.Revision)
			}
		}
		finding.Looked++
		if due == 0 {
			continue
		}
		if _, newest, found := r.span(h); found && newest < due {
			finding.Violate(fmt.Sprintf("%s handled %s on %s (%q) as version %d would, with %d in force", h.machine,
				h.try.sent.Try, h.route, h.service, newest, due))
		}
	}
}

// checkLaterRoutes: routes that came later are served as the first ones are.
func checkLaterRoutes(r *record, finding *fleet.Finding) {
	counts := map[bool][2]int{}
	for _, seen := range r.order {
		if !seen.over || !r.contact.inTouch(seen.sent.Machine, seen.sent.At) {
			continue
		}
		later := strings.HasPrefix(seen.sent.Route, "r-late-") || strings.HasPrefix(seen.sent.Route, "r-many-")
		if later {
			held := slices.ContainsFunc(r.versions, func(version *versionSeen) bool {
				_, found := version.Routes[seen.sent.Route]
				return found && version.outcome == acknowledged && version.closed.Add(r.terms.Apply).Before(seen.sent.At) && !r.outdated(version,
					seen.ended.At.Add(r.terms.Apply))
			})
			if !held {
				continue
			}
		} else if seen.sent.Probe {
			continue
		}
		count := counts[later]
		count[0]++
		if seen.ended.Complete && seen.ended.Status/100 == 2 {
			count[1]++
		}
		counts[later] = count
		finding.Looked++
	}
	firsts, laters := counts[false], counts[true]
	if laters[0] >= 20 && laters[1]*firsts[0]*4 < firsts[1]*laters[0] {
		finding.Violate(fmt.Sprintf("%d of %d on later routes, %d of %d on the first", laters[1], laters[0], firsts[1],
			firsts[0]))
	}
}

// checkBack: in one life of its processes a machine never goes back to an older version.
func checkBack(r *record, finding *fleet.Finding) {
	type effect struct {
		at      time.Time
		version int
	}
	effects := map[string][]effect{}
	for _, h := range r.handlings() {
		oldest, newest, found := r.span(h)
		if !found {
			continue
		}
		finding.Looked++
		incarnation := fmt.Sprintf("%s#%d", h.machine, r.contact.incarnation(h.machine, h.sent))
		for _, earlier := range effects[incarnation] {
			if h.sent.After(earlier.at.Add(r.terms.RevertSlack)) && newest < earlier.version {
				finding.Violate(fmt.Sprintf("%s showed version %d and later handled %s on %s as version %d would",
					h.machine, earlier.version, h.try.sent.Try, h.route, newest))
				break
			}
		}
		if h.service != "" {
			effects[incarnation] = append(effects[incarnation], effect{h.at, oldest})
		}
	}
}

// checkRefusedVersions: what was refused, lost its race or is invalid takes no effect.
func checkRefusedVersions(r *record, finding *fleet.Finding) {
	for _, h := range r.handlings() {
		if h.service == "" {
			continue
		}
		finding.Looked++
		if _, _, found := r.span(h); found {
			continue
		}
		for _, version := range r.versions {
			if !version.sent.After(h.at) && h.fits(version) {
				finding.Violate(fmt.Sprintf("%s ran %s on %s, which only version %d (%s) allows", h.machine,
					h.try.sent.Try, h.route, version.Revision, version.outcome))
				break
			}
		}
	}
}

// checkAcknowledged: of two changes on top of one version one is acknowledged at most, and
// no invalid one is.
func checkAcknowledged(r *record, finding *fleet.Finding) {
	bases := map[int]int{}
	for _, version := range r.versions {
		finding.Looked++
		if version.outcome != acknowledged {
			continue
		}
		if version.invalid {
			finding.Violate(fmt.Sprintf("the invalid version %d was acknowledged", version.Revision))
			continue
		}
		if other, twice := bases[version.base]; twice && other != version.Revision {
			finding.Violate(fmt.Sprintf("versions %d and %d on top of %d were both acknowledged", other,
				version.Revision, version.base))
		}
		bases[version.base] = version.Revision
	}
}

// checkReadBack: what is read at the end of the day is the newest acknowledged version or
// a newer one, and says what was sent under its number.
func checkReadBack(r *record, finding *fleet.Finding) {
	newest := 0
	for _, version := range r.versions {
		if version.outcome == acknowledged && !version.invalid {
			newest = max(newest, version.Revision)
		}
	}
	for _, event := range r.events {
		if event.Kind != ReadBack {
			continue
		}
		finding.Looked++
		switch {
		case event.Revision == 0:
			finding.Violate("the configuration could not be read at the end: " + event.Cause)
		case event.Revision < newest:
			finding.Violate(fmt.Sprintf("version %d was read, %d had been acknowledged", event.Revision, newest))
		case !event.Complete:
			finding.Violate(fmt.Sprintf("version %d reads otherwise than it was sent: %s", event.Revision, event.Cause))
		}
	}
}

// checkInForce: requests have their answer by their route's own limit.
func checkInForce(r *record, finding *fleet.Finding) {
	long, late := 0, 0
	for _, seen := range r.order {
		longest := time.Duration(0)
		for _, version := range r.versions {
			if version.mayLease(seen.ended.At) && !r.outdated(version, seen.sent.At) {
				longest = max(longest, version.deadlineOf(seen.sent.Route))
			}
		}
		lasted := seen.ended.At.Sub(seen.sent.At)
		if !seen.over || longest == 0 || lasted <= longest || !r.contact.inTouch(seen.sent.Machine, seen.sent.At) {
			continue
		}
		finding.Looked++
		long++
		if lasted > longest+500*time.Millisecond {
			late++
		}
	}
	if late >= 8 && late*4 > long {
		finding.Violate(fmt.Sprintf("%d of %d that lasted longer than their route allows had no answer half a second later",
			late, long))
	}
}

// checkAcks: a proper order of the operators is acknowledged in time while the core is
// settled.
func checkAcks(r *record, finding *fleet.Finding) {
	worst := time.Duration(0)
	judge := func(name string, sent, closed time.Time, routes int) {
		finding.Looked++
		limit := r.terms.Acknowledge + time.Duration(routes)*3*time.Millisecond
		// The wait counts from when the core is settled, and ends when it no longer is.
		begins := sent
		for moment := sent; moment.Before(closed); moment = moment.Add(50 * time.Millisecond) {
			if !r.contact.settled(moment) {
				begins = moment.Add(50 * time.Millisecond)
				continue
			}
			if moment.Sub(begins) > limit {
				finding.Violate(fmt.Sprintf("%s was not acknowledged in %s", name, limit))
				return
			}
		}
		worst = max(worst, closed.Sub(sent))
	}
	for _, version := range r.versions {
		if !version.invalid && version.outcome != refused && !version.closed.IsZero() {
			judge(fmt.Sprintf("version %d", version.Revision), version.sent, version.closed, len(version.Routes))
		}
	}
	for _, event := range r.events {
		if event.Kind != EvacuateSent {
			continue
		}
		closed := event.At
		for _, other := range r.events {
			if other.At.After(event.At) && other.Zone == event.Zone && (other.Kind == Evacuated || other.Kind == TakenBack) {
				closed = other.At
				break
			}
		}
		judge("the evacuation of "+event.Zone, event.At, closed, 0)
	}
	finding.Worst, finding.Limit, finding.Seconds = worst.Round(time.Millisecond).String(), r.terms.Acknowledge.String(), worst.Seconds()
}
