package scheduler

import "time"

// send notes a dispatch as under way and words the decision.
func (c *cycle) dispatch(kind DecisionKind, o candidate) Decision {
	state, b := c.state, o.backend
	now := c.now
	state.dispatch = dispatch{backend: b, kind: kind, sent: now, uncached: o.uncached, expected: span(o.ownLatency)}
	decision := Decision{Kind: kind, Server: b.server, Deadline: state.deadline, Priority: state.routeRule.calls.Rank}
	if len(state.releasable) > 0 {
		decision.Release, state.releasable = state.releasable, nil
	}
	sent := &state.dispatch
	b.idleConnections.take(now)
	if kind == Prefill {
		sent.tokens = state.call.PromptTokens
		c.countBacklog(b, sent.uncached)
		b.prefilling.Add(1)
		b.prefillProgress.start(now)
		b.prefillTokens.Add(int64(sent.uncached))
		decision.ResponseTimeout = c.responseTimeout(max(prefillTimeoutFactor*sent.expected, minPrefillTimeout))
	} else {
		c.scheduler.uncountBacklog(state)
		sent.tokens = state.tokens()
		if o.usesKV {
			sent.source, state.source = state.source, nil
		} else if state.source != nil {
			decision.Release = append(decision.Release, *state.source)
			state.source, state.noTransfer = nil, true
		}
		decision.Source = sent.source
		b.running.Add(1)
		b.firstEventProgress.start(now)
		if sent.source == nil {
			p := c.prefillRate / b.latency.factor(now)
			if b.decodesOnly() {
				p /= 2
			}
			b.addDirectPrefill(now, span(float64(sent.uncached)/p))
			c.serviceState.demand.addDirect(now, sent.uncached)
		}
		if state.idempotent() && !state.streamBegun && c.canGoOnElsewhere() {
			decision.ResponseTimeout = c.responseTimeout(max(generateTimeoutFactor*sent.expected, minGenerateTimeout))
		}
		decision.StreamTimeout = c.streamTimeout()
	}
	b.serverState.memory.Add(int64(sent.tokens))
	// What reads a prompt keeps it from now on, as far as the next calls go; memory that
	// is moved may not come.
	sent.memoryTotal, sent.cachedBefore = c.memoryTotal(b), b.prefixes.cachedTokens(state.call.Segments)
	if !o.usesKV {
		c.scheduler.cachePrefix(state, sent)
	}
	return decision
}

// settle takes a dispatch off the accounts.
func (t *CallState) settleDispatch(now time.Time, outcome Outcome, s *Scheduler) {
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

func finishProgress(p *progress, now time.Time, came bool) {
	if came {
		p.done(now)
	} else {
		p.cancel()
	}
}

// keeps notes that a server keeps a call's prompt.
func (s *Scheduler) cachePrefix(state *CallState, sent *dispatch) {
	sent.backend.prefixes.add(state.call.Segments, sent.memoryTotal, s.routerCount(), s.maxCachedSegments())
}

// maxCachedSegments bounds the parts remembered for each server.
func (s *Scheduler) maxCachedSegments() int {
	return max(minCachedSegments, maxCachedSegmentsTotal/max(1, len(s.snapshot.Load().all)))
}

const (
	minCachedSegments      = 64
	maxCachedSegmentsTotal = 40_000
)
