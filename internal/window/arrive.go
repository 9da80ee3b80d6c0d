package window

import (
	"time"
)

// Arrive lets a call in, or refuses it; then there is no ticket.
//
// Example:
//
//	ticket, decision := calls.Arrive(now, &window.Call{ID: id, Host: host, Path: path, Ends: ends})
func (window *Window) Arrive(now time.Time, call *Call) (*Ticket, Decision) {
	left := call.Ends.Sub(now)
	if window.draining.Load() {
		return nil, refusal(Leaving, soon, left)
	}
	program := window.program.Load()
	if program == nil {
		return nil, refusal(NotReady, unready, left)
	}
	ruling, service := program.rule(call)
	if ruling == nil {
		return nil, Decision{Kind: Refuse, Cause: NoRoute}
	}
	ends := call.Ends
	if longest := now.Add(ruling.calls.Limit); ruling.calls.Limit > 0 && (ends.IsZero() || longest.Before(ends)) {
		ends = longest
	}
	if !now.Before(ends) {
		return nil, Decision{Kind: Refuse, Cause: Late}
	}
	if len(window.board.Load().all) == 0 {
		return nil, refusal(NotReady, unready, ends.Sub(now))
	}
	ticket := &Ticket{call: call, ruling: ruling, service: service, mark: nameKey(call.ID), arrived: now, ends: ends}
	choice := window.weighing(now, ticket)
	kind, offer, found := choice.best(true, true)
	late := found && span(offer.time) > ends.Sub(now)
	if !found || late && choice.free < freeEnough {
		return nil, refusal(Full, choice.relief(offer, found), ends.Sub(now))
	}
	window.inFlight.Add(1)
	choice.ledger.purse.first(now, window.options.FurtherTries, choice.sharers)
	return ticket, choice.send(kind, offer)
}

// The measures of refusals. The values are ours.
const (
	soon    = 100 * time.Millisecond
	unready = 250 * time.Millisecond
	// freeEnough is the part of the places that must be taken before a call is
	// refused because it would be late.
	freeEnough     = 0.5
	shortestRelief = 50 * time.Millisecond
	longestRelief  = 2 * time.Second
)

// refusal tells when to come back: never later than a third of the time left, which
// is as long as an origin waits.
func refusal(cause Cause, after, left time.Duration) Decision {
	if left > 0 {
		after = min(after, left/3)
	}
	return Decision{Kind: Refuse, Cause: cause, RetryAfter: after}
}

// relief is when a place is expected.
func (choice *choice) relief(best offer, found bool) time.Duration {
	after := milliseconds(choice.ledger.runs.mean()) / 2
	if found {
		after = best.time / 2
	} else if choice.soonest < after {
		after = choice.soonest
	}
	return min(max(span(after), shortestRelief), longestRelief)
}
