package fleet

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/runtime"
)

// Engine is what a stand-in model server does, whatever carries its calls: a
// queue of prompts read one by one, slots for answers, bounded memory for
// prompts, a prefix cache, handles that lapse, a cold start, and a link of some
// speed. It writes everything that it is asked to do into the book.
type Engine struct {
	plan        ServerPlan
	events      *EventLog
	runtime     runtime.Runtime
	fetch       Fetch
	nonce       func() string
	incarnation string
	free        runtime.Cond

	mutex        sync.Mutex
	born         time.Time
	part         string
	fencingToken uint64
	leaving      bool
	dark         bool
	slowLink     int
	queue        []int
	reading      bool
	active       int
	memory       int
	handles      map[string]*promptMemory
	prefixes     map[string]int
	prefixOrder  []string
	runs         map[string]*Connection
	taken        map[string]bool
	dead         bool
}

type promptMemory struct {
	request string
	run     int
	order   string
	tokens  int
	lapses  time.Time
}

// Fetch asks another server for a prompt's memory.
type Fetch func(connection *Connection, address string, question MemoryQuestion) (MemoryAnswer, int)

// MemoryQuestion is what a decode server asks a prefill server for.
type MemoryQuestion struct {
	Handle  string `json:"handle"`
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Taker   string `json:"taker"`
}

// MemoryAnswer is what the prefill server gives.
type MemoryAnswer struct {
	Tokens   int `json:"tokens"`
	LinkRate int `json:"link_tokens_per_second"`
}

// Refusal is what a server says with any status but 200.
type Refusal struct {
	Started bool   `json:"started"`
	Type    string `json:"type"`
}

// NewEngine starts a server, cold.
func NewEngine(plan ServerPlan, events *EventLog, rt runtime.Runtime, nonce func() string, fetch Fetch) *Engine {
	events.Append(Entry{Kind: ServerBorn, Server: plan.Name, Zone: plan.Zone})
	return &Engine{plan: plan, events: events, runtime: rt, fetch: fetch, nonce: nonce, incarnation: nonce(), free: rt.NewCond(), born: rt.Now(),
		handles: map[string]*promptMemory{}, prefixes: map[string]int{}, runs: map[string]*Connection{}, taken: map[string]bool{}, slowLink: 1}
}

// Die notes the crash, with which all memory is gone.
func (top *Engine) Die() {
	top.events.Append(Entry{Kind: ServerCrashed, Server: top.plan.Name})
	top.mutex.Lock()
	top.dead = true
	var connections []*Connection
	for _, connection := range top.runs {
		connections = append(connections, connection)
	}
	top.mutex.Unlock()
	for _, conn := range connections {
		conn.Close()
	}
	top.free.Broadcast()
}

// SetDark makes the stand-in accept connections and never answer, or end that.
func (top *Engine) SetDark(dark bool) {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	top.dark = dark
}

// SetLeaving makes the load reports say that the server leaves.
func (top *Engine) SetLeaving(leaving bool) {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	top.leaving = leaving
}

// SetHandleLifetime makes handles lapse after another time.
func (top *Engine) SetHandleLifetime(incarnation time.Duration) {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	top.plan.HandleLifetime = incarnation
}

// SlowLink makes the link so many times slower.
func (top *Engine) SlowLink(times int) {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	top.slowLink = times
}

// Part is the part that the server has.
func (top *Engine) Part() string {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	return top.part
}

// Active counts the answers under way.
func (top *Engine) Active() int {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	return top.active
}

// Dark tells whether the server takes connections and never answers.
func (top *Engine) Dark() bool {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	return top.dark
}

// Dead tells whether the server has crashed.
func (top *Engine) Dead() bool {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	return top.dead
}

// Load is the server's report.
func (top *Engine) Load() modelserver.LoadReport {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	top.sweepHandles()
	waiting := 0
	for _, tokens := range top.queue {
		waiting += tokens
	}
	prefixes := map[string]int{}
	for name, tokens := range top.prefixes {
		prefixes[name] = tokens
	}
	return modelserver.LoadReport{Server: top.plan.Name, Incarnation: top.incarnation, Part: top.part, Leaving: top.leaving,
		AgeMilliseconds: int(top.age().Milliseconds()), PrefillQueueTokens: waiting, PrefillRate: top.plan.PrefillRate,
		PrefillWaiting: len(top.queue), PrefillRoom: top.plan.PrefillQueue, DecodeActive: top.active, DecodeSlots: top.plan.DecodeSlots,
		ChunkTimeMicroseconds: int(top.plan.ChunkTime.Microseconds()), MemoryFree: top.plan.Memory - top.memory,
		MemoryTotal: top.plan.Memory, LinkRate: top.plan.LinkRate / top.slowLink, Prefixes: prefixes}
}

func (top *Engine) age() time.Duration { return top.runtime.Now().Sub(top.born) }

func (top *Engine) sweepHandles() {
	for name, memory := range top.handles {
		if top.runtime.Now().After(memory.lapses) {
			delete(top.handles, name)
			top.memory -= memory.tokens
		}
	}
}

// cold slows a server down that has just started.
func (top *Engine) warmingUp() float64 {
	age := top.age()
	if age >= top.plan.WarmupTime {
		return 1
	}
	return 3 - 2*float64(age)/float64(top.plan.WarmupTime)
}

func (top *Engine) record(kind EntryKind, request string, run int) {
	top.events.Append(Entry{Kind: kind, Server: top.plan.Name, Zone: top.plan.Zone, Request: request, Run: run})
}

// again tells whether an order was had before: a link brought it twice. A
// server takes an order once, as the protocol asks, and says of the second that
// it was begun: the first may have been the copy.
func (top *Engine) repeated(kind, order, request string, run int) bool {
	if order == "" {
		return false
	}
	if top.taken[kind+order] {
		top.record(OrderRepeated, request, run)
		return true
	}
	top.taken[kind+order] = true
	return false
}

// Prefill reads a prompt, and answers with its handle or a refusal.
func (top *Engine) Prefill(connection *Connection, order modelserver.PrefillRequest) (int, any) {
	top.mutex.Lock()
	if top.repeated("prefill", order.Order, order.Request, order.Run) {
		top.mutex.Unlock()
		return http.StatusConflict, Refusal{Started: true, Type: "duplicate_order"}
	}
	top.events.Append(Entry{Kind: PrefillAsked, Server: top.plan.Name, Zone: top.plan.Zone, Request: order.Request, Run: order.Run, Depth: len(top.queue), Age: top.age()})
	top.sweepHandles()
	refusal, status := "", http.StatusTooManyRequests
	switch {
	case top.part != "prefill":
		refusal, status = "wrong_part", http.StatusServiceUnavailable
	case len(top.queue) >= top.plan.PrefillQueue:
		refusal = "queue_full"
	case top.memory+order.PromptTokens > top.plan.Memory:
		refusal = "memory_full"
	}
	if refusal != "" {
		top.mutex.Unlock()
		return status, Refusal{Type: refusal}
	}
	top.memory += order.PromptTokens
	uncached := order.PromptTokens - min(order.PrefixTokens, top.prefixes[order.Prefix])
	top.queue = append(top.queue, uncached)
	top.record(PrefillStarted, order.Request, order.Run)
	key := runName(order.Request, order.Run, order.Order)
	top.runs[key] = connection
	top.mutex.Unlock()
	mine := false
	finished := false
	for !top.Dead() && !mine && !connection.Closed() {
		top.free.Wait(time.Second, func() bool {
			top.mutex.Lock()
			defer top.mutex.Unlock()
			if !top.reading && !top.dead {
				top.reading, mine = true, true
			}
			return mine || top.dead || connection.Closed()
		})
	}
	if mine {
		top.mutex.Lock()
		cost := time.Duration(float64(uncached) / float64(top.plan.PrefillRate) * top.warmingUp() * float64(time.Second))
		top.mutex.Unlock()
		finished = connection.Wait(cost)
	}
	top.mutex.Lock()
	defer top.free.Broadcast()
	defer top.mutex.Unlock()
	if mine {
		top.reading = false
	}
	delete(top.runs, key)
	top.queue = removeOne(top.queue, uncached)
	if !finished {
		top.memory -= order.PromptTokens
		return http.StatusGone, Refusal{Started: true, Type: "cancelled"}
	}
	if order.Prefix != "" && order.PrefixTokens > 0 {
		top.cache(order.Prefix, order.PrefixTokens)
	}
	handle := top.nonce()
	top.handles[handle] = &promptMemory{request: order.Request, run: order.Run, order: order.Order, tokens: order.PromptTokens, lapses: top.runtime.Now().Add(top.plan.HandleLifetime)}
	return http.StatusOK, modelserver.PrefillResponse{Request: order.Request, Run: order.Run, Handle: handle}
}

func removeOne(queue []int, tokens int) []int {
	for position, entry := range queue {
		if entry == tokens {
			return append(append([]int(nil), queue[:position]...), queue[position+1:]...)
		}
	}
	return queue
}

func (top *Engine) cache(prefix string, tokens int) {
	for position, name := range top.prefixOrder {
		if name == prefix {
			top.prefixOrder = append(top.prefixOrder[:position], top.prefixOrder[position+1:]...)
			break
		}
	}
	top.prefixOrder = append(top.prefixOrder, prefix)
	top.prefixes[prefix] = tokens
	if len(top.prefixOrder) > top.plan.Prefixes {
		delete(top.prefixes, top.prefixOrder[0])
		top.prefixOrder = top.prefixOrder[1:]
	}
}

func runName(request string, run int, order string) string {
	return request + "#" + strconv.Itoa(run) + "#" + order
}

// GiveMemory hands a prompt's memory over, once and to its own request and run.
func (top *Engine) GiveMemory(question MemoryQuestion) (int, any) {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	top.sweepHandles()
	memory, found := top.handles[question.Handle]
	if !found || memory.request != question.Request || memory.run != question.Run {
		top.events.Append(Entry{Kind: MemoryRefused, Server: top.plan.Name, Request: question.Request, Run: question.Run, Handle: question.Handle, Holder: question.Taker})
		return http.StatusConflict, Refusal{Type: "handle_lapsed"}
	}
	delete(top.handles, question.Handle)
	top.memory -= memory.tokens
	top.events.Append(Entry{Kind: MemoryTaken, Server: top.plan.Name, Request: memory.request, Run: memory.run, Handle: question.Handle, Holder: question.Taker})
	return http.StatusOK, MemoryAnswer{Tokens: memory.tokens, LinkRate: top.plan.LinkRate / top.slowLink}
}

// Decode takes a prompt's memory up and answers, line by line; with another
// status than 200 there is a refusal and no line.
func (top *Engine) Decode(connection *Connection, order modelserver.DecodeRequest, send func(line modelserver.DecodeChunk) error) (int, any) {
	top.mutex.Lock()
	if top.repeated("decode", order.Order, order.Request, order.Run) {
		top.mutex.Unlock()
		return http.StatusConflict, Refusal{Started: true, Type: "duplicate_order"}
	}
	top.events.Append(Entry{Kind: DecodeAsked, Server: top.plan.Name, Zone: top.plan.Zone, Request: order.Request, Run: order.Run, Depth: top.active, Age: top.age()})
	refusal, status := "", http.StatusTooManyRequests
	switch {
	case top.part != "decode":
		refusal, status = "wrong_part", http.StatusServiceUnavailable
	case top.active >= 2*top.plan.DecodeSlots:
		refusal = "slots_full"
	case top.memory+order.Chunks > top.plan.Memory:
		refusal = "memory_full"
	}
	if refusal != "" {
		top.mutex.Unlock()
		return status, Refusal{Type: refusal}
	}
	top.active++
	key := runName(order.Request, order.Run, order.Order)
	top.runs[key] = connection
	top.mutex.Unlock()
	memory := 0
	defer func() {
		top.mutex.Lock()
		defer top.mutex.Unlock()
		top.active--
		top.memory -= memory
		delete(top.runs, key)
	}()
	given, status := top.fetch(connection, order.Source, MemoryQuestion{Handle: order.Handle, Request: order.Request, Run: order.Run, Taker: top.plan.Name})
	switch {
	case status == http.StatusConflict:
		return status, Refusal{Type: "handle_lapsed"}
	case status != http.StatusOK:
		return http.StatusBadGateway, Refusal{Started: true, Type: "source_lost"}
	}
	top.mutex.Lock()
	memory = given.Tokens + order.Chunks
	top.memory += memory
	rate := min(given.LinkRate, top.plan.LinkRate/top.slowLink)
	top.mutex.Unlock()
	top.record(DecodeStarted, order.Request, order.Run)
	if !connection.Wait(time.Duration(float64(given.Tokens) / float64(max(rate, 1)) * float64(time.Second))) {
		return http.StatusGone, Refusal{Started: true, Type: "cancelled"}
	}
	top.stream(connection, order, send)
	return http.StatusOK, nil
}

// ChunkText is the text of one chunk, by which its reader can tell whose it is
// and which run made it.
func ChunkText(request, run string, chunk int) string {
	return request + "/" + run + "/" + strconv.Itoa(chunk)
}

func (top *Engine) stream(connection *Connection, order modelserver.DecodeRequest, send func(line modelserver.DecodeChunk) error) {
	run := strconv.Itoa(order.Run) + order.Order
	for chunk := 1; chunk <= order.Chunks; chunk++ {
		top.mutex.Lock()
		queueing := max(1, float64(top.active)/float64(top.plan.DecodeSlots))
		length := time.Duration(float64(top.plan.ChunkTime) * queueing * (0.5 + top.warmingUp()/2))
		top.mutex.Unlock()
		for top.Dark() && connection.Wait(time.Second) {
		}
		if !connection.Wait(length) {
			return
		}
		if send(modelserver.DecodeChunk{Request: order.Request, Run: order.Run, Chunk: chunk, Text: ChunkText(order.Request, run, chunk)}) != nil {
			return
		}
	}
	_ = send(modelserver.DecodeChunk{Request: order.Request, Run: order.Run, Done: true, Chunks: order.Chunks})
}

// Cancel stops a run and lets go of its memory.
func (top *Engine) Cancel(order modelserver.CancelRequest) {
	top.mutex.Lock()
	connection := top.runs[runName(order.Request, order.Run, order.Order)]
	for name, memory := range top.handles {
		if memory.request == order.Request && memory.run == order.Run {
			delete(top.handles, name)
			top.memory -= memory.tokens
		}
	}
	top.mutex.Unlock()
	if connection != nil {
		connection.Close()
	}
}

// TakePart takes a part from the holder of the server's key.
func (top *Engine) TakePart(order modelserver.PartRequest) (int, any) {
	top.mutex.Lock()
	defer top.mutex.Unlock()
	entry := Entry{Kind: Commanded, Server: top.plan.Name, Holder: order.Holder, FencingToken: order.FencingToken, Part: order.Part, Cause: order.Cause}
	if order.FencingToken < top.fencingToken {
		entry.Kind = CommandRefused
		top.events.Append(entry)
		return http.StatusConflict, Refusal{Type: "old_fence"}
	}
	top.events.Append(entry)
	top.fencingToken = order.FencingToken
	top.part = order.Part
	return http.StatusOK, map[string]string{"part": top.part}
}
