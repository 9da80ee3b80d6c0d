package window

import (
	"math"
	"time"

	"seamloom.example/seamloom/internal/menu"
)

// choice finds the server for a call's next dispatch. Costs and times are in
// milliseconds; what is priced otherwise is turned into them.
type choice struct {
	window   *Window
	program  *Program
	now      time.Time
	ticket   *Ticket
	service  *menu.Service
	ledger   *ledger
	backends []*backend
	sharers  int

	chain  uint64
	shared int
	pace   float64
	// free is how much of the places there is not taken, from 0 to 1.
	free float64
	// soonest is when a place may be had, if none is now.
	soonest float64
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
}

// What things cost beside their time, in milliseconds. The values are ours.
const (
	// crossingKilobyte is for a body that goes to another district, by size.
	crossingKilobyte = 0.6
	// moveThousand is for a prompt's memory that is moved, by thousand tokens;
	// between districts it is that much more.
	moveThousand   = 1.2
	moveFar        = 2.5
	moveSetup      = 4.0
	moveTokens     = 4000.0
	rereadThousand = 10.0
	distrust       = 2000.0
	coldCost       = 60.0
	// pauseRoom is how long a run of reading may hold up the tokens of others.
	pauseRoom  = 180.0
	pauseHarm  = 30.0
	slotHarm   = 60.0
	readerRank = 0.8
	nextRank   = 0.25
	jitter     = 4.0
	// memoryUsed is how much of a server's memory may be filled.
	memoryUsed = 0.95
)

func (window *Window) weighing(now time.Time, ticket *Ticket) *choice {
	program := window.program.Load()
	service := ticket.service
	if current, found := program.services[service.Name]; found {
		service = current
	}
	ledger := window.ledger(service.Name)
	return &choice{window: window, program: program, now: now, ticket: ticket, service: service, ledger: ledger,
		backends: window.board.Load().of(service.Name), sharers: window.sharers(),
		chain: ticket.call.chain(), shared: ticket.call.shared(), pace: ledger.pace.tokens(), soonest: math.Inf(1)}
}

// open tells whether work of the call may be sent to a server at all.
func (choice *choice) open(backend *backend) bool {
	return !backend.server.Leaving && !backend.changing() && !choice.program.evacuations[backend.server.District] &&
		choice.ticket.ruling.allows(backend.server.District) && backend.has(choice.ticket.call.Model)
}

// now there are room and leave for one more call at a server: cold ones take few.
func (choice *choice) admits(backend *backend, tokens int) bool {
	if total := choice.memory(backend); total > 0 && tokens > total {
		return false
	}
	if backend.cold(choice.now) {
		rate, takes := choice.coldRate(backend)
		if !takes || !backend.drops.ready(choice.now, rate) {
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
	if choice.sharers <= fewSharers {
		return perSecond * coldUsed / float64(choice.sharers), true
	}
	own := weigh(nameKey(choice.window.options.Courier), backend.key) % uint64(choice.sharers)
	return perSecond * coldUsed / fewSharers, own < chosenSharers
}

const (
	fewSharers    = 10
	chosenSharers = 3
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
	return milliseconds(choice.ledger.runs.mean())
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
	return (busy - slots + 1) / slots * milliseconds(choice.ledger.runs.mean())
}

// burdens are costs that any work at a server has.
func (choice *choice) burdens(backend *backend) float64 {
	cost := 0.0
	if backend.server.District != choice.window.options.District {
		cost += crossingKilobyte * float64(choice.ticket.call.Bytes) / 1024
	}
	if backend.trust.doubted(choice.now, backend.running.Load()+backend.reading.Load()) {
		cost += distrust
	}
	if choice.ticket.avoids(backend) {
		cost += distrust
	}
	if backend.cold(choice.now) {
		cost += coldCost
	}
	return cost
}

// spread sets equal servers apart, for each call differently, so that couriers that
// see the same do not all run to one.
func (choice *choice) spread(backend *backend) float64 {
	return float64(weigh(backend.key, choice.ticket.mark)%1024) / 1024 * jitter
}

// direct weighs a run at a server that reads the prompt itself.
func (choice *choice) direct(backend *backend) (offer, bool) {
	call := choice.ticket.call
	if !choice.admits(backend, choice.ticket.tokens()) {
		return offer{}, false
	}
	unread := max(call.PromptTokens-backend.kept.prefix(call.Parts), 1)
	pace := choice.pace / backend.slow.factor()
	busy := choice.busy(backend)
	cost := choice.burdens(backend) + choice.spread(backend)
	ahead := milliseconds(backend.queued(choice.now))
	if backend.splits() {
		pace /= 2
		held := (ahead + float64(unread)/pace) / pauseRoom
		cost += held * held * pauseHarm * (1 + busy)
	}
	again := max(0, choice.shared-(call.PromptTokens-unread))
	cost += rereadThousand * float64(again) / 1000
	time := directCost + ahead + float64(unread)/pace + choice.queue(backend, busy) + choice.tight(backend, choice.ticket.tokens())
	fullness := busy / choice.slots(backend)
	cost += time + slotHarm*fullness*fullness
	return offer{backend: backend, cost: cost, time: time, own: time, unread: unread}, true
}

// sourced weighs a run with memory that another server read, but for the move.
func (choice *choice) sourced(backend *backend) (offer, bool) {
	if !choice.admits(backend, choice.ticket.tokens()) {
		return offer{}, false
	}
	busy := choice.busy(backend)
	time := directCost + choice.queue(backend, busy) + choice.tight(backend, choice.ticket.tokens())
	fullness := busy / choice.slots(backend)
	cost := choice.burdens(backend) + choice.spread(backend) + time + slotHarm*fullness*fullness
	return offer{backend: backend, cost: cost, time: time, own: time}, true
}

// move is what bringing the memory from a reader costs, and how long it takes.
func (choice *choice) move(near bool) (cost, time float64) {
	thousands := float64(choice.ticket.call.PromptTokens) / 1000
	time = moveSetup + thousands*1000/moveTokens
	cost = time + thousands*moveThousand
	if !near {
		time *= 2
		cost = time + thousands*moveThousand*moveFar
	}
	return cost, time
}

// read weighs a read at a server. belief is how surely the home rule says that it
// keeps the shared parts.
func (choice *choice) read(backend *backend, belief float64) (offer, bool) {
	call := choice.ticket.call
	if !choice.admits(backend, call.PromptTokens) {
		return offer{}, false
	}
	keeps := max(float64(backend.kept.prefix(call.Parts)), belief*float64(choice.shared))
	unread := max(float64(call.PromptTokens)-keeps, 1)
	pace := choice.pace / backend.slow.factor()
	ahead := float64(backend.readingTokens.Load()) + backend.others()*unread/2
	time := readsCost + (ahead+unread)/pace + choice.tight(backend, call.PromptTokens)
	cost := choice.burdens(backend) + choice.spread(backend) + time
	cost += rereadThousand * max(0, float64(choice.shared)-keeps) / 1000
	return offer{backend: backend, cost: cost, time: time, own: time, unread: int(unread)}, true
}

// homes are the two readers that rendezvous names for the call's chain.
func (choice *choice) homes() (first, second *backend) {
	var firstWeight, secondWeight uint64
	for _, backend := range choice.backends {
		if !backend.reads() || !choice.open(backend) {
			continue
		}
		weight := weigh(choice.chain, backend.key)
		switch {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = backend, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = backend, weight
		}
	}
	return first, second
}

// best finds the way with the lowest cost: a read, or a run. mayRead and mayRun say
// what the call still may.
func (choice *choice) best(mayRead, mayRun bool) (kind DecisionKind, best offer, found bool) {
	var near [mostPlaces]offer
	var farthest offer
	places, taken := 0.0, 0.0
	anyRun := false
	for _, backend := range choice.backends {
		if !backend.runs() || !choice.open(backend) {
			continue
		}
		places += choice.slots(backend)
		taken += min(choice.busy(backend), choice.slots(backend))
		if mayRun {
			if offered, may := choice.direct(backend); may && (!found || offered.cost < best.cost) {
				kind, best, found = Run, offered, true
			}
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
	home, next := choice.homes()
	for _, backend := range choice.backends {
		if !backend.reads() || !choice.open(backend) {
			continue
		}
		belief := 0.0
		switch {
		case backend.cold(choice.now):
		case backend == home:
			belief = readerRank
		case backend == next:
			belief = nextRank
		}
		offered, may := choice.read(backend, belief)
		if !may {
			continue
		}
		moveCost, moveTime := choice.move(false)
		cost, time := farthest.cost+moveCost, farthest.time+moveTime
		if runner := near[backend.place%mostPlaces]; runner.backend != nil && runner.backend.place == backend.place {
			moveCost, moveTime = choice.move(true)
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

// runner finds the server that makes the answer from memory that a reader has.
func (choice *choice) runner(reader *backend) (best offer, found bool) {
	for _, backend := range choice.backends {
		if !backend.splits() || !choice.open(backend) {
			continue
		}
		offered, may := choice.sourced(backend)
		if !may {
			continue
		}
		cost, time := choice.move(reader != nil && reader.server.District == backend.server.District)
		offered.cost += cost
		offered.time += time
		offered.own = offered.time
		if !found || offered.cost < best.cost {
			best, found = offered, true
		}
	}
	return best, found
}
