package scheduler

import "time"

// Ended takes how the call's dispatch ended and tells what is next.
func (svc *Scheduler) Ended(now time.Time, state *CallState, outcome Outcome) Decision {
	if state.ended || state.dispatch.backend == nil {
		return Decision{Kind: Done}
	}
	sent := state.dispatch
	state.settleDispatch(now, outcome, svc)
	state.dispatch = dispatch{}
	if outcome.Load != nil {
		at := now
		if !outcome.FirstByte.IsZero() && outcome.FirstByte.Before(at) {
			at = outcome.FirstByte
		}
		sent.backend.takeResponseLoad(at, *outcome.Load)
	}
	if outcome.Warming > 0 {
		sent.backend.markWarmingUntil(now.Add(outcome.Warming + svc.snapshot.Load().warmingMargin(sent.backend.key)))
	}
	if outcome.Result == ClientGone {
		if sent.source != nil {
			state.releasable = append(state.releasable, *sent.source)
		}
		return svc.finish(now, state, Decision{Kind: Done})
	}
	if sent.kind == Prefill {
		return svc.prefillEnded(now, state, sent, outcome)
	}
	return svc.generateEnded(now, state, sent, outcome)
}

// Began tells that the first event of a run's answer came. A router that tells it
// notices servers that are stuck before their calls end.
func (svc *Scheduler) Began(now time.Time, state *CallState) {
	sent := &state.dispatch
	if sent.backend == nil || sent.kind != Generate || sent.began {
		return
	}
	sent.began = true
	if sent.source != nil {
		svc.cachePrefix(state, sent)
	}
	sent.backend.firstEventProgress.done(now)
	if !svc.reportsFirstEvents.Load() {
		svc.reportsFirstEvents.Store(true)
	}
	svc.learnTransferDelay(now, state, *sent, now)
}

func (svc *Scheduler) prefillEnded(now time.Time, state *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	switch outcome.Result {
	case Complete:
		svc.learnLatency(now, state, sent, now)
		state.prefillTaken, state.prefillServer = true, b
		state.source = &Source{Address: b.server.Address, Handle: outcome.Handle}
		return svc.nextDispatch(now, state, fallback{})
	case Unreachable:
		if sent.countedAttempt {
			state.attempts--
		}
	default:
		if !sent.countedAttempt {
			state.attempts++
		}
	}
	svc.failed(now, b, outcome.Result)
	state.avoided = append(state.avoided, b)
	return svc.nextDispatch(now, state, fallback{})
}

func (svc *Scheduler) generateEnded(now time.Time, state *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	if outcome.Result != Unreachable {
		state.attempts++
	}
	switch outcome.Result {
	case Complete:
		svc.learnLatency(now, state, sent, outcome.FirstByte)
		svc.serviceState(state.service.Name).runDuration.observe(now.Sub(sent.sent))
		return svc.finish(now, state, Decision{Kind: Done})
	case Unreachable, Misdirected:
		state.source = sent.source
	case NotStarted:
		if full := outcome.Load != nil && (outcome.Load.Waiting > 0 || outcome.Load.Running >= outcome.Load.Slots); full {
			state.source = sent.source
		} else if sent.source != nil {
			// The memory may be gone, or the server be full: it reads the prompt itself.
			state.releasable = append(state.releasable, *sent.source)
			state.noTransfer = true
			svc.serviceState(state.service.Name).demand.transferFailed(now)
			state.prefillServer.kvSendHealth.fail(now)
			b.kvReceiveHealth.failUncertain(now)
			return svc.nextDispatch(now, state, fallback{})
		}
	case ErrorResponse:
		state.mayHaveRun = true
		if outcome.Status < 500 {
			return svc.finish(now, state, Decision{Kind: PassThrough})
		}
		svc.failed(now, b, outcome.Result)
		if !state.idempotent() {
			return svc.finish(now, state, Decision{Kind: PassThrough})
		}
		state.avoided = append(state.avoided, b)
		return svc.nextDispatch(now, state, fallback{Kind: PassThrough})
	case Interrupted:
		state.mayHaveRun, state.streamBegun = true, true
	default:
		state.mayHaveRun = true
	}
	svc.failed(now, b, outcome.Result)
	state.avoided = append(state.avoided, b)
	return svc.nextDispatch(now, state, fallback{})
}

// learn takes how long a dispatch took to its answer's beginning.
func (s *Scheduler) learnLatency(now time.Time, state *CallState, sent dispatch, first time.Time) {
	b := sent.backend
	b.health.succeed(now)
	if sent.source != nil && state.prefillServer != nil {
		b.kvReceiveHealth.succeed(now)
		state.prefillServer.kvSendHealth.succeed(now)
		state.prefillServer.kvSentAt.Store(now.UnixNano())
		if !sent.began {
			s.cachePrefix(state, &sent)
			s.learnTransferDelay(now, state, sent, first)
		}
	}
	if first.IsZero() || first.Before(sent.sent) {
		return
	}
	took := first.Sub(sent.sent)
	if sent.kind == Prefill {
		s.serviceState(state.service.Name).prefillRate.observe(sent.uncached, took)
	}
	if sent.kind == Generate {
		svc := s.serviceState(state.service.Name)
		svc.firstEvent.observe(milliseconds(took-sent.expected) + svc.firstEvent.milliseconds())
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
func (svc *Scheduler) learnTransferDelay(now time.Time, state *CallState, sent dispatch, first time.Time) {
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
