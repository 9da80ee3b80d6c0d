package replay

import (
	"fmt"
	"slices"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// A checker holds one rule, by the rule's name, against what the stand-ins saw.
var checkers = []struct {
	name  string
	check func(r *record, finding *fleet.Finding)
}{
	{"MIXED answers", checkMixed}, {"MIXED handles", checkHandles}, {"UNASKED", checkUnasked}, {"TWICE", checkTwice}, {"REFUSED", checkRefused}, {"DENIED", checkDenied}, {"ROUTE", checkRoute},
	{"DRAIN servers", checkDrain}, {"DRAIN readiness", checkUnready}, {"LOST", checkLost}, {"CONFIG applied", checkApplied}, {"CONFIG later routes", checkLaterRoutes}, {"CONFIG back", checkBack},
	{"CONFIG refused", checkRefusedVersions}, {"CONFIG acknowledged", checkAcknowledged}, {"CONFIG read back", checkReadBack}, {"CONFIG held", checkInForce},
	{"BUDGET", checkBudget}, {"BUDGET servers", checkServers}, {"BUDGET deadline", checkDeadlines}, {"ORDER", checkOrder}, {"FAILBACK", checkFailback}, {"EVAC", checkEvacuated},
	{"RECOVER", checkRecover}, {"ONE", checkOne}, {"GONE", checkGone}, {"ACKS", checkAcks}, {"ENDED", checkEnded},
}

// checkMixed: a success bears its server's seal and that run's own events; nothing else
// reaches a client.
func checkMixed(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind == StrayBytes {
			finding.Violate(event.Machine + " wrote on a circuit on which no request waited")
		}
	}
	for _, seen := range r.order {
		ended := seen.ended
		if !seen.over || ended.Status == 0 && ended.Cause != causeNoAnswer {
			continue
		}
		finding.Looked++
		name := seen.sent.Try + " at " + seen.sent.Machine
		if ended.Cause == causeNoAnswer {
			finding.Violate(name + " got bytes that are no answer")
			continue
		}
		if ended.Bears != "" && ended.Bears != seen.sent.Try {
			finding.Violate(name + " got the answer of " + ended.Bears)
		}
		runs := map[string]bool{}
		for _, start := range seen.starts {
			runs[start.Seal] = true
		}
		if ended.Status/100 == 2 {
			// A run whose first event was cut with its server may have no start of its own
			// in the answer's head; its seal is the server's all the same.
			if ended.Seal == "" || !runs[ended.Seal] && !r.sealed(ended.Seal, seen) {
				finding.Violate(fmt.Sprintf("%s got %d with the seal %q, which no server gave to it", name, ended.Status,
					ended.Seal))
			}
		} else if ended.Seal != "" && !slices.ContainsFunc(seen.ends,
			func(end Event) bool { return end.Seal == ended.Seal && end.Status == ended.Status }) {
			finding.Violate(fmt.Sprintf("%s got %d under a seal whose server said otherwise", name, ended.Status))
		}
		for _, span := range ended.Spans {
			if span.Whose != seen.sent.Digest || !runs[span.Run] {
				finding.Violate(fmt.Sprintf("%s got an event of run %s of request %s", name, span.Run, span.Whose))
				break
			}
		}
	}
}

// sealed tells whether a server ended an answer of a try under that seal.
func (r *record) sealed(seal string, seen *attemptSeen) bool {
	return slices.ContainsFunc(seen.ends, func(end Event) bool { return end.Seal == seal })
}

// checkHandles: a request goes on only from its own prompt's memory.
func checkHandles(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind == HandleTaken {
			finding.Looked++
			if event.Try != event.Request {
				finding.Violate(event.Try + " continued from the handle of " + event.Request)
			}
		}
	}
}

// checkUnasked: what runs, or is read, is what a client sent, unchanged.
func checkUnasked(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind != RunStarted && event.Kind != PromptRead {
			continue
		}
		finding.Looked++
		seen := r.attempts[event.Try]
		switch {
		case seen == nil:
			finding.Violate(event.Server + " ran " + event.Try + ", which no client sent")
		case seen.sent.Digest != event.Digest:
			finding.Violate(event.Server + " ran " + event.Try + " changed on its way")
		}
	}
}

// checkTwice: what is not idempotent runs once at most.
func checkTwice(r *record, finding *fleet.Finding) {
	for _, seen := range r.order {
		if seen.sent.Idempotent {
			continue
		}
		finding.Looked++
		if len(seen.starts) > 1 {
			finding.Violate(fmt.Sprintf("%s ran %d times, at %s and %s", seen.sent.Try, len(seen.starts),
				seen.starts[0].Server, seen.starts[1].Server))
		}
	}
}

// checkRefused: what is not idempotent and was answered with a promise never runs.
func checkRefused(r *record, finding *fleet.Finding) {
	for _, seen := range r.order {
		if seen.sent.Idempotent || !seen.over {
			continue
		}
		finding.Looked++
		if promised(seen.ended.Status) && len(seen.starts) > 0 {
			finding.Violate(fmt.Sprintf("%s was answered %d and ran at %s", seen.sent.Try, seen.ended.Status,
				seen.starts[0].Server))
		}
	}
}

// checkDenied: proper requests are hardly ever turned away for good.
func checkDenied(r *record, finding *fleet.Finding) {
	touched, others := 0, 0
	var example string
	for _, seen := range r.order {
		status := seen.ended.Status
		if !seen.over {
			continue
		}
		finding.Looked++
		if status/100 != 3 && status/100 != 4 || promised(status) || seen.ended.Seal != "" {
			continue
		}
		always, ever := true, len(r.versions) > 0
		for _, version := range r.versions {
			_, found := version.Routes[seen.sent.Route]
			if version.mayLease(seen.ended.At) && !r.outdated(version, seen.sent.At) {
				always = always && found
			}
			ever = ever && found
		}
		switch {
		case always && r.contact.inTouch(seen.sent.Machine, seen.sent.At):
			touched++
			example = fmt.Sprintf("%s at %s got %d on %s", seen.sent.Try, seen.sent.Machine, status, seen.sent.Route)
		case ever:
			others++
			example = fmt.Sprintf("%s at %s got %d on %s", seen.sent.Try, seen.sent.Machine, status, seen.sent.Route)
		}
	}
	if limit := 5 + len(r.order)/500; touched > limit || others > 10 {
		finding.Violate(fmt.Sprintf("%d from machines in touch, %d from others, such as %s", touched, others, example))
	}
}

// outdated tells whether a newer revision than this one was in force for long enough.
func (r *record) outdated(version *versionSeen, at time.Time) bool {
	return slices.ContainsFunc(r.versions, func(newer *versionSeen) bool {
		return newer.Revision > version.Revision && newer.outcome == acknowledged && newer.closed.Add(r.terms.Apply).Before(at)
	})
}

// checkRoute: a service runs only what some configuration sends to it.
func checkRoute(r *record, finding *fleet.Finding) {
	for _, h := range r.handlings() {
		if h.service == "" {
			continue
		}
		finding.Looked++
		if !slices.ContainsFunc(r.versions, h.fits) {
			finding.Violate(fmt.Sprintf("%s on %s ran at the service %s", h.try.sent.Try, h.route, h.service))
		}
	}
}

// checkDrain: no request reaches a server long after the list shows it leaving.
func checkDrain(r *record, finding *fleet.Finding) {
	worst := time.Duration(0)
	finding.Limit = r.terms.Drain.String()
	for _, event := range r.events {
		since, leaving := r.shown[event.Server]
		seen := r.attempts[event.Try]
		if event.Kind != Arrived || event.Status == 421 || !leaving || seen == nil {
			continue
		}
		finding.Looked++
		late := event.At.Sub(since)
		if !r.contact.inTouch(seen.sent.Machine, event.At) {
			continue
		}
		worst = max(worst, late)
		if late > r.terms.Drain {
			finding.Violate(fmt.Sprintf("%s from %s reached %s %s after the list showed it leaving", event.Try,
				seen.sent.Machine, event.Server, late))
		}
	}
	finding.Worst, finding.Seconds = worst.String(), worst.Seconds()
}

// checkUnready: machines that are told to end soon call themselves unready.
func checkUnready(r *record, finding *fleet.Finding) {
	terms, late := 0, 0
	for _, events := range r.contact.machines {
		for position, event := range events {
			if event.Kind != MachineTerm {
				continue
			}
			terms++
			finding.Looked++
			until := event.At.Add(6 * time.Second)
			if position+1 < len(events) && events[position+1].At.Before(until) {
				until = events[position+1].At
			}
			if slices.ContainsFunc(r.events, func(asked Event) bool {
				return asked.Kind == ReadyAsked && asked.Machine == event.Machine && asked.Status == 200 && asked.At.After(event.At.Add(4*time.Second)) && asked.At.Before(until)
			}) {
				late++
			}
		}
	}
	if late >= 2 && late*4 > terms {
		finding.Violate(fmt.Sprintf("%d of %d machines were ready four seconds after SIGTERM", late, terms))
	}
}

// checkLost: around a planned end of a machine no request that was forwarded is broken
// off, save by its server.
func checkLost(r *record, finding *fleet.Finding) {
	grace := r.terms.Grace
	for _, seen := range r.order {
		if !seen.over || seen.ended.Complete || seen.ended.GaveUp || seen.sent.Probe {
			continue
		}
		events := r.contact.machines[seen.sent.Machine]
		for _, event := range events {
			if event.Kind != MachineTerm || seen.ended.At.Before(event.At) || seen.sent.At.After(event.At.Add(grace+time.Second)) || seen.ended.At.After(event.At.Add(grace+time.Second)) {
				continue
			}
			finding.Looked++
			switch {
			case len(seen.arrivals) == 0 && seen.ended.At.Sub(seen.sent.At) <= r.terms.LossSlack:
			case len(seen.arrivals) == 0 && seen.ended.Status == 0 && seen.ended.Cause != "EOF" && seen.ended.Cause != "unexpected EOF":
				// The connection was refused or reset before the request was read.
			case r.brokenByServer(seen):
			case seen.ended.At.Sub(seen.sent.At) >= seen.sent.Deadline-50*time.Millisecond:
			case r.contact.unplanned(seen.sent.Machine, seen.sent.At.Add(-r.terms.Contact), seen.ended.At):
			case slices.ContainsFunc(seen.ends, func(end Event) bool { return end.At.After(event.At.Add(grace / 2)) }) && !seen.sent.At.After(event.At.Add(3*time.Second)):
			default:
				finding.Violate(fmt.Sprintf("%s at %s was cut (%s) %s after the SIGTERM", seen.sent.Try,
					seen.sent.Machine, seen.ended.Cause, seen.ended.At.Sub(event.At).Round(time.Millisecond)))
			}
		}
	}
}

// brokenByServer tells whether the server of a try broke off, crashed or was silent.
func (r *record) brokenByServer(seen *attemptSeen) bool {
	for _, end := range seen.ends {
		if end.Cause == "broken off" || end.Cause == "spoilt" || end.Cause == "answer lost" || end.Cause == "dark" {
			return true
		}
	}
	for _, arrival := range seen.arrivals {
		if slices.ContainsFunc(r.events, func(event Event) bool {
			return event.Kind == ServerGone && event.Server == arrival.Server && event.At.After(seen.sent.At.Add(-time.Second)) && event.At.Before(seen.ended.At.Add(time.Second))
		}) {
			return true
		}
	}
	return false
}
