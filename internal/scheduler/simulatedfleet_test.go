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

// simulation is a simulated small fleet in virtual time: routers with a scheduler each, model servers that
// work in steps, and origins that send calls. Its purpose is to compare scheduling decisions; its
// servers are not an accurate model of real servers.
type simulation struct {
	now   time.Time
	queue eventQueue
	// sequence is the number of scheduled events; it orders events of the same time.
	sequence    int
	random      *rand.Rand
	engine      engineModel
	schedulers  []*Scheduler
	routerZones []string
	// servers holds all servers that were ever listed, by name; list holds those listed now.
	servers map[string]*simulatedServer
	list    []membership.Server
	// counter holds the outcomes of the calls by the name of their class.
	counter map[string]*classCounter
	// seen holds the shared segments that any server has read.
	seen map[uint64]bool

	// Prompt tokens that were read: shared ones, shared ones that some server had read before, and all.
	sharedRead, sharedReread, read int
	// Gigabytes of KV caches that were transferred, and of request bodies sent to another zone.
	sameZoneTransfers, crossZoneTransfers float64
	crossZoneBodies                       float64
	orders, dispatches, connectionsOpened int
	// idle holds the routers' idle connections to the servers.
	idle map[connectionEnds]*idleConnections
	// backlogTable holds the backlog counts of all owners.
	backlogTable                    backlog.Table
	backlogRequests, backlogUpdates int
	// reportInterval is the interval at which each router receives load reports.
	reportInterval   time.Duration
	calls            int
	dispatchCounters map[string]*dispatchCounter
	// ordered holds the roles that servers were ordered to take, by server name.
	ordered map[string]string
	// reportsFirstEvents is set if routers report the first event of each answer to their schedulers.
	reportsFirstEvents bool
	// crossZonePrice is the price of a gigabyte of request bodies that are sent to another zone.
	crossZonePrice float64
	prices         prices
	// For the calls that arrived in each second: the value if all had been answered in time, and the value
	// that they earned.
	possibleBySecond, earnedBySecond [60]float64
	// onRefused and onLate, if set, are called for each call that is refused, whether or not it may have
	// run, and for each call that is late.
	onRefused func(*simulatedCall, Decision)
	onLate    func(*simulatedCall, time.Duration)
}

// dispatchCounter counts the dispatches of one group (see job.dispatchGroup) that had to read their
// prompts. reread is the number of shared tokens that a server had read before, estimatedUncached the
// scheduler's estimate of the tokens to read, and unread the actual number of these.
type dispatchCounter struct{ count, reread, estimatedUncached, unread int }

// dispatchCounterOf returns the counter of a dispatch group, which is created at its first use.
func (sim *simulation) dispatchCounterOf(name string) *dispatchCounter {
	found, known := sim.dispatchCounters[name]
	if !known {
		found = &dispatchCounter{}
		sim.dispatchCounters[name] = found
	}
	return found
}

// connectionEnds are the router and the server that a connection joins.
type connectionEnds struct {
	router int
	server string
}

// keepAlive is how long servers keep an idle connection open.
const keepAlive = 9700 * time.Millisecond

// engineModel holds the parameters of the simulated servers. Times are in milliseconds unless they are
// durations.
type engineModel struct {
	// The duration of a step: the fixed part, the part for each run, and the part for each thousand
	// tokens of the runs' contexts.
	stepTime, stepTimePerRun, stepTimePerThousand float64
	// The rate of prefills, the time added for a million pairs of a prompt token and a token before
	// it, the delay before a call without a transfer starts, and the fixed time of a transfer.
	prefillTokensPerMillisecond, attentionCost, startDelay, transferSetup float64
	// The maximum number of prompt tokens that a step reads, the tokens that fit into the KV cache memory,
	// the output tokens in an event, and the maximum number of calls that run at once.
	chunkTokens, memoryTokens, tokensPerEvent, slots int
	// The size of the KV cache of a token, and the rate of the link for transfers.
	bytesPerToken, linkBitsPerMillisecond float64
	// The age that load reports state.
	reportLag time.Duration
	// The one-way network delays.
	sameZoneDelay, crossZoneDelay float64
}

// defaultEngine returns the parameters that the sites start from.
func defaultEngine() engineModel {
	return engineModel{stepTime: 3.09, stepTimePerRun: 0.102, stepTimePerThousand: 0.00183,
		prefillTokensPerMillisecond: 56.9, attentionCost: 0.165, startDelay: 13, transferSetup: 3.3,
		chunkTokens: 4096, memoryTokens: 295_740, tokensPerEvent: 11, slots: 64, bytesPerToken: 18_432, linkBitsPerMillisecond: 550e6,
		reportLag: 100 * time.Millisecond, sameZoneDelay: 0.2, crossZoneDelay: 0.9}
}

// prices holds the costs, in units of the value of calls, of transferring a gigabyte of KV cache within
// a zone, of reading a thousand shared tokens once more, and of opening a connection.
type prices struct{ transfer, reread, connection float64 }

// site is a deployment: its routers, servers, traffic and prices.
type site struct {
	name           string
	routers        int
	list           []membership.Server
	engine         engineModel
	long           class
	chat           class
	crossZonePrice float64
	prices         prices
	// configure, if not nil, changes the configuration.
	configure func(*config.Configuration)
}

// ninety returns a deployment with 90 routers and 90 servers that read prompts slowly. Its calls with long
// prompts have a single attempt.
func ninety() site {
	s := site{
		name:           "ninety",
		routers:        90,
		list:           serversWithPrefillPerZone(90, 12),
		engine:         defaultEngine(),
		long:           longClass(),
		chat:           chatClass(),
		crossZonePrice: 1800,
		prices:         prices{0.05, 0.16, 0.06},
	}
	s.engine = engineModel{stepTime: 6.12, stepTimePerRun: 0.0234, stepTimePerThousand: 0.0131,
		prefillTokensPerMillisecond: 32.4, attentionCost: 1.18, startDelay: 64, transferSetup: 3.3,
		chunkTokens: 2048, memoryTokens: 198_631, tokensPerEvent: 8, slots: 48, bytesPerToken: 131_072, linkBitsPerMillisecond: 630e6,
		reportLag: 100 * time.Millisecond, sameZoneDelay: 0.2, crossZoneDelay: 0.9}
	s.long.perSecond, s.long.chains[1].distinct, s.long.chains[1].skew, s.long.maxOwnTokens = 130, 735, 0.3, 18_300
	s.long.outputEvents, s.long.outputSpread, s.long.maxOutputEvents, s.long.bytes = 6.51, 1.4, 26, 9200
	s.long.value, s.long.lateValue, s.long.target, s.long.deadline, s.long.maxGap =
		2, 0.6, 800*time.Millisecond, 4*time.Second, 200*time.Millisecond
	s.chat.perSecond, s.chat.chains[1].distinct, s.chat.chains[1].skew, s.chat.bytes = 163, 922, 0.3, 830
	s.chat.outputEvents, s.chat.maxOutputEvents = 36.4, 119
	s.chat.value, s.chat.lateValue, s.chat.target, s.chat.deadline, s.chat.maxGap =
		3, 0.9, 400*time.Millisecond, 12*time.Second, 200*time.Millisecond
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
		long.Timeout, long.LatencyTarget, long.MaxEventGap, long.Priority, long.MaxAttempts, long.Resumable =
			s.long.deadline, s.long.target, s.long.maxGap, 1, 1, false
		chat.Timeout, chat.LatencyTarget, chat.MaxEventGap, chat.Priority, chat.MaxAttempts, chat.Resumable =
			s.chat.deadline, s.chat.target, s.chat.maxGap, 0, 2, true
	}
	return s
}

// nine returns a deployment with 9 routers and 9 servers.
func nine() site {
	return site{
		name:           "nine",
		routers:        9,
		list:           serversWithPrefillPerZone(9, 1),
		engine:         defaultEngine(),
		long:           longClass(),
		chat:           chatClass(),
		crossZonePrice: 1500,
		prices:         prices{0.36, 0.15, 0.012},
	}
}

// twelve returns a deployment with 10 routers and 12 servers.
func twelve() site {
	s := site{
		name:           "twelve",
		routers:        10,
		list:           serversWithPrefillPerZone(12, 2),
		engine:         defaultEngine(),
		long:           longClass(),
		chat:           chatClass(),
		crossZonePrice: 6900,
		prices:         prices{0.36, 0.15, 0.012},
	}
	s.engine.stepTime, s.engine.stepTimePerRun, s.engine.prefillTokensPerMillisecond, s.engine.startDelay, s.engine.transferSetup =
		3.79, 0.0893, 56.6, 16, 5
	s.engine.tokensPerEvent, s.engine.memoryTokens, s.engine.linkBitsPerMillisecond, s.engine.reportLag =
		9, 319_972, 370e6, 200*time.Millisecond
	s.long.perSecond, s.long.chains[1].distinct, s.long.lateValue = 30.4, 172, 1.5
	s.long.outputEvents, s.long.maxOutputEvents = 5.78, 23.1
	s.chat.perSecond, s.chat.chains[0].distinct, s.chat.chains[1].distinct, s.chat.lateValue = 37.8, 20, 142, 1
	s.chat.outputEvents, s.chat.maxOutputEvents = 32.4, 106
	return s
}

// sixty returns a deployment with 85 routers and 60 servers.
func sixty() site {
	s := site{
		name:           "sixty",
		routers:        85,
		list:           serversWithPrefillPerZone(60, 8),
		engine:         defaultEngine(),
		long:           longClass(),
		chat:           chatClass(),
		crossZonePrice: 2200,
		prices:         prices{0.36, 0.15, 0.012},
	}
	s.engine.memoryTokens, s.engine.tokensPerEvent = 276_487, 14
	s.long.perSecond, s.long.chains[1].distinct, s.long.bytes, s.long.target = 136, 512, 9200, 500*time.Millisecond
	s.long.outputEvents, s.long.maxOutputEvents, s.long.maxGap = 3.72, 14.9, 300*time.Millisecond
	s.chat.perSecond, s.chat.chains[0].distinct, s.chat.chains[1].distinct, s.chat.bytes = 171, 80, 968, 830
	s.chat.outputEvents, s.chat.maxOutputEvents, s.chat.target, s.chat.maxGap = 20.8, 68.1, 600*time.Millisecond, 300*time.Millisecond
	return s
}

// simulation returns a simulation of the site, without traffic. changeScheduler, if not nil, is applied to each
// scheduler.
func (s site) simulation(seed uint64, changeScheduler func(*Scheduler)) *simulation {
	sim := newSimulationWithServers(seed, s.routers, append([]membership.Server(nil), s.list...), s.configure, changeScheduler)
	sim.engine, sim.crossZonePrice, sim.prices = s.engine, s.crossZonePrice, s.prices
	return sim
}

// startupTime is how long the fleet runs before traffic starts.
const startupTime = 8 * time.Second

// play runs the simulation with the site's usual traffic, multiplied by factor, for the given time, and
// then for 10 more seconds, in which the calls end.
func (s site) play(sim *simulation, factor float64, length time.Duration) {
	long, chat := s.long, s.chat
	long.perSecond *= factor
	chat.perSecond *= factor
	until := sim.now.Add(length)
	sim.traffic(long, until)
	sim.traffic(chat, until)
	sim.run(until.Add(10 * time.Second))
}

// scheduledEvent is an action at a point in virtual time.
type scheduledEvent struct {
	at       time.Time
	sequence int
	act      func()
}

// eventQueue is a heap of events, the earliest first. Events of the same time are in the order in which they
// were scheduled.
type eventQueue []scheduledEvent

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(left, right int) bool {
	if !queue[left].at.Equal(queue[right].at) {
		return queue[left].at.Before(queue[right].at)
	}
	return queue[left].sequence < queue[right].sequence
}
func (queue eventQueue) Swap(left, right int) {
	queue[left], queue[right] = queue[right], queue[left]
}
func (queue *eventQueue) Push(value any) { *queue = append(*queue, value.(scheduledEvent)) }
func (queue *eventQueue) Pop() any {
	old := *queue
	last := old[len(old)-1]
	*queue = old[:len(old)-1]
	return last
}

// after schedules an action in the given number of milliseconds.
func (sim *simulation) after(milliseconds float64, act func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now.Add(fromMilliseconds(milliseconds)), sequence: sim.sequence, act: act})
}

// run executes the scheduled events until the given time.
func (sim *simulation) run(until time.Time) {
	for len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.act()
	}
	sim.now = until
}

// simulatedServer is a simulated model server.
type simulatedServer struct {
	simulation *simulation
	listed     membership.Server
	role       string
	down       bool
	// unresponsive is set once the server no longer sends anything.
	unresponsive bool
	// changing is set while the server carries out an order to change its role.
	changing bool
	// failsTransfers makes all KV cache transfers from the server fail. linkSlowdown is the factor by which
	// transfers take longer, and slowdown that by which steps take longer; values below 1 count as 1.
	failsTransfers bool
	linkSlowdown   float64
	slowdown       float64
	// incarnation is the number of crashes.
	incarnation int
	waiting     []*job
	running     []*job
	// working is set while a step is in progress.
	working bool
	// The prefix cache: its segments by ID, their order of use, and the sum of their tokens.
	cache            map[uint64]*list.Element
	order            *list.List
	cachedTokenCount int
	// reservedTokens is the memory, in tokens, of the admitted calls and of the handles.
	reservedTokens int
	// handles holds the KV caches of completed prefills that wait for their run: their tokens by handle.
	handles map[string]int
	// linkFree is when the server's link is free for the next transfer.
	linkFree time.Time
	// pastReports holds the latest load reports, the newest last.
	pastReports []Load
	arrivals    []time.Time
}

// simulatedSegment is a segment in a server's prefix cache.
type simulatedSegment struct {
	id     uint64
	tokens int
}

// job is a dispatch at a server.
type job struct {
	call      *Call
	isPrefill bool
	// incarnation is the server's incarnation when it took the job.
	incarnation int
	// transferred is set if the prompt's KV cache was transferred to the server.
	transferred bool
	// unread is the number of prompt tokens that are still to be read, outputTokens the number of tokens in
	// the answer, and generated how many of these were generated so far.
	unread       int
	outputTokens int
	generated    int
	// started is set once the first event was sent. lastEvent is the time of the last event, and
	// longestGap the longest gap between two events.
	started    bool
	lastEvent  time.Time
	longestGap time.Duration
	// tokens is the memory that the job takes up, in tokens.
	tokens       int
	onFirstEvent func()
	onEnd        func(Result)
	// abandoned is set once the router no longer waits for the job.
	abandoned bool
	// dispatchGroup is the class and kind of the dispatch and, for a prefill, the server's rank.
	dispatchGroup string
	// estimatedUncached is the scheduler's estimate of the tokens to read.
	estimatedUncached int
}

// cachedTokensOf returns how many leading tokens of a prompt are cached. If use is set, their segments become
// the most recently used ones.
func (server *simulatedServer) cachedTokensOf(prompt []Segment, use bool) int {
	tokens := 0
	for _, segment := range prompt {
		entry, found := server.cache[segment.ID]
		if !found || entry.Value.(*simulatedSegment).tokens < segment.Tokens {
			break
		}
		if use {
			server.order.MoveToFront(entry)
		}
		tokens += segment.Tokens
	}
	return tokens
}

// addToCache caches a prompt's segments. While the memory is full, it evicts the least recently used segment.
func (server *simulatedServer) addToCache(prompt []Segment) {
	for position := len(prompt) - 1; position >= 0; position-- {
		segment := prompt[position]
		if entry, found := server.cache[segment.ID]; found {
			cached := entry.Value.(*simulatedSegment)
			server.cachedTokenCount += max(0, segment.Tokens-cached.tokens)
			cached.tokens = max(cached.tokens, segment.Tokens)
			server.order.MoveToFront(entry)
			continue
		}
		server.cache[segment.ID] = server.order.PushFront(&simulatedSegment{id: segment.ID, tokens: segment.Tokens})
		server.cachedTokenCount += segment.Tokens
	}
	for server.cachedTokenCount+server.reservedTokens > server.simulation.engine.memoryTokens && server.order.Len() > 0 {
		evicted := server.order.Remove(server.order.Back()).(*simulatedSegment)
		server.cachedTokenCount -= evicted.tokens
		delete(server.cache, evicted.id)
	}
}

// queueJob adds a job to the waiting ones. It returns false if the server rejects the job, because 192 jobs
// wait already or the job needs more memory than the server has.
func (server *simulatedServer) queueJob(j *job) bool {
	engine := server.simulation.engine
	if len(server.waiting) >= 192 || j.tokens > engine.memoryTokens {
		return false
	}
	j.incarnation = server.incarnation
	server.waiting = append(server.waiting, j)
	server.startStep()
	return true
}

// startStep begins the next step if none is in progress and there are jobs to run. A step reads a chunk of
// the prompt of one job, the first that has unread tokens, and generates a token for each job without unread
// tokens. A decode server reads prompts at half the rate and in chunks of a quarter of the size.
func (server *simulatedServer) startStep() {
	if server.working || server.down || server.unresponsive {
		return
	}
	server.admit()
	if len(server.running) == 0 {
		return
	}
	server.working = true
	engine := server.simulation.engine
	duration := engine.stepTime
	generating, context := 0, 0
	var reading *job
	for _, j := range server.running {
		if j.unread > 0 {
			if reading == nil {
				reading = j
			}
			continue
		}
		generating++
		context += j.tokens
	}
	duration += engine.stepTimePerRun*float64(generating) + engine.stepTimePerThousand*float64(context)/1000
	chunk := 0
	if reading != nil {
		rate, chunkTokens := engine.prefillTokensPerMillisecond, engine.chunkTokens
		if server.role == decode {
			rate, chunkTokens = rate/2, chunkTokens/4
		}
		chunk = min(reading.unread, chunkTokens)
		done := reading.call.PromptTokens - reading.unread
		duration += float64(chunk)/rate + engine.attentionCost*float64(chunk)*(float64(done)+float64(chunk)/2)/1e6
	}
	duration *= max(server.slowdown, 1)
	incarnation := server.incarnation
	server.simulation.after(duration, func() {
		server.working = false
		if incarnation != server.incarnation {
			return
		}
		server.finishStep(reading, chunk)
		server.startStep()
	})
}

// admit starts the waiting jobs in order of arrival, as long as slots and memory allow.
func (server *simulatedServer) admit() {
	for len(server.waiting) > 0 && len(server.running) < server.simulation.engine.slots {
		j := server.waiting[0]
		if server.reservedTokens+j.tokens > server.simulation.engine.memoryTokens {
			return
		}
		server.waiting = server.waiting[1:]
		if j.abandoned {
			continue
		}
		if !j.transferred {
			cachedTokens := server.cachedTokensOf(j.call.Segments, true)
			j.unread = max(j.call.PromptTokens-cachedTokens, 1)
			reread := server.simulation.sharedReread
			server.simulation.countRead(j.call, cachedTokens)
			counter := server.simulation.dispatchCounterOf(j.dispatchGroup)
			counter.count++
			counter.reread += server.simulation.sharedReread - reread
			counter.unread += j.unread
			counter.estimatedUncached += j.estimatedUncached
		}
		server.reservedTokens += j.tokens
		server.running = append(server.running, j)
	}
}

// countRead counts the tokens of a prompt that a server has to read because they are not cached.
func (sim *simulation) countRead(call *Call, cachedTokens int) {
	at := 0
	for position, segment := range call.Segments {
		if at >= cachedTokens {
			sim.read += segment.Tokens
			if position < len(call.Segments)-1 {
				sim.sharedRead += segment.Tokens
				if sim.seen[segment.ID] {
					sim.sharedReread += segment.Tokens
				}
				sim.seen[segment.ID] = true
			}
		}
		at += segment.Tokens
	}
}

// finishStep applies the results of a step: the chunk that was read for the job reading, and one token for
// each job without unread tokens.
func (server *simulatedServer) finishStep(reading *job, chunk int) {
	now := server.simulation.now
	var remaining []*job
	for _, j := range server.running {
		switch {
		case j.abandoned:
			server.reservedTokens -= j.tokens
			continue
		case j == reading:
			j.unread -= chunk
			if j.unread == 0 {
				server.addToCache(j.call.Segments)
			}
			if j.unread == 0 && j.isPrefill {
				server.simulation.after(0, func() { j.onEnd(Complete) })
				continue
			}
		case j.unread == 0:
			j.generated++
			if j.generated%server.simulation.engine.tokensPerEvent == 0 || j.generated >= j.outputTokens {
				if !j.started {
					j.started = true
					j.onFirstEvent()
				} else {
					j.longestGap = max(j.longestGap, now.Sub(j.lastEvent))
				}
				j.lastEvent = now
			}
			if j.generated >= j.outputTokens {
				server.reservedTokens -= j.tokens
				j.onEnd(Complete)
				continue
			}
		}
		remaining = append(remaining, j)
	}
	server.running = remaining
}

// clearCaches clears the prefix cache and the handles.
func (server *simulatedServer) clearCaches() {
	server.cache, server.order, server.cachedTokenCount, server.handles = map[uint64]*list.Element{}, list.New(), 0, map[string]int{}
}

// crash ends all work of the server and clears its caches. If the server becomes unresponsive, its calls get
// no response. Otherwise their connections are closed: started ones are interrupted, and the others count as
// timed out.
func (server *simulatedServer) crash(unresponsive bool) {
	jobs := append(append([]*job(nil), server.waiting...), server.running...)
	server.incarnation++
	server.waiting, server.running, server.reservedTokens = nil, nil, 0
	server.clearCaches()
	server.working = false
	if unresponsive {
		server.unresponsive = true
		return
	}
	server.down = true
	for _, j := range jobs {
		switch {
		case j.started:
			j.onEnd(Interrupted)
		default:
			j.onEnd(TimedOut)
		}
	}
}

// report returns the server's present load report.
func (server *simulatedServer) report() Load {
	return Load{Server: server.listed.Name, Role: server.role, ChangingRole: server.changing,
		Waiting: len(server.waiting), Running: len(server.running),
		MemoryUsed: server.reservedTokens, MemoryTotal: server.simulation.engine.memoryTokens}
}

// classCounter counts the outcomes of the calls of one class. Of the calls that the router refused, refused
// counts those that never ran, and lost those that may have run. broken counts the calls that ended with an
// error response or an incomplete stream. The complete calls are served; each of them is either onTarget or
// late, and gapExceeded counts the late ones with a gap above maxGap.
type classCounter struct {
	possibleValue, earnedValue float64
	calls, onTarget            int
	late, lost                 int
	refused                    int
	gapExceeded                int
	firstEventMilliseconds     []float64
	served, broken             int
}

// percentile returns the latency until the first event, in milliseconds, that the given share of the
// calls did not exceed.
func (c *classCounter) percentile(share float64) float64 {
	if len(c.firstEventMilliseconds) == 0 {
		return 0
	}
	sort.Float64s(c.firstEventMilliseconds)
	return c.firstEventMilliseconds[min(len(c.firstEventMilliseconds)-1, int(share*float64(len(c.firstEventMilliseconds))))]
}

// class is a class of calls.
type class struct {
	name       string
	host, path string
	perSecond  float64
	// chains describes the shared segments of a prompt.
	chains []chainLink
	// Distribution of the tokens in a prompt's last segment, and of the events in an answer.
	own, ownSpread             float64
	maxOwnTokens               float64
	outputEvents, outputSpread float64
	maxOutputEvents            float64
	// bytes is the size of the request body for a prompt of average length.
	bytes int
	// The value of a call that is on target, and that of a late call.
	value, lateValue float64
	// target is the latency target of the first event, deadline the time limit of a call, and maxGap the
	// longest gap between events with which a call is on target.
	target, deadline time.Duration
	maxGap           time.Duration
}

// chainLink describes one of the shared segments of a class's prompts: the log-normal distribution of its
// tokens, and the number of distinct segments.
type chainLink struct {
	mean, spread, maxTokens float64
	distinct                int
	// skew is the exponent of the segments' popularity; zero makes all equally popular.
	skew float64
}

// draw returns the index of a random segment of the link.
func (c chainLink) draw(random *rand.Rand) uint64 {
	if c.skew == 0 {
		return uint64(random.IntN(c.distinct))
	}
	return min(uint64(float64(c.distinct)*math.Pow(random.Float64(), 1/(1-c.skew))), uint64(c.distinct-1))
}

// longClass has long prompts and short answers.
func longClass() class {
	return class{name: "long", host: "long.example", path: "/ask/", perSecond: 22.2,
		chains: []chainLink{{2520, 0.4, 6290, 4, 0}, {3780, 0.7, 11300, 84, 0}}, own: 2890, ownSpread: 1, maxOwnTokens: 39600,
		outputEvents: 4.73, outputSpread: 1.4, maxOutputEvents: 18.9, bytes: 18000, value: 3, lateValue: 0.9,
		target: 400 * time.Millisecond, deadline: 3 * time.Second, maxGap: 250 * time.Millisecond}
}

// chatClass has short prompts and longer answers.
func chatClass() class {
	return class{name: "chat", host: "chat.example", path: "/", perSecond: 28,
		chains: []chainLink{{119, 0.4, 298, 40, 0}, {79.4, 0.7, 238, 158, 0}}, own: 628, ownSpread: 1, maxOwnTokens: 3310,
		outputEvents: 26.5, outputSpread: 0.69, maxOutputEvents: 86.7, bytes: 1700, value: 2, lateValue: 0.6,
		target: 500 * time.Millisecond, deadline: 8 * time.Second, maxGap: 250 * time.Millisecond}
}

// logNormal returns a random number of the log-normal distribution with the given mean, reduced to limit if
// it is higher. spread is the standard deviation of the number's logarithm.
func logNormal(random *rand.Rand, mean, spread, limit float64) float64 {
	return min(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2), limit)
}

// newSimulation returns a simulation with the default engine and the given numbers of routers and servers.
func newSimulation(seed uint64, routers, count int, changeScheduler func(*Scheduler)) *simulation {
	return newSimulationWithServers(seed, routers, servers(count), nil, changeScheduler)
}

// newSimulationWithServers returns a simulation with the given servers. configure and changeScheduler, if not nil,
// change the configuration and each scheduler.
func newSimulationWithServers(
	seed uint64, routers int, list []membership.Server,
	configure func(*config.Configuration), changeScheduler func(*Scheduler),
) *simulation {
	sim := &simulation{
		now:              noon,
		random:           rand.New(rand.NewPCG(seed, 7)),
		engine:           defaultEngine(),
		servers:          map[string]*simulatedServer{},
		counter:          map[string]*classCounter{},
		seen:             map[uint64]bool{},
		dispatchCounters: map[string]*dispatchCounter{},
		idle:             map[connectionEnds]*idleConnections{},
		ordered:          map[string]string{},
		reportInterval:   400 * time.Millisecond,
	}
	sim.list = list
	for _, listed := range sim.list {
		sim.servers[listed.Name] = &simulatedServer{simulation: sim, listed: listed, role: listed.Role}
		sim.servers[listed.Name].clearCaches()
	}
	zones := []string{"north", "south", "west"}
	for number := range routers {
		sched := New(Options{Router: fmt.Sprintf("courier-%d", number), Zone: zones[number%3],
			Retries: RetryAllowance{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}})
		sched.SetRouterCount(routers)
		sched.SetRouters(routerNames(routers, "courier"))
		sched.SetRouteTable(Compile(testConfiguration(configure), 1, 1))
		sched.SetServers(noon, sim.list)
		if changeScheduler != nil {
			changeScheduler(sched)
		}
		sim.schedulers = append(sim.schedulers, sched)
		sim.routerZones = append(sim.routerZones, zones[number%3])
		number := number
		sim.after(sim.random.Float64()*milliseconds(sim.reportInterval), func() { sim.sendReports(number) })
	}
	sim.reportsFirstEvents = true
	sim.after(0, sim.recordReports)
	return sim
}

// crash makes a server crash or become unresponsive. The server stays listed for two more seconds. A new
// server in slow start replaces it after the given time.
func (sim *simulation) crash(name string, unresponsive bool, length time.Duration) {
	server := sim.servers[name]
	server.crash(unresponsive)
	sim.after(2000, func() { sim.relist(name, nil) })
	sim.after(milliseconds(length), func() {
		server.down = true
		added := server.listed
		added.Name, added.Address, added.Warming, added.Role = added.Name+"+", added.Address+"1", 3*time.Second, server.role
		sim.addServer(added)
		sim.relist("", &added)
		sim.after(3000, func() {
			for position := range sim.list {
				if sim.list[position].Name == added.Name {
					sim.list[position].Warming = 0
				}
			}
		})
	})
}

// rollingUpdate replaces servers one after the other: each is listed as leaving, ends 3.5 seconds later, and is
// replaced by a server in slow start.
func (sim *simulation) rollingUpdate(names []string, interval time.Duration) {
	if len(names) == 0 {
		return
	}
	name := names[0]
	sim.list = append([]membership.Server(nil), sim.list...)
	for position := range sim.list {
		if sim.list[position].Name == name {
			sim.list[position].Leaving = true
		}
	}
	sim.distributeList()
	sim.after(3500, func() { sim.crash(name, false, 500*time.Millisecond) })
	sim.after(milliseconds(interval), func() { sim.rollingUpdate(names[1:], interval) })
}

// addServer adds a server.
func (sim *simulation) addServer(listed membership.Server) {
	sim.servers[listed.Name] = &simulatedServer{simulation: sim, listed: listed, role: listed.Role, handles: map[string]int{}}
	sim.servers[listed.Name].clearCaches()
}

// relist removes a server from the list if removed is not empty, and adds one if added is not nil.
func (sim *simulation) relist(removed string, added *membership.Server) {
	var next []membership.Server
	for _, server := range sim.list {
		if server.Name != removed {
			next = append(next, server)
		}
	}
	if added != nil {
		next = append(next, *added)
	}
	sim.list = next
	sim.distributeList()
}

// distributeList sends the list of servers to the routers, which receive it 800 ms later.
func (sim *simulation) distributeList() {
	list := append([]membership.Server(nil), sim.list...)
	sim.after(800, func() {
		for _, sched := range sim.schedulers {
			sched.SetServers(sim.now, list)
		}
	})
}

// order makes a server change its role: the server completes its work, and is available 1.5 seconds
// later.
func (sim *simulation) order(name, role string) {
	server := sim.servers[name]
	if server.changing || server.role == role {
		return
	}
	sim.orders++
	server.changing = true
	var waitUntilIdle func()
	waitUntilIdle = func() {
		if len(server.running)+len(server.waiting) > 0 && !server.down {
			sim.after(20, waitUntilIdle)
			return
		}
		sim.after(1500, func() {
			server.role, server.changing = role, false
			for position := range sim.list {
				if sim.list[position].Name == name {
					sim.list[position].Role = role
				}
			}
			sim.distributeList()
		})
	}
	waitUntilIdle()
}

// balanceRoles lets the role balancer decide every 100 ms, from the state of the first router's scheduler,
// and carries out its orders.
func (sim *simulation) balanceRoles(balancer *RoleBalancer) {
	for _, order := range balancer.Decide(sim.now, sim.schedulers[0]) {
		sim.ordered[order.Server] = order.Role
		for _, sched := range sim.schedulers {
			sched.SetRoleOrders(sim.now, sim.ordered)
		}
		sim.after(200, func() { sim.order(order.Server, order.Role) })
	}
	sim.after(100, func() { sim.balanceRoles(balancer) })
}

// recordReports records the listed servers' load reports every 20 ms, so that sendReports can send older ones.
func (sim *simulation) recordReports() {
	for _, listed := range sim.list {
		server := sim.servers[listed.Name]
		server.pastReports = append(server.pastReports, server.report())
		if len(server.pastReports) > 20 {
			server.pastReports = server.pastReports[1:]
		}
	}
	sim.after(20, sim.recordReports)
}

// sendReports sends recorded load reports to a router at intervals of reportInterval.
func (sim *simulation) sendReports(number int) {
	var loads []Load
	for _, listed := range sim.list {
		server := sim.servers[listed.Name]
		if server.down || server.unresponsive {
			continue
		}
		// One node fetches the reports and forwards them. So the router receives the tenth to last report,
		// which is 180 to 200 ms old and can be older than it states.
		samplesAgo := min(len(server.pastReports), 10)
		if samplesAgo == 0 {
			continue
		}
		load := server.pastReports[len(server.pastReports)-samplesAgo]
		load.Age = sim.engine.reportLag
		loads = append(loads, load)
	}
	sim.schedulers[number].SetLoads(sim.now, loads)
	sim.after(milliseconds(sim.reportInterval), func() { sim.sendReports(number) })
}

// traffic simulates origins that send calls of a class from now until the given time.
func (sim *simulation) traffic(c class, until time.Time) {
	sim.after(sim.random.ExpFloat64()*1000/c.perSecond, func() {
		if sim.now.After(until) {
			return
		}
		sim.arrive(c)
		sim.traffic(c, until)
	})
}

// arrive generates a random call of the class, which arrives at a random router.
func (sim *simulation) arrive(c class) {
	sim.calls++
	id := fmt.Sprintf("%s-%d", c.name, sim.calls)
	call := &Call{ID: id, Host: c.host, Path: c.path + "x", Model: "m", Deadline: sim.now.Add(c.deadline)}
	parent := uint64(0)
	for depth, link := range c.chains {
		index := link.draw(sim.random)
		if depth > 0 {
			// The second segment determines the first, since a segment always follows the same segment.
			parent = index % uint64(c.chains[depth-1].distinct)
			call.Segments[0] = sim.sharedSegment(c, 0, parent)
		}
		call.Segments = append(call.Segments, sim.sharedSegment(c, depth, index))
	}
	own := max(16, int(logNormal(sim.random, c.own, c.ownSpread, c.maxOwnTokens)))
	call.Segments = append(call.Segments, Segment{ID: nameKey(id), Tokens: own})
	for _, segment := range call.Segments {
		call.PromptTokens += segment.Tokens
	}
	call.OutputTokens = max(1,
		int(logNormal(sim.random, c.outputEvents, c.outputSpread, c.maxOutputEvents)*float64(sim.engine.tokensPerEvent)))
	call.Bytes = c.bytes * call.PromptTokens / int(c.own+c.chains[0].mean+c.chains[1].mean)
	counter := sim.counterOf(c.name)
	counter.calls++
	counter.possibleValue += c.value
	sim.possibleBySecond[sim.second(sim.now)] += c.value
	number := sim.random.IntN(len(sim.schedulers))
	state, decision := sim.schedulers[number].Arrive(sim.now, call)
	sim.execute(&simulatedCall{class: c, call: call, arrivedAt: sim.now, router: number, state: state}, decision)
}

// second returns the index of a time in possibleBySecond and earnedBySecond.
func (sim *simulation) second(at time.Time) int {
	return min(int(at.Sub(noon)/time.Second), len(sim.possibleBySecond)-1)
}

// worstSpans computes, for each span of three seconds, the share of the possible value that was earned, and
// returns the mean of the two lowest shares.
func (sim *simulation) worstSpans() float64 {
	const length = 3
	var shares []float64
	for start := 0; start+length <= len(sim.possibleBySecond); start += length {
		possibleValue, earnedValue := 0.0, 0.0
		for second := start; second < start+length; second++ {
			possibleValue += sim.possibleBySecond[second]
			earnedValue += sim.earnedBySecond[second]
		}
		if possibleValue > 0 {
			shares = append(shares, earnedValue/possibleValue)
		}
	}
	sort.Float64s(shares)
	return (shares[0] + shares[1]) / 2
}

// sharedSegment returns the shared segment with the given index, with the same length each time.
func (sim *simulation) sharedSegment(c class, depth int, index uint64) Segment {
	link := c.chains[depth]
	id := rendezvousWeight(nameKey(c.name)+uint64(depth), index)
	random := rand.New(rand.NewPCG(id, 3))
	return Segment{ID: id, Tokens: max(16, int(logNormal(random, link.mean, link.spread, link.maxTokens)))}
}

// counterOf returns the counter of a class, which is created at its first use.
func (sim *simulation) counterOf(name string) *classCounter {
	counter, found := sim.counter[name]
	if !found {
		counter = &classCounter{}
		sim.counter[name] = counter
	}
	return counter
}

// simulatedCall is the state of a call at its origin.
type simulatedCall struct {
	class      class
	call       *Call
	arrivedAt  time.Time
	router     int
	state      *CallState
	firstEvent time.Time
	longestGap time.Duration
	log        string
}

// networkDelay returns the one-way delay between a router and a server, in milliseconds.
func (sim *simulation) networkDelay(router int, server *simulatedServer) float64 {
	if sim.routerZones[router] == server.listed.Zone {
		return sim.engine.sameZoneDelay
	}
	return sim.engine.crossZoneDelay
}

// execute executes a decision of a call's scheduler.
func (sim *simulation) execute(sc *simulatedCall, decision Decision) {
	sim.sendChanges(sc.router)
	counter := sim.counterOf(sc.class.name)
	for _, source := range decision.Release {
		sim.free(source)
	}
	switch decision.Kind {
	case QueryBacklog:
		sim.queryBacklog(sc, decision)
	case Prefill, Generate:
		sim.dispatch(sc, decision)
	case Refuse:
		if decision.Cause.NeverRan() {
			counter.refused++
		} else {
			counter.lost++
		}
		if sim.onRefused != nil {
			sim.onRefused(sc, decision)
		}
	case Done:
		counter.served++
		latency := sc.firstEvent.Sub(sc.arrivedAt) + 2*time.Millisecond
		counter.firstEventMilliseconds = append(counter.firstEventMilliseconds, milliseconds(latency))
		switch {
		case latency <= sc.class.target && sc.longestGap <= sc.class.maxGap:
			counter.onTarget++
			counter.earnedValue += sc.class.value
			sim.earnedBySecond[sim.second(sc.arrivedAt)] += sc.class.value
		default:
			if sc.longestGap > sc.class.maxGap {
				counter.gapExceeded++
			}
			counter.late++
			if sim.onLate != nil {
				sim.onLate(sc, latency)
			}
			counter.earnedValue += sc.class.lateValue
			sim.earnedBySecond[sim.second(sc.arrivedAt)] += sc.class.lateValue
		}
	default:
		counter.broken++
	}
}

// queryBacklog sends a call's backlog requests to the owners, and their responses to the scheduler.
func (sim *simulation) queryBacklog(sc *simulatedCall, decision Decision) {
	router := strconv.Itoa(sc.router)
	responses := map[string]backlog.Response{}
	sim.after(backlogRoundTrip/2, func() {
		for _, request := range decision.BacklogRequests {
			request.Router = router
			responses[request.Group] = sim.backlogTable.Apply(sim.now, request)
			sim.backlogRequests++
		}
	})
	sim.after(backlogRoundTrip, func() {
		sim.execute(sc, sim.schedulers[sc.router].BacklogReported(sim.now, sc.state, responses))
	})
}

// backlogRoundTrip is the round-trip time of a backlog request, and backlogSendDelay the time until a
// change reaches the owner, in milliseconds.
const (
	backlogRoundTrip = 3.0
	backlogSendDelay = 2.0
)

// sendChanges sends a router's changes to the owners of the backlog counts.
func (sim *simulation) sendChanges(router int) {
	if !sim.schedulers[router].HasBacklogChanges() {
		return
	}
	sim.after(backlogSendDelay, func() {
		for group, changes := range sim.schedulers[router].TakeBacklogChanges() {
			sim.backlogTable.Apply(sim.now, backlog.Request{Router: strconv.Itoa(router), Group: group, Changes: changes})
			sim.backlogUpdates++
		}
	})
}

// rankSuffix returns a suffix for the name of a dispatch group: the rank of a prefill server in rendezvous
// hashing for the call's chain, from 0.
func (sim *simulation) rankSuffix(call *Call, server *simulatedServer) string {
	weight := func(s *simulatedServer) uint64 { return rendezvousWeight(call.chainKey(), nameKey(s.listed.Name)) }
	rank := 0
	for _, other := range sim.servers {
		if other.role == prefill && weight(other) > weight(server) {
			rank++
		}
	}
	return fmt.Sprintf(" %d", rank)
}

// free releases the memory of a KV cache at its server, unless a transfer or the end of the KV cache's
// lifetime has removed the handle.
func (sim *simulation) free(source Source) {
	for _, server := range sim.servers {
		if server.listed.Address == source.Address {
			server.reservedTokens -= server.handles[source.Handle]
			delete(server.handles, source.Handle)
		}
	}
}

// dispatch sends a call to a server and schedules the events of the dispatch. The first event that ends the
// dispatch passes the outcome to the router's scheduler; later ones have no effect.
func (sim *simulation) dispatch(sc *simulatedCall, decision Decision) {
	server := sim.servers[decision.Server.Name]
	delay := sim.networkDelay(sc.router, server)
	sc.log += fmt.Sprintf("%s %s +%dms unread %d expected %v; ", decision.Kind, decision.Server.Name,
		sim.now.Sub(sc.arrivedAt).Milliseconds(), sc.state.dispatch.uncached, sc.state.dispatch.expected)
	sim.dispatches++
	ends := connectionEnds{sc.router, decision.Server.Name}
	idle, known := sim.idle[ends]
	if !known {
		idle = &idleConnections{}
		sim.idle[ends] = idle
	}
	if !idle.available(sim.now) {
		sim.connectionsOpened++
	}
	idle.take(sim.now)
	if delay != sim.engine.sameZoneDelay {
		sim.crossZoneBodies += float64(sc.call.Bytes) / 1e9
	}
	done := false
	var currentJob *job
	end := func(outcome Outcome) {
		if done {
			return
		}
		done = true
		if outcome.Result == Complete {
			outcome.KeepAlive = keepAlive
			idle.putBack(sim.now, keepAlive)
		}
		if currentJob != nil {
			currentJob.abandoned = true
			sc.longestGap = max(sc.longestGap, currentJob.longestGap)
		}
		sim.execute(sc, sim.schedulers[sc.router].Ended(sim.now, sc.state, outcome))
	}
	if decision.ResponseTimeout > 0 {
		sim.after(milliseconds(decision.ResponseTimeout), func() {
			if currentJob == nil || !currentJob.started {
				end(Outcome{Result: TimedOut})
			}
		})
	}
	sim.after(milliseconds(decision.Deadline.Sub(sim.now)), func() {
		if currentJob != nil && currentJob.started {
			end(Outcome{Result: Interrupted, FirstByte: sc.firstEvent})
		} else {
			end(Outcome{Result: TimedOut})
		}
	})
	sim.after(delay, func() {
		switch {
		case server.down:
			sim.after(delay, func() { end(Outcome{Result: Unreachable}) })
			return
		case server.unresponsive:
			return
		}
		server.arrivals = append(server.arrivals, sim.now)
		reject := func(result Result) {
			sim.after(delay, func() {
				end(Outcome{Result: result, Status: 503, Load: &ResponseLoad{
					Running: len(server.running),
					Waiting: len(server.waiting),
					Slots:   sim.engine.slots,
				}})
			})
		}
		if server.changing {
			reject(NotStarted)
			return
		}
		if decision.Kind == Prefill != (server.role == prefill) {
			reject(Misdirected)
			return
		}
		j := &job{call: sc.call, isPrefill: decision.Kind == Prefill, outputTokens: sc.call.OutputTokens, tokens: sc.call.PromptTokens}
		currentJob = j
		j.dispatchGroup = sc.class.name + " " + string(decision.Kind)
		if j.isPrefill {
			j.dispatchGroup += sim.rankSuffix(sc.call, server)
		}
		j.estimatedUncached = sc.state.dispatch.uncached
		if !j.isPrefill {
			j.tokens += sc.call.OutputTokens
		}
		j.onFirstEvent = func() {
			if !sc.firstEvent.IsZero() {
				return
			}
			sc.firstEvent = sim.now.Add(fromMilliseconds(delay))
			if sim.reportsFirstEvents {
				sim.after(delay, func() { sim.schedulers[sc.router].Began(sim.now, sc.state) })
			}
		}
		j.onEnd = func(result Result) {
			outcome := Outcome{Result: result, FirstByte: sc.firstEvent}
			if j.isPrefill && result == Complete {
				handle := fmt.Sprintf("h%d", sim.sequence)
				server.handles[handle] = j.tokens
				outcome = Outcome{Result: Complete, Handle: handle}
				sim.after(5000, func() {
					if _, reserved := server.handles[handle]; reserved {
						server.reservedTokens -= server.handles[handle]
						delete(server.handles, handle)
					}
				})
			}
			outcome.Load = &ResponseLoad{Running: len(server.running), Waiting: len(server.waiting), Slots: sim.engine.slots}
			if result != Complete {
				outcome.Load = nil
			}
			sim.after(delay, func() { end(outcome) })
		}
		enqueue := func() {
			if server.down || server.unresponsive || done {
				return
			}
			if !server.queueJob(j) {
				reject(NotStarted)
			}
		}
		if decision.Source == nil {
			sim.after(sim.engine.startDelay, enqueue)
			return
		}
		sim.transfer(server, sc.call, *decision.Source, j, enqueue, reject)
	})
}

// transfer transfers a KV cache to a server and then calls enqueue. It calls reject if the transfer fails, or
// if it would have to wait more than two seconds for the server's link.
func (sim *simulation) transfer(server *simulatedServer, call *Call, source Source, j *job, enqueue func(), reject func(Result)) {
	var prefillServer *simulatedServer
	for _, other := range sim.servers {
		if other.listed.Address == source.Address {
			prefillServer = other
		}
	}
	reserved, found := prefillServer.handles[source.Handle]
	if prefillServer.down || prefillServer.unresponsive || prefillServer.failsTransfers || !found {
		reject(NotStarted)
		return
	}
	delete(prefillServer.handles, source.Handle)
	gigabytes := float64(call.PromptTokens) * sim.engine.bytesPerToken / 1e9
	took := sim.engine.transferSetup + gigabytes*8e9/sim.engine.linkBitsPerMillisecond
	took *= max(server.linkSlowdown, prefillServer.linkSlowdown, 1)
	if prefillServer.listed.Zone != server.listed.Zone {
		took *= 2
		sim.crossZoneTransfers += gigabytes
	} else {
		sim.sameZoneTransfers += gigabytes
	}
	start := server.linkFree
	if start.Before(sim.now) {
		start = sim.now
	}
	if start.Sub(sim.now) > 2*time.Second {
		reject(NotStarted)
		return
	}
	server.linkFree = start.Add(fromMilliseconds(took))
	sim.after(milliseconds(server.linkFree.Sub(sim.now)), func() {
		prefillServer.reservedTokens -= reserved
		j.transferred, j.unread = true, 0
		server.addToCache(call.Segments)
		enqueue()
	})
}

// String summarizes the outcomes of the simulation's calls.
func (sim *simulation) String() string {
	text := ""
	var names []string
	for name := range sim.counter {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		counter := sim.counter[name]
		text += fmt.Sprintf("%s: value %.3f, on target %.3f, late %d (gaps exceeded %d), refused %d, lost %d, broken %d, ", name,
			counter.earnedValue/counter.possibleValue, float64(counter.onTarget)/float64(counter.calls),
			counter.late, counter.gapExceeded, counter.refused, counter.lost, counter.broken)
		text += fmt.Sprintf("first event p50 %.0f p95 %.0f p99 %.0f ms\n",
			counter.percentile(0.5), counter.percentile(0.95), counter.percentile(0.99))
	}
	names = nil
	for name := range sim.dispatchCounters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		counter := sim.dispatchCounters[name]
		text += fmt.Sprintf("  %s: %d dispatches that read prompts, %d tokens reread, %d tokens uncached, %d estimated\n",
			name, counter.count, counter.reread, counter.unread, counter.estimatedUncached)
	}
	return text + fmt.Sprintf("read %d tokens, %d of them shared, %d reread; transferred %.1f GB within zones, %.1f GB between zones; "+
		"bodies sent to other zones %.4f GB; %d dispatches for %d calls",
		sim.read, sim.sharedRead, sim.sharedReread, sim.sameZoneTransfers, sim.crossZoneTransfers, sim.crossZoneBodies, sim.dispatches, sim.calls)
}
