package scheduler

import "time"

// Ended reports the outcome of the call's dispatch and decides the next step. The decision is
// Done for a call that has ended or has no dispatch in flight.
func (s *Scheduler) Ended(now time.Time, state *CallState, outcome Outcome) Decision {
	if state.ended || state.dispatch.backend == nil {
		return Decision{Kind: Done}
	}
	sent := state.dispatch
	state.dispatch = dispatch{}
	if outcome.Result == Stalled {
		return s.streamStalled(now, state, sent)
	}
	s.finishDispatch(now, state, sent, outcome)
	if outcome.StalledEnded {
		s.finishStalled(now, state)
	}
	if outcome.Load != nil {
		at := now
		if !outcome.FirstByte.IsZero() && outcome.FirstByte.Before(at) {
			at = outcome.FirstByte
		}
		sent.backend.applyResponseLoad(at, *outcome.Load)
	}
	s.learnWarming(now, sent.backend, outcome.Warming)
	if outcome.Result == ClientGone {
		// A stream that has stalled had begun: its server has taken the KV cache.
		if sent.source != nil && !sent.reportedStall {
			state.releasable = append(state.releasable, *sent.source)
		}
		return s.finish(now, state, Decision{Kind: Done})
	}
	if outcome.Result == Superseded {
		return s.superseded(now, state, sent)
	}
	if sent.kind == Prefill {
		return s.prefillEnded(now, state, sent, outcome)
	}
	return s.generateEnded(now, state, sent, outcome)
}

// Began reports that the first event of a run's answer was received. Calling Began is optional. If
// it is called, the scheduler can detect a server that stalls runs before these runs end. While the call has a
// stalled stream, Began reports that the run has taken the call over and that the stalled stream was ended.
func (s *Scheduler) Began(now time.Time, state *CallState) {
	sent := &state.dispatch
	if sent.backend == nil || sent.kind != Generate || sent.began {
		return
	}
	sent.began = true
	s.finishStalled(now, state)
	if sent.source != nil {
		s.cachePrefix(state, sent)
	}
	sent.backend.firstEventProgress.done(now)
	if !s.reportsFirstEvents.Load() {
		s.reportsFirstEvents.Store(true)
	}
	s.learnTransferDelay(now, state, *sent, now)
}

// prefillEnded handles the outcome of a prefill. A complete prefill leaves a KV cache for the
// following run. A failed prefill counts as one attempt if the server was reached, and as none
// otherwise, also if the attempt was already counted at its dispatch.
func (s *Scheduler) prefillEnded(now time.Time, state *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	switch outcome.Result {
	case Complete:
		s.learnLatency(now, state, sent, now)
		state.prefillCompleted, state.prefillServer = true, b
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

// generateEnded handles the outcome of a run. A call that may have run is retried only if it is
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
		if outcome.Status < 500 && state.stalled.backend == nil {
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

// transferFailed handles a server with free capacity that did not start a run with a KV cache:
// the prefill server may have evicted the cache, or the transfer may have failed. The call is not
// prefilled again; the server of the next run reads the prompt itself.
func (s *Scheduler) transferFailed(now time.Time, state *CallState, sent dispatch) {
	state.releasable = append(state.releasable, *sent.source)
	state.noTransfer = true
	s.serviceState(state.service.Name).demand.transferFailed(now)
	state.prefillServer.kvSendHealth.fail(now)
	sent.backend.kvReceiveHealth.failUncertain(now)
}

// How much longer than expected a dispatch may take before its server counts as slow.
const (
	// latencySlack is allowed for every dispatch.
	latencySlack = 20 * time.Millisecond
	// usualPrefillRatio is the ratio of actual to expected latency that is allowed for a prefill,
	// since it may have to wait for prefills of other routers.
	usualPrefillRatio = 2
	// usualTransferDelay is the delay in milliseconds that is allowed for the first event of a run
	// with a KV cache transfer.
	usualTransferDelay = 60
)

// learnLatency updates the server's health and latency ratio and the service's estimates from a
// successful dispatch; first is when a run's first byte was received, or when a prefill ended.
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
		// The expected latency includes the present estimate of the first-event latency, which is
		// added again to get a sample of the first-event latency.
		svc.firstEvent.observe(milliseconds(took-sent.expected) + svc.firstEvent.median())
	}
	if sent.expected > 0 {
		ratio := float64(took) / float64(sent.expected+latencySlack)
		if sent.kind == Prefill {
			ratio /= usualPrefillRatio
		}
		b.latency.observe(now, ratio)
	}
}

// learnTransferDelay records by how much the first event of a run with a KV cache transfer came
// later than expected, less usualTransferDelay. The delay is attributed to both servers of the
// transfer; first is when the run's first event was received.
func (s *Scheduler) learnTransferDelay(now time.Time, state *CallState, sent dispatch, first time.Time) {
	if sent.source == nil || state.prefillServer == nil || first.IsZero() {
		return
	}
	excess := milliseconds(first.Sub(sent.sent)-sent.expected) - usualTransferDelay
	sent.backend.transferDelay.observe(now, excess)
	state.prefillServer.transferDelay.observe(now, excess)
}
