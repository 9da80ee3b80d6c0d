package scheduler

import "time"

// dispatch counts a dispatch as in flight and words the decision.
func (c *cycle) dispatch(kind DecisionKind, best candidate) Decision {
	state, b, now := c.state, best.backend, c.now
	state.dispatch = dispatch{
		backend:  b,
		kind:     kind,
		sent:     now,
		uncached: best.uncached,
		expected: span(best.ownLatency),
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
	// A server that reads a prompt counts as having it cached from now on, for the next
	// calls; a KV cache that is transferred may not arrive, so that one counts when it did.
	sent.memoryTotal, sent.cachedBefore = c.memoryTotal(b), b.prefixes.cachedTokens(state.call.Segments)
	if !best.usesKV {
		c.scheduler.cachePrefix(state, sent)
	}
	return decision
}

func (c *cycle) startPrefill(sent *dispatch, decision *Decision) {
	b := sent.backend
	sent.tokens = c.state.call.PromptTokens
	c.countBacklog(b, sent.uncached)
	b.prefilling.Add(1)
	b.prefillProgress.start(c.now)
	b.prefillTokens.Add(int64(sent.uncached))
	decision.ResponseTimeout = c.responseTimeout(max(prefillTimeoutFactor*sent.expected, minPrefillTimeout))
}

// startGenerate takes the KV cache of the call's prefill if usesKV; otherwise one that is
// there is given back, since the server reads the prompt itself.
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
		rate := c.prefillRate / b.latency.factor(c.now)
		if b.decodesOnly() {
			rate /= 2
		}
		b.addDirectPrefill(c.now, span(float64(sent.uncached)/rate))
		c.serviceState.demand.addDirect(c.now, sent.uncached)
	}
	if state.idempotent() && !state.streamBegun && c.canGoOnElsewhere() {
		decision.ResponseTimeout = c.responseTimeout(max(generateTimeoutFactor*sent.expected, minGenerateTimeout))
	}
	decision.StreamTimeout = c.streamTimeout()
}

// finishDispatch takes the dispatch that ended out of its server's state.
func (t *CallState) finishDispatch(now time.Time, outcome Outcome, s *Scheduler) {
	sent := &t.dispatch
	b := sent.backend
	if sent.kind == Prefill {
		s.uncountBacklog(t)
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
	b.idleConnections.give(now, outcome.KeepAlive)
	if sent.source == nil && !sent.began && outcome.Result != Complete && outcome.Result != Interrupted {
		b.prefixes.forget(t.call.Segments, sent.cachedBefore)
	}
}

// finishProgress ends a wait of a server's progress.
func finishProgress(p *progress, now time.Time, responded bool) {
	if responded {
		p.done(now)
	} else {
		p.cancel()
	}
}

// cachePrefix counts a call's prompt as cached at the server of its dispatch.
func (s *Scheduler) cachePrefix(state *CallState, sent *dispatch) {
	sent.backend.prefixes.add(state.call.Segments, sent.memoryTotal, s.routerCount(), s.maxCachedSegments())
}

// minCachedSegments is the least bound for a server, maxCachedSegmentsTotal the bound for all
// servers together, which holds the router's memory down. The values are ours.
const (
	minCachedSegments      = 64
	maxCachedSegmentsTotal = 40_000
)

// maxCachedSegments bounds the segments remembered for each server.
func (s *Scheduler) maxCachedSegments() int {
	return max(minCachedSegments, maxCachedSegmentsTotal/max(1, len(s.snapshot.Load().all)))
}
