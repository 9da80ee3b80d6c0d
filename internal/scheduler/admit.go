package scheduler

import (
	"cmp"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// Arrive admits a call and decides its first dispatch, or refuses the call and returns a nil
// state. The call has to end by its own deadline or by its route's timeout, whichever is sooner.
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
	decision := s.firstDispatch(now, state, s.newCycle(now, state), true)
	if decision.Kind == Refuse {
		return nil, decision
	}
	return state, decision
}

// firstDispatch decides a call's first dispatch, or refuses the call. If mayQuery is set, the
// decision may be to query backlog counts first.
func (s *Scheduler) firstDispatch(now time.Time, state *CallState, c *cycle, mayQuery bool) Decision {
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

// tooLate reports whether a call would not begin before its deadline because slots are short: less
// than minFreeShare of the slots of all servers are free, or the best server has at least
// minFreeShare times as many calls as slots.
func (c *cycle) tooLate(best candidate) bool {
	if fromMilliseconds(best.latency) <= c.state.deadline.Sub(c.now) {
		return false
	}
	return c.freeShare < minFreeShare || c.callsAt(best.backend) >= minFreeShare*c.slots(best.backend)
}

// After how long the origin of a refused call may retry it, and when calls are refused.
const (
	// retryAfterSoon is used where another router or another attempt may succeed at once.
	retryAfterSoon = 100 * time.Millisecond
	// retryAfterUnready is used where this router has no configuration or no servers yet.
	retryAfterUnready = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait for a free slot.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minFreeShare is the share of free slots below which a call may be refused for being late.
	minFreeShare = 0.5
)

// refusal returns a decision to refuse a call. An origin waits at most a third of the time that
// is left for its call, so the origin is told to retry within that third.
func refusal(cause Cause, after, left time.Duration) Decision {
	if left > 0 {
		after = min(after, left/3)
	}
	return Decision{Kind: Refuse, Cause: cause, RetryAfter: after}
}

// retryAfter estimates after how long a slot is free.
func (c *cycle) retryAfter(best candidate, found bool) time.Duration {
	after := milliseconds(c.serviceState.runDuration.mean()) / 2
	if found {
		after = best.latency / 2
	} else if c.warmingWait < after {
		after = c.warmingWait
	}
	return min(max(fromMilliseconds(after), minRetryAfter), maxRetryAfter)
}
