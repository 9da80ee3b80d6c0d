package fleet

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/runtime"
)

// ServerPlan is how a stand-in server behaves.
type ServerPlan struct {
	Name           string
	Zone           string
	PrefillRate    int
	PrefillQueue   int
	DecodeSlots    int
	ChunkTime      time.Duration
	Memory         int
	LinkRate       int
	HandleLifetime time.Duration
	WarmupTime     time.Duration
	Prefixes       int
}

// DefaultPlan is a server of middling speed.
func DefaultPlan(name, zone string) ServerPlan {
	return ServerPlan{
		Name:           name,
		Zone:           zone,
		PrefillRate:    20_000,
		PrefillQueue:   12,
		DecodeSlots:    16,
		ChunkTime:      8 * time.Millisecond,
		Memory:         200_000,
		LinkRate:       400_000,
		HandleLifetime: 5 * time.Second,
		WarmupTime:     4 * time.Second,
		Prefixes:       8,
	}
}

// Engine is what a stand-in model server does, whatever carries its calls: a
// queue of prompts read one by one, slots for answers, bounded memory for
// prompts, a prefix cache, handles that lapse, a cold start, and a link of some
// speed. It records everything that it is asked to do in the event log.
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
	return &Engine{
		plan:        plan,
		events:      events,
		runtime:     rt,
		fetch:       fetch,
		nonce:       nonce,
		incarnation: nonce(),
		free:        rt.NewCond(),
		born:        rt.Now(),
		handles:     map[string]*promptMemory{},
		prefixes:    map[string]int{},
		runs:        map[string]*Connection{},
		taken:       map[string]bool{},
		slowLink:    1,
	}
}

// Die notes the crash, with which all memory is gone.
func (e *Engine) Die() {
	e.events.Append(Entry{Kind: ServerCrashed, Server: e.plan.Name})
	e.mutex.Lock()
	e.dead = true
	var connections []*Connection
	for _, connection := range e.runs {
		connections = append(connections, connection)
	}
	e.mutex.Unlock()
	for _, conn := range connections {
		conn.Close()
	}
	e.free.Broadcast()
}

// SetDark makes the stand-in accept connections and never answer, or end that.
func (e *Engine) SetDark(dark bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dark = dark
}

// SetLeaving makes the load reports say that the server leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = leaving
}

// SetHandleLifetime makes handles lapse after another time.
func (e *Engine) SetHandleLifetime(incarnation time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.plan.HandleLifetime = incarnation
}

// SlowLink makes the link so many times slower.
func (e *Engine) SlowLink(times int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.slowLink = times
}

// Part is the part that the server has.
func (e *Engine) Part() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.part
}

// Active counts the answers under way.
func (e *Engine) Active() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.active
}

// Dark tells whether the server takes connections and never answers.
func (e *Engine) Dark() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.dark
}

// Dead tells whether the server has crashed.
func (e *Engine) Dead() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.dead
}

// Load is the server's report.
func (e *Engine) Load() modelserver.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sweepHandles()
	waiting := 0
	for _, tokens := range e.queue {
		waiting += tokens
	}
	prefixes := map[string]int{}
	for name, tokens := range e.prefixes {
		prefixes[name] = tokens
	}
	return modelserver.LoadReport{Server: e.plan.Name, Incarnation: e.incarnation, Part: e.part, Leaving: e.leaving,
		AgeMilliseconds: int(e.age().Milliseconds()), PrefillQueueTokens: waiting, PrefillRate: e.plan.PrefillRate,
		PrefillWaiting: len(e.queue), PrefillRoom: e.plan.PrefillQueue, DecodeActive: e.active, DecodeSlots: e.plan.DecodeSlots,
		ChunkTimeMicroseconds: int(e.plan.ChunkTime.Microseconds()), MemoryFree: e.plan.Memory - e.memory,
		MemoryTotal: e.plan.Memory, LinkRate: e.plan.LinkRate / e.slowLink, Prefixes: prefixes}
}

func (e *Engine) age() time.Duration { return e.runtime.Now().Sub(e.born) }

func (e *Engine) sweepHandles() {
	for name, memory := range e.handles {
		if e.runtime.Now().After(memory.lapses) {
			delete(e.handles, name)
			e.memory -= memory.tokens
		}
	}
}

// warmingUp slows a server down that has just started.
func (e *Engine) warmingUp() float64 {
	age := e.age()
	if age >= e.plan.WarmupTime {
		return 1
	}
	return 3 - 2*float64(age)/float64(e.plan.WarmupTime)
}

func (e *Engine) record(kind EntryKind, request string, run int) {
	e.events.Append(Entry{Kind: kind, Server: e.plan.Name, Zone: e.plan.Zone, Request: request, Run: run})
}

// repeated tells whether an order was had before: a link brought it twice. A
// server takes an order once, as the protocol asks, and says of the second that
// it was begun: the first may have been the copy.
func (e *Engine) repeated(kind, order, request string, run int) bool {
	if order == "" {
		return false
	}
	if e.taken[kind+order] {
		e.record(OrderRepeated, request, run)
		return true
	}
	e.taken[kind+order] = true
	return false
}

// Prefill reads a prompt, and answers with its handle or a refusal.
func (e *Engine) Prefill(connection *Connection, order modelserver.PrefillRequest) (int, any) {
	e.mutex.Lock()
	if e.repeated("prefill", order.Order, order.Request, order.Run) {
		e.mutex.Unlock()
		return http.StatusConflict, Refusal{Started: true, Type: "duplicate_order"}
	}
	e.events.Append(Entry{
		Kind:    PrefillAsked,
		Server:  e.plan.Name,
		Zone:    e.plan.Zone,
		Request: order.Request,
		Run:     order.Run,
		Depth:   len(e.queue),
		Age:     e.age(),
	})
	e.sweepHandles()
	if status, refusal := e.refusePrefill(order); refusal != "" {
		e.mutex.Unlock()
		return status, Refusal{Type: refusal}
	}
	e.memory += order.PromptTokens
	uncached := order.PromptTokens - min(order.PrefixTokens, e.prefixes[order.Prefix])
	e.queue = append(e.queue, uncached)
	e.record(PrefillStarted, order.Request, order.Run)
	key := runName(order.Request, order.Run, order.Order)
	e.runs[key] = connection
	e.mutex.Unlock()
	finished := false
	mine := e.awaitTurn(connection)
	if mine {
		e.mutex.Lock()
		cost := time.Duration(float64(uncached) / float64(e.plan.PrefillRate) * e.warmingUp() * float64(time.Second))
		e.mutex.Unlock()
		finished = connection.Wait(cost)
	}
	e.mutex.Lock()
	defer e.free.Broadcast()
	defer e.mutex.Unlock()
	if mine {
		e.reading = false
	}
	delete(e.runs, key)
	e.queue = removeOne(e.queue, uncached)
	if !finished {
		e.memory -= order.PromptTokens
		return http.StatusGone, Refusal{Started: true, Type: "cancelled"}
	}
	if order.Prefix != "" && order.PrefixTokens > 0 {
		e.cache(order.Prefix, order.PrefixTokens)
	}
	handle := e.nonce()
	e.handles[handle] = &promptMemory{
		request: order.Request,
		run:     order.Run,
		order:   order.Order,
		tokens:  order.PromptTokens,
		lapses:  e.runtime.Now().Add(e.plan.HandleLifetime),
	}
	return http.StatusOK, modelserver.PrefillResponse{Request: order.Request, Run: order.Run, Handle: handle}
}

// refusePrefill tells with which status and type an order can't be taken; the type is
// empty if it can. The caller holds the mutex.
func (e *Engine) refusePrefill(order modelserver.PrefillRequest) (status int, refusal string) {
	switch {
	case e.part != "prefill":
		return http.StatusServiceUnavailable, "wrong_part"
	case len(e.queue) >= e.plan.PrefillQueue:
		return http.StatusTooManyRequests, "queue_full"
	case e.memory+order.PromptTokens > e.plan.Memory:
		return http.StatusTooManyRequests, "memory_full"
	}
	return http.StatusOK, ""
}

// awaitTurn waits until no other prompt is being read; false means that the server
// died or the connection was closed before.
func (e *Engine) awaitTurn(connection *Connection) (mine bool) {
	for !e.Dead() && !mine && !connection.Closed() {
		e.free.Wait(time.Second, func() bool {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if !e.reading && !e.dead {
				e.reading, mine = true, true
			}
			return mine || e.dead || connection.Closed()
		})
	}
	return mine
}

func removeOne(queue []int, tokens int) []int {
	for position, entry := range queue {
		if entry == tokens {
			return append(append([]int(nil), queue[:position]...), queue[position+1:]...)
		}
	}
	return queue
}

func (e *Engine) cache(prefix string, tokens int) {
	for position, name := range e.prefixOrder {
		if name == prefix {
			e.prefixOrder = append(e.prefixOrder[:position], e.prefixOrder[position+1:]...)
			break
		}
	}
	e.prefixOrder = append(e.prefixOrder, prefix)
	e.prefixes[prefix] = tokens
	if len(e.prefixOrder) > e.plan.Prefixes {
		delete(e.prefixes, e.prefixOrder[0])
		e.prefixOrder = e.prefixOrder[1:]
	}
}

func runName(request string, run int, order string) string {
	return request + "#" + strconv.Itoa(run) + "#" + order
}

// GiveMemory hands a prompt's memory over, once and to its own request and run.
func (e *Engine) GiveMemory(question MemoryQuestion) (int, any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sweepHandles()
	memory, found := e.handles[question.Handle]
	if !found || memory.request != question.Request || memory.run != question.Run {
		e.events.Append(Entry{
			Kind:    MemoryRefused,
			Server:  e.plan.Name,
			Request: question.Request,
			Run:     question.Run,
			Handle:  question.Handle,
			Holder:  question.Taker,
		})
		return http.StatusConflict, Refusal{Type: "handle_lapsed"}
	}
	delete(e.handles, question.Handle)
	e.memory -= memory.tokens
	e.events.Append(Entry{
		Kind:    MemoryTaken,
		Server:  e.plan.Name,
		Request: memory.request,
		Run:     memory.run,
		Handle:  question.Handle,
		Holder:  question.Taker,
	})
	return http.StatusOK, MemoryAnswer{Tokens: memory.tokens, LinkRate: e.plan.LinkRate / e.slowLink}
}

// Decode takes a prompt's memory up and answers, line by line; with another
// status than 200 there is a refusal and no line.
func (e *Engine) Decode(
	connection *Connection,
	order modelserver.DecodeRequest,
	send func(line modelserver.DecodeChunk) error,
) (int, any) {
	if status, refusal := e.beginDecode(connection, order); status != http.StatusOK {
		return status, refusal
	}
	memory := 0
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.active--
		e.memory -= memory
		delete(e.runs, runName(order.Request, order.Run, order.Order))
	}()
	given, status := e.fetch(connection, order.Source, MemoryQuestion{
		Handle:  order.Handle,
		Request: order.Request,
		Run:     order.Run,
		Taker:   e.plan.Name,
	})
	switch {
	case status == http.StatusConflict:
		return status, Refusal{Type: "handle_lapsed"}
	case status != http.StatusOK:
		return http.StatusBadGateway, Refusal{Started: true, Type: "source_lost"}
	}
	e.mutex.Lock()
	memory = given.Tokens + order.Chunks
	e.memory += memory
	rate := min(given.LinkRate, e.plan.LinkRate/e.slowLink)
	e.mutex.Unlock()
	e.record(DecodeStarted, order.Request, order.Run)
	if !connection.Wait(time.Duration(float64(given.Tokens) / float64(max(rate, 1)) * float64(time.Second))) {
		return http.StatusGone, Refusal{Started: true, Type: "cancelled"}
	}
	e.stream(connection, order, send)
	return http.StatusOK, nil
}

// beginDecode counts an order as active, or refuses it.
func (e *Engine) beginDecode(connection *Connection, order modelserver.DecodeRequest) (int, Refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.repeated("decode", order.Order, order.Request, order.Run) {
		return http.StatusConflict, Refusal{Started: true, Type: "duplicate_order"}
	}
	e.events.Append(Entry{
		Kind:    DecodeAsked,
		Server:  e.plan.Name,
		Zone:    e.plan.Zone,
		Request: order.Request,
		Run:     order.Run,
		Depth:   e.active,
		Age:     e.age(),
	})
	switch {
	case e.part != "decode":
		return http.StatusServiceUnavailable, Refusal{Type: "wrong_part"}
	case e.active >= 2*e.plan.DecodeSlots:
		return http.StatusTooManyRequests, Refusal{Type: "slots_full"}
	case e.memory+order.Chunks > e.plan.Memory:
		return http.StatusTooManyRequests, Refusal{Type: "memory_full"}
	}
	e.active++
	e.runs[runName(order.Request, order.Run, order.Order)] = connection
	return http.StatusOK, Refusal{}
}

// ChunkText is the text of one chunk, by which its reader can tell whose it is
// and which run made it.
func ChunkText(request, run string, chunk int) string {
	return request + "/" + run + "/" + strconv.Itoa(chunk)
}

func (e *Engine) stream(
	connection *Connection,
	order modelserver.DecodeRequest,
	send func(line modelserver.DecodeChunk) error,
) {
	run := strconv.Itoa(order.Run) + order.Order
	for chunk := 1; chunk <= order.Chunks; chunk++ {
		e.mutex.Lock()
		queueing := max(1, float64(e.active)/float64(e.plan.DecodeSlots))
		length := time.Duration(float64(e.plan.ChunkTime) * queueing * (0.5 + e.warmingUp()/2))
		e.mutex.Unlock()
		for e.Dark() && connection.Wait(time.Second) {
		}
		if !connection.Wait(length) {
			return
		}
		if send(modelserver.DecodeChunk{
			Request: order.Request,
			Run:     order.Run,
			Chunk:   chunk,
			Text:    ChunkText(order.Request, run, chunk),
		}) != nil {
			return
		}
	}
	_ = send(modelserver.DecodeChunk{Request: order.Request, Run: order.Run, Done: true, Chunks: order.Chunks})
}

// Cancel stops a run and lets go of its memory.
func (e *Engine) Cancel(order modelserver.CancelRequest) {
	e.mutex.Lock()
	connection := e.runs[runName(order.Request, order.Run, order.Order)]
	for name, memory := range e.handles {
		if memory.request == order.Request && memory.run == order.Run {
			delete(e.handles, name)
			e.memory -= memory.tokens
		}
	}
	e.mutex.Unlock()
	if connection != nil {
		connection.Close()
	}
}

// TakePart takes a part from the holder of the server's key.
func (e *Engine) TakePart(order modelserver.PartRequest) (int, any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	entry := Entry{
		Kind:         Commanded,
		Server:       e.plan.Name,
		Holder:       order.Holder,
		FencingToken: order.FencingToken,
		Part:         order.Part,
		Cause:        order.Cause,
	}
	if order.FencingToken < e.fencingToken {
		entry.Kind = CommandRefused
		e.events.Append(entry)
		return http.StatusConflict, Refusal{Type: "old_fence"}
	}
	e.events.Append(entry)
	e.fencingToken = order.FencingToken
	e.part = order.Part
	return http.StatusOK, map[string]string{"part": e.part}
}
