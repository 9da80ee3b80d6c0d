package scheduler

import (
	"cmp"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// Arrive lets a call in, or refuses it; then there is no ticket.
func (w *Scheduler) Arrive(now time.Time, call *Call) (*CallState, Decision) {
	left := call.Deadline.Sub(now)
	if w.draining.Load() {
		return nil, refusal(Draining, soon, left)
	}
	program := w.program.Load()
	if program == nil {
		return nil, refusal(NotReady, unready, left)
	}
	r, service := program.rule(call)
	if r == nil {
		return nil, Decision{Kind: Refuse, Cause: NoRoute}
	}
	limit := r.calls.Limit
	if limit <= 0 {
		limit = cmp.Or(service.Limit, config.DefaultLimit)
	}
	ends := now.Add(limit)
	if !call.Deadline.IsZero() && call.Deadline.Before(ends) {
		ends = call.Deadline
	}
	if !now.Before(ends) {
		return nil, Decision{Kind: Refuse, Cause: DeadlinePassed}
	}
	if len(w.board.Load().all) == 0 {
		return nil, refusal(NotReady, unready, ends.Sub(now))
	}
	ticket := &CallState{call: call, routeRule: r, service: service, mark: nameKey(call.ID), arrived: now, ends: ends}
	w.inFlight.Add(1)
	decision := w.begin(now, ticket, w.weighing(now, ticket), true)
	if decision.Kind == Refuse {
		return nil, decision
	}
	return ticket, decision
}

// begin finds a call's first dispatch, or refuses it. It may ask for counts first.
func (w *Scheduler) begin(now time.Time, ticket *CallState, c *choice, mayAsk bool) Decision {
	if mayAsk {
		kind, best, found := c.cheapest(true)
		if questions := c.questions(kind, best); found && len(questions) > 0 {
			return Decision{Kind: QueryBacklog, BacklogRequests: questions}
		}
	}
	kind, way, found := c.find(func() (DecisionKind, offer, bool) { return c.cheapest(true) })
	if !found || c.late(way) {
		full := refusal(Saturated, c.relief(way, found), ticket.ends.Sub(now))
		full.Reason = NoCapacity
		return w.finish(now, ticket, full)
	}
	c.serviceState.retries.first(now, w.options.Retries)
	return c.send(kind, way)
}

// late tells that a call would not begin in time, and that this is for want of places:
// while half of them are free nothing is refused.
func (c *choice) late(o offer) bool {
	if span(o.time) <= c.ticket.ends.Sub(c.now) {
		return false
	}
	return c.free < freeEnough || c.busy(o.backend) >= freeEnough*c.slots(o.backend)
}

// The measures of refusals. The values are ours.
const (
	soon    = 100 * time.Millisecond
	unready = 1200 * time.Millisecond
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
func (c *choice) relief(best offer, found bool) time.Duration {
	after := milliseconds(c.serviceState.runs.mean()) / 2
	if found {
		after = best.time / 2
	} else if c.soonest < after {
		after = c.soonest
	}
	return min(max(span(after), shortestRelief), longestRelief)
}
