package scheduler

import "time"

// fallback is the decision for a call that is not retried: PassThrough if a server sent an error
// response that can be forwarded; otherwise empty.
type fallback DecisionKind

// nextDispatch decides the call's next dispatch, or ends the call with the decision of fallbackDecision.
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
		// If the origin sends the call again, another server with capacity may prefill the prompt.
		return s.end(now, state, last, minRetryAfter, TooCostly)
	}
	if !found || state.source == nil && c.tooLate(best) {
		return s.end(now, state, last, c.retryAfter(best, found), NoCapacity)
	}
	if !c.chargeRetries() {
		return s.end(now, state, last, retryAfterSoon, BudgetUsed)
	}
	decision := c.dispatch(kind, best)
	if kind == Prefill && state.prefillCompleted {
		state.dispatch.countedAttempt = true
		state.attempts++
	}
	return decision
}

// mayPrefill reports whether the next dispatch may be a prefill. A second prefill counts as an
// attempt, and one more attempt must be left for the run after it.
func (c *cycle) mayPrefill() bool {
	state := c.state
	again := state.prefillCompleted || state.streamBegun
	return !state.noTransfer && (!again || state.attempts+1 < state.routeRule.calls.MaxAttempts)
}

// chargeRetries charges the call's attempts that have not been charged yet to the retry budget. If a
// retry is reserved for the call, the first of these attempts uses the reservation. chargeRetries
// returns false if the budget is used up.
func (c *cycle) chargeRetries() bool {
	state, allowance := c.state, c.scheduler.options.Retries
	uncharged := state.attempts - state.chargedAttempts
	if uncharged > 0 && state.reserved {
		c.serviceState.retries.redeem(c.now, allowance)
		state.reserved = false
		state.chargedAttempts++
		uncharged--
	}
	if !c.serviceState.retries.spend(c.now, uncharged, allowance, c.scheduler.budgetShares()) {
		return false
	}
	state.chargedAttempts = max(state.chargedAttempts, state.attempts)
	return true
}

// maxRetryCost returns the maximum cost of a further run. The maximum is higher if a stream has begun,
// since the stream is broken off if the call is not retried.
func (c *cycle) maxRetryCost() float64 {
	if c.state.streamBegun {
		return brokenStreamFactor * c.weights.refusal
	}
	return c.weights.refusal
}

// brokenStreamFactor is the cost of breaking a stream off relative to refusing a call.
const brokenStreamFactor = 4

// exhausted returns the reason why the call can't be retried, or an empty reason if it can. A call
// that may have run and is not idempotent never runs again, and neither does a call whose stream has
// begun and can't be resumed.
func (state *CallState) exhausted(now time.Time) Reason {
	switch {
	case state.mayHaveRun && !state.idempotent(), state.streamBegun && !state.routeRule.calls.Resumable:
		return MayHaveRun
	case !now.Before(state.deadline):
		return DeadlineReached
	case state.attempts >= max(1, state.routeRule.calls.MaxAttempts):
		return AttemptsUsed
	}
	return ""
}

// end ends a call that is not retried. A call with a stalled stream goes on with that stream.
func (s *Scheduler) end(now time.Time, state *CallState, last fallback, retryAfter time.Duration, reason Reason) Decision {
	if state.stalled.backend != nil {
		return s.continueStalled(now, state)
	}
	decision := state.fallbackDecision(now, last, retryAfter)
	decision.Reason = reason
	return s.finish(now, state, decision)
}

// fallbackDecision returns the final decision for a call that is not retried. Without a fallback, the
// decision depends on whether a stream has begun, whether the call may have run, and whether the
// deadline has passed.
func (state *CallState) fallbackDecision(now time.Time, last fallback, retryAfter time.Duration) Decision {
	late := !now.Before(state.deadline)
	switch {
	case last != "":
		return Decision{Kind: DecisionKind(last)}
	case state.streamBegun:
		return Decision{Kind: BreakStream}
	case state.mayHaveRun && late:
		return Decision{Kind: Refuse, Cause: OutcomeUnknownLate}
	case state.mayHaveRun:
		return Decision{Kind: Refuse, Cause: OutcomeUnknown}
	case late:
		return Decision{Kind: Refuse, Cause: DeadlinePassed}
	}
	return refusal(Saturated, retryAfter, state.deadline.Sub(now))
}

// finish ends the call. It releases the call's reserved retry, its backlog entry, and those of its KV
// caches that no run has used.
func (s *Scheduler) finish(now time.Time, state *CallState, decision Decision) Decision {
	s.finishStalled(now, state)
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
