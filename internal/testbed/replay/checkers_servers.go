package replay

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// countedArrivals returns the arrivals at servers that count as dispatches of the request: all but
// the first prefill that a server accepts.
func (a *attemptRecord) countedArrivals() []Event {
	var counted []Event
	skipPrefill := true
	for _, arrival := range a.arrivals {
		rejected := arrival.Status != 0 || slices.ContainsFunc(a.rejections,
			func(event Event) bool { return event.Server == arrival.Server && event.WorkPhase == arrival.WorkPhase })
		if arrival.WorkPhase == phasePrefill && skipPrefill && !rejected {
			skipPrefill = false
			continue
		}
		counted = append(counted, arrival)
	}
	return counted
}

// checkBudget checks that in no retry window a service gets more retries than the retry ratio of
// its requests plus the retry slack. Requests are counted in the window of the retries and in the
// windows that end half a window and a whole window earlier; the largest number counts.
func checkBudget(r *record, finding *fleet.Finding) {
	extras, requests := map[string][]time.Time{}, map[string][]time.Time{}
	for _, attempt := range r.attemptOrder {
		for _, service := range r.site.Services {
			if slices.ContainsFunc(r.versions,
				func(version *versionRecord) bool { return version.Allows(attempt.sent.Route, service.Name) }) {
				requests[service.Name] = append(requests[service.Name], attempt.sent.At)
			}
		}
		if arrivals := attempt.countedArrivals(); len(arrivals) > 1 {
			for _, extra := range arrivals[1:] {
				extras[extra.Service] = append(extras[extra.Service], extra.At)
			}
		}
	}
	window := r.terms.RetryWindow
	worst := 0
	for service, moments := range extras {
		sort.Slice(moments, func(left, right int) bool { return moments[left].Before(moments[right]) })
		for position, moment := range moments {
			finding.Checked++
			count := 0
			for count <= position && moment.Sub(moments[position-count]) < window {
				count++
			}
			mostRequests := 0
			for _, shift := range []time.Duration{0, window / 2, window} {
				from, to := moment.Add(-window-shift), moment.Add(-shift)
				inside := 0
				for _, sent := range requests[service] {
					if sent.After(from) && !sent.After(to) {
						inside++
					}
				}
				mostRequests = max(mostRequests, inside)
			}
			worst = max(worst, count)
			if limit := r.terms.RetryRatio*float64(mostRequests) + float64(r.terms.RetrySlack); float64(count) > limit {
				finding.Violate(fmt.Sprintf("%s got %d retries in %s, want at most %.0f", service, count, window, limit))
			}
		}
	}
	finding.Worst = fmt.Sprintf("%d retries", worst)
}

// checkServersPerAttempt checks that at most three attempts run on more servers than their routes
// allow. An attempt does not count if a server broke it, as brokenByServer reports.
func checkServersPerAttempt(r *record, finding *fleet.Finding) {
	violating, example := 0, ""
	for _, attempt := range r.attemptOrder {
		servers := map[string]bool{}
		for _, start := range attempt.runStarts {
			servers[start.Server] = true
		}
		finding.Checked++
		if limit := r.site.classOf(attempt.sent.Class).MaxAttempts; limit > 0 && len(servers) > limit && !r.brokenByServer(attempt) {
			violating++
			example = attempt.sent.AttemptID
		}
	}
	if violating > 3 {
		finding.Violate(fmt.Sprintf("%d attempts ran on more servers than their route allows, for example %s", violating, example))
	}
}

// checkDeadlines checks that servers get the time that a request has left as its deadline. Up to 20
// deadlines, or a fifth of all, may be missing or more than half a second too long.
func checkDeadlines(r *record, finding *fleet.Finding) {
	sent, tooLong, example := 0, 0, ""
	for _, attempt := range r.attemptOrder {
		if !r.contact.inContact(attempt.sent.Machine, attempt.sent.At) {
			continue
		}
		for _, arrival := range attempt.arrivals {
			finding.Checked++
			sent++
			left := attempt.sent.Deadline - arrival.At.Sub(attempt.sent.At)
			if arrival.Deadline == 0 || arrival.Deadline > max(left, 0)+500*time.Millisecond {
				tooLong++
				example = fmt.Sprintf("%s had %s left and %s got a deadline of %s", attempt.sent.AttemptID, left, arrival.Server,
					arrival.Deadline)
			}
		}
	}
	if tooLong > 20 && tooLong*5 > sent {
		finding.Violate(fmt.Sprintf("%d of %d deadlines were missing or too long, for example %s", tooLong, sent, example))
	}
}

// checkStreamOrder checks that the events of a stream arrive in order, that none is missing and none
// arrives twice, that no complete stream ends within an event, and that only an idempotent request gets
// events of more than one run.
func checkStreamOrder(r *record, finding *fleet.Finding) {
	for requestID, attempts := range r.requests {
		last := 0
		for _, attempt := range attempts {
			run := ""
			for _, span := range attempt.ended.Spans {
				finding.Checked++
				if span.From != last+1 || span.To < span.From || span.ID != span.To {
					finding.Violate(fmt.Sprintf("%s: an event has tokens %d to %d (id %d) after token %d", requestID, span.From, span.To, span.ID,
						last))
				}
				if run != "" && run != span.Run && !attempt.sent.Idempotent {
					finding.Violate(fmt.Sprintf("%s: events of the runs %s and %s", requestID, run, span.Run))
				}
				last, run = span.To, span.Run
			}
			if attempt.finished && attempt.ended.Complete && attempt.ended.Status == 200 {
				finding.Checked++
				if attempt.ended.Truncated {
					finding.Violate(fmt.Sprintf("%s: completed within the event after token %d", requestID, last))
				}
				if !slices.ContainsFunc(attempt.runEnds,
					func(end Event) bool { return end.Complete && end.Tokens == last && (run == "" || end.Seal == run) }) {
					finding.Violate(fmt.Sprintf("%s: completed with %d tokens, but no run completed with that number", requestID, last))
				}
			}
		}
	}
}

// checkFailback checks that a cold server gets no more requests in a second than its service allows.
func checkFailback(r *record, finding *fleet.Finding) {
	cold := map[string][]Event{}
	for _, event := range r.events {
		if event.Kind == ServerStarted && event.Cold {
			finding.Checked++
		}
		if event.Kind == RequestArrived && event.Cold && event.Status != 421 {
			cold[event.Server] = append(cold[event.Server], event)
		}
	}
	worst := 0
	for server, arrivals := range cold {
		limit := r.site.serviceConfig(arrivals[0].Service).Engine.ColdPerSecond*r.terms.ColdOverrun + float64(r.terms.ColdSlack)
		for position, arrival := range arrivals {
			finding.Checked++
			// A request counts only if its client also sent it within that second.
			count := 0
			for offset := 0; offset <= position; offset++ {
				other := arrivals[position-offset]
				if arrival.At.Sub(other.At) >= time.Second {
					break
				}
				if attempt := r.attempts[other.AttemptID]; attempt == nil || arrival.At.Sub(attempt.sent.At) < time.Second {
					count++
				}
			}
			worst = max(worst, count)
			if float64(count) > limit {
				finding.Violate(fmt.Sprintf("%s got %d requests in a second while it was cold, want at most %.0f",
					server, count, limit))
			}
		}
	}
	finding.Worst = fmt.Sprintf("%d requests", worst)
}

// checkEvacuated checks that no request reaches the servers of an evacuated zone later than the
// evacuation time after the acknowledgement.
func checkEvacuated(r *record, finding *fleet.Finding) {
	since := map[string]time.Time{}
	for _, event := range r.events {
		switch event.Kind {
		case Evacuated:
			since[event.Zone] = event.At
		case EvacuationEnded:
			delete(since, event.Zone)
		case RequestArrived:
			evacuatedAt, evacuated := since[event.Zone]
			attempt := r.attempts[event.AttemptID]
			if len(since) > 0 && !evacuated {
				finding.Checked++
			}
			if !evacuated || event.Status == 421 || attempt == nil {
				continue
			}
			finding.Checked++
			if late := event.At.Sub(evacuatedAt); late > r.terms.Evacuate && r.contact.inContact(attempt.sent.Machine, event.At) {
				finding.Violate(fmt.Sprintf("%s from %s reached %s in %s %s after its evacuation", event.AttemptID,
					attempt.sent.Machine, event.Server, event.Zone, late))
			}
		}
	}
}

// checkRecovery checks that requests are served again after the closing fault: if at least a quarter
// of the requests were served before the fault, at least a quarter must be served after it.
func checkRecovery(r *record, finding *fleet.Finding) {
	var faultAt, endedAt time.Time
	for _, event := range r.events {
		switch event.Kind {
		case ClosingFault:
			faultAt = event.At
		case ClosingFaultEnded:
			endedAt = event.At
		}
	}
	if endedAt.IsZero() {
		return
	}
	// Each holds the number of requests and the number of those that were served.
	earlier, later := [2]int{}, [2]int{}
	for _, attempt := range r.attemptOrder {
		if attempt.sent.Probe || attempt.sent.Number > 0 {
			continue
		}
		count := &earlier
		if attempt.sent.At.After(endedAt.Add(r.terms.Recovery)) {
			count = &later
		} else if attempt.sent.At.After(faultAt) {
			continue
		}
		finding.Checked++
		count[0]++
		if r.served(attempt.sent.Request) {
			count[1]++
		}
	}
	finding.Worst = fmt.Sprintf("%d of %d requests were served after the closing fault, %d of %d before",
		later[1], later[0], earlier[1], earlier[0])
	if earlier[1]*4 >= earlier[0] && earlier[0] > 0 && later[1]*4 < later[0] {
		finding.Violate(finding.Worst)
	}
}

// served reports whether any attempt of a request got a complete success.
func (r *record) served(requestID string) bool {
	return slices.ContainsFunc(r.requests[requestID], func(attempt *attemptRecord) bool {
		return attempt.finished && attempt.ended.Complete && attempt.ended.Status/100 == 2
	})
}

// checkSingleOwner checks that only one owner at a time sends orders to a server, and that the
// fencing tokens of the orders never decrease.
func checkSingleOwner(r *record, finding *fleet.Finding) {
	last, owners := map[string]Event{}, map[string]string{}
	for _, event := range r.events {
		if event.Kind != OrderReceived || event.Status == 421 || event.Status == 400 {
			continue
		}
		finding.Checked++
		earlier, found := last[event.Server]
		if found {
			switch {
			case event.FencingToken < earlier.FencingToken:
				finding.Violate(fmt.Sprintf("%s got fencing token %d from %s after fencing token %d from %s", event.Server,
					event.FencingToken, event.Owner, earlier.FencingToken, earlier.Owner))
			case event.Owner != earlier.Owner && event.At.Sub(earlier.At) < r.terms.Lease:
				finding.Violate(fmt.Sprintf("%s got orders from %s and from %s within %s", event.Server, earlier.Owner,
					event.Owner, event.At.Sub(earlier.At)))
			}
		}
		fencingToken := fmt.Sprintf("%s#%d", event.Server, event.FencingToken)
		if owner, known := owners[fencingToken]; known && owner != event.Owner {
			finding.Violate(fmt.Sprintf("%s got fencing token %d from %s and from %s", event.Server, event.FencingToken, owner,
				event.Owner))
		}
		owners[fencingToken], last[event.Server] = event.Owner, event
	}
}

// checkAbandonedRequests checks that work on a request stops within half a second after its client
// has closed the connection. Up to 3 requests may reach a server later, and up to 3 runs, or a
// quarter of the runs, may end later.
func checkAbandonedRequests(r *record, finding *fleet.Finding) {
	const soon = 500 * time.Millisecond
	late, abandoned, working := 0, 0, 0
	for _, attempt := range r.attemptOrder {
		if !attempt.finished || !attempt.ended.GaveUp || !r.contact.inContact(attempt.sent.Machine, attempt.sent.At) {
			continue
		}
		leftAt := attempt.ended.At
		finding.Checked++
		for _, arrival := range attempt.arrivals {
			if arrival.At.After(leftAt.Add(soon)) {
				late++
			}
		}
		for _, end := range attempt.runEnds {
			switch {
			case end.Cause == "left" && end.At.Before(leftAt.Add(soon)):
				abandoned++
			case end.At.After(leftAt.Add(soon)):
				abandoned++
				working++
			}
		}
	}
	if late > 3 {
		finding.Violate(fmt.Sprintf("%d requests reached a server more than half a second after their client had left", late))
	}
	if working > 3 && working*4 > abandoned {
		finding.Violate(fmt.Sprintf("servers were still working on %d of %d requests half a second after their client had left",
			working, abandoned))
	}
}

// checkProcessExits checks that no process exits by itself.
func checkProcessExits(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind == MachineUp {
			finding.Checked++
		}
		if event.Kind == ProcessExited {
			finding.Violate(event.Machine + " " + event.Cause)
		}
	}
}
