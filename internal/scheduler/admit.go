package scheduler

import (
	"cmp"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// Arrive lets a call in, or refuses it; then there is no ticket.
func (s *Scheduler) Arrive(now time.Time, call *Call) (*CallState, Decision) {
	left := call.Deadline.Sub(now)
	if s.draining.Load() {
		return nil, refusal(Draining, retryAfterSoon, left)
	}
	program := s.routes.Load()
	if program == nil {
		return nil, refusal(NotReady, retryAfterUnready, left)
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
	if len(s.snapshot.Load().all) == 0 {
		return nil, refusal(NotReady, retryAfterUnready, ends.Sub(now))
	}
	state := &CallState{call: call, routeRule: r, service: service, key: nameKey(call.ID), arrived: now, deadline: ends}
	s.inFlight.Add(1)
	decision := s.begin(now, state, s.newCycle(now, state), true)
	if decision.Kind == Refuse {
		return nil, decision
	}
	return state, decision
}

// begin finds a call's first dispatch, or refuses it. It may ask for counts first.
func (s *Scheduler) begin(now time.Time, state *CallState, c *cycle, mayAsk bool) Decision {
	if mayAsk {
		kind, best, found := c.pickCheapest(true)
		if questions := c.backlogRequests(kind, best); found && len(questions) > 0 {
			return Decision{Kind: QueryBacklog, BacklogRequests: questions}
		}
	}
	kind, way, found := c.pickAdmitted(func() (DecisionKind, candidate, bool) { return c.pickCheapest(true) })
	if !found || c.tooLate(way) {
		full := refusal(Saturated, c.retryAfter(way, found), state.deadline.Sub(now))
		full.Reason = NoCapacity
		return s.finish(now, state, full)
	}
	c.serviceState.retries.first(now, s.options.Retries)
	return c.dispatch(kind, way)
}

// late tells that a call would not begin in time, and that this is for want of places:
// while half of them are free nothing is refused.
func (c *cycle) tooLate(o candidate) bool {
	if span(o.latency) <= c.state.deadline.Sub(c.now) {
		return false
	}
	return c.freeShare < freeEnough || c.callsAt(o.backend) >= freeEnough*c.slots(o.backend)
}

// The measures of refusals. The values are ours.
const (
	retryAfterSoon    = 100 * time.Millisecond
	retryAfterUnready = 1200 * time.Millisecond
	// freeEnough is the part of the places that must be taken before a call is
	// refused because it would be late.
	freeEnough    = 0.5
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
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
func (c *cycle) retryAfter(best candidate, found bool) time.Duration {
	after := milliseconds(c.serviceState.runDuration.mean()) / 2
	if found {
		after = best.latency / 2
	} else if c.soonestFree < after {
		after = c.soonestFree
	}
	return min(max(span(after), minRetryAfter), maxRetryAfter)
}
