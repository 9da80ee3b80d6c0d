package scheduler

import (
	"cmp"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// Arrive admits a call and decides its first dispatch, or refuses it; the state is nil then.
// The call's deadline is its own or that of its route, whichever is sooner.
func (s *Scheduler) Arrive(now time.Time, call *Call) (*CallState, Decision) {
	left := call.Deadline.Sub(now)
	if s.draining.Load() {
		return nil, refusal(Draining, retryAfterSoon, left)
	}
	routes := s.routes.Load()
	if routes == nil {
		return nil, refusal(NotReady, retryAfterUnready, left)
	}
	r, service, tenant, refused := routes.admit(call)
	if refused.Kind == Refuse {
		return nil, refused
	}
	limit := r.calls.Timeout
	if limit <= 0 {
		limit = cmp.Or(service.Timeout, config.DefaultTimeout)
	}
	deadline := now.Add(limit)
	if !call.Deadline.IsZero() && call.Deadline.Before(deadline) {
		deadline = call.Deadline
	}
	if !now.Before(deadline) {
		return nil, Decision{Kind: Refuse, Cause: DeadlinePassed}
	}
	if len(s.snapshot.Load().all) == 0 {
		return nil, refusal(NotReady, retryAfterUnready, deadline.Sub(now))
	}
	state := &CallState{
		call:      call,
		routeRule: r,
		service:   service,
		tenant:    tenant,
		key:       nameKey(call.ID),
		deadline:  deadline,
	}
	s.inFlight.Add(1)
	decision := s.begin(now, state, s.newCycle(now, state), true)
	if decision.Kind == Refuse {
		return nil, decision
	}
	return state, decision
}

// begin finds a call's first dispatch, or refuses it. If mayQuery, it may ask for backlog
// counts first.
func (s *Scheduler) begin(now time.Time, state *CallState, c *cycle, mayQuery bool) Decision {
	if mayQuery {
		kind, best, found := c.pickCheapest(true)
		if requests := c.backlogRequests(kind, best); found && len(requests) > 0 {
			return Decision{Kind: QueryBacklog, BacklogRequests: requests}
		}
	}
	kind, best, found := c.pickAdmitted(func() (DecisionKind, candidate, bool) { return c.pickCheapest(true) })
	if !found || c.tooLate(best) {
		decision := refusal(Saturated, c.retryAfter(best, found), state.deadline.Sub(now))
		decision.Reason = NoCapacity
		return s.finish(now, state, decision)
	}
	c.serviceState.retries.first(now, s.options.Retries)
	return c.dispatch(kind, best)
}

// tooLate tells that a call would not begin before its deadline, and that this is for want of
// slots: while freeEnough of them are free nothing is refused.
func (c *cycle) tooLate(best candidate) bool {
	if span(best.latency) <= c.state.deadline.Sub(c.now) {
		return false
	}
	return c.freeShare < freeEnough || c.callsAt(best.backend) >= freeEnough*c.slots(best.backend)
}

// When a refused call may come back. The values are ours.
const (
	// retryAfterSoon is where another router or attempt may do at once, retryAfterUnready
	// where this router has no configuration or servers yet.
	retryAfterSoon    = 100 * time.Millisecond
	retryAfterUnready = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait for a slot.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// freeEnough is the part of the slots that must be taken before a call is refused
	// because it would be late.
	freeEnough = 0.5
)

// refusal is a decision to refuse. The origin is told to come back after at most a third of
// the time left, which is as long as an origin waits.
func refusal(cause Cause, after, left time.Duration) Decision {
	if left > 0 {
		after = min(after, left/3)
	}
	return Decision{Kind: Refuse, Cause: cause, RetryAfter: after}
}

// retryAfter is when a slot is expected to be free.
func (c *cycle) retryAfter(best candidate, found bool) time.Duration {
	after := milliseconds(c.serviceState.runDuration.mean()) / 2
	if found {
		after = best.latency / 2
	} else if c.soonestFree < after {
		after = c.soonestFree
	}
	return min(max(span(after), minRetryAfter), maxRetryAfter)
}
