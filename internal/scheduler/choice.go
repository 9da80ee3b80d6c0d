package scheduler

import (
	"math"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// choice finds the server for a call's next dispatch. Costs and times are in
// milliseconds; what is priced otherwise is turned into them.
type choice struct {
	window       *Scheduler
	costs        costs
	program      *RouteTable
	now          time.Time
	ticket       *CallState
	service      *config.Service
	serviceState *serviceState
	backends     []*backend
	routerCount  int

	chain                      uint64
	home, nextHome, runnerHome *backend
	shared                     int
	pace                       float64
	// held is how much longer runners read than by this router's own, begin how long
	// a run takes to its first event, lapsing that hand-overs failed.
	held, begin float64
	lapsing     bool
	// free is how much of the places there is not taken, from 0 to 1.
	free float64
	// soonest is when a place may be had, if none is now.
	soonest float64
	// warmOnly leaves cold servers out, after another thread was first.
	warmOnly bool
}

// offer is one way that a call may go on.
type offer struct {
	backend *backend
	cost    float64
	// time is when the first event of the answer is expected, own how long the
	// dispatch itself takes.
	time   float64
	own    float64
	unread int
	// sourced tells that a run takes the memory that was read for it.
	sourced bool
}

// What moving memory takes, in milliseconds and tokens a millisecond, and how much of a
// server's memory may be filled. The values are ours.
const (
	moveSetup  = 4.0
	moveTokens = 4000.0
	memoryUsed = 0.95
	// othersRead is how many tokens a call of other routers is taken to read.
	othersRead = 1500.0
)

func (w *Scheduler) weighing(now time.Time, ticket *CallState) *choice {
	program := w.program.Load()
	w.cool(now)
	service := ticket.service
	if current, found := program.services[service.Name]; found {
		service = current
	}
	s := w.serviceState(service.Name)
	c := &choice{window: w, costs: w.costs, program: program, now: now, ticket: ticket, service: service, serviceState: s,
		backends: w.board.Load().of(service.Name), routerCount: w.routerCount(),
		chain: ticket.call.chain(), shared: ticket.call.shared(), pace: s.pace.tokens(), soonest: math.Inf(1)}
	c.begin = s.begin.milliseconds()
	c.crowd()
	return c
}

// crowd weighs what runners are given to read by all routers, as this one does it.
func (c *choice) crowd() {
	tokens, lapsing := c.serviceState.pressure.directly(c.now)
	c.lapsing = lapsing
	runners := 0
	for _, b := range c.backends {
		if b.splits() {
			runners++
		}
	}
	used := tokens * float64(c.routerCount) / float64(max(runners, 1)) / (c.pace * 1000 / 2)
	c.held = 1 / (1 - min(used, mostHeld))
}

// mostHeld is the part of its time that a runner is at most taken to read.
const mostHeld = 0.8

// open tells whether work of the call may be sent to a server at all.
func (c *choice) open(b *backend) bool {
	return !c.ticket.avoids(b) && !b.server.Leaving && !b.changing() && !b.expectedToChange(c.now) && !c.program.evacuations[b.server.Zone] &&
		c.ticket.routeRule.allows(b.server.Zone) && b.has(c.ticket.call.Model)
}

// now there are room and leave for one more call at a server: cold ones take few.
func (c *choice) admits(b *backend, tokens int) bool {
	if total := c.memory(b); total > 0 && tokens > total {
		return false
	}
	if b.cold(c.now) {
		rate, takes := c.coldRate(b)
		if !takes || c.warmOnly || !b.rateLimit.ready(c.now, rate) {
			c.soonest = min(c.soonest, 1000/max(rate, 0.5))
			return false
		}
	}
	return true
}

// coldRate is this router's part of what a cold server stands. Of many routers only
// some send to the same one.
func (c *choice) coldRate(b *backend) (rate float64, takes bool) {
	perSecond := c.service.Warming.PerSecond
	if perSecond <= 0 {
		return 1, true
	}
	if c.routerCount <= fewRouters {
		return perSecond * coldUsed / float64(c.routerCount), true
	}
	own := weigh(nameKey(c.window.options.Router), b.key) % uint64(c.routerCount)
	return perSecond * coldUsed / fewRouters, own < chosenRouters
}

const (
	fewRouters    = 6
	chosenRouters = 3
	coldUsed      = 0.8
)

// memory is how many tokens a server holds; zero if nobody said.
func (c *choice) memory(b *backend) int {
	if h := b.heard.Load(); h != nil && h.load.MemoryTotal > 0 {
		return h.load.MemoryTotal
	}
	return c.service.Engine.MemoryTokens
}

// tight is how long a call of so many tokens waits for memory.
func (c *choice) tight(b *backend, tokens int) float64 {
	total := c.memory(b)
	if total == 0 {
		return 0
	}
	used := int(b.account.memory.Load())
	if h := b.heard.Load(); h != nil {
		used = max(used, h.load.MemoryUsed)
	}
	if float64(used+tokens) <= memoryUsed*float64(total) {
		return 0
	}
	return milliseconds(c.serviceState.runs.mean())
}

func (c *choice) slots(b *backend) float64 {
	switch {
	case b.server.Slots > 0:
		return float64(b.server.Slots)
	case c.service.Engine.Slots > 0:
		return float64(c.service.Engine.Slots)
	}
	return unknownSlots
}

const unknownSlots = 16

// busy is how many calls a server has.
func (c *choice) busy(b *backend) float64 {
	return b.others() + float64(b.running.Load()+b.reading.Load())
}

// queue is how long a call waits for a place, from how many calls there are.
func (c *choice) queue(b *backend, busy float64) float64 {
	slots := c.slots(b)
	if busy < slots {
		return 0
	}
	return (busy - slots + 1) / slots * milliseconds(c.serviceState.runs.mean())
}

// burdens are costs that any work at a server has.
func (c *choice) burdens(b *backend) float64 {
	cost := 0.0
	if b.server.Zone != c.window.options.Zone {
		cost += c.costs.crossingKilobyte * float64(c.ticket.call.Bytes) / 1024
	}
	if b.trust.doubted(c.now, b.running.Load()+b.reading.Load()) {
		cost += c.costs.distrust
	} else if b.outlier(c.now) {
		cost += c.costs.outlier
	}
	if b.cold(c.now) {
		cost += c.costs.cold
	}
	if !b.idle.available(c.now) {
		cost += c.costs.connection
	}
	cost += min(c.costs.stuck*c.stuck(b), c.costs.distrust)
	if b.silent(c.window.reported.Load()) {
		cost += c.costs.distrust
	}
	return cost
}

// stuck is how many milliseconds longer than is usual nothing has come from a server.
func (c *choice) stuck(b *backend) float64 {
	over := b.readings.stuck(c.now) - 2*float64(b.readingTokens.Load())/c.pace - usualStuck
	if c.window.tells.Load() {
		over = max(over, b.begins.stuck(c.now)-milliseconds(b.queued(c.now))-c.begin-usualStuck)
	}
	return max(over, 0)
}

// pauseRoom is for how many milliseconds reading may hold up the tokens of others: a
// part of the shortest pause that a route to the service allows.
func (c *choice) pauseRoom() float64 {
	gap, found := c.program.gaps[c.service.Name]
	if !found {
		gap = unsaidGap
	}
	return milliseconds(gap) * pauseShare
}

const (
	// pauseShare leaves the rest of the pause to the usual time between two events.
	pauseShare = 0.6
	// unsaidGap is the pause where no route says one.
	unsaidGap = 200 * time.Millisecond
)

// usualStuck is for how many milliseconds nothing may come from a server that is well.
const usualStuck = 150

// spread sets equal servers apart, for each call differently, so that routers that
// see the same do not all run to one.
func (c *choice) spread(b *backend) float64 {
	return float64(weigh(b.key, c.ticket.mark)%1024) / 1024 * c.costs.spread
}

// direct weighs a run at a server that reads the prompt itself.
func (c *choice) direct(b *backend) (offer, bool) {
	if !c.admits(b, c.ticket.tokens()) {
		return offer{}, false
	}
	unread, again := c.unread(b)
	p := c.pace / b.slow.factor(c.now)
	busy := c.busy(b)
	cost := c.burdens(b) + c.spread(b)
	ahead := milliseconds(b.queued(c.now))
	if b.splits() {
		p /= 2
		held := (ahead + unread/p) * c.held / c.pauseRoom()
		cost += held * held * c.costs.pauseHarm * (1 + busy)
	}
	cost += c.costs.again * again / 1000
	time := c.begin + ahead + unread/p + c.queue(b, busy) + c.tight(b, c.ticket.tokens())
	cost += time
	return offer{backend: b, cost: cost, time: time, own: time, unread: int(unread)}, true
}

// sourced weighs a run with memory that another server read, but for the move.
func (c *choice) sourced(b *backend) (offer, bool) {
	if !c.admits(b, c.ticket.tokens()) {
		return offer{}, false
	}
	busy := c.busy(b)
	time := c.begin + c.queue(b, busy) + c.tight(b, c.ticket.tokens())
	cost := c.burdens(b) + c.spread(b) + time
	if b.takes.failures.Load() >= oftenEnough && b.takes.doubted(c.now, 0) {
		cost += c.costs.distrust
	}
	if b != c.runnerHome {
		cost += c.costs.awayThousand * float64(c.shared) / 1000
	}
	return offer{backend: b, cost: cost, time: time, own: time}, true
}

// move is what bringing the memory from a reader costs, and how long it takes.
func (c *choice) move(reader, runner *backend) (cost, time float64) {
	near := reader != nil && reader.server.Zone == runner.server.Zone
	thousands := float64(c.ticket.call.PromptTokens) / 1000
	time = moveSetup + thousands*1000/moveTokens
	cost = time + thousands*c.costs.moveThousand
	if !near {
		time *= 2
		cost = time + thousands*c.costs.moveThousand*c.costs.moveFar
	}
	late := between(c.now, reader, runner)
	return cost + late, time + late
}

// read weighs a read at a server.
func (c *choice) read(b *backend) (offer, bool) {
	call := c.ticket.call
	if !c.admits(b, call.PromptTokens) {
		return offer{}, false
	}
	unread, again := c.unread(b)
	p := c.pace / b.slow.factor(c.now)
	ahead := c.ahead(b)
	time := readsCost + (ahead+unread)/p + c.tight(b, call.PromptTokens)
	cost := c.burdens(b) + c.spread(b) + c.costs.second + c.risk(b) + time
	cost += c.costs.again * again / 1000
	if b.hands.doubted(c.now, b.reading.Load()) {
		cost += c.costs.distrust
	}
	return offer{backend: b, cost: cost, time: time, own: time, unread: int(unread)}, true
}

// risk is that of a run that can't get the memory that was read for it: a call with one
// try is lost then.
func (c *choice) risk(reader *backend) float64 {
	if !c.lapsing || c.now.UnixNano()-reader.handed.Load() < int64(handedLately) || c.ticket.counted+1 < c.ticket.routeRule.calls.Attempts {
		return 0
	}
	return c.costs.lastTry
}

// handedLately is how long a hand-over makes the next one likely while others fail.
const handedLately = time.Second

// homes are the servers that rendezvous names for the call's chain, the same at every
// router: two readers, and the runner beside the first of them.
func (c *choice) homes() {
	var readerWeight, nextWeight, farWeight uint64
	var runners [mostPlaces]*backend
	var weights [mostPlaces]uint64
	var far *backend
	c.home, c.nextHome, c.runnerHome = nil, nil, nil
	for _, b := range c.backends {
		if !c.open(b) {
			continue
		}
		weight := weigh(c.chain, b.key)
		if b.reads() {
			switch {
			case c.home == nil || weight > readerWeight:
				c.nextHome, nextWeight = c.home, readerWeight
				c.home, readerWeight = b, weight
			case c.nextHome == nil || weight > nextWeight:
				c.nextHome, nextWeight = b, weight
			}
			continue
		}
		if far == nil || weight > farWeight {
			far, farWeight = b, weight
		}
		if place := b.place % mostPlaces; runners[place] == nil || weight > weights[place] {
			runners[place], weights[place] = b, weight
		}
	}
	c.runnerHome = far
	if c.home != nil {
		if near := runners[c.home.place%mostPlaces]; near != nil {
			c.runnerHome = near
		}
	}
}

// belief is how surely a server keeps the call's shared parts by the home rule.
func (c *choice) belief(b *backend) float64 {
	switch {
	case b == c.home:
		return c.costs.home
	case b == c.nextHome:
		return c.costs.next
	case b == c.runnerHome:
		return c.costs.runner
	}
	return 0
}

// unread is how many of the call's tokens a server would have to read, as far as is
// believed, and how many of them are shared.
func (c *choice) unread(b *backend) (unread, again float64) {
	keeps := max(float64(b.kept.prefix(c.ticket.call.Segments)), c.belief(b)*float64(c.shared))
	return max(float64(c.ticket.call.PromptTokens)-keeps, 1), max(float64(c.shared)-keeps, 0)
}

// find is the best way that may be gone now: a call to a cold server is counted before
// it is sent.
func (c *choice) find(way func() (DecisionKind, offer, bool)) (DecisionKind, offer, bool) {
	for {
		kind, best, found := way()
		if !found || !best.backend.cold(c.now) {
			return kind, best, found
		}
		if rate, _ := c.coldRate(best.backend); best.backend.rateLimit.take(c.now, rate) {
			return kind, best, found
		}
		c.warmOnly = true
	}
}

// cheapest finds the way with the lowest cost: a read, or a run. mayRead says whether the
// call may still be read elsewhere.
func (c *choice) cheapest(mayRead bool) (kind DecisionKind, best offer, found bool) {
	var near [mostPlaces]offer
	var farthest offer
	places, taken := 0.0, 0.0
	anyRun := false
	c.homes()
	for _, b := range c.backends {
		if !b.runs() || !c.open(b) {
			continue
		}
		places += c.slots(b)
		taken += min(c.busy(b), c.slots(b))
		if offered, may := c.direct(b); may && (!found || offered.cost < best.cost) {
			kind, best, found = Generate, offered, true
		}
		if !mayRead {
			continue
		}
		if offered, may := c.sourced(b); may {
			if !anyRun || offered.cost < farthest.cost {
				farthest, anyRun = offered, true
			}
			if slot := &near[b.place%mostPlaces]; slot.backend == nil || offered.cost < slot.cost {
				*slot = offered
			}
		}
	}
	if places > 0 {
		c.free = 1 - taken/places
	}
	if !mayRead || !anyRun {
		return kind, best, found
	}
	for _, ba := range c.backends {
		if !ba.reads() || !c.open(ba) {
			continue
		}
		offered, may := c.read(ba)
		if !may {
			continue
		}
		moveCost, moveTime := c.move(ba, farthest.backend)
		cost, time := farthest.cost+moveCost, farthest.time+moveTime
		if runner := near[ba.place%mostPlaces]; runner.backend != nil && runner.backend.place == ba.place {
			moveCost, moveTime = c.move(ba, runner.backend)
			if sum := runner.cost + moveCost; sum < cost {
				cost, time = sum, runner.time+moveTime
			}
		}
		offered.cost += cost
		offered.time += time
		if !found || offered.cost < best.cost {
			kind, best, found = Prefill, offered, true
		}
	}
	return kind, best, found
}

const mostPlaces = 16

// runner finds the server that makes the answer from memory that a reader has, or one
// that reads the prompt itself because that is much better.
func (c *choice) runner(reader *backend) (kind DecisionKind, best offer, found bool) {
	c.homes()
	for _, b := range c.backends {
		if !b.splits() || !c.open(b) {
			continue
		}
		if offered, may := c.sourced(b); may {
			cost, time := c.move(reader, b)
			offered.cost += cost
			offered.time += time
			offered.own = offered.time
			offered.sourced = true
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
		if offered, may := c.direct(b); may {
			offered.cost += c.costs.wasted * float64(c.ticket.call.PromptTokens) / 1000
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
	}
	return Generate, best, found
}
