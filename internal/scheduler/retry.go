package scheduler

import "time"

// fallback is what there is to give to the origin when nothing more is tried.
type fallback struct{ Kind DecisionKind }

// next finds the next dispatch, or ends the call.
func (s *Scheduler) nextDispatch(now time.Time, state *CallState, answer fallback) Decision {
	if reason := state.exhausted(now); reason != "" {
		return s.end(now, state, answer, retryAfterSoon, reason)
	}
	c := s.newCycle(now, state)
	var kind DecisionKind
	var found bool
	var way candidate
	if state.source != nil {
		kind, way, found = c.pickAdmitted(func() (DecisionKind, candidate, bool) { return c.pickDecode(state.prefillServer) })
	} else {
		// A further read is paid as well and takes a try of its own.
		further := state.prefillTaken || state.streamBegun
		mayRead := !state.noTransfer && (!further || state.attempts+1 < state.routeRule.calls.Attempts)
		kind, way, found = c.pickAdmitted(func() (DecisionKind, candidate, bool) { return c.pickCheapest(mayRead) })
	}
	if found && !way.usesKV && kind == Generate && state.attempts > 0 && way.cost > c.maxRetryCost() {
		// There is room for the call as a new one, which may be read elsewhere.
		return s.end(now, state, answer, minRetryAfter, TooCostly)
	}
	if !found || state.source == nil && c.tooLate(way) {
		return s.end(now, state, answer, c.retryAfter(way, found), NoCapacity)
	}
	if !c.payRetries() {
		return s.end(now, state, answer, retryAfterSoon, BudgetUsed)
	}
	decision := c.dispatch(kind, way)
	if kind == Prefill && state.prefillTaken {
		state.dispatch.countedAttempt = true
		state.attempts++
	}
	return decision
}

// pay counts what the call was sent beyond its first try and has not paid for yet, a
// reserved try first.
func (c *cycle) payRetries() bool {
	state, allowance := c.state, c.scheduler.options.Retries
	owed := state.attempts - state.paidAttempts
	if owed > 0 && state.reserved {
		c.serviceState.retries.redeem(c.now, allowance)
		state.reserved = false
		state.paidAttempts++
		owed--
	}
	if !c.serviceState.retries.spend(c.now, owed, allowance, c.routerCount) {
		return false
	}
	state.paidAttempts = max(state.paidAttempts, state.attempts)
	return true
}

// dearest is what a further run may cost: more where a stream has begun, which would be
// broken off.
func (c *cycle) maxRetryCost() float64 {
	if c.state.streamBegun {
		return begunWeight * c.weights.refusal
	}
	return c.weights.refusal
}

// begunWeight is how much more it costs to break a stream off than to refuse a call.
const begunWeight = 4

// exhausted tells why the call is tried no more, or nothing if it may be.
func (t *CallState) exhausted(now time.Time) Reason {
	switch {
	case t.mayHaveRun && !t.idempotent(), t.streamBegun && !t.routeRule.calls.Resumable:
		return MayHaveRun
	case !now.Before(t.deadline):
		return DeadlineReached
	case t.attempts >= max(1, t.routeRule.calls.Attempts):
		return AttemptsUsed
	}
	return ""
}

// end words the last decision when nothing more is tried.
func (s *Scheduler) end(now time.Time, state *CallState, answer fallback, after time.Duration, reason Reason) Decision {
	decision := state.fallbackDecision(now, answer, after)
	decision.Reason = reason
	return s.finish(now, state, decision)
}

// last is the call's last decision, by what its origin may be told.
func (t *CallState) fallbackDecision(now time.Time, answer fallback, after time.Duration) Decision {
	late := !now.Before(t.deadline)
	switch {
	case answer.Kind != "":
		return Decision{Kind: answer.Kind}
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

// finish gives back memory that nobody takes and forgets the call.
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
