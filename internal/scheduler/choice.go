package scheduler

import (
	"math"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// choice finds the server for a call's next dispatch. Costs and times are in
// milliseconds; what is priced otherwise is turned into them.
type choice struct {
	window       *Window
	costs        costs
	program      *Program
	now          time.Time
	ticket       *Ticket
	service      *config.Service
	serviceState *serviceState
	backends     []*backend
	routerCount  int

	chain                      uint64
	home, nextHome, runnerHome *backend
	shared                     int
	pace                       float64
	// held is how much longer runners read than by this courier's own, begin how long
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
	// othersRead is how many tokens a call of other couriers is taken to read.
	othersRead = 1500.0
)

func (window *Window) weighing(now time.Time, ticket *Ticket) *choice {
	program := window.program.Load()
	window.cool(now)
	service := ticket.service
	if current, found := program.services[service.Name]; found {
		service = current
	}
	serviceState := window.serviceState(service.Name)
	choice := &choice{window: window, costs: window.costs, program: program, now: now, ticket: ticket, service: service, serviceState: serviceState,
		backends: window.board.Load().of(service.Name), routerCount: window.routerCount(),
		chain: ticket.call.chain(), shared: ticket.call.shared(), pace: serviceState.pace.tokens(), soonest: math.Inf(1)}
	choice.begin = serviceState.begin.milliseconds()
	choice.crowd()
	return choice
}

// crowd weighs what runners are given to read by all couriers, as this one does it.
func (choice *choice) crowd() {
	tokens, lapsing := choice.serviceState.pressure.directly(choice.now)
	choice.lapsing = lapsing
	runners := 0
	for _, backend := range choice.backends {
		if backend.splits() {
			runners++
		}
	}
	used := tokens * float64(choice.routerCount) / float64(max(runners, 1)) / (choice.pace * 1000 / 2)
	choice.held = 1 / (1 - min(used, mostHeld))
}

// mostHeld is the part of its time that a runner is at most taken to read.
const mostHeld = 0.8

// open tells whether work of the call may be sent to a server at all.
func (choice *choice) open(backend *backend) bool {
	return !choice.ticket.avoids(backend) && !backend.server.Leaving && !backend.changing() && !backend.expectedToChange(choice.now) && !choice.program.evacuations[backend.server.Zone] &&
		choice.ticket.routeRule.allows(backend.server.Zone) && backend.has(choice.ticket.call.Model)
}

// now there are room and leave for one more call at a server: cold ones take few.
func (choice *choice) admits(backend *backend, tokens int) bool {
	if total := choice.memory(backend); total > 0 && tokens > total {
		return false
	}
	if backend.cold(choice.now) {
		rate, takes := choice.coldRate(backend)
		if !takes || choice.warmOnly || !backend.rateLimit.ready(choice.now, rate) {
			choice.soonest = min(choice.soonest, 1000/max(rate, 0.5))
			return false
		}
	}
	return true
}

// coldRate is this courier's part of what a cold server stands. Of many couriers only
// some send to the same one.
func (choice *choice) coldRate(backend *backend) (rate float64, takes bool) {
	perSecond := choice.service.Warming.PerSecond
	if perSecond <= 0 {
		return 1, true
	}
	if choice.routerCount <= fewRouters {
		return perSecond * coldUsed / float64(choice.routerCount), true
	}
	own := weigh(nameKey(choice.window.options.Router), backend.key) % uint64(choice.routerCount)
	return perSecond * coldUsed / fewRouters, own < chosenRouters
}

const (
	fewRouters    = 6
	chosenRouters = 3
	coldUsed      = 0.8
)

// memory is how many tokens a server holds; zero if nobody said.
func (choice *choice) memory(backend *backend) int {
	if heard := backend.heard.Load(); heard != nil && heard.load.MemoryTotal > 0 {
		return heard.load.MemoryTotal
	}
	return choice.service.Engine.MemoryTokens
}

// tight is how long a call of so many tokens waits for memory.
func (choice *choice) tight(backend *backend, tokens int) float64 {
	total := choice.memory(backend)
	if total == 0 {
		return 0
	}
	used := int(backend.account.memory.Load())
	if heard := backend.heard.Load(); heard != nil {
		used = max(used, heard.load.MemoryUsed)
	}
	if float64(used+tokens) <= memoryUsed*float64(total) {
		return 0
	}
	return milliseconds(choice.serviceState.runs.mean())
}

func (choice *choice) slots(backend *backend) float64 {
	switch {
	case backend.server.Slots > 0:
		return float64(backend.server.Slots)
	case choice.service.Engine.Slots > 0:
		return float64(choice.service.Engine.Slots)
	}
	return unknownSlots
}

const unknownSlots = 16

// busy is how many calls a server has.
func (choice *choice) busy(backend *backend) float64 {
	return backend.others() + float64(backend.running.Load()+backend.reading.Load())
}

// queue is how long a call waits for a place, from how many calls there are.
func (choice *choice) queue(backend *backend, busy float64) float64 {
	slots := choice.slots(backend)
	if busy < slots {
		return 0
	}
	return (busy - slots + 1) / slots * milliseconds(choice.serviceState.runs.mean())
}

// burdens are costs that any work at a server has.
func (choice *choice) burdens(backend *backend) float64 {
	cost := 0.0
	if backend.server.Zone != choice.window.options.Zone {
		cost += choice.costs.crossingKilobyte * float64(choice.ticket.call.Bytes) / 1024
	}
	if backend.trust.doubted(choice.now, backend.running.Load()+backend.reading.Load()) {
		cost += choice.costs.distrust
	} else if backend.outlier(choice.now) {
		cost += choice.costs.outlier
	}
	if backend.cold(choice.now) {
		cost += choice.costs.cold
	}
	if !backend.idle.available(choice.now) {
		cost += choice.costs.connection
	}
	cost += min(choice.costs.stuck*choice.stuck(backend), choice.costs.distrust)
	if backend.silent(choice.window.reported.Load()) {
		cost += choice.costs.distrust
	}
	return cost
}

// stuck is how many milliseconds longer than is usual nothing has come from a server.
func (choice *choice) stuck(backend *backend) float64 {
	over := backend.readings.stuck(choice.now) - 2*float64(backend.readingTokens.Load())/choice.pace - usualStuck
	if choice.window.tells.Load() {
		over = max(over, backend.begins.stuck(choice.now)-milliseconds(backend.queued(choice.now))-choice.begin-usualStuck)
	}
	return max(over, 0)
}

// pauseRoom is for how many milliseconds reading may hold up the tokens of others: a
// part of the shortest pause that a route to the service allows.
func (choice *choice) pauseRoom() float64 {
	gap, found := choice.program.gaps[choice.service.Name]
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

// spread sets equal servers apart, for each call differently, so that couriers that
// see the same do not all run to one.
func (choice *choice) spread(backend *backend) float64 {
	return float64(weigh(backend.key, choice.ticket.mark)%1024) / 1024 * choice.costs.spread
}

// direct weighs a run at a server that reads the prompt itself.
func (choice *choice) direct(backend *backend) (offer, bool) {
	if !choice.admits(backend, choice.ticket.tokens()) {
		return offer{}, false
	}
	unread, again := choice.unread(backend)
	pace := choice.pace / backend.slow.factor(choice.now)
	busy := choice.busy(backend)
	cost := choice.burdens(backend) + choice.spread(backend)
	ahead := milliseconds(backend.queued(choice.now))
	if backend.splits() {
		pace /= 2
		held := (ahead + unread/pace) * choice.held / choice.pauseRoom()
		cost += held * held * choice.costs.pauseHarm * (1 + busy)
	}
	cost += choice.costs.again * again / 1000
	time := choice.begin + ahead + unread/pace + choice.queue(backend, busy) + choice.tight(backend, choice.ticket.tokens())
	cost += time
	return offer{backend: backend, cost: cost, time: time, own: time, unread: int(unread)}, true
}

// sourced weighs a run with memory that another server read, but for the move.
func (choice *choice) sourced(backend *backend) (offer, bool) {
	if !choice.admits(backend, choice.ticket.tokens()) {
		return offer{}, false
	}
	busy := choice.busy(backend)
	time := choice.begin + choice.queue(backend, busy) + choice.tight(backend, choice.ticket.tokens())
	cost := choice.burdens(backend) + choice.spread(backend) + time
	if backend.takes.failures.Load() >= oftenEnough && backend.takes.doubted(choice.now, 0) {
		cost += choice.costs.distrust
	}
	if backend != choice.runnerHome {
		cost += choice.costs.awayThousand * float64(choice.shared) / 1000
	}
	return offer{backend: backend, cost: cost, time: time, own: time}, true
}

// move is what bringing the memory from a reader costs, and how long it takes.
func (choice *choice) move(reader, runner *backend) (cost, time float64) {
	near := reader != nil && reader.server.Zone == runner.server.Zone
	thousands := float64(choice.ticket.call.PromptTokens) / 1000
	time = moveSetup + thousands*1000/moveTokens
	cost = time + thousands*choice.costs.moveThousand
	if !near {
		time *= 2
		cost = time + thousands*choice.costs.moveThousand*choice.costs.moveFar
	}
	late := between(choice.now, reader, runner)
	return cost + late, time + late
}

// read weighs a read at a server.
func (choice *choice) read(backend *backend) (offer, bool) {
	call := choice.ticket.call
	if !choice.admits(backend, call.PromptTokens) {
		return offer{}, false
	}
	unread, again := choice.unread(backend)
	pace := choice.pace / backend.slow.factor(choice.now)
	ahead := choice.ahead(backend)
	time := readsCost + (ahead+unread)/pace + choice.tight(backend, call.PromptTokens)
	cost := choice.burdens(backend) + choice.spread(backend) + choice.costs.second + choice.risk(backend) + time
	cost += choice.costs.again * again / 1000
	if backend.hands.doubted(choice.now, backend.reading.Load()) {
		cost += choice.costs.distrust
	}
	return offer{backend: backend, cost: cost, time: time, own: time, unread: int(unread)}, true
}

// risk is that of a run that can't get the memory that was read for it: a call with one
// try is lost then.
func (choice *choice) risk(reader *backend) float64 {
	if !choice.lapsing || choice.now.UnixNano()-reader.handed.Load() < int64(handedLately) || choice.ticket.counted+1 < choice.ticket.routeRule.calls.Tries {
		return 0
	}
	return choice.costs.lastTry
}

// handedLately is how long a hand-over makes the next one likely while others fail.
const handedLately = time.Second

// homes are the servers that rendezvous names for the call's chain, the same at every
// courier: two readers, and the runner beside the first of them.
func (choice *choice) homes() {
	var readerWeight, nextWeight, farWeight uint64
	var runners [mostPlaces]*backend
	var weights [mostPlaces]uint64
	var far *backend
	choice.home, choice.nextHome, choice.runnerHome = nil, nil, nil
	for _, backend := range choice.backends {
		if !choice.open(backend) {
			continue
		}
		weight := weigh(choice.chain, backend.key)
		if backend.reads() {
			switch {
			case choice.home == nil || weight > readerWeight:
				choice.nextHome, nextWeight = choice.home, readerWeight
				choice.home, readerWeight = backend, weight
			case choice.nextHome == nil || weight > nextWeight:
				choice.nextHome, nextWeight = backend, weight
			}
			continue
		}
		if far == nil || weight > farWeight {
			far, farWeight = backend, weight
		}
		if place := backend.place % mostPlaces; runners[place] == nil || weight > weights[place] {
			runners[place], weights[place] = backend, weight
		}
	}
	choice.runnerHome = far
	if choice.home != nil {
		if near := runners[choice.home.place%mostPlaces]; near != nil {
			choice.runnerHome = near
		}
	}
}

// belief is how surely a server keeps the call's shared parts by the home rule.
func (choice *choice) belief(backend *backend) float64 {
	switch {
	case backend == choice.home:
		return choice.costs.home
	case backend == choice.nextHome:
		return choice.costs.next
	case backend == choice.runnerHome:
		return choice.costs.runner
	}
	return 0
}

// unread is how many of the call's tokens a server would have to read, as far as is
// believed, and how many of them are shared.
func (choice *choice) unread(backend *backend) (unread, again float64) {
	keeps := max(float64(backend.kept.prefix(choice.ticket.call.Parts)), choice.belief(backend)*float64(choice.shared))
	return max(float64(choice.ticket.call.PromptTokens)-keeps, 1), max(float64(choice.shared)-keeps, 0)
}

// find is the best way that may be gone now: a call to a cold server is counted before
// it is sent.
func (choice *choice) find(way func() (DecisionKind, offer, bool)) (DecisionKind, offer, bool) {
	for {
		kind, best, found := way()
		if !found || !best.backend.cold(choice.now) {
			return kind, best, found
		}
		if rate, _ := choice.coldRate(best.backend); best.backend.rateLimit.take(choice.now, rate) {
			return kind, best, found
		}
		choice.warmOnly = true
	}
}

// cheapest finds the way with the lowest cost: a read, or a run. mayRead says whether the
// call may still be read elsewhere.
func (choice *choice) cheapest(mayRead bool) (kind DecisionKind, best offer, found bool) {
	var near [mostPlaces]offer
	var farthest offer
	places, taken := 0.0, 0.0
	anyRun := false
	choice.homes()
	for _, backend := range choice.backends {
		if !backend.runs() || !choice.open(backend) {
			continue
		}
		places += choice.slots(backend)
		taken += min(choice.busy(backend), choice.slots(backend))
		if offered, may := choice.direct(backend); may && (!found || offered.cost < best.cost) {
			kind, best, found = Run, offered, true
		}
		if !mayRead {
			continue
		}
		if offered, may := choice.sourced(backend); may {
			if !anyRun || offered.cost < farthest.cost {
				farthest, anyRun = offered, true
			}
			if slot := &near[backend.place%mostPlaces]; slot.backend == nil || offered.cost < slot.cost {
				*slot = offered
			}
		}
	}
	if places > 0 {
		choice.free = 1 - taken/places
	}
	if !mayRead || !anyRun {
		return kind, best, found
	}
	for _, backend := range choice.backends {
		if !backend.reads() || !choice.open(backend) {
			continue
		}
		offered, may := choice.read(backend)
		if !may {
			continue
		}
		moveCost, moveTime := choice.move(backend, farthest.backend)
		cost, time := farthest.cost+moveCost, farthest.time+moveTime
		if runner := near[backend.place%mostPlaces]; runner.backend != nil && runner.backend.place == backend.place {
			moveCost, moveTime = choice.move(backend, runner.backend)
			if sum := runner.cost + moveCost; sum < cost {
				cost, time = sum, runner.time+moveTime
			}
		}
		offered.cost += cost
		offered.time += time
		if !found || offered.cost < best.cost {
			kind, best, found = Read, offered, true
		}
	}
	return kind, best, found
}

const mostPlaces = 16

// runner finds the server that makes the answer from memory that a reader has, or one
// that reads the prompt itself because that is much better.
func (choice *choice) runner(reader *backend) (kind DecisionKind, best offer, found bool) {
	choice.homes()
	for _, backend := range choice.backends {
		if !backend.splits() || !choice.open(backend) {
			continue
		}
		if offered, may := choice.sourced(backend); may {
			cost, time := choice.move(reader, backend)
			offered.cost += cost
			offered.time += time
			offered.own = offered.time
			offered.sourced = true
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
		if offered, may := choice.direct(backend); may {
			offered.cost += choice.costs.wasted * float64(choice.ticket.call.PromptTokens) / 1000
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
	}
	return Run, best, found
}
