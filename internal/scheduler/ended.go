package scheduler

import "time"

// Ended takes how the call's dispatch ended and tells what is next.
func (w *Scheduler) Ended(now time.Time, state *CallState, outcome Outcome) Decision {
	if state.ended || state.dispatch.backend == nil {
		return Decision{Kind: Done}
	}
	sent := state.dispatch
	state.settleDispatch(now, outcome, w)
	state.dispatch = dispatch{}
	if outcome.Load != nil {
		at := now
		if !outcome.FirstByte.IsZero() && outcome.FirstByte.Before(at) {
			at = outcome.FirstByte
		}
		sent.backend.takeResponseLoad(at, *outcome.Load)
	}
	if outcome.Warming > 0 {
		sent.backend.markWarmingUntil(now.Add(outcome.Warming + w.snapshot.Load().warmingMargin(sent.backend.key)))
	}
	if outcome.Result == ClientGone {
		if sent.source != nil {
			state.releasable = append(state.releasable, *sent.source)
		}
		return w.finish(now, state, Decision{Kind: Done})
	}
	if sent.kind == Prefill {
		return w.prefillEnded(now, state, sent, outcome)
	}
	return w.generateEnded(now, state, sent, outcome)
}

// Began tells that the first event of a run's answer came. A router that tells it
// notices servers that are stuck before their calls end.
func (w *Scheduler) Began(now time.Time, state *CallState) {
	sent := &state.dispatch
	if sent.backend == nil || sent.kind != Generate || sent.began {
		return
	}
	sent.began = true
	if sent.source != nil {
		w.cachePrefix(state, sent)
	}
	sent.backend.firstEventProgress.done(now)
	if !w.reportsFirstEvents.Load() {
		w.reportsFirstEvents.Store(true)
	}
	w.learnTransferDelay(now, state, *sent, now)
}

func (w *Scheduler) prefillEnded(now time.Time, state *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	switch outcome.Result {
	case Complete:
		w.learnLatency(now, state, sent, now)
		state.prefillTaken, state.prefillServer = true, b
		state.source = &Source{Address: b.server.Address, Handle: outcome.Handle}
		return w.nextDispatch(now, state, fallback{})
	case Unreachable:
		if sent.countedAttempt {
			state.attempts--
		}
	default:
		if !sent.countedAttempt {
			state.attempts++
		}
	}
	w.failed(now, b, outcome.Result)
	state.avoided = append(state.avoided, b)
	return w.nextDispatch(now, state, fallback{})
}

func (w *Scheduler) generateEnded(now time.Time, state *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	if outcome.Result != Unreachable {
		state.attempts++
	}
	switch outcome.Result {
	case Complete:
		w.learnLatency(now, state, sent, outcome.FirstByte)
		w.serviceState(state.service.Name).runDuration.observe(now.Sub(sent.sent))
		return w.finish(now, state, Decision{Kind: Done})
	case Unreachable, Misdirected:
		state.source = sent.source
	case NotStarted:
		if full := outcome.Load != nil && (outcome.Load.Waiting > 0 || outcome.Load.Running >= outcome.Load.Slots); full {
			state.source = sent.source
		} else if sent.source != nil {
			// The memory may be gone, or the server be full: it reads the prompt itself.
			state.releasable = append(state.releasable, *sent.source)
			state.noTransfer = true
			w.serviceState(state.service.Name).demand.transferFailed(now)
			state.prefillServer.kvSendHealth.fail(now)
			b.kvReceiveHealth.failUncertain(now)
			return w.nextDispatch(now, state, fallback{})
		}
	case ErrorResponse:
		state.mayHaveRun = true
		if outcome.Status < 500 {
			return w.finish(now, state, Decision{Kind: PassThrough})
		}
		w.failed(now, b, outcome.Result)
		if !state.idempotent() {
			return w.finish(now, state, Decision{Kind: PassThrough})
		}
		state.avoided = append(state.avoided, b)
		return w.nextDispatch(now, state, fallback{Kind: PassThrough})
	case Interrupted:
		state.mayHaveRun, state.streamBegun = true, true
	default:
		state.mayHaveRun = true
	}
	w.failed(now, b, outcome.Result)
	state.avoided = append(state.avoided, b)
	return w.nextDispatch(now, state, fallback{})
}

// fallback is what there is to give to the origin when nothing more is tried.
type fallback struct{ Kind DecisionKind }

// next finds the next dispatch, or ends the call.
func (w *Scheduler) nextDispatch(now time.Time, state *CallState, answer fallback) Decision {
	if reason := state.exhausted(now); reason != "" {
		return w.end(now, state, answer, retryAfterSoon, reason)
	}
	c := w.newCycle(now, state)
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
		return w.end(now, state, answer, minRetryAfter, TooCostly)
	}
	if !found || state.source == nil && c.tooLate(way) {
		return w.end(now, state, answer, c.retryAfter(way, found), NoCapacity)
	}
	if !c.payRetries() {
		return w.end(now, state, answer, retryAfterSoon, BudgetUsed)
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
func (w *Scheduler) end(now time.Time, state *CallState, answer fallback, after time.Duration, reason Reason) Decision {
	decision := state.fallbackDecision(now, answer, after)
	decision.Reason = reason
	return w.finish(now, state, decision)
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
func (w *Scheduler) finish(now time.Time, state *CallState, decision Decision) Decision {
	if state.reserved {
		state.reserved = false
		w.serviceState(state.service.Name).retries.release()
	}
	if state.source != nil {
		state.releasable = append(state.releasable, *state.source)
		state.source = nil
	}
	decision.Release, state.releasable = state.releasable, nil
	w.uncountBacklog(state)
	state.ended = true
	w.inFlight.Add(-1)
	return decision
}

// learn takes how long a dispatch took to its answer's beginning.
func (w *Scheduler) learnLatency(now time.Time, state *CallState, sent dispatch, first time.Time) {
	b := sent.backend
	b.health.succeed(now)
	if sent.source != nil && state.prefillServer != nil {
		b.kvReceiveHealth.succeed(now)
		state.prefillServer.kvSendHealth.succeed(now)
		state.prefillServer.kvSentAt.Store(now.UnixNano())
		if !sent.began {
			w.cachePrefix(state, &sent)
			w.learnTransferDelay(now, state, sent, first)
		}
	}
	if first.IsZero() || first.Before(sent.sent) {
		return
	}
	took := first.Sub(sent.sent)
	if sent.kind == Prefill {
		w.serviceState(state.service.Name).prefillRate.observe(sent.uncached, took)
	}
	if sent.kind == Generate {
		s := w.serviceState(state.service.Name)
		s.firstEvent.observe(milliseconds(took-sent.expected) + s.firstEvent.milliseconds())
	}
	if sent.expected > 0 {
		ratio := float64(took) / float64(sent.expected+latencySlack)
		if sent.kind == Prefill {
			ratio /= usualPrefillRatio
		}
		b.latency.observe(now, ratio)
	}
}

// learnTransferDelay takes how much longer than usual a run with moved memory took to begin.
func (w *Scheduler) learnTransferDelay(now time.Time, state *CallState, sent dispatch, first time.Time) {
	if sent.source == nil || state.prefillServer == nil || first.IsZero() {
		return
	}
	late := milliseconds(first.Sub(sent.sent)-sent.expected) - usualTransferDelay
	sent.backend.transferDelay.observe(now, late)
	state.prefillServer.transferDelay.observe(now, late)
}

// usualTransferDelay is how many milliseconds later than expected a run may begin without
// telling of a slow move.
const usualTransferDelay = 60

// slack is what any answer may take longer without telling of a slow server.
const latencySlack = 20 * time.Millisecond

// usualPrefillRatio is how many times what was expected a read may take without telling of a
// slow server: it waits for the reads of other routers.
const usualPrefillRatio = 2
