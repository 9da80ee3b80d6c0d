package scheduler

import "time"

// streamStalled handles a stream without an event for its timeout: another server is asked to take the call over.
// Until one has, the stalled dispatch counts as in flight and its connection stays open, because its server may only
// be slow: the server may have preempted the call to read its prompt again.
//
// Invariant: silence alone never ends a stream. A stalled stream ends when another server has taken the call over
// (Began), when its connection breaks off (Outcome.StalledEnded), or with the call.
func (s *Scheduler) streamStalled(now time.Time, state *CallState, sent dispatch) Decision {
	// A caller that does not call Began reports here that an earlier stalled stream was taken over.
	s.finishStalled(now, state)
	state.attempts++
	state.mayHaveRun, state.streamBegun = true, true
	if !sent.reportedStall {
		sent.reportedStall = true
		s.failed(now, sent.backend, Stalled)
		state.avoided = append(state.avoided, sent.backend)
	}
	state.stalled = sent
	return s.nextDispatch(now, state, "")
}

// continueStalled makes the stalled stream the call's dispatch again. With attempts, time and budget left for another
// server, the stream may stall again, and then other servers are asked again.
func (s *Scheduler) continueStalled(now time.Time, state *CallState) Decision {
	state.dispatch, state.stalled = state.stalled, dispatch{}
	// The attempt is counted when the dispatch ends.
	state.attempts--
	decision := Decision{
		Kind:          Continue,
		Server:        state.dispatch.backend.server,
		Deadline:      state.deadline,
		StreamTimeout: s.newCycle(now, state).streamTimeout(),
	}
	if state.source != nil {
		state.releasable = append(state.releasable, *state.source)
		state.source, state.noTransfer = nil, true
	}
	decision.Release, state.releasable = state.releasable, nil
	return decision
}

// superseded handles a dispatch that was cancelled because the call's stalled stream had an event.
func (s *Scheduler) superseded(now time.Time, state *CallState, sent dispatch) Decision {
	if !sent.countedAttempt {
		state.attempts++
	}
	if sent.source != nil {
		state.releasable = append(state.releasable, *sent.source)
		state.noTransfer = true
	}
	if state.stalled.backend == nil {
		return s.nextDispatch(now, state, "")
	}
	return s.continueStalled(now, state)
}

// finishStalled removes the call's stalled dispatch, if there is one, from its server's state.
func (s *Scheduler) finishStalled(now time.Time, state *CallState) {
	if state.stalled.backend == nil {
		return
	}
	s.finishDispatch(now, state, state.stalled, Outcome{Result: Interrupted})
	state.stalled = dispatch{}
}
