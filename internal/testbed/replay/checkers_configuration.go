package replay

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// checkApplied checks that machines in contact handle no request by an older version once a newer
// version has been acknowledged for longer than the apply time.
func checkApplied(r *record, finding *fleet.Finding) {
	for _, h := range r.handlings() {
		if !r.contact.inContact(h.machine, h.sent) || !r.contact.inContact(h.machine, h.at) {
			continue
		}
		required := 0
		for _, version := range r.versions {
			if version.outcome == acknowledged && !version.invalid && version.closed.Add(r.terms.Apply).Before(h.sent) {
				required = max(required, version.Revision)
			}
		}
		finding.Checked++
		if required == 0 {
			continue
		}
		if _, newest, found := r.revisionRange(h); found && newest < required {
			finding.Violate(fmt.Sprintf("%s handled %s on the route %s (service %q) by version %d although %d was in force", h.machine,
				h.attempt.sent.AttemptID, h.route, h.service, newest, required))
		}
	}
}

// checkLaterRoutes checks that the share of requests that are served is, for routes added during the
// day, at least a quarter of that share for the routes of the first version. It needs at least 20
// requests on routes added later.
func checkLaterRoutes(r *record, finding *fleet.Finding) {
	// The key says whether the route was added later. The values are the number of requests and the
	// number of those that were served.
	counts := map[bool][2]int{}
	for _, attempt := range r.attemptOrder {
		if !attempt.finished || !r.contact.inContact(attempt.sent.Machine, attempt.sent.At) {
			continue
		}
		addedLater := strings.HasPrefix(attempt.sent.Route, "r-late-") || strings.HasPrefix(attempt.sent.Route, "r-many-")
		if addedLater {
			inForce := slices.ContainsFunc(r.versions, func(version *versionRecord) bool {
				_, found := version.Routes[attempt.sent.Route]
				return found && version.outcome == acknowledged && version.closed.Add(r.terms.Apply).Before(attempt.sent.At) && !r.superseded(version,
					attempt.ended.At.Add(r.terms.Apply))
			})
			if !inForce {
				continue
			}
		} else if attempt.sent.Probe {
			continue
		}
		count := counts[addedLater]
		count[0]++
		if attempt.ended.Complete && attempt.ended.Status/100 == 2 {
			count[1]++
		}
		counts[addedLater] = count
		finding.Checked++
	}
	first, later := counts[false], counts[true]
	if later[0] >= 20 && later[1]*first[0]*4 < first[1]*later[0] {
		finding.Violate(fmt.Sprintf("%d of %d requests were served on routes added later, %d of %d on the first routes",
			later[1], later[0], first[1], first[0]))
	}
}

// checkNoRevert checks that a machine never goes back to an older version within one incarnation
// of its processes.
func checkNoRevert(r *record, finding *fleet.Finding) {
	type effect struct {
		at      time.Time
		version int
	}
	effects := map[string][]effect{}
	for _, h := range r.handlings() {
		oldest, newest, found := r.revisionRange(h)
		if !found {
			continue
		}
		finding.Checked++
		incarnation := fmt.Sprintf("%s#%d", h.machine, r.contact.incarnation(h.machine, h.sent))
		for _, earlier := range effects[incarnation] {
			if h.sent.After(earlier.at.Add(r.terms.RevertSlack)) && newest < earlier.version {
				finding.Violate(fmt.Sprintf("%s applied version %d and later handled %s on the route %s by version %d",
					h.machine, earlier.version, h.attempt.sent.AttemptID, h.route, newest))
				break
			}
		}
		if h.service != "" {
			effects[incarnation] = append(effects[incarnation], effect{h.at, oldest})
		}
	}
}

// checkRefusedVersions checks that a version that was refused or is invalid takes no effect.
func checkRefusedVersions(r *record, finding *fleet.Finding) {
	for _, h := range r.handlings() {
		if h.service == "" {
			continue
		}
		finding.Checked++
		if _, _, found := r.revisionRange(h); found {
			continue
		}
		for _, version := range r.versions {
			if !version.sent.After(h.at) && h.allowedBy(version) {
				finding.Violate(fmt.Sprintf("%s ran %s on the route %s, which only version %d (%s) allows", h.machine,
					h.attempt.sent.AttemptID, h.route, version.Revision, version.outcome))
				break
			}
		}
	}
}

// checkConflictingAcks checks that at most one of the changes based on the same version is
// acknowledged, and that no invalid version is acknowledged.
func checkConflictingAcks(r *record, finding *fleet.Finding) {
	bases := map[int]int{}
	for _, version := range r.versions {
		finding.Checked++
		if version.outcome != acknowledged {
			continue
		}
		if version.invalid {
			finding.Violate(fmt.Sprintf("the invalid version %d was acknowledged", version.Revision))
			continue
		}
		if other, twice := bases[version.base]; twice && other != version.Revision {
			finding.Violate(fmt.Sprintf("versions %d and %d, both based on %d, were both acknowledged", other,
				version.Revision, version.base))
		}
		bases[version.base] = version.Revision
	}
}

// checkReadBack checks that the version read at the end of the day is the newest acknowledged
// version or a newer one, and that its content is what the operators sent under that number.
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
		finding.Checked++
		switch {
		case event.Revision == 0:
			finding.Violate("the configuration could not be read at the end of the day: " + event.Cause)
		case event.Revision < newest:
			finding.Violate(fmt.Sprintf("version %d was read although %d had been acknowledged", event.Revision, newest))
		case !event.Complete:
			finding.Violate(fmt.Sprintf("version %d was read with a content other than the one sent: %s", event.Revision, event.Cause))
		}
	}
}

// checkRouteDeadlines checks that requests that outlast the deadline of their route are answered
// within half a second after the deadline. Up to 7 of them, or a quarter, may be answered later.
func checkRouteDeadlines(r *record, finding *fleet.Finding) {
	overLimit, late := 0, 0
	for _, attempt := range r.attemptOrder {
		longest := time.Duration(0)
		for _, version := range r.versions {
			if version.mayBeInForce(attempt.ended.At) && !r.superseded(version, attempt.sent.At) {
				longest = max(longest, version.deadlineOf(attempt.sent.Route))
			}
		}
		lasted := attempt.ended.At.Sub(attempt.sent.At)
		if !attempt.finished || longest == 0 || lasted <= longest || !r.contact.inContact(attempt.sent.Machine, attempt.sent.At) {
			continue
		}
		finding.Checked++
		overLimit++
		if lasted > longest+500*time.Millisecond {
			late++
		}
	}
	if late >= 8 && late*4 > overLimit {
		finding.Violate(fmt.Sprintf("%d of %d requests that outlasted the deadline of their route had no response half a second later",
			late, overLimit))
	}
}

// checkAcknowledgeTime checks that valid changes and evacuations are acknowledged in time while
// the core is stable. The time limit of a change is 3 ms longer for each route of its version.
func checkAcknowledgeTime(r *record, finding *fleet.Finding) {
	worst := time.Duration(0)
	check := func(name string, sent, closed time.Time, routes int) {
		finding.Checked++
		limit := r.terms.Acknowledge + time.Duration(routes)*3*time.Millisecond
		// The time limit starts again whenever the core is not stable.
		stableSince := sent
		for moment := sent; moment.Before(closed); moment = moment.Add(50 * time.Millisecond) {
			if !r.contact.coreStable(moment) {
				stableSince = moment.Add(50 * time.Millisecond)
				continue
			}
			if moment.Sub(stableSince) > limit {
				finding.Violate(fmt.Sprintf("%s was not acknowledged in %s", name, limit))
				return
			}
		}
		worst = max(worst, closed.Sub(sent))
	}
	for _, version := range r.versions {
		if !version.invalid && version.outcome != refused && !version.closed.IsZero() {
			check(fmt.Sprintf("version %d", version.Revision), version.sent, version.closed, len(version.Routes))
		}
	}
	for _, event := range r.events {
		if event.Kind != EvacuationSent {
			continue
		}
		closed := event.At
		for _, other := range r.events {
			if other.At.After(event.At) && other.Zone == event.Zone && (other.Kind == Evacuated || other.Kind == EvacuationEnded) {
				closed = other.At
				break
			}
		}
		check("the evacuation of "+event.Zone, event.At, closed, 0)
	}
	finding.Worst, finding.Limit, finding.Seconds =
		worst.Round(time.Millisecond).String(), r.terms.Acknowledge.String(), worst.Seconds()
}
