package scheduler

import "time"

// What moving memory takes, in milliseconds and tokens a millisecond, and how much of a
// server's memory may be filled. The values are ours.
const (
	transferSetup                = 4.0
	transferTokensPerMillisecond = 4000.0
	memoryUsed                   = 0.95
	// otherCallTokens is how many tokens a call of other routers is taken to read.
	otherCallTokens = 1500.0
)

// direct weighs a run at a server that reads the prompt itself.
func (c *cycle) scoreDirect(b *backend) (candidate, bool) {
	if !c.hasCapacity(b, c.state.tokens()) {
		return candidate{}, false
	}
	unread, again := c.uncachedTokens(b)
	p := c.prefillRate / b.latency.factor(c.now)
	busy := c.callsAt(b)
	cost := c.endpointPenalty(b) + c.tieBreak(b)
	ahead := milliseconds(b.directPrefillLeft(c.now))
	if b.decodesOnly() {
		p /= 2
		held := (ahead + unread/p) * c.decodeStretch / c.gapBudget()
		cost += held * held * c.weights.gapHarm * (1 + busy)
	}
	cost += c.weights.rereadThousand * again / 1000
	time := c.firstEventLatency + ahead + unread/p + c.queueTime(b, busy) + c.memoryWait(b, c.state.tokens())
	cost += time
	return candidate{backend: b, cost: cost, latency: time, ownLatency: time, uncached: int(unread)}, true
}

// sourced weighs a run with memory that another server read, but for the move.
func (c *cycle) scoreDecode(b *backend) (candidate, bool) {
	if !c.hasCapacity(b, c.state.tokens()) {
		return candidate{}, false
	}
	busy := c.callsAt(b)
	time := c.firstEventLatency + c.queueTime(b, busy) + c.memoryWait(b, c.state.tokens())
	cost := c.endpointPenalty(b) + c.tieBreak(b) + time
	if b.kvReceiveHealth.failures.Load() >= repeatedFailures && b.kvReceiveHealth.ejected(c.now, 0) {
		cost += c.weights.unhealthy
	}
	if b != c.homeDecode {
		cost += c.weights.awayThousand * float64(c.sharedTokens) / 1000
	}
	return candidate{backend: b, cost: cost, latency: time, ownLatency: time}, true
}

// read weighs a read at a server.
func (c *cycle) scorePrefill(b *backend) (candidate, bool) {
	call := c.state.call
	if !c.hasCapacity(b, call.PromptTokens) {
		return candidate{}, false
	}
	unread, again := c.uncachedTokens(b)
	p := c.prefillRate / b.latency.factor(c.now)
	ahead := c.tokensAhead(b)
	time := prefillOverhead + (ahead+unread)/p + c.memoryWait(b, call.PromptTokens)
	cost := c.endpointPenalty(b) + c.tieBreak(b) + c.weights.extraRequest + c.transferRisk(b) + time
	cost += c.weights.rereadThousand * again / 1000
	if b.kvSendHealth.ejected(c.now, b.prefilling.Load()) {
		cost += c.weights.unhealthy
	}
	return candidate{backend: b, cost: cost, latency: time, ownLatency: time, uncached: int(unread)}, true
}

// move is what bringing the memory from a reader costs, and how long it takes.
func (c *cycle) transferCost(prefillServer, decodeServer *backend) (cost, time float64) {
	near := prefillServer != nil && prefillServer.server.Zone == decodeServer.server.Zone
	thousands := float64(c.state.call.PromptTokens) / 1000
	time = transferSetup + thousands*1000/transferTokensPerMillisecond
	cost = time + thousands*c.weights.transferThousand
	if !near {
		time *= 2
		cost = time + thousands*c.weights.transferThousand*c.weights.transferFar
	}
	late := expectedTransferDelay(c.now, prefillServer, decodeServer)
	return cost + late, time + late
}

// risk is that of a run that can't get the memory that was read for it: a call with one
// try is lost then.
func (c *cycle) transferRisk(prefillServer *backend) float64 {
	if !c.transfersFailing || c.now.UnixNano()-prefillServer.kvSentAt.Load() < int64(recentTransfer) || c.state.attempts+1 < c.state.routeRule.calls.Attempts {
		return 0
	}
	return c.weights.lastAttempt
}

// recentTransfer is how long a hand-over makes the next one likely while others fail.
const recentTransfer = time.Second

// burdens are costs that any work at a server has.
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

// stuck is how many milliseconds longer than is usual nothing has come from a server.
func (c *cycle) stalledFor(b *backend) float64 {
	over := b.prefillProgress.stalledFor(c.now) - 2*float64(b.prefillTokens.Load())/c.prefillRate - usualStall
	if c.scheduler.reportsFirstEvents.Load() {
		over = max(over, b.firstEventProgress.stalledFor(c.now)-milliseconds(b.directPrefillLeft(c.now))-c.firstEventLatency-usualStall)
	}
	return max(over, 0)
}

// usualStall is for how many milliseconds nothing may come from a server that is well.
const usualStall = 150

// queue is how long a call waits for a place, from how many calls there are.
func (c *cycle) queueTime(b *backend, busy float64) float64 {
	slots := c.slots(b)
	if busy < slots {
		return 0
	}
	return (busy - slots + 1) / slots * milliseconds(c.serviceState.runDuration.mean())
}

// tight is how long a call of so many tokens waits for memory.
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

// gapBudget is for how many milliseconds reading may hold up the tokens of others: a
// part of the shortest pause that a route to the service allows.
func (c *cycle) gapBudget() float64 {
	gap, found := c.routes.gaps[c.service.Name]
	if !found {
		gap = defaultGap
	}
	return milliseconds(gap) * gapShare
}

const (
	// gapShare leaves the rest of the pause to the usual time between two events.
	gapShare = 0.6
	// defaultGap is the pause where no route says one.
	defaultGap = 200 * time.Millisecond
)

// spread sets equal servers apart, for each call differently, so that routers that
// see the same do not all run to one.
func (c *cycle) tieBreak(b *backend) float64 {
	return float64(rendezvousWeight(b.key, c.state.key)%1024) / 1024 * c.weights.tieBreak
}

// unread is how many of the call's tokens a server would have to read, as far as is
// believed, and how many of them are shared.
func (c *cycle) uncachedTokens(b *backend) (unread, again float64) {
	keeps := max(float64(b.prefixes.cachedTokens(c.state.call.Segments)), c.homeLikelihood(b)*float64(c.sharedTokens))
	return max(float64(c.state.call.PromptTokens)-keeps, 1), max(float64(c.sharedTokens)-keeps, 0)
}
