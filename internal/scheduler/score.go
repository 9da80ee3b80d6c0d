package scheduler

import "time"

// Assumptions about servers.
const (
	// transferSetup is the fixed time, in milliseconds, and transferTokensPerMillisecond the rate of
	// a KV cache transfer within a zone.
	transferSetup                = 4.0
	transferTokensPerMillisecond = 4000.0
	// maxMemoryShare is the share of a server's KV cache memory that may be filled.
	maxMemoryShare = 0.95
	// otherCallTokens is the assumed number of tokens that a server reads for a call of another
	// router.
	otherCallTokens = 1500.0
	// maxHealthyStall is how long, in milliseconds, a healthy server may go without progress.
	maxHealthyStall = 150
	// recentTransferSpan is how long after a server's last successful transfer the next one is
	// considered safe while other transfers fail.
	recentTransferSpan = time.Second
	// gapShare is the share of the allowed gap between two events that a prefill may use up; the
	// rest is the usual time between two events.
	gapShare = 0.6
	// defaultGap is the allowed gap if no route sets one.
	defaultGap = 200 * time.Millisecond
)

// scoreDirect scores a run at a server that reads the prompt itself; it returns false if the
// server may not take the call. A decode server is assumed to read prompts at half the rate, and
// meanwhile the tokens of its other calls stall. The cost of the stall is weights.stalledCall times
// the square of the ratio of the stall to gapBudget, for each call at the server and for the new call.
func (c *cycle) scoreDirect(b *backend) (candidate, bool) {
	if !c.hasCapacity(b, c.state.tokens()) {
		return candidate{}, false
	}
	uncached, reread := c.uncachedTokens(b)
	rate := c.prefillRate / b.latency.ratio(c.now)
	calls := c.callsAt(b)
	cost := c.endpointPenalty(b) + c.tieBreak(b)
	ahead := milliseconds(b.directPrefillLeft(c.now))
	if b.decodesOnly() {
		rate /= 2
		relativeStall := (ahead + uncached/rate) * c.decodeSlowdown / c.gapBudget()
		cost += relativeStall * relativeStall * c.weights.stalledCall * (1 + calls)
	}
	cost += c.weights.rereadPerThousand * reread / 1000
	latency := c.firstEventLatency + ahead + uncached/rate + c.queueTime(b, calls) + c.memoryWait(b, c.state.tokens())
	cost += latency
	return candidate{backend: b, cost: cost, latency: latency, ownLatency: latency, uncached: int(uncached)}, true
}

// scoreDecode scores a run with the KV cache of a prefill server, without the transfer; it returns
// false if the server may not take the call.
func (c *cycle) scoreDecode(b *backend) (candidate, bool) {
	if !c.hasCapacity(b, c.state.tokens()) {
		return candidate{}, false
	}
	calls := c.callsAt(b)
	latency := c.firstEventLatency + c.queueTime(b, calls) + c.memoryWait(b, c.state.tokens())
	cost := c.endpointPenalty(b) + c.tieBreak(b) + latency
	if b.kvReceiveHealth.failures.Load() >= repeatedFailures && b.kvReceiveHealth.ejected(c.now, 0) {
		cost += c.weights.unhealthy
	}
	if b != c.homeDecode {
		cost += c.weights.awayFromHomePerThousand * float64(c.sharedTokens) / 1000
	}
	return candidate{backend: b, cost: cost, latency: latency, ownLatency: latency}, true
}

// scorePrefill scores a prefill at a server, without the run after it; it returns false if the
// server may not take the call.
func (c *cycle) scorePrefill(b *backend) (candidate, bool) {
	call := c.state.call
	if !c.hasCapacity(b, call.PromptTokens) {
		return candidate{}, false
	}
	uncached, reread := c.uncachedTokens(b)
	rate := c.prefillRate / b.latency.ratio(c.now)
	ahead := c.tokensAhead(b)
	latency := prefillOverhead + (ahead+uncached)/rate + c.memoryWait(b, call.PromptTokens)
	cost := c.endpointPenalty(b) + c.tieBreak(b) + c.weights.extraRequest + c.transferRisk(b) + latency
	cost += c.weights.rereadPerThousand * reread / 1000
	if b.kvSendHealth.ejected(c.now, b.prefilling.Load()) {
		cost += c.weights.unhealthy
	}
	return candidate{backend: b, cost: cost, latency: latency, ownLatency: latency, uncached: int(uncached)}, true
}

// transferCost returns the cost and the latency of a KV cache transfer between two servers. Between
// zones the transfer takes twice as long, and transferPerThousand is multiplied by
// crossZoneTransferFactor. An unknown prefill server counts as being in another zone. Both results
// include expectedTransferDelay.
func (c *cycle) transferCost(prefillServer, decodeServer *backend) (cost, latency float64) {
	near := prefillServer != nil && prefillServer.server.Zone == decodeServer.server.Zone
	thousands := float64(c.state.call.PromptTokens) / 1000
	latency = transferSetup + thousands*1000/transferTokensPerMillisecond
	cost = latency + thousands*c.weights.transferPerThousand
	if !near {
		latency *= 2
		cost = latency + thousands*c.weights.transferPerThousand*c.weights.crossZoneTransferFactor
	}
	delay := expectedTransferDelay(c.now, prefillServer, decodeServer)
	return cost + delay, latency + delay
}

// transferRisk returns the cost of a prefill for a call with only one attempt left while KV cache
// transfers are failing: the call is lost if the transfer after the prefill fails, too. The cost is
// zero if the prefill server has transferred a KV cache successfully within recentTransferSpan.
func (c *cycle) transferRisk(prefillServer *backend) float64 {
	switch {
	case !c.transfersFailing,
		c.now.UnixNano()-prefillServer.kvSentAt.Load() < int64(recentTransferSpan),
		c.state.attempts+1 < c.state.routeRule.calls.MaxAttempts:
		return 0
	}
	return c.weights.lastAttempt
}

// endpointPenalty returns the part of the cost of work at a server that doesn't depend on the
// server's load: for another zone, failures, slow start, a new connection, a stall and stale load
// reports.
func (c *cycle) endpointPenalty(b *backend) float64 {
	cost := 0.0
	if b.server.Zone != c.scheduler.options.Zone {
		cost += c.weights.crossZonePerKilobyte * float64(c.state.call.Bytes) / 1024
	}
	if b.health.ejected(c.now, b.running.Load()+b.prefilling.Load()) {
		cost += c.weights.unhealthy
	} else if b.outlier(c.now) {
		cost += c.weights.outlier
	}
	if b.warming(c.now) {
		cost += c.weights.warming
	}
	if !b.idleConnections.available(c.now) {
		cost += c.weights.connection
	}
	cost += min(c.weights.stallPerMillisecond*c.stalledFor(b), c.weights.unhealthy)
	if b.stale(c.scheduler.latestReport.Load()) {
		cost += c.weights.unhealthy
	}
	return cost
}

// stalledFor returns for how many milliseconds longer than allowed a server has completed no prefill
// or, if first events are reported, begun no answer. Allowed are maxHealthyStall and, for a prefill,
// twice the expected duration of the prefills in flight or, for an answer, its expected time.
func (c *cycle) stalledFor(b *backend) float64 {
	over := b.prefillProgress.stalledFor(c.now) - 2*float64(b.prefillTokens.Load())/c.prefillRate - maxHealthyStall
	if c.scheduler.reportsFirstEvents.Load() {
		waited, reading := b.firstEventProgress.stalledFor(c.now), milliseconds(b.directPrefillLeft(c.now))
		over = max(over, waited-reading-c.firstEventLatency-maxHealthyStall)
	}
	return max(over, 0)
}

// queueTime returns the expected wait for a slot, in milliseconds, at a server with the given number
// of calls.
func (c *cycle) queueTime(b *backend, calls float64) float64 {
	slots := c.slots(b)
	if calls < slots {
		return 0
	}
	return (calls - slots + 1) / slots * milliseconds(c.serviceState.runDuration.mean())
}

// memoryWait returns the expected wait for KV cache memory, in milliseconds, of a call with the given
// number of tokens: the mean duration of a run if the memory doesn't suffice now, otherwise zero.
func (c *cycle) memoryWait(b *backend, tokens int) float64 {
	total := c.memoryTotal(b)
	if total == 0 {
		return 0
	}
	used := int(b.serverState.memory.Load())
	if known := b.lastLoad.Load(); known != nil {
		used = max(used, known.load.MemoryUsed)
	}
	if float64(used+tokens) <= maxMemoryShare*float64(total) {
		return 0
	}
	return milliseconds(c.serviceState.runDuration.mean())
}

// gapBudget returns for how many milliseconds a prefill may stall the tokens of other calls: gapShare
// of the shortest gap between events that a route to the service allows.
func (c *cycle) gapBudget() float64 {
	gap, found := c.routes.gaps[c.service.Name]
	if !found {
		gap = defaultGap
	}
	return milliseconds(gap) * gapShare
}

// tieBreak returns a small cost that differs between servers and between calls, so that routers which
// see the same loads do not all choose the same server.
func (c *cycle) tieBreak(b *backend) float64 {
	return float64(rendezvousWeight(b.key, c.state.key)%1024) / 1024 * c.weights.tieBreak
}

// uncachedTokens estimates how many of the call's prompt tokens a server would have to read, at
// least one, and how many of these belong to the shared prefix.
func (c *cycle) uncachedTokens(b *backend) (uncached, reread float64) {
	cached := max(float64(b.prefixes.cachedTokens(c.state.call.Segments)), c.homeLikelihood(b)*float64(c.sharedTokens))
	return max(float64(c.state.call.PromptTokens)-cached, 1), max(float64(c.sharedTokens)-cached, 0)
}
