package scheduler

import "time"

// fallback is what the origin gets when nothing more is tried: PassThrough for an error
// response of a server; empty if there is none.
type fallback DecisionKind

// nextDispatch finds the next dispatch, or ends the call.
func (s *Scheduler) nextDispatch(now time.Time, state *CallState, last fallback) Decision {
	if reason := state.exhausted(now); reason != "" {
		return s.end(now, state, last, retryAfterSoon, reason)
	}
	c := s.newCycle(now, state)
	kind, best, found := c.pickAdmitted(func() (DecisionKind, candidate, bool) {
		if state.source != nil {
			return c.pickDecode(state.prefillServer)
		}
		return c.pickCheapest(c.mayPrefill())
	})
	if found && !best.usesKV && kind == Generate && state.attempts > 0 && best.cost > c.maxRetryCost() {
		// There is capacity for it as a new call, which may be prefilled elsewhere.
		return s.end(now, state, last, minRetryAfter, TooCostly)
	}
	if !found || state.source == nil && c.tooLate(best) {
		return s.end(now, state, last, c.retryAfter(best, found), NoCapacity)
	}
	if !c.payRetries() {
		return s.end(now, state, last, retryAfterSoon, BudgetUsed)
	}
	decision := c.dispatch(kind, best)
	if kind == Prefill && state.prefillTaken {
		state.dispatch.countedAttempt = true
		state.attempts++
	}
	return decision
}

// mayPrefill tells whether the call may be prefilled again. A second prefill counts as an
// attempt, and there must be one more for the run after it.
func (c *cycle) mayPrefill() bool {
	state := c.state
	again := state.prefillTaken || state.streamBegun
	return !state.noTransfer && (!again || state.attempts+1 < state.routeRule.calls.MaxAttempts)
}

// payRetries takes from the retry budget what the call was sent beyond its first attempt and
// has not paid for yet, a reserved retry first; false if the budget is used up.
func (c *cycle) payRetries() bool {
	state, allowance := c.state, c.scheduler.options.Retries
	owed := state.attempts - state.paidAttempts
	if owed > 0 && state.reserved {
		c.serviceState.retries.redeem(c.now, allowance)
		state.reserved = false
		state.paidAttempts++
		owed--
	}
	if !c.serviceState.retries.spend(c.now, owed, allowance, c.scheduler.budgetShares()) {
		return false
	}
	state.paidAttempts = max(state.paidAttempts, state.attempts)
	return true
}

// maxRetryCost is what a further run may cost: more where a stream has begun, which would be
// broken off.
func (c *cycle) maxRetryCost() float64 {
	if c.state.streamBegun {
		return begunWeight * c.weights.refusal
	}
	return c.weights.refusal
}

// begunWeight is how many times as much it costs to break a stream off as to refuse a call.
const begunWeight = 4

// exhausted tells why the call is not retried, or nothing if it may be. A call that may have
// run and is not idempotent never runs again.
func (t *CallState) exhausted(now time.Time) Reason {
	switch {
	case t.mayHaveRun && !t.idempotent(), t.streamBegun && !t.routeRule.calls.Resumable:
		return MayHaveRun
	case !now.Before(t.deadline):
		return DeadlineReached
	case t.attempts >= max(1, t.routeRule.calls.MaxAttempts):
		return AttemptsUsed
	}
	return ""
}

// end ends the call with the decision for when nothing more is tried.
func (s *Scheduler) end(now time.Time, state *CallState, last fallback, after time.Duration, reason Reason) Decision {
	decision := state.fallbackDecision(now, last, after)
	decision.Reason = reason
	return s.finish(now, state, decision)
}

// fallbackDecision is the call's last decision, by what its origin may be told.
func (t *CallState) fallbackDecision(now time.Time, last fallback, after time.Duration) Decision {
	late := !now.Before(t.deadline)
	switch {
	case last != "":
		return Decision{Kind: DecisionKind(last)}
	case t.streamBegun:
		return Decision{Kind: BreakStream}
	case t.mayHaveRun && late:
		return Decision{Kind: Refuse, Cause: OutcomeUnknownLate}
	case t.mayHaveRun:
		return Decision{Kind: Refuse, Cause: OutcomeUnknown}
	case late:
		return Decision{Kind: Refuse, Cause: DeadlinePassed}
	}
	return refusal(Saturated, after, t.deadline.Sub(now))
}

// finish ends the call: it gives back its reserved retry, its backlog entry and the KV caches
// that nobody takes.
func (s *Scheduler) finish(now time.Time, state *CallState, decision Decision) Decision {
	if state.reserved {
		state.reserved = false
		s.serviceState(state.service.Name).retries.release()
	}
	if state.source != nil {
		state.releasable = append(state.releasable, *state.source)
		state.source = nil
	}
	decision.Release, state.releasable = state.releasable, nil
	s.uncountBacklog(state)
	state.ended = true
	s.inFlight.Add(-1)
	return decision
}
