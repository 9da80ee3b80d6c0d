package replay

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// attempts are a try's arrivals at servers that count: all but the first reading that a
// server takes up.
func (t *attemptSeen) attempts() []Event {
	var attempts []Event
	free := true
	for _, arrival := range t.arrivals {
		turned := arrival.Status != 0 || slices.ContainsFunc(t.turned,
			func(event Event) bool { return event.Server == arrival.Server && event.Stage == arrival.Stage })
		if arrival.Stage == phasePrefill && free && !turned {
			free = false
			continue
		}
		attempts = append(attempts, arrival)
	}
	return attempts
}

// checkBudget: in no window a service gets more repeats than its share of the requests,
// and some.
func checkBudget(r *record, finding *fleet.Finding) {
	extras, requests := map[string][]time.Time{}, map[string][]time.Time{}
	for _, seen := range r.order {
		for _, service := range r.site.Services {
			if slices.ContainsFunc(r.versions,
				func(version *versionSeen) bool { return version.Allows(seen.sent.Route, service.Name) }) {
				requests[service.Name] = append(requests[service.Name], seen.sent.At)
			}
		}
		if attempts := seen.attempts(); len(attempts) > 1 {
			for _, extra := range attempts[1:] {
				extras[extra.Service] = append(extras[extra.Service], extra.At)
			}
		}
	}
	window := r.terms.RetryWindow
	worst := 0
	for service, moments := range extras {
		sort.Slice(moments, func(left, right int) bool { return moments[left].Before(moments[right]) })
		for position, moment := range moments {
			finding.Looked++
			count := 0
			for count <= position && moment.Sub(moments[position-count]) < window {
				count++
			}
			most := 0
			for _, shift := range []time.Duration{0, window / 2, window} {
				from, to := moment.Add(-window-shift), moment.Add(-shift)
				inside := 0
				for _, sent := range requests[service] {
					if sent.After(from) && !sent.After(to) {
						inside++
					}
				}
				most = max(most, inside)
			}
			worst = max(worst, count)
			if limit := r.terms.RetryRatio*float64(most) + float64(r.terms.RetrySlack); float64(count) > limit {
				finding.Violate(fmt.Sprintf("%s got %d repeats in %s, %.0f were allowed", service, count, window, limit))
			}
		}
	}
	finding.Worst = fmt.Sprintf("%d repeats", worst)
}

// checkServers: hardly any try runs on more servers than its route allows.
func checkServers(r *record, finding *fleet.Finding) {
	over, example := 0, ""
	for _, seen := range r.order {
		servers := map[string]bool{}
		for _, start := range seen.starts {
			servers[start.Server] = true
		}
		finding.Looked++
		if limit := r.site.classOf(seen.sent.Class).MaxAttempts; limit > 0 && len(servers) > limit && !r.brokenByServer(seen) {
			over++
			example = seen.sent.Try
		}
	}
	if over > 3 {
		finding.Violate(fmt.Sprintf("%d tries ran on more servers than their route allows, such as %s", over, example))
	}
}

// checkDeadlines: servers are handed no more time than is left.
func checkDeadlines(r *record, finding *fleet.Finding) {
	sent, wrong, example := 0, 0, ""
	for _, seen := range r.order {
		if !r.contact.inTouch(seen.sent.Machine, seen.sent.At) {
			continue
		}
		for _, arrival := range seen.arrivals {
			finding.Looked++
			sent++
			left := seen.sent.Deadline - arrival.At.Sub(seen.sent.At)
			if arrival.Deadline == 0 || arrival.Deadline > max(left, 0)+500*time.Millisecond {
				wrong++
				example = fmt.Sprintf("%s had %s left and %s was handed %s", seen.sent.Try, left, arrival.Server,
					arrival.Deadline)
			}
		}
	}
	if wrong > 20 && wrong*5 > sent {
		finding.Violate(fmt.Sprintf("%d of %d, such as %s", wrong, sent, example))
	}
}

// checkOrder: a stream's chunks come in order, none missing and none twice, and those of
// another run only where the request may be resumed.
func checkOrder(r *record, finding *fleet.Finding) {
	for re, attempts := range r.requests {
		last := 0
		for _, seen := range attempts {
			run := ""
			for _, span := range seen.ended.Spans {
				finding.Looked++
				if span.From != last+1 || span.To < span.From || span.ID != span.To {
					finding.Violate(fmt.Sprintf("%s: pieces %d to %d (id %d) behind %d", re, span.From, span.To, span.ID,
						last))
				}
				if run != "" && run != span.Run && !seen.sent.Idempotent {
					finding.Violate(fmt.Sprintf("%s: pieces of the runs %s and %s", re, run, span.Run))
				}
				last, run = span.To, span.Run
			}
			if seen.over && seen.ended.Complete && seen.ended.Status == 200 {
				finding.Looked++
				if !slices.ContainsFunc(seen.ends,
					func(end Event) bool { return end.Complete && end.Tokens == last && (run == "" || end.Seal == run) }) {
					finding.Violate(fmt.Sprintf("%s: ended as complete with %d pieces, which no run ended with", re, last))
				}
			}
		}
	}
}

// checkFailback: a cold server gets no more requests in a second than it can bear.
func checkFailback(r *record, finding *fleet.Finding) {
	cold := map[string][]Event{}
	for _, event := range r.events {
		if event.Kind == ServerBorn && event.Cold {
			finding.Looked++
		}
		if event.Kind == Arrived && event.Cold && event.Status != 421 {
			cold[event.Server] = append(cold[event.Server], event)
		}
	}
	worst := 0
	for server, arrivals := range cold {
		limit := r.site.shapeOf(arrivals[0].Service).Engine.ColdPerSecond*r.terms.ColdOverrun + float64(r.terms.ColdSlack)
		for position, arrival := range arrivals {
			finding.Looked++
			// Only requests that were sent in that second as well count.
			count := 0
			for back := 0; back <= position; back++ {
				other := arrivals[position-back]
				if arrival.At.Sub(other.At) >= time.Second {
					break
				}
				if seen := r.attempts[other.Try]; seen == nil || arrival.At.Sub(seen.sent.At) < time.Second {
					count++
				}
			}
			worst = max(worst, count)
			if float64(count) > limit {
				finding.Violate(fmt.Sprintf("%s got %d requests in a second while it was cold, %.0f were allowed",
					server, count, limit))
			}
		}
	}
	finding.Worst = fmt.Sprintf("%d requests", worst)
}

// checkEvacuated: nothing reaches an evacuated zone's servers.
func checkEvacuated(r *record, finding *fleet.Finding) {
	since := map[string]time.Time{}
	for _, event := range r.events {
		switch event.Kind {
		case Evacuated:
			since[event.Zone] = event.At
		case TakenBack:
			delete(since, event.Zone)
		case Arrived:
			begun, evacuated := since[event.Zone]
			seen := r.attempts[event.Try]
			if len(since) > 0 && !evacuated {
				finding.Looked++
			}
			if !evacuated || event.Status == 421 || seen == nil {
				continue
			}
			finding.Looked++
			if late := event.At.Sub(begun); late > r.terms.Evacuate && r.contact.inTouch(seen.sent.Machine, event.At) {
				finding.Violate(fmt.Sprintf("%s from %s reached %s in %s %s after its evacuation", event.Try,
					seen.sent.Machine, event.Server, event.Zone, late))
			}
		}
	}
}

// checkRecover: after the closing fault requests are served again.
func checkRecover(r *record, finding *fleet.Finding) {
	var struck, back time.Time
	for _, event := range r.events {
		switch event.Kind {
		case ClosingFault:
			struck = event.At
		case ClosingBack:
			back = event.At
		}
	}
	if back.IsZero() {
		return
	}
	earlier, later := [2]int{}, [2]int{}
	for _, seen := range r.order {
		if seen.sent.Probe || seen.sent.Number > 0 {
			continue
		}
		count := &earlier
		if seen.sent.At.After(back.Add(r.terms.Recovery)) {
			count = &later
		} else if seen.sent.At.After(struck) {
			continue
		}
		finding.Looked++
		count[0]++
		if r.servedAt(seen.sent.Request) {
			count[1]++
		}
	}
	finding.Worst = fmt.Sprintf("%d of %d served after it, %d of %d before", later[1], later[0], earlier[1], earlier[0])
	if earlier[1]*4 >= earlier[0] && earlier[0] > 0 && later[1]*4 < later[0] {
		finding.Violate(finding.Worst)
	}
}

// servedAt tells whether a request was answered whole by any of its tries.
func (r *record) servedAt(re string) bool {
	return slices.ContainsFunc(r.requests[re], func(seen *attemptSeen) bool {
		return seen.over && seen.ended.Complete && seen.ended.Status/100 == 2
	})
}

// checkOne: one holder at a time orders a server about, with fences that rise.
func checkOne(r *record, finding *fleet.Finding) {
	last, holders := map[string]Event{}, map[string]string{}
	for _, event := range r.events {
		if event.Kind != Ordered || event.Status == 421 || event.Status == 400 {
			continue
		}
		finding.Looked++
		earlier, found := last[event.Server]
		if found {
			switch {
			case event.FencingToken < earlier.FencingToken:
				finding.Violate(fmt.Sprintf("%s got fence %d of %s after fence %d of %s", event.Server,
					event.FencingToken, event.Owner, earlier.FencingToken, earlier.Owner))
			case event.Owner != earlier.Owner && event.At.Sub(earlier.At) < r.terms.Lease:
				finding.Violate(fmt.Sprintf("%s got orders of %s and of %s within %s", event.Server, earlier.Owner,
					event.Owner, event.At.Sub(earlier.At)))
			}
		}
		fencingToken := fmt.Sprintf("%s#%d", event.Server, event.FencingToken)
		if holder, known := holders[fencingToken]; known && holder != event.Owner {
			finding.Violate(fmt.Sprintf("%s got fence %d of %s and of %s", event.Server, event.FencingToken, holder,
				event.Owner))
		}
		holders[fencingToken], last[event.Server] = event.Owner, event
	}
}

// checkGone: what its client has left is given up.
func checkGone(r *record, finding *fleet.Finding) {
	const soon = 500 * time.Millisecond
	late, lasting, working := 0, 0, 0
	for _, seen := range r.order {
		if !seen.over || !seen.ended.GaveUp || !r.contact.inTouch(seen.sent.Machine, seen.sent.At) {
			continue
		}
		left := seen.ended.At
		finding.Looked++
		for _, arrival := range seen.arrivals {
			if arrival.At.After(left.Add(soon)) {
				late++
			}
		}
		for _, end := range seen.ends {
			switch {
			case end.Cause == "left" && end.At.Before(left.Add(soon)):
				lasting++
			case end.At.After(left.Add(soon)):
				lasting++
				working++
			}
		}
	}
	if late > 3 {
		finding.Violate(fmt.Sprintf("%d requests reached a server half a second after their client had left", late))
	}
	if working > 3 && working*4 > lasting {
		finding.Violate(fmt.Sprintf("servers were still at work on %d of %d whose client had left", working, lasting))
	}
}

// checkEnded: no process ends by itself.
func checkEnded(r *record, finding *fleet.Finding) {
	for _, event := range r.events {
		if event.Kind == MachineUp {
			finding.Looked++
		}
		if event.Kind == EndedByItself {
			finding.Violate(event.Machine + " " + event.Cause)
		}
	}
}
