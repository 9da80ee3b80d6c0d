package scheduler

import "time"

// dispatch counts a dispatch as in flight and returns the decision to send it.
func (c *cycle) dispatch(kind DecisionKind, best candidate) Decision {
	state, b, now := c.state, best.backend, c.now
	state.dispatch = dispatch{
		backend:  b,
		kind:     kind,
		sent:     now,
		uncached: best.uncached,
		expected: fromMilliseconds(best.ownLatency),
	}
	decision := Decision{
		Kind:     kind,
		Server:   b.server,
		Deadline: state.deadline,
		Priority: state.priority(),
		Tenant:   state.tenantHeader(),
	}
	if len(state.releasable) > 0 {
		decision.Release, state.releasable = state.releasable, nil
	}
	sent := &state.dispatch
	b.idleConnections.take(now)
	c.scheduler.warmingCounts.countDispatch(now, b)
	if kind == Prefill {
		c.startPrefill(sent, &decision)
	} else {
		c.startGenerate(sent, &decision, best.usesKV)
	}
	b.serverState.memory.Add(int64(sent.tokens))
	// A server that reads a prompt counts as having the prompt cached from now on. A KV cache
	// transfer may fail, so that a transferred prompt is added only after the transfer.
	sent.memoryTotal, sent.cachedBefore = c.memoryTotal(b), b.prefixes.cachedTokens(state.call.Segments)
	if !best.usesKV {
		c.scheduler.cachePrefix(state, sent)
	}
	return decision
}

// startPrefill counts a prefill as in flight.
func (c *cycle) startPrefill(sent *dispatch, decision *Decision) {
	b := sent.backend
	sent.tokens = c.state.call.PromptTokens
	c.countBacklog(b, sent.uncached)
	b.prefilling.Add(1)
	b.prefillProgress.start(c.now)
	b.prefillTokens.Add(int64(sent.uncached))
	decision.ResponseTimeout = c.responseTimeout(max(prefillTimeoutFactor*sent.expected, minPrefillTimeout))
}

// startGenerate counts a run as in flight. If usesKV is set, the run uses the KV cache of the
// call's prefill. Otherwise the server reads the prompt itself, and the KV cache of an earlier prefill
// of the call, if there is one, is released.
func (c *cycle) startGenerate(sent *dispatch, decision *Decision, usesKV bool) {
	state, b := c.state, sent.backend
	c.scheduler.uncountBacklog(state)
	sent.tokens = state.tokens()
	if usesKV {
		sent.source, state.source = state.source, nil
	} else if state.source != nil {
		decision.Release = append(decision.Release, *state.source)
		state.source, state.noTransfer = nil, true
	}
	decision.Source = sent.source
	b.running.Add(1)
	b.firstEventProgress.start(c.now)
	if sent.source == nil {
		rate := c.prefillRate / b.latency.ratio(c.now)
		if b.decodesOnly() {
			rate /= 2
		}
		b.addDirectPrefill(c.now, fromMilliseconds(float64(sent.uncached)/rate))
		c.serviceState.demand.addDirect(c.now, sent.uncached)
	}
	if state.idempotent() && !state.streamBegun && c.canResumeElsewhere() {
		decision.ResponseTimeout = c.responseTimeout(max(generateTimeoutFactor*sent.expected, minGenerateTimeout))
	}
	decision.StreamTimeout = c.streamTimeout()
}

// finishDispatch removes an ended dispatch of the call from its server's state.
func (s *Scheduler) finishDispatch(now time.Time, state *CallState, sent dispatch, outcome Outcome) {
	b := sent.backend
	if sent.kind == Prefill {
		s.uncountBacklog(state)
		b.prefilling.Add(-1)
		b.prefillTokens.Add(-int64(sent.uncached))
		finishProgress(&b.prefillProgress, now, outcome.serverResponded())
	} else {
		b.running.Add(-1)
		if !sent.began {
			finishProgress(&b.firstEventProgress, now, outcome.serverResponded())
		}
	}
	b.serverState.memory.Add(-int64(sent.tokens))
	b.idleConnections.putBack(now, outcome.KeepAlive)
	if sent.source == nil && !sent.began && outcome.Result != Complete && outcome.Result != Interrupted {
		b.prefixes.forget(state.call.Segments, sent.cachedBefore)
	}
}

// finishProgress ends the wait for one item of a server's work. If the server has responded, the item
// counts as progress of the server.
func finishProgress(p *progress, now time.Time, responded bool) {
	if responded {
		p.done(now)
	} else {
		p.cancel()
	}
}

// cachePrefix adds a call's prompt to the prefix cache model of its dispatch's server.
func (s *Scheduler) cachePrefix(state *CallState, sent *dispatch) {
	sent.backend.prefixes.add(state.call.Segments, sent.memoryTotal, s.routerCount(), s.maxCachedSegments())
}

// Bounds on the segments in the prefix cache models, which limit the router's memory.
const (
	// minCachedSegments is the smallest bound for one server.
	minCachedSegments = 64
	// maxCachedSegmentsTotal is the bound for all servers together, as long as it gives each of
	// them minCachedSegments.
	maxCachedSegmentsTotal = 40_000
)

// maxCachedSegments returns the maximum number of segments in the prefix cache model of each server.
func (s *Scheduler) maxCachedSegments() int {
	return max(minCachedSegments, maxCachedSegmentsTotal/max(1, len(s.snapshot.Load().all)))
}
