package scheduler

import (
	"math"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// choice finds the server for a call's next dispatch. Costs and times are in
// milliseconds; what is priced otherwise is turned into them.
type cycle struct {
	scheduler    *Scheduler
	weights      weights
	routes       *RouteTable
	now          time.Time
	state        *CallState
	service      *config.Service
	serviceState *serviceState
	backends     []*backend
	routerCount  int

	chain                                uint64
	homePrefill, nextPrefill, homeDecode *backend
	sharedTokens                         int
	prefillRate                          float64
	// held is how much longer runners read than by this router's own, begin how long
	// a run takes to its first event, lapsing that hand-overs failed.
	decodeStretch, firstEventLatency float64
	transfersFailing                 bool
	// free is how much of the places there is not taken, from 0 to 1.
	freeShare float64
	// soonest is when a place may be had, if none is now.
	soonestFree float64
	// excludeWarming leaves cold servers out, after another thread was first.
	excludeWarming bool
}

// offer is one way that a call may go on.
type candidate struct {
	backend *backend
	cost    float64
	// time is when the first event of the answer is expected, own how long the
	// dispatch itself takes.
	latency    float64
	ownLatency float64
	uncached   int
	// sourced tells that a run takes the memory that was read for it.
	usesKV bool
}

// What moving memory takes, in milliseconds and tokens a millisecond, and how much of a
// server's memory may be filled. The values are ours.
const (
	transferSetup                = 4.0
	transferTokensPerMillisecond = 4000.0
	memoryUsed                   = 0.95
	// otherCallTokens is how many tokens a call of other routers is taken to read.
	otherCallTokens = 1500.0
)

func (w *Scheduler) newCycle(now time.Time, state *CallState) *cycle {
	program := w.routes.Load()
	w.warmReturnedZones(now)
	service := state.service
	if current, found := program.services[service.Name]; found {
		service = current
	}
	s := w.serviceState(service.Name)
	c := &cycle{scheduler: w, weights: w.weights, routes: program, now: now, state: state, service: service, serviceState: s,
		backends: w.snapshot.Load().serving(service.Name), routerCount: w.routerCount(),
		chain: state.call.chainKey(), sharedTokens: state.call.sharedTokens(), prefillRate: s.prefillRate.tokensPerMillisecond(), soonestFree: math.Inf(1)}
	c.firstEventLatency = s.firstEvent.milliseconds()
	c.measureDirectPrefill()
	return c
}

// crowd weighs what runners are given to read by all routers, as this one does it.
func (c *cycle) measureDirectPrefill() {
	tokens, lapsing := c.serviceState.demand.directRate(c.now)
	c.transfersFailing = lapsing
	decodeServers := 0
	for _, b := range c.backends {
		if b.decodesOnly() {
			decodeServers++
		}
	}
	used := tokens * float64(c.routerCount) / float64(max(decodeServers, 1)) / (c.prefillRate * 1000 / 2)
	c.decodeStretch = 1 / (1 - min(used, maxDecodePrefill))
}

// maxDecodePrefill is the part of its time that a runner is at most taken to read.
const maxDecodePrefill = 0.8

// open tells whether work of the call may be sent to a server at all.
func (c *cycle) eligible(b *backend) bool {
	return !c.state.avoids(b) && !b.server.Leaving && !b.changingRole() && !b.roleChangePending(c.now) && !c.routes.evacuations[b.server.Zone] &&
		c.state.routeRule.allowsZone(b.server.Zone) && b.hasModel(c.state.call.Model)
}

// now there are room and leave for one more call at a server: cold ones take few.
func (c *cycle) hasCapacity(b *backend, tokens int) bool {
	if total := c.memoryTotal(b); total > 0 && tokens > total {
		return false
	}
	if b.warming(c.now) {
		rate, takes := c.warmingRate(b)
		if !takes || c.excludeWarming || !b.rateLimit.ready(c.now, rate) {
			c.soonestFree = min(c.soonestFree, 1000/max(rate, 0.5))
			return false
		}
	}
	return true
}

// warmingRate is this router's part of what a cold server stands. Of many routers only
// some send to the same one.
func (c *cycle) warmingRate(b *backend) (rate float64, takes bool) {
	perSecond := c.service.Warming.PerSecond
	if perSecond <= 0 {
		return 1, true
	}
	if c.routerCount <= fewRouters {
		return perSecond * warmingShare / float64(c.routerCount), true
	}
	own := rendezvousWeight(nameKey(c.scheduler.options.Router), b.key) % uint64(c.routerCount)
	return perSecond * warmingShare / fewRouters, own < chosenRouters
}

const (
	fewRouters    = 6
	chosenRouters = 3
	warmingShare  = 0.8
)

// memory is how many tokens a server holds; zero if nobody said.
func (c *cycle) memoryTotal(b *backend) int {
	if h := b.lastLoad.Load(); h != nil && h.load.MemoryTotal > 0 {
		return h.load.MemoryTotal
	}
	return c.service.Engine.MemoryTokens
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

func (c *cycle) slots(b *backend) float64 {
	switch {
	case b.server.Slots > 0:
		return float64(b.server.Slots)
	case c.service.Engine.Slots > 0:
		return float64(c.service.Engine.Slots)
	}
	return defaultSlots
}

const defaultSlots = 16

// busy is how many calls a server has.
func (c *cycle) callsAt(b *backend) float64 {
	return b.otherCalls() + float64(b.running.Load()+b.prefilling.Load())
}

// queue is how long a call waits for a place, from how many calls there are.
func (c *cycle) queueTime(b *backend, busy float64) float64 {
	slots := c.slots(b)
	if busy < slots {
		return 0
	}
	return (busy - slots + 1) / slots * milliseconds(c.serviceState.runDuration.mean())
}

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

// usualStall is for how many milliseconds nothing may come from a server that is well.
const usualStall = 150

// spread sets equal servers apart, for each call differently, so that routers that
// see the same do not all run to one.
func (c *cycle) tieBreak(b *backend) float64 {
	return float64(rendezvousWeight(b.key, c.state.key)%1024) / 1024 * c.weights.tieBreak
}

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

// homes are the servers that rendezvous names for the call's chain, the same at every
// router: two readers, and the runner beside the first of them.
func (c *cycle) findHomes() {
	var prefillServerWeight, nextWeight, farWeight uint64
	var decodeServers [maxZones]*backend
	var weights [maxZones]uint64
	var far *backend
	c.homePrefill, c.nextPrefill, c.homeDecode = nil, nil, nil
	for _, b := range c.backends {
		if !c.eligible(b) {
			continue
		}
		weight := rendezvousWeight(c.chain, b.key)
		if b.prefills() {
			switch {
			case c.homePrefill == nil || weight > prefillServerWeight:
				c.nextPrefill, nextWeight = c.homePrefill, prefillServerWeight
				c.homePrefill, prefillServerWeight = b, weight
			case c.nextPrefill == nil || weight > nextWeight:
				c.nextPrefill, nextWeight = b, weight
			}
			continue
		}
		if far == nil || weight > farWeight {
			far, farWeight = b, weight
		}
		if place := b.zoneIndex % maxZones; decodeServers[place] == nil || weight > weights[place] {
			decodeServers[place], weights[place] = b, weight
		}
	}
	c.homeDecode = far
	if c.homePrefill != nil {
		if near := decodeServers[c.homePrefill.zoneIndex%maxZones]; near != nil {
			c.homeDecode = near
		}
	}
}

// belief is how surely a server keeps the call's shared parts by the home rule.
func (c *cycle) homeLikelihood(b *backend) float64 {
	switch {
	case b == c.homePrefill:
		return c.weights.homePrefill
	case b == c.nextPrefill:
		return c.weights.nextPrefill
	case b == c.homeDecode:
		return c.weights.homeDecode
	}
	return 0
}

// unread is how many of the call's tokens a server would have to read, as far as is
// believed, and how many of them are shared.
func (c *cycle) uncachedTokens(b *backend) (unread, again float64) {
	keeps := max(float64(b.prefixes.cachedTokens(c.state.call.Segments)), c.homeLikelihood(b)*float64(c.sharedTokens))
	return max(float64(c.state.call.PromptTokens)-keeps, 1), max(float64(c.sharedTokens)-keeps, 0)
}

// find is the best way that may be gone now: a call to a cold server is counted before
// it is sent.
func (c *cycle) pickAdmitted(way func() (DecisionKind, candidate, bool)) (DecisionKind, candidate, bool) {
	for {
		kind, best, found := way()
		if !found || !best.backend.warming(c.now) {
			return kind, best, found
		}
		if rate, _ := c.warmingRate(best.backend); best.backend.rateLimit.take(c.now, rate) {
			return kind, best, found
		}
		c.excludeWarming = true
	}
}

// cheapest finds the way with the lowest cost: a read, or a run. mayRead says whether the
// call may still be read elsewhere.
func (c *cycle) pickCheapest(mayRead bool) (kind DecisionKind, best candidate, found bool) {
	var near [maxZones]candidate
	var farthest candidate
	places, taken := 0.0, 0.0
	anyRun := false
	c.findHomes()
	for _, b := range c.backends {
		if !b.generates() || !c.eligible(b) {
			continue
		}
		places += c.slots(b)
		taken += min(c.callsAt(b), c.slots(b))
		if offered, may := c.scoreDirect(b); may && (!found || offered.cost < best.cost) {
			kind, best, found = Generate, offered, true
		}
		if !mayRead {
			continue
		}
		if offered, may := c.scoreDecode(b); may {
			if !anyRun || offered.cost < farthest.cost {
				farthest, anyRun = offered, true
			}
			if slot := &near[b.zoneIndex%maxZones]; slot.backend == nil || offered.cost < slot.cost {
				*slot = offered
			}
		}
	}
	if places > 0 {
		c.freeShare = 1 - taken/places
	}
	if !mayRead || !anyRun {
		return kind, best, found
	}
	for _, ba := range c.backends {
		if !ba.prefills() || !c.eligible(ba) {
			continue
		}
		offered, may := c.scorePrefill(ba)
		if !may {
			continue
		}
		moveCost, moveTime := c.transferCost(ba, farthest.backend)
		cost, time := farthest.cost+moveCost, farthest.latency+moveTime
		if decodeServer := near[ba.zoneIndex%maxZones]; decodeServer.backend != nil && decodeServer.backend.zoneIndex == ba.zoneIndex {
			moveCost, moveTime = c.transferCost(ba, decodeServer.backend)
			if sum := decodeServer.cost + moveCost; sum < cost {
				cost, time = sum, decodeServer.latency+moveTime
			}
		}
		offered.cost += cost
		offered.latency += time
		if !found || offered.cost < best.cost {
			kind, best, found = Prefill, offered, true
		}
	}
	return kind, best, found
}

const maxZones = 16

// runner finds the server that makes the answer from memory that a reader has, or one
// that reads the prompt itself because that is much better.
func (c *cycle) pickDecode(prefillServer *backend) (kind DecisionKind, best candidate, found bool) {
	c.findHomes()
	for _, b := range c.backends {
		if !b.decodesOnly() || !c.eligible(b) {
			continue
		}
		if offered, may := c.scoreDecode(b); may {
			cost, time := c.transferCost(prefillServer, b)
			offered.cost += cost
			offered.latency += time
			offered.ownLatency = offered.latency
			offered.usesKV = true
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
		if offered, may := c.scoreDirect(b); may {
			offered.cost += c.weights.wastedThousand * float64(c.state.call.PromptTokens) / 1000
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
	}
	return Generate, best, found
}
