package scheduler

import "time"

// Ended takes how the call's dispatch ended and decides what is next. It is Done for a call
// that has ended or has no dispatch.
func (s *Scheduler) Ended(now time.Time, state *CallState, outcome Outcome) Decision {
	if state.ended || state.dispatch.backend == nil {
		return Decision{Kind: Done}
	}
	sent := state.dispatch
	state.finishDispatch(now, outcome, s)
	state.dispatch = dispatch{}
	if outcome.Load != nil {
		at := now
		if !outcome.FirstByte.IsZero() && outcome.FirstByte.Before(at) {
			at = outcome.FirstByte
		}
		sent.backend.takeResponseLoad(at, *outcome.Load)
	}
	s.learnWarming(now, sent.backend, outcome.Warming)
	if outcome.Result == ClientGone {
		if sent.source != nil {
			state.releasable = append(state.releasable, *sent.source)
		}
		return s.finish(now, state, Decision{Kind: Done})
	}
	if sent.kind == Prefill {
		return s.prefillEnded(now, state, sent, outcome)
	}
	return s.generateEnded(now, state, sent, outcome)
}

// Began takes that the first event of a run's answer came. A router that reports it notices
// stalled servers before their calls end.
func (s *Scheduler) Began(now time.Time, state *CallState) {
	sent := &state.dispatch
	if sent.backend == nil || sent.kind != Generate || sent.began {
		return
	}
	sent.began = true
	if sent.source != nil {
		s.cachePrefix(state, sent)
	}
	sent.backend.firstEventProgress.done(now)
	if !s.reportsFirstEvents.Load() {
		s.reportsFirstEvents.Store(true)
	}
	s.learnTransferDelay(now, state, *sent, now)
}

// prefillEnded takes how a prefill ended: a complete one leaves a KV cache for the next run, a
// failed one counts as an attempt if the server was reached.
func (s *Scheduler) prefillEnded(now time.Time, state *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	switch outcome.Result {
	case Complete:
		s.learnLatency(now, state, sent, now)
		state.prefillTaken, state.prefillServer = true, b
		state.source = &Source{Address: b.server.Address, Handle: outcome.Handle}
		return s.nextDispatch(now, state, "")
	case Unreachable:
		if sent.countedAttempt {
			state.attempts--
		}
	default:
		if !sent.countedAttempt {
			state.attempts++
		}
	}
	s.failed(now, b, outcome.Result)
	state.avoided = append(state.avoided, b)
	return s.nextDispatch(now, state, "")
}

// generateEnded takes how a run ended. A call that may have run is retried only if it is
// idempotent (see exhausted).
func (s *Scheduler) generateEnded(now time.Time, state *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	if outcome.Result != Unreachable {
		state.attempts++
	}
	switch outcome.Result {
	case Complete:
		s.learnLatency(now, state, sent, outcome.FirstByte)
		s.serviceState(state.service.Name).runDuration.observe(now.Sub(sent.sent))
		return s.finish(now, state, Decision{Kind: Done})
	case Unreachable, Misdirected:
		state.source = sent.source
	case NotStarted:
		if outcome.Load.full() {
			state.source = sent.source
		} else if sent.source != nil {
			s.transferFailed(now, state, sent)
			return s.nextDispatch(now, state, "")
		}
	case ErrorResponse:
		state.mayHaveRun = true
		if outcome.Status < 500 {
			return s.finish(now, state, Decision{Kind: PassThrough})
		}
		s.failed(now, b, outcome.Result)
		if !state.idempotent() {
			return s.finish(now, state, Decision{Kind: PassThrough})
		}
		state.avoided = append(state.avoided, b)
		return s.nextDispatch(now, state, fallback(PassThrough))
	case Interrupted:
		state.mayHaveRun, state.streamBegun = true, true
	default:
		state.mayHaveRun = true
	}
	s.failed(now, b, outcome.Result)
	state.avoided = append(state.avoided, b)
	return s.nextDispatch(now, state, "")
}

// transferFailed takes that a server with room did not start a run with a KV cache: the cache
// may be gone or the transfer may have failed, so a server reads the prompt itself.
func (s *Scheduler) transferFailed(now time.Time, state *CallState, sent dispatch) {
	state.releasable = append(state.releasable, *sent.source)
	state.noTransfer = true
	s.serviceState(state.service.Name).demand.transferFailed(now)
	state.prefillServer.kvSendHealth.fail(now)
	sent.backend.kvReceiveHealth.failUncertain(now)
}

// What a dispatch may take longer than expected without its server being slow. The values
// are ours.
const (
	// latencySlack is for any answer.
	latencySlack = 20 * time.Millisecond
	// usualPrefillRatio is how many times what was expected a prefill may take: it waits
	// for the prefills of other routers.
	usualPrefillRatio = 2
	// usualTransferDelay is how many milliseconds later than expected a run with a KV cache
	// transfer may begin.
	usualTransferDelay = 60
)

// learnLatency takes the success of a dispatch and how long it took to its first byte: into
// the health of the server, the service's estimates and the server's latency.
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

// learnTransferDelay takes how much longer than usual a run with a KV cache transfer took to
// begin; both servers get it.
func (s *Scheduler) learnTransferDelay(now time.Time, state *CallState, sent dispatch, first time.Time) {
	if sent.source == nil || state.prefillServer == nil || first.IsZero() {
		return
	}
	late := milliseconds(first.Sub(sent.sent)-sent.expected) - usualTransferDelay
	sent.backend.transferDelay.observe(now, late)
	state.prefillServer.transferDelay.observe(now, late)
}
