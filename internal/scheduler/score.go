package scheduler

import "time"

// What the scores assume of servers. The values are ours.
const (
	// transferSetup (milliseconds) and transferTokensPerMillisecond are what a KV cache
	// transfer inside a zone takes.
	transferSetup                = 4.0
	transferTokensPerMillisecond = 4000.0
	// memoryUsed is the part of a server's KV cache memory that may be filled.
	memoryUsed = 0.95
	// otherCallTokens is how many tokens a call of another router is taken to read.
	otherCallTokens = 1500.0
	// usualStall is for how many milliseconds a healthy server may produce nothing.
	usualStall = 150
	// recentTransfer is for how long after a server's last successful transfer the next
	// one is trusted while others fail.
	recentTransfer = time.Second
	// gapShare is the part of the allowed gap between two events that a prefill may use;
	// the rest is the usual time between them.
	gapShare = 0.6
	// defaultGap is the gap where no route says one.
	defaultGap = 200 * time.Millisecond
)

// scoreDirect scores a run at a server that reads the prompt itself; false if it may not take
// the call. On a decode server the read stalls the other calls' tokens, which costs the square
// of the stall relative to gapBudget, for each call there.
func (c *cycle) scoreDirect(b *backend) (candidate, bool) {
	if !c.hasCapacity(b, c.state.tokens()) {
		return candidate{}, false
	}
	uncached, reread := c.uncachedTokens(b)
	rate := c.prefillRate / b.latency.factor(c.now)
	busy := c.callsAt(b)
	cost := c.endpointPenalty(b) + c.tieBreak(b)
	ahead := milliseconds(b.directPrefillLeft(c.now))
	if b.decodesOnly() {
		rate /= 2
		hold := (ahead + uncached/rate) * c.decodeStretch / c.gapBudget()
		cost += hold * hold * c.weights.gapHarm * (1 + busy)
	}
	cost += c.weights.rereadThousand * reread / 1000
	latency := c.firstEventLatency + ahead + uncached/rate + c.queueTime(b, busy) + c.memoryWait(b, c.state.tokens())
	cost += latency
	return candidate{backend: b, cost: cost, latency: latency, ownLatency: latency, uncached: int(uncached)}, true
}

// scoreDecode scores a run with the KV cache of a prefill server, without the transfer; false
// if the server may not take the call.
func (c *cycle) scoreDecode(b *backend) (candidate, bool) {
	if !c.hasCapacity(b, c.state.tokens()) {
		return candidate{}, false
	}
	busy := c.callsAt(b)
	latency := c.firstEventLatency + c.queueTime(b, busy) + c.memoryWait(b, c.state.tokens())
	cost := c.endpointPenalty(b) + c.tieBreak(b) + latency
	if b.kvReceiveHealth.failures.Load() >= repeatedFailures && b.kvReceiveHealth.ejected(c.now, 0) {
		cost += c.weights.unhealthy
	}
	if b != c.homeDecode {
		cost += c.weights.awayThousand * float64(c.sharedTokens) / 1000
	}
	return candidate{backend: b, cost: cost, latency: latency, ownLatency: latency}, true
}

// scorePrefill scores a prefill at a server, without the run after it; false if the server may
// not take the call.
func (c *cycle) scorePrefill(b *backend) (candidate, bool) {
	call := c.state.call
	if !c.hasCapacity(b, call.PromptTokens) {
		return candidate{}, false
	}
	uncached, reread := c.uncachedTokens(b)
	rate := c.prefillRate / b.latency.factor(c.now)
	ahead := c.tokensAhead(b)
	latency := prefillOverhead + (ahead+uncached)/rate + c.memoryWait(b, call.PromptTokens)
	cost := c.endpointPenalty(b) + c.tieBreak(b) + c.weights.extraRequest + c.transferRisk(b) + latency
	cost += c.weights.rereadThousand * reread / 1000
	if b.kvSendHealth.ejected(c.now, b.prefilling.Load()) {
		cost += c.weights.unhealthy
	}
	return candidate{backend: b, cost: cost, latency: latency, ownLatency: latency, uncached: int(uncached)}, true
}

// transferCost is what a KV cache transfer between two servers costs and how long it takes.
// Between zones it takes twice as long. An unknown prefill server counts as far.
func (c *cycle) transferCost(prefillServer, decodeServer *backend) (cost, latency float64) {
	near := prefillServer != nil && prefillServer.server.Zone == decodeServer.server.Zone
	thousands := float64(c.state.call.PromptTokens) / 1000
	latency = transferSetup + thousands*1000/transferTokensPerMillisecond
	cost = latency + thousands*c.weights.transferThousand
	if !near {
		latency *= 2
		cost = latency + thousands*c.weights.transferThousand*c.weights.transferFar
	}
	delay := expectedTransferDelay(c.now, prefillServer, decodeServer)
	return cost + delay, latency + delay
}

// transferRisk is the cost of a transfer that may fail while transfers do: a call with only
// one attempt left is lost then. A server that handed a KV cache over lately has none.
func (c *cycle) transferRisk(prefillServer *backend) float64 {
	switch {
	case !c.transfersFailing,
		c.now.UnixNano()-prefillServer.kvSentAt.Load() < int64(recentTransfer),
		c.state.attempts+1 < c.state.routeRule.calls.MaxAttempts:
		return 0
	}
	return c.weights.lastAttempt
}

// endpointPenalty is the cost of any work at a server, whatever its load: another zone, bad
// health, warming, no idle connection, a stall, a stale report.
func (c *cycle) endpointPenalty(b *backend) float64 {
	cost := 0.0
	if b.server.Zone != c.scheduler.options.Zone {
		cost += c.weights.crossingKilobyte * float64(c.state.call.Bytes) / 1024
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
	cost += min(c.weights.stalled*c.stalledFor(b), c.weights.unhealthy)
	if b.stale(c.scheduler.latestReport.Load()) {
		cost += c.weights.unhealthy
	}
	return cost
}

// stalledFor is for how many milliseconds more than usual a server has finished no prefill
// and, where first events are reported, begun no answer.
func (c *cycle) stalledFor(b *backend) float64 {
	over := b.prefillProgress.stalledFor(c.now) - 2*float64(b.prefillTokens.Load())/c.prefillRate - usualStall
	if c.scheduler.reportsFirstEvents.Load() {
		waited, reading := b.firstEventProgress.stalledFor(c.now), milliseconds(b.directPrefillLeft(c.now))
		over = max(over, waited-reading-c.firstEventLatency-usualStall)
	}
	return max(over, 0)
}

// queueTime is how many milliseconds a call waits for a slot at a server with so many calls.
func (c *cycle) queueTime(b *backend, busy float64) float64 {
	slots := c.slots(b)
	if busy < slots {
		return 0
	}
	return (busy - slots + 1) / slots * milliseconds(c.serviceState.runDuration.mean())
}

// memoryWait is how many milliseconds a call of so many tokens waits for KV cache memory.
func (c *cycle) memoryWait(b *backend, tokens int) float64 {
	total := c.memoryTotal(b)
	if total == 0 {
		return 0
	}
	used := int(b.serverState.memory.Load())
	if h := b.lastLoad.Load(); h != nil {
		used = max(used, h.load.MemoryUsed)
	}
	if float64(used+tokens) <= memoryUsed*float64(total) {
		return 0
	}
	return milliseconds(c.serviceState.runDuration.mean())
}

// gapBudget is for how many milliseconds a prefill may stall the tokens of other calls: a
// part of the shortest gap between events that a route to the service allows.
func (c *cycle) gapBudget() float64 {
	gap, found := c.routes.gaps[c.service.Name]
	if !found {
		gap = defaultGap
	}
	return milliseconds(gap) * gapShare
}

// tieBreak sets equal servers apart, differently for each call, so that routers that see the
// same loads do not all choose the same server.
func (c *cycle) tieBreak(b *backend) float64 {
	return float64(rendezvousWeight(b.key, c.state.key)%1024) / 1024 * c.weights.tieBreak
}

// uncachedTokens estimates how many of the call's prompt tokens a server would have to read,
// at least one, and how many of them belong to the shared prefix.
func (c *cycle) uncachedTokens(b *backend) (uncached, reread float64) {
	cached := max(float64(b.prefixes.cachedTokens(c.state.call.Segments)), c.homeLikelihood(b)*float64(c.sharedTokens))
	return max(float64(c.state.call.PromptTokens)-cached, 1), max(float64(c.sharedTokens)-cached, 0)
}
