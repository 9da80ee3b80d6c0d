package replay

import (
	"fmt"
	"slices"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// checkers holds all checkers by the name of their rule. Each checks one rule against the events of
// a day.
var checkers = []struct {
	name  string
	check func(r *record, finding *fleet.Finding)
}{
	{"MIXED answers", checkMixedAnswers}, {"MIXED handles", checkMixedHandles}, {"UNASKED", checkUnsentRuns}, {"TWICE", checkRunsOnce},
	{"REFUSED", checkRejectedRuns}, {"DENIED", checkWrongRejections}, {"ROUTE", checkRoute},
	{"DRAIN servers", checkDrain}, {"DRAIN readiness", checkReadiness}, {"LOST", checkLostRequests},
	{"CONFIG applied", checkApplied}, {"CONFIG later routes", checkLaterRoutes}, {"CONFIG back", checkNoRevert},
	{"CONFIG refused", checkRefusedVersions}, {"CONFIG acknowledged", checkConflictingAcks}, {"CONFIG read back", checkReadBack},
	{"CONFIG held", checkRouteDeadlines},
	{"BUDGET", checkBudget}, {"BUDGET servers", checkServersPerAttempt}, {"BUDGET deadline", checkDeadlines},
	{"ORDER", checkStreamOrder}, {"FAILBACK", checkFailback}, {"EVAC", checkEvacuated},
	{"RECOVER", checkRecovery}, {"ONE", checkSingleOwner}, {"GONE", checkAbandonedRequests}, {"ACKS", checkAcknowledgeTime},
	{"ENDED", checkProcessExits},
}

// checkMixedAnswers checks that a response belongs to the attempt that it answers: a successful
// response has the seal of a server that ran the attempt, and contains only events of such runs. No
// other bytes may reach a client.
func checkMixedAnswers(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind == StrayBytes {
			finding.Violate(event.Machine + " sent bytes on a connection that had no request in flight")
		}
	}
	for _, attempt := range r.attemptOrder {
		ended := attempt.ended
		if !attempt.finished || ended.Status == 0 && ended.Cause != causeMalformed {
			continue
		}
		finding.Checked++
		name := attempt.sent.AttemptID + " at " + attempt.sent.Machine
		if ended.Cause == causeMalformed {
			finding.Violate(name + " got bytes that are not an HTTP response")
			continue
		}
		if ended.AnsweredAttempt != "" && ended.AnsweredAttempt != attempt.sent.AttemptID {
			finding.Violate(name + " got the response to " + ended.AnsweredAttempt)
		}
		runs := map[string]bool{}
		for _, start := range attempt.runStarts {
			runs[start.Seal] = true
		}
		if ended.Status/100 == 2 {
			// A run that resumes a stream after its last token generates none. It has no start event,
			// but its end event has the seal.
			if ended.Seal == "" || !runs[ended.Seal] && !r.endedWithSeal(ended.Seal, attempt) {
				finding.Violate(fmt.Sprintf("%s got %d with the seal %q, which no server issued for it", name, ended.Status,
					ended.Seal))
			}
		} else if ended.Seal != "" && !slices.ContainsFunc(attempt.runEnds,
			func(end Event) bool { return end.Seal == ended.Seal && end.Status == ended.Status }) {
			finding.Violate(fmt.Sprintf("%s got %d with the seal of a server that sent another status", name, ended.Status))
		}
		for _, span := range ended.Spans {
			if span.RequestDigest != attempt.sent.Digest || !runs[span.Run] {
				finding.Violate(fmt.Sprintf("%s got an event of run %s of request %s", name, span.Run, span.RequestDigest))
				break
			}
		}
	}
}

// endedWithSeal reports whether a run of the attempt ended with the seal.
func (r *record) endedWithSeal(seal string, attempt *attemptRecord) bool {
	return slices.ContainsFunc(attempt.runEnds, func(end Event) bool { return end.Seal == seal })
}

// checkMixedHandles checks that a request is decoded only from the KV cache of its own prompt.
func checkMixedHandles(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind == HandleTaken {
			finding.Checked++
			if event.AttemptID != event.Request {
				finding.Violate(event.AttemptID + " was decoded from the handle of " + event.Request)
			}
		}
	}
}

// checkUnsentRuns checks that servers prefill and run only requests that a client sent, unchanged.
func checkUnsentRuns(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind != RunStarted && event.Kind != PromptPrefilled {
			continue
		}
		finding.Checked++
		attempt := r.attempts[event.AttemptID]
		switch {
		case attempt == nil:
			finding.Violate(event.Server + " ran " + event.AttemptID + ", which no client sent")
		case attempt.sent.Digest != event.Digest:
			finding.Violate(event.Server + " ran " + event.AttemptID + " with a changed content")
		}
	}
}

// checkRunsOnce checks that an attempt that is not idempotent runs at most once.
func checkRunsOnce(r *record, finding *fleet.Finding) {
	for _, attempt := range r.attemptOrder {
		if attempt.sent.Idempotent {
			continue
		}
		finding.Checked++
		if len(attempt.runStarts) > 1 {
			finding.Violate(fmt.Sprintf("%s ran %d times, at %s and %s", attempt.sent.AttemptID, len(attempt.runStarts),
				attempt.runStarts[0].Server, attempt.runStarts[1].Server))
		}
	}
}

// checkRejectedRuns checks that an attempt that is not idempotent never runs if the status of its
// response guarantees that the request never runs.
func checkRejectedRuns(r *record, finding *fleet.Finding) {
	for _, attempt := range r.attemptOrder {
		if attempt.sent.Idempotent || !attempt.finished {
			continue
		}
		finding.Checked++
		if guaranteesNotRun(attempt.ended.Status) && len(attempt.runStarts) > 0 {
			finding.Violate(fmt.Sprintf("%s got %d although it ran at %s", attempt.sent.AttemptID, attempt.ended.Status,
				attempt.runStarts[0].Server))
		}
	}
}

// checkWrongRejections checks that valid requests are hardly ever rejected with a 3xx or 4xx status
// that does not invite a retry. Machines in contact may reject 5 requests plus one per 500 attempts of
// the day, all other machines together 10. A request is valid at a machine in contact if all versions
// that may be in force have its route, and at other machines if every version of the day has it.
func checkWrongRejections(r *record, finding *fleet.Finding) {
	byMachinesInContact, byOthers := 0, 0
	var example string
	for _, attempt := range r.attemptOrder {
		status := attempt.ended.Status
		if !attempt.finished {
			continue
		}
		finding.Checked++
		if status/100 != 3 && status/100 != 4 || guaranteesNotRun(status) || attempt.ended.Seal != "" {
			continue
		}
		inVersionsInForce, inEveryVersion := true, len(r.versions) > 0
		for _, version := range r.versions {
			_, found := version.Routes[attempt.sent.Route]
			if version.mayBeInForce(attempt.ended.At) && !r.superseded(version, attempt.sent.At) {
				inVersionsInForce = inVersionsInForce && found
			}
			inEveryVersion = inEveryVersion && found
		}
		switch {
		case inVersionsInForce && r.contact.inContact(attempt.sent.Machine, attempt.sent.At):
			byMachinesInContact++
			example = fmt.Sprintf("%s at %s got %d on %s", attempt.sent.AttemptID, attempt.sent.Machine, status, attempt.sent.Route)
		case inEveryVersion:
			byOthers++
			example = fmt.Sprintf("%s at %s got %d on %s", attempt.sent.AttemptID, attempt.sent.Machine, status, attempt.sent.Route)
		}
	}
	if limit := 5 + len(r.attemptOrder)/500; byMachinesInContact > limit || byOthers > 10 {
		finding.Violate(fmt.Sprintf("%d valid requests were rejected by machines in contact, %d by others, for example %s",
			byMachinesInContact, byOthers, example))
	}
}

// superseded reports whether a newer revision was acknowledged more than the apply time before a
// moment.
func (r *record) superseded(version *versionRecord, at time.Time) bool {
	return slices.ContainsFunc(r.versions, func(newer *versionRecord) bool {
		return newer.Revision > version.Revision && newer.outcome == acknowledged && newer.closed.Add(r.terms.Apply).Before(at)
	})
}

// checkRoute checks that a service runs only requests that some configuration routes to it.
func checkRoute(r *record, finding *fleet.Finding) {
	for _, h := range r.handlings() {
		if h.service == "" {
			continue
		}
		finding.Checked++
		if !slices.ContainsFunc(r.versions, h.allowedBy) {
			finding.Violate(fmt.Sprintf("%s on the route %s ran at the service %s, to which no configuration routes it",
				h.attempt.sent.AttemptID, h.route, h.service))
		}
	}
}

// checkDrain checks that no request reaches a server later than the drain time after the list
// shows it leaving.
func checkDrain(r *record, finding *fleet.Finding) {
	worst := time.Duration(0)
	finding.Limit = r.terms.Drain.String()
	for _, event := range r.events {
		since, leaving := r.shownLeaving[event.Server]
		attempt := r.attempts[event.AttemptID]
		if event.Kind != RequestArrived || event.Status == 421 || !leaving || attempt == nil {
			continue
		}
		finding.Checked++
		late := event.At.Sub(since)
		if !r.contact.inContact(attempt.sent.Machine, event.At) {
			continue
		}
		worst = max(worst, late)
		if late > r.terms.Drain {
			finding.Violate(fmt.Sprintf("%s from %s reached %s %s after the list showed the server leaving", event.AttemptID,
				attempt.sent.Machine, event.Server, late))
		}
	}
	finding.Worst, finding.Seconds = worst.String(), worst.Seconds()
}

// checkReadiness checks that machines do not report that they are ready between 4 s and 6 s after a
// SIGTERM, or until the next event of the machine if that comes earlier. One machine, or a quarter of
// the terminated machines, may still do so.
func checkReadiness(r *record, finding *fleet.Finding) {
	terminations, late := 0, 0
	for _, events := range r.contact.machines {
		for position, event := range events {
			if event.Kind != MachineTerminated {
				continue
			}
			terminations++
			finding.Checked++
			until := event.At.Add(6 * time.Second)
			if position+1 < len(events) && events[position+1].At.Before(until) {
				until = events[position+1].At
			}
			if slices.ContainsFunc(r.events, func(probe Event) bool {
				return probe.Kind == ReadinessProbed && probe.Machine == event.Machine && probe.Status == 200 &&
					probe.At.After(event.At.Add(4*time.Second)) && probe.At.Before(until)
			}) {
				late++
			}
		}
	}
	if late >= 2 && late*4 > terminations {
		finding.Violate(fmt.Sprintf("%d of %d machines still reported ready 4 s after SIGTERM", late, terminations))
	}
}

// checkLostRequests checks that no request is cut off around the planned stop of a machine. The
// cases of the switch statement are the exceptions.
func checkLostRequests(r *record, finding *fleet.Finding) {
	grace := r.terms.Grace
	for _, attempt := range r.attemptOrder {
		if !attempt.finished || attempt.ended.Complete || attempt.ended.GaveUp || attempt.sent.Probe {
			continue
		}
		events := r.contact.machines[attempt.sent.Machine]
		for _, event := range events {
			if event.Kind != MachineTerminated || attempt.ended.At.Before(event.At) ||
				attempt.sent.At.After(event.At.Add(grace+time.Second)) || attempt.ended.At.After(event.At.Add(grace+time.Second)) {
				continue
			}
			finding.Checked++
			switch {
			case len(attempt.arrivals) == 0 && attempt.ended.At.Sub(attempt.sent.At) <= r.terms.LossSlack:
				// The request reached no server, and its client soon knew that.
			case len(attempt.arrivals) == 0 && attempt.ended.Status == 0 &&
				attempt.ended.Cause != "EOF" && attempt.ended.Cause != "unexpected EOF":
				// The connection was refused or reset before the request was read.
			case r.brokenByServer(attempt):
			case attempt.ended.At.Sub(attempt.sent.At) >= attempt.sent.Deadline-50*time.Millisecond:
				// The deadline of the request had passed.
			case r.contact.unplanned(attempt.sent.Machine, attempt.sent.At.Add(-r.terms.Contact), attempt.ended.At):
				// A fault disturbed the machine or the core as well.
			case slices.ContainsFunc(attempt.runEnds, func(end Event) bool { return end.At.After(event.At.Add(grace / 2)) }) &&
				!attempt.sent.At.After(event.At.Add(3*time.Second)):
				// The request was sent at most 3 s after the SIGTERM, and a run of it ended only after
				// half of the grace period.
			default:
				finding.Violate(fmt.Sprintf("%s at %s was cut off (%s) %s after the SIGTERM", attempt.sent.AttemptID,
					attempt.sent.Machine, attempt.ended.Cause, attempt.ended.At.Sub(event.At).Round(time.Millisecond)))
			}
		}
	}
}

// brokenByServer reports whether a server of the attempt cut the response off, lost it, crashed
// or stayed silent.
func (r *record) brokenByServer(attempt *attemptRecord) bool {
	for _, end := range attempt.runEnds {
		if end.Cause == "broken off" || end.Cause == "spoilt" || end.Cause == "answer lost" || end.Cause == "dark" {
			return true
		}
	}
	for _, arrival := range attempt.arrivals {
		if slices.ContainsFunc(r.events, func(event Event) bool {
			return event.Kind == ServerStopped && event.Server == arrival.Server &&
				event.At.After(attempt.sent.At.Add(-time.Second)) && event.At.Before(attempt.ended.At.Add(time.Second))
		}) {
			return true
		}
	}
	return false
}
