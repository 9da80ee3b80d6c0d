package scheduler

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/backlog"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// world is a small fleet in virtual time: routers with a scheduler each, servers that
// work in steps, and origins. It compares choices; it is no stand-in of a server.
type world struct {
	now      time.Time
	queue    moments
	sequence int
	random   *rand.Rand
	engine   engineSheet
	windows  []*Scheduler
	places   []string
	servers  map[string]*worldServer
	list     []membership.Server
	counter  map[string]*classCounter
	seen     map[uint64]bool

	sharedRead, sharedAgain, read int
	nearMoves, farMoves           float64
	crossed                       float64
	orders, dispatches, opened    int
	idle                          map[connectionEnds]*idleConnections
	backlogTable                  backlog.Table
	asked, updatedAt              int
	update                        time.Duration
	calls                         int
	ways                          map[string]*wayCounter
	ordered                       map[string]string
	reportsFirstEvents            bool
	crossing                      float64
	prices                        prices
	owedAt, earnedAt              [60]float64
	onLost                        func(*simulatedCall, Decision)
	onLate                        func(*simulatedCall, time.Duration)
}

// wayCounter is how many dispatches went one way, and what was read again there.
type wayCounter struct{ count, again, believed, unread int }

func (w *world) wayOf(name string) *wayCounter {
	found, known := w.ways[name]
	if !known {
		found = &wayCounter{}
		w.ways[name] = found
	}
	return found
}

// connectionEnds are a router and a server that connections are between.
type connectionEnds struct {
	router int
	server string
}

// keepAlive is how long servers keep an idle connection.
const keepAlive = 9700 * time.Millisecond

// engineSheet is what servers are made of.
type engineSheet struct {
	step, perRunning, perThousand float64
	readPace, pairs, first, setup float64
	chunk, memory, stride, slots  int
	bytesAToken, linkBitsAMilli   float64
	reportLag                     time.Duration
	inZone, betweenZones          float64
}

func sheet() engineSheet {
	return engineSheet{step: 3.09, perRunning: 0.102, perThousand: 0.00183, readPace: 56.9, pairs: 0.165, first: 13, setup: 3.3,
		chunk: 4096, memory: 295_740, stride: 11, slots: 64, bytesAToken: 18_432, linkBitsAMilli: 550e6,
		reportLag: 100 * time.Millisecond, inZone: 0.2, betweenZones: 0.9}
}

// prices are what a gigabyte of memory moved, a thousand shared tokens read again and a
// new connection cost, in worth.
type prices struct{ move, again, connection float64 }

// site is a deployment: its servers, its traffic, and the price of a gigabyte of bodies
// between zones.
type site struct {
	name     string
	routers  int
	list     []membership.Server
	engine   engineSheet
	long     class
	chat     class
	crossing float64
	prices   prices
	// configure changes the configuration, if it is given.
	configure func(*config.Configuration)
}

// ninety is a deployment whose engines read slowly and whose long prompts may run once.
func ninety() site {
	s := site{
		name:     "ninety",
		routers:  90,
		list:     zoned(90, 12),
		engine:   sheet(),
		long:     longClass(),
		chat:     chatClass(),
		crossing: 1800,
		prices:   prices{0.05, 0.16, 0.06},
	}
	s.engine = engineSheet{step: 6.12, perRunning: 0.0234, perThousand: 0.0131, readPace: 32.4, pairs: 1.18, first: 64, setup: 3.3,
		chunk: 2048, memory: 198_631, stride: 8, slots: 48, bytesAToken: 131_072, linkBitsAMilli: 630e6,
		reportLag: 100 * time.Millisecond, inZone: 0.2, betweenZones: 0.9}
	s.long.perSecond, s.long.chains[1].things, s.long.chains[1].skew, s.long.ownMost = 130, 735, 0.3, 18_300
	s.long.chunks, s.long.spread, s.long.mostChunks, s.long.bytes = 6.51, 1.4, 26, 9200
	s.long.weight, s.long.late, s.long.target, s.long.deadline, s.long.gap = 2, 0.6, 800*time.Millisecond, 4*time.Second, 200*time.Millisecond
	s.chat.perSecond, s.chat.chains[1].things, s.chat.chains[1].skew, s.chat.bytes = 163, 922, 0.3, 830
	s.chat.chunks, s.chat.mostChunks = 36.4, 119
	s.chat.weight, s.chat.late, s.chat.target, s.chat.deadline, s.chat.gap = 3, 0.9, 400*time.Millisecond, 12*time.Second, 200*time.Millisecond
	s.configure = func(configuration *config.Configuration) {
		service := configuration.Services["desk"]
		service.Warming = config.Warming{}
		service.Engine.Slots = 48
		service.Engine.MemoryTokens = 198_631
		service.Engine.TokenBytes = 131_072
		service.Engine.LinkBitsPerSecond = 630e9
		service.Engine.TokensPerChunk = 8
		configuration.Services["desk"] = service
		long, chat := configuration.Routes[0].Calls, configuration.Routes[1].Calls
		long.Timeout, long.LatencyTarget, long.MaxEventGap, long.Priority, long.MaxAttempts, long.Resumable = s.long.deadline, s.long.target, s.long.gap, 1, 1, false
		chat.Timeout, chat.LatencyTarget, chat.MaxEventGap, chat.Priority, chat.MaxAttempts, chat.Resumable = s.chat.deadline, s.chat.target, s.chat.gap, 0, 2, true
	}
	return s
}

func nine() site {
	return site{
		name:     "nine",
		routers:  9,
		list:     zoned(9, 1),
		engine:   sheet(),
		long:     longClass(),
		chat:     chatClass(),
		crossing: 1500,
		prices:   prices{0.36, 0.15, 0.012},
	}
}

func twelve() site {
	s := site{
		name:     "twelve",
		routers:  10,
		list:     zoned(12, 2),
		engine:   sheet(),
		long:     longClass(),
		chat:     chatClass(),
		crossing: 6900,
		prices:   prices{0.36, 0.15, 0.012},
	}
	s.engine.step, s.engine.perRunning, s.engine.readPace, s.engine.first, s.engine.setup = 3.79, 0.0893, 56.6, 16, 5
	s.engine.stride, s.engine.memory, s.engine.linkBitsAMilli, s.engine.reportLag = 9, 319_972, 370e6, 200*time.Millisecond
	s.long.perSecond, s.long.chains[1].things, s.long.late = 30.4, 172, 1.5
	s.long.chunks, s.long.mostChunks = 5.78, 23.1
	s.chat.perSecond, s.chat.chains[0].things, s.chat.chains[1].things, s.chat.late = 37.8, 20, 142, 1
	s.chat.chunks, s.chat.mostChunks = 32.4, 106
	return s
}

func sixty() site {
	s := site{
		name:     "sixty",
		routers:  85,
		list:     zoned(60, 8),
		engine:   sheet(),
		long:     longClass(),
		chat:     chatClass(),
		crossing: 2200,
		prices:   prices{0.36, 0.15, 0.012},
	}
	s.engine.memory, s.engine.stride = 276_487, 14
	s.long.perSecond, s.long.chains[1].things, s.long.bytes, s.long.target = 136, 512, 9200, 500*time.Millisecond
	s.long.chunks, s.long.mostChunks, s.long.gap = 3.72, 14.9, 300*time.Millisecond
	s.chat.perSecond, s.chat.chains[0].things, s.chat.chains[1].things, s.chat.bytes = 171, 80, 968, 830
	s.chat.chunks, s.chat.mostChunks, s.chat.target, s.chat.gap = 20.8, 68.1, 600*time.Millisecond, 300*time.Millisecond
	return s
}

// world is a site in virtual time, with so much of its traffic for so long.
func (s site) world(seed uint64, shape func(*Scheduler)) *world {
	w := dividedWorld(seed, s.routers, append([]membership.Server(nil), s.list...), s.configure, shape)
	w.engine, w.crossing, w.prices = s.engine, s.crossing, s.prices
	return w
}

// lead is how long the machines are up before traffic starts.
const lead = 8 * time.Second

// play gives the world so much of the site's usual traffic for so long from now on.
func (s site) play(w *world, factor float64, length time.Duration) {
	long, chat := s.long, s.chat
	long.perSecond *= factor
	chat.perSecond *= factor
	until := w.now.Add(length)
	w.traffic(long, until)
	w.traffic(chat, until)
	w.run(until.Add(10 * time.Second))
}

type moment struct {
	at       time.Time
	sequence int
	act      func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(left, right int) bool {
	if !m[left].at.Equal(m[right].at) {
		return m[left].at.Before(m[right].at)
	}
	return m[left].sequence < m[right].sequence
}
func (m moments) Swap(left, right int) {
	m[left], m[right] = m[right], m[left]
}
func (m *moments) Push(value any) { *m = append(*m, value.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

func (w *world) after(milliseconds float64, act func()) {
	w.sequence++
	heap.Push(&w.queue, moment{at: w.now.Add(span(milliseconds)), sequence: w.sequence, act: act})
}

func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		next := heap.Pop(&w.queue).(moment)
		w.now = next.at
		next.act()
	}
	w.now = until
}

// worldServer is one server of the world.
type worldServer struct {
	world    *world
	listed   membership.Server
	part     string
	down     bool
	dark     bool
	changing bool
	// refuses has it fail to hand over any memory, slow makes all it does longer.
	refuses     bool
	slowLink    float64
	slow        float64
	incarnation int
	waiting     []*job
	running     []*job
	working     bool
	cache       map[uint64]*list.Element
	order       *list.List
	cachedIn    int
	pinned      int
	handles     map[string]int
	linkFree    time.Time
	past        []Load
	arrivals    []time.Time
}

type cached struct {
	id     uint64
	tokens int
}

// job is one call at one server.
type job struct {
	call        *Call
	reads       bool
	incarnation int
	moved       bool
	unread      int
	left        int
	made        int
	started     bool
	last        time.Time
	longest     time.Duration
	tokens      int
	first       func()
	ended       func(Result)
	gone        bool
	way         string
	believed    int
}

func (w *worldServer) kept(parts []Segment, use bool) int {
	tokens := 0
	for _, part := range parts {
		entry, found := w.cache[part.ID]
		if !found || entry.Value.(*cached).tokens < part.Tokens {
			break
		}
		if use {
			w.order.MoveToFront(entry)
		}
		tokens += part.Tokens
	}
	return tokens
}

func (w *worldServer) keep(parts []Segment) {
	for position := len(parts) - 1; position >= 0; position-- {
		part := parts[position]
		if entry, found := w.cache[part.ID]; found {
			k := entry.Value.(*cached)
			w.cachedIn += max(0, part.Tokens-k.tokens)
			k.tokens = max(k.tokens, part.Tokens)
			w.order.MoveToFront(entry)
			continue
		}
		w.cache[part.ID] = w.order.PushFront(&cached{id: part.ID, tokens: part.Tokens})
		w.cachedIn += part.Tokens
	}
	for w.cachedIn+w.pinned > w.world.engine.memory && w.order.Len() > 0 {
		gone := w.order.Remove(w.order.Back()).(*cached)
		w.cachedIn -= gone.tokens
		delete(w.cache, gone.id)
	}
}

// take has the server take a job; false tells that it turns it away.
func (w *worldServer) take(j *job) bool {
	engine := w.world.engine
	if len(w.waiting) >= 192 || j.tokens > engine.memory {
		return false
	}
	j.incarnation = w.incarnation
	w.waiting = append(w.waiting, j)
	w.wake()
	return true
}

func (w *worldServer) wake() {
	if w.working || w.down || w.dark {
		return
	}
	w.admit()
	if len(w.running) == 0 {
		return
	}
	w.working = true
	engine := w.world.engine
	duration := engine.step
	makers, context := 0, 0
	var reading *job
	for _, j := range w.running {
		if j.unread > 0 {
			if reading == nil {
				reading = j
			}
			continue
		}
		makers++
		context += j.tokens
	}
	duration += engine.perRunning*float64(makers) + engine.perThousand*float64(context)/1000
	chunk := 0
	if reading != nil {
		p, segment := engine.readPace, engine.chunk
		if w.part == decode {
			p, segment = p/2, segment/4
		}
		chunk = min(reading.unread, segment)
		done := reading.call.PromptTokens - reading.unread
		duration += float64(chunk)/p + engine.pairs*float64(chunk)*(float64(done)+float64(chunk)/2)/1e6
	}
	duration *= max(w.slow, 1)
	incarnation := w.incarnation
	w.world.after(duration, func() {
		w.working = false
		if incarnation != w.incarnation {
			return
		}
		w.stepped(reading, chunk)
		w.wake()
	})
}

func (w *worldServer) admit() {
	for len(w.waiting) > 0 && len(w.running) < w.world.engine.slots {
		j := w.waiting[0]
		if w.pinned+j.tokens > w.world.engine.memory {
			return
		}
		w.waiting = w.waiting[1:]
		if j.gone {
			continue
		}
		if !j.moved {
			keeps := w.kept(j.call.Segments, true)
			j.unread = max(j.call.PromptTokens-keeps, 1)
			again := w.world.sharedAgain
			w.world.countRead(j.call, keeps)
			way := w.world.wayOf(j.way)
			way.count++
			way.again += w.world.sharedAgain - again
			way.unread += j.unread
			way.believed += j.believed
		}
		w.pinned += j.tokens
		w.running = append(w.running, j)
	}
}

func (w *world) countRead(call *Call, keeps int) {
	at := 0
	for position, part := range call.Segments {
		if at >= keeps {
			w.read += part.Tokens
			if position < len(call.Segments)-1 {
				w.sharedRead += part.Tokens
				if w.seen[part.ID] {
					w.sharedAgain += part.Tokens
				}
				w.seen[part.ID] = true
			}
		}
		at += part.Tokens
	}
}

func (w *worldServer) stepped(reading *job, chunk int) {
	now := w.world.now
	var stay []*job
	for _, j := range w.running {
		switch {
		case j.gone:
			w.pinned -= j.tokens
			continue
		case j == reading:
			j.unread -= chunk
			if j.unread == 0 {
				w.keep(j.call.Segments)
			}
			if j.unread == 0 && j.reads {
				w.world.after(0, func() { j.ended(Complete) })
				continue
			}
		case j.unread == 0:
			j.made++
			if j.made%w.world.engine.stride == 0 || j.made >= j.left {
				if !j.started {
					j.started = true
					j.first()
				} else {
					j.longest = max(j.longest, now.Sub(j.last))
				}
				j.last = now
			}
			if j.made >= j.left {
				w.pinned -= j.tokens
				j.ended(Complete)
				continue
			}
		}
		stay = append(stay, j)
	}
	w.running = stay
}

func (w *worldServer) empty() {
	w.cache, w.order, w.cachedIn, w.handles = map[uint64]*list.Element{}, list.New(), 0, map[string]int{}
}

// crash ends all that the server does.
func (w *worldServer) crash(dark bool) {
	jobs := append(append([]*job(nil), w.waiting...), w.running...)
	w.incarnation++
	w.waiting, w.running, w.pinned = nil, nil, 0
	w.empty()
	w.working = false
	if dark {
		w.dark = true
		return
	}
	w.down = true
	for _, j := range jobs {
		switch {
		case j.started:
			j.ended(Interrupted)
		default:
			j.ended(TimedOut)
		}
	}
}

func (w *worldServer) report() Load {
	return Load{Server: w.listed.Name, Role: w.part, ChangingRole: w.changing, Waiting: len(w.waiting), Running: len(w.running),
		MemoryUsed: w.pinned, MemoryTotal: w.world.engine.memory}
}

// classCounter is how the calls of one class went.
type classCounter struct {
	owed, earned    float64
	calls, onTarget int
	late, lost      int
	refused         int
	paused          int
	first           []float64
	served, broken  int
}

func (c *classCounter) at(s float64) float64 {
	if len(c.first) == 0 {
		return 0
	}
	sort.Float64s(c.first)
	return c.first[min(len(c.first)-1, int(s*float64(len(c.first))))]
}

// class is a sort of call in the world.
type class struct {
	name             string
	host, path       string
	perSecond        float64
	chains           []chainLink
	own, ownSpread   float64
	ownMost          float64
	chunks, spread   float64
	mostChunks       float64
	bytes            int
	weight, late     float64
	target, deadline time.Duration
	gap              time.Duration
}

type chainLink struct {
	mean, spread, most float64
	things             int
	// skew is the power by which those asked most often are asked more often; zero is
	// all alike.
	skew float64
}

// draw is one of the link's things.
func (c chainLink) draw(random *rand.Rand) uint64 {
	if c.skew == 0 {
		return uint64(random.IntN(c.things))
	}
	return min(uint64(float64(c.things)*math.Pow(random.Float64(), 1/(1-c.skew))), uint64(c.things-1))
}

func longClass() class {
	return class{name: "long", host: "long.example", path: "/ask/", perSecond: 22.2,
		chains: []chainLink{{2520, 0.4, 6290, 4, 0}, {3780, 0.7, 11300, 84, 0}}, own: 2890, ownSpread: 1, ownMost: 39600,
		chunks: 4.73, spread: 1.4, mostChunks: 18.9, bytes: 18000, weight: 3, late: 0.9,
		target: 400 * time.Millisecond, deadline: 3 * time.Second, gap: 250 * time.Millisecond}
}

func chatClass() class {
	return class{name: "chat", host: "chat.example", path: "/", perSecond: 28,
		chains: []chainLink{{119, 0.4, 298, 40, 0}, {79.4, 0.7, 238, 158, 0}}, own: 628, ownSpread: 1, ownMost: 3310,
		chunks: 26.5, spread: 0.69, mostChunks: 86.7, bytes: 1700, weight: 2, late: 0.6,
		target: 500 * time.Millisecond, deadline: 8 * time.Second, gap: 250 * time.Millisecond}
}

// drawn is a log-normal draw with a mean.
func drawn(random *rand.Rand, mean, spread, most float64) float64 {
	return min(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2), most)
}

func newWorld(seed uint64, routers, count int, shape func(*Scheduler)) *world {
	return dividedWorld(seed, routers, servers(count), nil, shape)
}

func dividedWorld(
	seed uint64, routers int, list []membership.Server,
	configure func(*config.Configuration), shape func(*Scheduler),
) *world {
	w := &world{
		now:     noon,
		random:  rand.New(rand.NewPCG(seed, 7)),
		engine:  sheet(),
		servers: map[string]*worldServer{},
		counter: map[string]*classCounter{},
		seen:    map[uint64]bool{},
		ways:    map[string]*wayCounter{},
		idle:    map[connectionEnds]*idleConnections{},
		ordered: map[string]string{},
		update:  400 * time.Millisecond,
	}
	w.list = list
	for _, listed := range w.list {
		w.servers[listed.Name] = &worldServer{world: w, listed: listed, part: listed.Part}
		w.servers[listed.Name].empty()
	}
	zones := []string{"north", "south", "west"}
	for number := range routers {
		calls := New(Options{Router: fmt.Sprintf("courier-%d", number), Zone: zones[number%3],
			Retries: RetryAllowance{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}})
		calls.SetRouterCount(routers)
		calls.SetRouters(routerNames(routers, "courier"))
		calls.SetRouteTable(Compile(plan(configure), 1, 1))
		calls.SetServers(noon, w.list)
		if shape != nil {
			shape(calls)
		}
		w.windows = append(w.windows, calls)
		w.places = append(w.places, zones[number%3])
		number := number
		w.after(w.random.Float64()*milliseconds(w.update), func() { w.renew(number) })
	}
	w.reportsFirstEvents = true
	w.after(0, w.sample)
	return w
}

// crash has a server fail, or go dark; it is listed for two seconds more, and a new one
// in its place comes warming after a while.
func (w *world) crash(name string, dark bool, length time.Duration) {
	server := w.servers[name]
	server.crash(dark)
	w.after(2000, func() { w.relist(name, nil) })
	w.after(milliseconds(length), func() {
		server.down = true
		fresh := server.listed
		fresh.Name, fresh.Address, fresh.Warming, fresh.Part = fresh.Name+"+", fresh.Address+"1", 3*time.Second, server.part
		w.start(fresh)
		w.relist("", &fresh)
		w.after(3000, func() {
			for position := range w.list {
				if w.list[position].Name == fresh.Name {
					w.list[position].Warming = 0
				}
			}
		})
	})
}

// release has servers replaced one after the other: each is shown as leaving, ends
// three seconds later, and its successor comes warming.
func (w *world) release(names []string, interval time.Duration) {
	if len(names) == 0 {
		return
	}
	name := names[0]
	w.list = append([]membership.Server(nil), w.list...)
	for position := range w.list {
		if w.list[position].Name == name {
			w.list[position].Leaving = true
		}
	}
	w.announce()
	w.after(3500, func() { w.crash(name, false, 500*time.Millisecond) })
	w.after(milliseconds(interval), func() { w.release(names[1:], interval) })
}

func (w *world) start(listed membership.Server) {
	w.servers[listed.Name] = &worldServer{world: w, listed: listed, part: listed.Part, handles: map[string]int{}}
	w.servers[listed.Name].empty()
}

// relist takes a server off the list or puts one on it.
func (w *world) relist(gone string, fresh *membership.Server) {
	var next []membership.Server
	for _, server := range w.list {
		if server.Name != gone {
			next = append(next, server)
		}
	}
	if fresh != nil {
		next = append(next, *fresh)
	}
	w.list = next
	w.announce()
}

// announce has the routers know the list a while later.
func (w *world) announce() {
	list := append([]membership.Server(nil), w.list...)
	w.after(800, func() {
		for _, calls := range w.windows {
			calls.SetServers(w.now, list)
		}
	})
}

// order has a server change its part: it ends what runs and is back a while later.
func (w *world) order(name, part string) {
	server := w.servers[name]
	if server.changing || server.part == part {
		return
	}
	w.orders++
	server.changing = true
	var wait func()
	wait = func() {
		if len(server.running)+len(server.waiting) > 0 && !server.down {
			w.after(20, wait)
			return
		}
		w.after(1500, func() {
			server.part, server.changing = part, false
			for position := range w.list {
				if w.list[position].Name == name {
					w.list[position].Part = part
				}
			}
			w.announce()
		})
	}
	wait()
}

// pool has the first router decide on the servers' roles.
func (w *world) pool(pools *RoleBalancer) {
	for _, order := range pools.Decide(w.now, w.windows[0]) {
		w.ordered[order.Server] = order.Part
		for _, calls := range w.windows {
			calls.SetRoleOrders(w.now, w.ordered)
		}
		w.after(200, func() { w.order(order.Server, order.Part) })
	}
	w.after(100, func() { w.pool(pools) })
}

// sample keeps what the servers reported, for the lag.
func (w *world) sample() {
	for _, listed := range w.list {
		server := w.servers[listed.Name]
		server.past = append(server.past, server.report())
		if len(server.past) > 20 {
			server.past = server.past[1:]
		}
	}
	w.after(20, w.sample)
}

func (w *world) renew(number int) {
	var loads []Load
	for _, listed := range w.list {
		server := w.servers[listed.Name]
		if server.down || server.dark {
			continue
		}
		// What is read by one node and handed on is older than the server's own lag.
		old := min(len(server.past), 10)
		if old == 0 {
			continue
		}
		load := server.past[len(server.past)-old]
		load.Age = w.engine.reportLag
		loads = append(loads, load)
	}
	w.windows[number].SetLoads(w.now, loads)
	w.after(milliseconds(w.update), func() { w.renew(number) })
}

// traffic has origins ask from now until a time.
func (w *world) traffic(c class, until time.Time) {
	w.after(w.random.ExpFloat64()*1000/c.perSecond, func() {
		if w.now.After(until) {
			return
		}
		w.arrive(c)
		w.traffic(c, until)
	})
}

func (w *world) arrive(c class) {
	w.calls++
	id := fmt.Sprintf("%s-%d", c.name, w.calls)
	call := &Call{ID: id, Host: c.host, Path: c.path + "x", Model: "m", Deadline: w.now.Add(c.deadline)}
	parent := uint64(0)
	for depth, link := range c.chains {
		thing := link.draw(w.random)
		if depth > 0 {
			// A deeper thing lies under one of those above.
			parent = thing % uint64(c.chains[depth-1].things)
			call.Segments[0] = w.thing(c, 0, parent)
		}
		call.Segments = append(call.Segments, w.thing(c, depth, thing))
	}
	own := max(16, int(drawn(w.random, c.own, c.ownSpread, c.ownMost)))
	call.Segments = append(call.Segments, Segment{ID: nameKey(id), Tokens: own})
	for _, part := range call.Segments {
		call.PromptTokens += part.Tokens
	}
	call.OutputTokens = max(1, int(drawn(w.random, c.chunks, c.spread, c.mostChunks)*float64(w.engine.stride)))
	call.Bytes = c.bytes * call.PromptTokens / int(c.own+c.chains[0].mean+c.chains[1].mean)
	counter := w.counterOf(c.name)
	counter.calls++
	counter.owed += c.weight
	w.owedAt[w.second(w.now)] += c.weight
	number := w.random.IntN(len(w.windows))
	state, decision := w.windows[number].Arrive(w.now, call)
	w.follow(&simulatedCall{class: c, call: call, at: w.now, router: number, state: state}, decision)
}

func (w *world) second(at time.Time) int {
	return min(int(at.Sub(noon)/time.Second), len(w.owedAt)-1)
}

// worst is the share earned in the two worst spans of three seconds.
func (w *world) worst() float64 {
	const length = 3
	var shares []float64
	for start := 0; start+length <= len(w.owedAt); start += length {
		owed, earned := 0.0, 0.0
		for second := start; second < start+length; second++ {
			owed += w.owedAt[second]
			earned += w.earnedAt[second]
		}
		if owed > 0 {
			shares = append(shares, earned/owed)
		}
	}
	sort.Float64s(shares)
	return (shares[0] + shares[1]) / 2
}

// thing is one shared part of a class's prompts, the same each time.
func (w *world) thing(c class, depth int, thing uint64) Segment {
	link := c.chains[depth]
	id := rendezvousWeight(nameKey(c.name)+uint64(depth), thing)
	random := rand.New(rand.NewPCG(id, 3))
	return Segment{ID: id, Tokens: max(16, int(drawn(random, link.mean, link.spread, link.most)))}
}

func (w *world) counterOf(name string) *classCounter {
	counter, found := w.counter[name]
	if !found {
		counter = &classCounter{}
		w.counter[name] = counter
	}
	return counter
}

// asked is one call's way through the world.
type simulatedCall struct {
	class   class
	call    *Call
	at      time.Time
	router  int
	state   *CallState
	first   time.Time
	longest time.Duration
	log     string
}

func (w *world) way(router int, server *worldServer) float64 {
	if w.places[router] == server.listed.Zone {
		return w.engine.inZone
	}
	return w.engine.betweenZones
}

func (w *world) follow(a *simulatedCall, decision Decision) {
	w.sendChanges(a.router)
	counter := w.counterOf(a.class.name)
	for _, source := range decision.Release {
		w.free(source)
	}
	switch decision.Kind {
	case QueryBacklog:
		w.consult(a, decision)
	case Prefill, Generate:
		w.dispatch(a, decision)
	case Refuse:
		if decision.Cause.NeverRan() {
			counter.refused++
		} else {
			counter.lost++
		}
		if w.onLost != nil {
			w.onLost(a, decision)
		}
	case Done:
		counter.served++
		took := a.first.Sub(a.at) + 2*time.Millisecond
		counter.first = append(counter.first, milliseconds(took))
		switch {
		case took <= a.class.target && a.longest <= a.class.gap:
			counter.onTarget++
			counter.earned += a.class.weight
			w.earnedAt[w.second(a.at)] += a.class.weight
		default:
			if a.longest > a.class.gap {
				counter.paused++
			}
			counter.late++
			if w.onLate != nil {
				w.onLate(a, took)
			}
			counter.earned += a.class.late
			w.earnedAt[w.second(a.at)] += a.class.late
		}
	default:
		counter.broken++
	}
}

// consult brings a call's requests to the owners of counts and back.
func (w *world) consult(a *simulatedCall, decision Decision) {
	router := strconv.Itoa(a.router)
	answers := map[string]backlog.Response{}
	w.after(askTakes/2, func() {
		for _, question := range decision.BacklogRequests {
			question.Router = router
			answers[question.Group] = w.backlogTable.Apply(w.now, question)
			w.asked++
		}
	})
	w.after(askTakes, func() {
		w.follow(a, w.windows[a.router].BacklogReported(w.now, a.state, answers))
	})
}

// askTakes is how many milliseconds a request to an owner takes there and back, sendAfter
// how long it takes until a change is sent.
const (
	askTakes  = 3.0
	sendAfter = 2.0
)

// sendChanges brings a router's changes to the owners of counts.
func (w *world) sendChanges(router int) {
	if !w.windows[router].HasBacklogChanges() {
		return
	}
	w.after(sendAfter, func() {
		for group, changes := range w.windows[router].TakeBacklogChanges() {
			w.backlogTable.Apply(w.now, backlog.Request{Router: strconv.Itoa(router), Group: group, Changes: changes})
			w.updatedAt++
		}
	})
}

// rank tells which prefill server of the call's chain a server is.
func (w *world) rank(call *Call, server *worldServer) string {
	weight := func(s *worldServer) uint64 { return rendezvousWeight(call.chainKey(), nameKey(s.listed.Name)) }
	rank := 0
	for _, other := range w.servers {
		if other.part == prefill && weight(other) > weight(server) {
			rank++
		}
	}
	return fmt.Sprintf(" %d", rank)
}

func (w *world) free(source Source) {
	for _, server := range w.servers {
		if server.listed.Address == source.Address {
			server.pinned -= server.handles[source.Handle]
			delete(server.handles, source.Handle)
		}
	}
}

func (w *world) dispatch(a *simulatedCall, decision Decision) {
	server := w.servers[decision.Server.Name]
	way := w.way(a.router, server)
	a.log += fmt.Sprintf("%s %s +%dms unread %d expected %v; ", decision.Kind, decision.Server.Name,
		w.now.Sub(a.at).Milliseconds(), a.state.dispatch.uncached, a.state.dispatch.expected)
	w.dispatches++
	ends := connectionEnds{a.router, decision.Server.Name}
	idle, known := w.idle[ends]
	if !known {
		idle = &idleConnections{}
		w.idle[ends] = idle
	}
	if !idle.available(w.now) {
		w.opened++
	}
	idle.take(w.now)
	if way != w.engine.inZone {
		w.crossed += float64(a.call.Bytes) / 1e9
	}
	done := false
	var job_ *job
	end := func(outcome Outcome) {
		if done {
			return
		}
		done = true
		if outcome.Result == Complete {
			outcome.KeepAlive = keepAlive
			idle.give(w.now, keepAlive)
		}
		if job_ != nil {
			job_.gone = true
			a.longest = max(a.longest, job_.longest)
		}
		w.follow(a, w.windows[a.router].Ended(w.now, a.state, outcome))
	}
	if decision.ResponseTimeout > 0 {
		w.after(milliseconds(decision.ResponseTimeout), func() {
			if job_ == nil || !job_.started {
				end(Outcome{Result: TimedOut})
			}
		})
	}
	w.after(milliseconds(decision.Deadline.Sub(w.now)), func() {
		if job_ != nil && job_.started {
			end(Outcome{Result: Interrupted, FirstByte: a.first})
		} else {
			end(Outcome{Result: TimedOut})
		}
	})
	w.after(way, func() {
		switch {
		case server.down:
			w.after(way, func() { end(Outcome{Result: Unreachable}) })
			return
		case server.dark:
			return
		}
		server.arrivals = append(server.arrivals, w.now)
		turn := func(result Result) {
			w.after(way, func() {
				end(Outcome{Result: result, Status: 503, Load: &ResponseLoad{
					Running: len(server.running),
					Waiting: len(server.waiting),
					Slots:   w.engine.slots,
				}})
			})
		}
		if server.changing {
			turn(NotStarted)
			return
		}
		if decision.Kind == Prefill != (server.part == prefill) {
			turn(Misdirected)
			return
		}
		j := &job{call: a.call, reads: decision.Kind == Prefill, left: a.call.OutputTokens, tokens: a.call.PromptTokens}
		job_ = j
		j.way = a.class.name + " " + string(decision.Kind)
		if j.reads {
			j.way += w.rank(a.call, server)
		}
		j.believed = a.state.dispatch.uncached
		if !j.reads {
			j.tokens += a.call.OutputTokens
		}
		j.first = func() {
			if !a.first.IsZero() {
				return
			}
			a.first = w.now.Add(span(way))
			if w.reportsFirstEvents {
				w.after(way, func() { w.windows[a.router].Began(w.now, a.state) })
			}
		}
		j.ended = func(result Result) {
			outcome := Outcome{Result: result, FirstByte: a.first}
			if j.reads && result == Complete {
				handle := fmt.Sprintf("h%d", w.sequence)
				server.handles[handle] = j.tokens
				outcome = Outcome{Result: Complete, Handle: handle}
				w.after(5000, func() {
					if _, reserved := server.handles[handle]; reserved {
						server.pinned -= server.handles[handle]
						delete(server.handles, handle)
					}
				})
			}
			outcome.Load = &ResponseLoad{Running: len(server.running), Waiting: len(server.waiting), Slots: w.engine.slots}
			if result != Complete {
				outcome.Load = nil
			}
			w.after(way, func() { end(outcome) })
		}
		b := func() {
			if server.down || server.dark || done {
				return
			}
			if !server.take(j) {
				turn(NotStarted)
			}
		}
		if decision.Source == nil {
			w.after(w.engine.first, b)
			return
		}
		w.move(server, a.call, *decision.Source, j, b, turn)
	})
}

func (w *world) move(server *worldServer, call *Call, source Source, j *job, b func(), turn func(Result)) {
	var prefillServer *worldServer
	for _, other := range w.servers {
		if other.listed.Address == source.Address {
			prefillServer = other
		}
	}
	reserved, found := prefillServer.handles[source.Handle]
	if prefillServer.down || prefillServer.dark || prefillServer.refuses || !found {
		turn(NotStarted)
		return
	}
	delete(prefillServer.handles, source.Handle)
	gigabytes := float64(call.PromptTokens) * w.engine.bytesAToken / 1e9
	took := w.engine.setup + gigabytes*8e9/w.engine.linkBitsAMilli
	took *= max(server.slowLink, prefillServer.slowLink, 1)
	if prefillServer.listed.Zone != server.listed.Zone {
		took *= 2
		w.farMoves += gigabytes
	} else {
		w.nearMoves += gigabytes
	}
	start := server.linkFree
	if start.Before(w.now) {
		start = w.now
	}
	if start.Sub(w.now) > 2*time.Second {
		turn(NotStarted)
		return
	}
	server.linkFree = start.Add(span(took))
	w.after(milliseconds(server.linkFree.Sub(w.now)), func() {
		prefillServer.pinned -= reserved
		j.moved, j.unread = true, 0
		server.keep(call.Segments)
		b()
	})
}

// String tells how the world's calls went.
func (w *world) String() string {
	text := ""
	var names []string
	for name := range w.counter {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		counter := w.counter[name]
		text += fmt.Sprintf("%s: worth %.3f, in aim %.3f, late %d (pauses %d), refused %d, lost %d, broken %d, ", name,
			counter.earned/counter.owed, float64(counter.onTarget)/float64(counter.calls),
			counter.late, counter.paused, counter.refused, counter.lost, counter.broken)
		text += fmt.Sprintf("first event p50 %.0f p95 %.0f p99 %.0f ms\n",
			counter.at(0.5), counter.at(0.95), counter.at(0.99))
	}
	names = nil
	for name := range w.ways {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		way := w.ways[name]
		text += fmt.Sprintf("  %s: %d, again %d, unread %d believed %d\n", name, way.count, way.again, way.unread, way.believed)
	}
	return text + fmt.Sprintf("read %d tokens, shared %d, again %d; moves near %.1f far %.1f GB; "+
		"bodies crossed %.4f GB; %d dispatches for %d calls",
		w.read, w.sharedRead, w.sharedAgain, w.nearMoves, w.farMoves, w.crossed, w.dispatches, w.calls)
}
