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

// tooLate reports whether the answer to a call is expected to begin after the call's deadline while
// slots are scarce: less than minFreeShare of all slots are free, or the calls at the best server
// take up at least minFreeShare of its slots.
func (c *cycle) tooLate(best candidate) bool {
	if fromMilliseconds(best.latency) <= c.state.deadline.Sub(c.now) {
		return false
	}
	return c.freeShare < minFreeShare || c.callsAt(best.backend) >= minFreeShare*c.slots(best.backend)
}

// Parameters of refusals: after how long the origin may send a refused call again, and when slots count
// as scarce.
const (
	// retryAfterSoon is the delay if another router or another attempt may succeed at once.
	retryAfterSoon = 100 * time.Millisecond
	// retryAfterUnready is the delay if this router has no configuration or no servers yet.
	retryAfterUnready = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the estimated wait for a free slot.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minFreeShare is the share of free slots below which slots count as scarce (see tooLate). The
	// same share applies to the slots in use at the best server.
	minFreeShare = 0.5
)

// refusal returns a decision to refuse a call, which the origin may send again after the delay. An
// origin waits at most a third of the time that is left for its call, so the delay is reduced to that
// third if it is longer.
func refusal(cause Cause, delay, left time.Duration) Decision {
	if left > 0 {
		delay = min(delay, left/3)
	}
	return Decision{Kind: Refuse, Cause: cause, RetryAfter: delay}
}

// retryAfter estimates the time until a slot is free: half the latency of the best candidate or, if
// there is none, half the mean duration of a run or the wait for a warming server, whichever is
// shorter.
func (c *cycle) retryAfter(best candidate, found bool) time.Duration {
	wait := milliseconds(c.serviceState.runDuration.mean()) / 2
	if found {
		wait = best.latency / 2
	} else if c.warmingWait < wait {
		wait = c.warmingWait
	}
	return min(max(fromMilliseconds(wait), minRetryAfter), maxRetryAfter)
}
