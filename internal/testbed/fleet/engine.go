package fleet

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/runtime"
)

// ServerPlan holds the name, the zone and the capacity of a stand-in server. PrefillRate and
// LinkRate are in tokens per second, Memory is in tokens, PrefillQueue and Prefixes are the
// largest numbers of queued prompts and of cached prefixes, and ChunkTime is the time that one
// chunk of an answer takes.
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

// DefaultPlan returns the plan of a server of average speed.
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

// Engine simulates a model server, independently of the transport of its calls. It has a
// queue of prompts that are prefilled one at a time, decode slots, limited memory for
// prompts, a prefix cache, memory handles that expire, a slow start, and a link of limited
// speed. It records each request that it gets in the event log.
type Engine struct {
	plan        ServerPlan
	events      *EventLog
	runtime     runtime.Runtime
	fetch       Fetch
	nonce       func() string
	incarnation string
	// prefillFree is signalled when a prefill has ended and when the server crashes.
	prefillFree runtime.Cond

	mutex        sync.Mutex
	startedAt    time.Time
	role         string
	fencingToken uint64
	leaving      bool
	// unresponsive is set by SetUnresponsive, which says to which calls the server does not respond.
	unresponsive bool
	linkSlowdown int
	// queue holds the number of uncached tokens of each prompt that waits or is being prefilled.
	queue      []int
	prefilling bool
	// active is the number of decodes in progress; memory is the number of tokens in use.
	active  int
	memory  int
	handles map[string]*promptMemory
	// prefixes is the prefix cache: the tokens of each prefix by its name. prefixOrder holds the
	// same names; the least recently used one is first.
	prefixes    map[string]int
	prefixOrder []string
	// runs holds the connection of each prefill and decode in progress; its keys come from runKey.
	runs map[string]*Connection
	// seenDispatches holds the kind and the dispatch token of each request that has arrived.
	seenDispatches map[string]bool
	dead           bool
}

// promptMemory is the memory (KV cache) of a prefilled prompt, held until its decode server fetches it.
type promptMemory struct {
	request   string
	run       int
	token     string
	tokens    int
	expiresAt time.Time
}

// Fetch requests a prompt's memory from another server and returns the response and its HTTP status.
type Fetch func(connection *Connection, address string, request MemoryRequest) (MemoryResponse, int)

// MemoryRequest is a decode server's request to a prefill server for a prompt's memory. Taker
// is the name of the decode server.
type MemoryRequest struct {
	Handle  string `json:"handle"`
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Taker   string `json:"taker"`
}

// MemoryResponse is the prefill server's response to a MemoryRequest.
type MemoryResponse struct {
	Tokens   int `json:"tokens"`
	LinkRate int `json:"link_tokens_per_second"`
}

// Refusal is the body of a server's answer with any status but 200. Started means that the
// server may have started the work.
type Refusal struct {
	Started bool   `json:"started"`
	Type    string `json:"type"`
}

// NewEngine returns a server that has just started, with empty memory, and records its start.
func NewEngine(plan ServerPlan, events *EventLog, rt runtime.Runtime, nonce func() string, fetch Fetch) *Engine {
	events.Append(Entry{Kind: ServerBorn, Server: plan.Name, Zone: plan.Zone})
	return &Engine{
		plan:           plan,
		events:         events,
		runtime:        rt,
		fetch:          fetch,
		nonce:          nonce,
		incarnation:    nonce(),
		prefillFree:    rt.NewCond(),
		startedAt:      rt.Now(),
		handles:        map[string]*promptMemory{},
		prefixes:       map[string]int{},
		runs:           map[string]*Connection{},
		seenDispatches: map[string]bool{},
		linkSlowdown:   1,
	}
}

// Die crashes the server: it records the crash and closes all connections.
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
	e.prefillFree.Broadcast()
}

// SetUnresponsive sets whether the server is unresponsive: it still accepts connections, but answers no new
// call and pauses the streams of its decodes. It still answers prefills that had arrived before.
func (e *Engine) SetUnresponsive(unresponsive bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unresponsive = unresponsive
}

// SetLeaving sets whether the load reports say that the server is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = leaving
}

// SetHandleLifetime sets the time after which new memory handles expire.
func (e *Engine) SetHandleLifetime(lifetime time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.plan.HandleLifetime = lifetime
}

// SlowLink divides the planned speed of the server's link by a factor; 1 restores that speed.
func (e *Engine) SlowLink(factor int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.linkSlowdown = factor
}

// Role returns the server's role (prefill or decode); it is empty before the first command.
func (e *Engine) Role() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.role
}

// Active returns the number of decodes in progress.
func (e *Engine) Active() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.active
}

// Unresponsive reports whether the server is unresponsive, as SetUnresponsive explains.
func (e *Engine) Unresponsive() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.unresponsive
}

// Dead reports whether the server has crashed.
func (e *Engine) Dead() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.dead
}

// Load returns the server's load report.
func (e *Engine) Load() modelserver.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expireHandles()
	waiting := 0
	for _, tokens := range e.queue {
		waiting += tokens
	}
	prefixes := map[string]int{}
	for name, tokens := range e.prefixes {
		prefixes[name] = tokens
	}
	return modelserver.LoadReport{Server: e.plan.Name, Incarnation: e.incarnation, Role: e.role, Leaving: e.leaving,
		AgeMilliseconds: int(e.age().Milliseconds()), PrefillQueueTokens: waiting, PrefillRate: e.plan.PrefillRate,
		PrefillWaiting: len(e.queue), PrefillCapacity: e.plan.PrefillQueue, DecodeActive: e.active, DecodeSlots: e.plan.DecodeSlots,
		ChunkTimeMicroseconds: int(e.plan.ChunkTime.Microseconds()), MemoryFree: e.plan.Memory - e.memory,
		MemoryTotal: e.plan.Memory, LinkRate: e.plan.LinkRate / e.linkSlowdown, Prefixes: prefixes}
}

func (e *Engine) age() time.Duration { return e.runtime.Now().Sub(e.startedAt) }

// expireHandles frees the memory of expired handles. The caller holds the mutex.
func (e *Engine) expireHandles() {
	for name, memory := range e.handles {
		if e.runtime.Now().After(memory.expiresAt) {
			delete(e.handles, name)
			e.memory -= memory.tokens
		}
	}
}

// warmupFactor returns the factor by which a recently started server is slower: 3 at its start,
// falling to 1 at the end of its warm-up time.
func (e *Engine) warmupFactor() float64 {
	age := e.age()
	if age >= e.plan.WarmupTime {
		return 1
	}
	return 3 - 2*float64(age)/float64(e.plan.WarmupTime)
}

// record adds an entry about one run of a request to the event log.
func (e *Engine) record(kind EntryKind, request string, run int) {
	e.events.Append(Entry{Kind: kind, Server: e.plan.Name, Zone: e.plan.Zone, Request: request, Run: run})
}

// isDuplicateDispatch reports whether a request with a dispatch token has arrived before, and otherwise
// remembers the token. A faulty link can deliver a request twice, and the protocol requires that a
// server accepts each one only once. The refusal of the second delivery says that the work was
// started, because the router may be waiting for the answer to the second delivery.
func (e *Engine) isDuplicateDispatch(kind, token, request string, run int) bool {
	if token == "" {
		return false
	}
	if e.seenDispatches[kind+token] {
		e.record(DispatchRepeated, request, run)
		return true
	}
	e.seenDispatches[kind+token] = true
	return false
}

// Prefill processes a prompt and returns its memory handle or a refusal.
func (e *Engine) Prefill(connection *Connection, request modelserver.PrefillRequest) (int, any) {
	e.mutex.Lock()
	if e.isDuplicateDispatch("prefill", request.DispatchToken, request.Request, request.Run) {
		e.mutex.Unlock()
		return http.StatusConflict, Refusal{Started: true, Type: "duplicate_order"}
	}
	e.events.Append(Entry{
		Kind:    PrefillAsked,
		Server:  e.plan.Name,
		Zone:    e.plan.Zone,
		Request: request.Request,
		Run:     request.Run,
		Depth:   len(e.queue),
		Age:     e.age(),
	})
	e.expireHandles()
	if status, refusal := e.refusePrefill(request); refusal != "" {
		e.mutex.Unlock()
		return status, Refusal{Type: refusal}
	}
	e.memory += request.PromptTokens
	uncached := request.PromptTokens - min(request.PrefixTokens, e.prefixes[request.Prefix])
	e.queue = append(e.queue, uncached)
	e.record(PrefillStarted, request.Request, request.Run)
	key := runKey(request.Request, request.Run, request.DispatchToken)
	e.runs[key] = connection
	e.mutex.Unlock()
	finished := false
	gotTurn := e.awaitTurn(connection)
	if gotTurn {
		e.mutex.Lock()
		cost := time.Duration(float64(uncached) / float64(e.plan.PrefillRate) * e.warmupFactor() * float64(time.Second))
		e.mutex.Unlock()
		finished = connection.Wait(cost)
	}
	e.mutex.Lock()
	defer e.prefillFree.Broadcast()
	defer e.mutex.Unlock()
	if gotTurn {
		e.prefilling = false
	}
	delete(e.runs, key)
	e.queue = removeOne(e.queue, uncached)
	if !finished {
		e.memory -= request.PromptTokens
		return http.StatusGone, Refusal{Started: true, Type: "cancelled"}
	}
	if request.Prefix != "" && request.PrefixTokens > 0 {
		e.cache(request.Prefix, request.PrefixTokens)
	}
	handle := e.nonce()
	e.handles[handle] = &promptMemory{
		request:   request.Request,
		run:       request.Run,
		token:     request.DispatchToken,
		tokens:    request.PromptTokens,
		expiresAt: e.runtime.Now().Add(e.plan.HandleLifetime),
	}
	return http.StatusOK, modelserver.PrefillResponse{Request: request.Request, Run: request.Run, Handle: handle}
}

// refusePrefill returns the status and the type of the refusal of a request; the type is
// empty if the server can accept the request. The caller holds the mutex.
func (e *Engine) refusePrefill(request modelserver.PrefillRequest) (status int, refusal string) {
	switch {
	case e.role != "prefill":
		return http.StatusServiceUnavailable, "wrong_part"
	case len(e.queue) >= e.plan.PrefillQueue:
		return http.StatusTooManyRequests, "queue_full"
	case e.memory+request.PromptTokens > e.plan.Memory:
		return http.StatusTooManyRequests, "memory_full"
	}
	return http.StatusOK, ""
}

// awaitTurn waits until no other prompt is being prefilled. It returns false if the server
// crashed or the connection was closed first.
func (e *Engine) awaitTurn(connection *Connection) (gotTurn bool) {
	for !e.Dead() && !gotTurn && !connection.Closed() {
		e.prefillFree.Wait(time.Second, func() bool {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if !e.prefilling && !e.dead {
				e.prefilling, gotTurn = true, true
			}
			return gotTurn || e.dead || connection.Closed()
		})
	}
	return gotTurn
}

// removeOne returns the queue without the first prompt that has the given number of tokens.
func removeOne(queue []int, tokens int) []int {
	for position, entry := range queue {
		if entry == tokens {
			return append(append([]int(nil), queue[:position]...), queue[position+1:]...)
		}
	}
	return queue
}

// cache adds a prefix to the prefix cache and evicts the least recently used one if the cache
// is full.
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

// runKey identifies one dispatch of a run of a request by its token.
func runKey(request string, run int, token string) string {
	return request + "#" + strconv.Itoa(run) + "#" + token
}

// TransferMemory transfers a prompt's memory to a decode server: only once, and only for the request and run
// that the prompt was prefilled for.
func (e *Engine) TransferMemory(request MemoryRequest) (int, any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expireHandles()
	memory, found := e.handles[request.Handle]
	if !found || memory.request != request.Request || memory.run != request.Run {
		e.events.Append(Entry{
			Kind:    MemoryRefused,
			Server:  e.plan.Name,
			Request: request.Request,
			Run:     request.Run,
			Handle:  request.Handle,
			Holder:  request.Taker,
		})
		return http.StatusConflict, Refusal{Type: "handle_lapsed"}
	}
	delete(e.handles, request.Handle)
	e.memory -= memory.tokens
	e.events.Append(Entry{
		Kind:    MemoryTaken,
		Server:  e.plan.Name,
		Request: memory.request,
		Run:     memory.run,
		Handle:  request.Handle,
		Holder:  request.Taker,
	})
	return http.StatusOK, MemoryResponse{Tokens: memory.tokens, LinkRate: e.plan.LinkRate / e.linkSlowdown}
}

// Decode fetches a prompt's memory and sends the answer chunk by chunk. If the status that
// it returns is not 200, it sends no chunk and returns a refusal.
func (e *Engine) Decode(
	connection *Connection,
	request modelserver.DecodeRequest,
	send func(line modelserver.DecodeChunk) error,
) (int, any) {
	if status, refusal := e.beginDecode(connection, request); status != http.StatusOK {
		return status, refusal
	}
	memory := 0
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.active--
		e.memory -= memory
		delete(e.runs, runKey(request.Request, request.Run, request.DispatchToken))
	}()
	response, status := e.fetch(connection, request.Source, MemoryRequest{
		Handle:  request.Handle,
		Request: request.Request,
		Run:     request.Run,
		Taker:   e.plan.Name,
	})
	switch {
	case status == http.StatusConflict:
		return status, Refusal{Type: "handle_lapsed"}
	case status != http.StatusOK:
		return http.StatusBadGateway, Refusal{Started: true, Type: "source_lost"}
	}
	e.mutex.Lock()
	memory = response.Tokens + request.Chunks
	e.memory += memory
	rate := min(response.LinkRate, e.plan.LinkRate/e.linkSlowdown)
	e.mutex.Unlock()
	e.record(DecodeStarted, request.Request, request.Run)
	if !connection.Wait(time.Duration(float64(response.Tokens) / float64(max(rate, 1)) * float64(time.Second))) {
		return http.StatusGone, Refusal{Started: true, Type: "cancelled"}
	}
	e.stream(connection, request, send)
	return http.StatusOK, nil
}

// beginDecode adds a request to the decodes in progress, or refuses it with a status other than
// 200.
func (e *Engine) beginDecode(connection *Connection, request modelserver.DecodeRequest) (int, Refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isDuplicateDispatch("decode", request.DispatchToken, request.Request, request.Run) {
		return http.StatusConflict, Refusal{Started: true, Type: "duplicate_order"}
	}
	e.events.Append(Entry{
		Kind:    DecodeAsked,
		Server:  e.plan.Name,
		Zone:    e.plan.Zone,
		Request: request.Request,
		Run:     request.Run,
		Depth:   e.active,
		Age:     e.age(),
	})
	switch {
	case e.role != "decode":
		return http.StatusServiceUnavailable, Refusal{Type: "wrong_part"}
	case e.active >= 2*e.plan.DecodeSlots:
		return http.StatusTooManyRequests, Refusal{Type: "slots_full"}
	case e.memory+request.Chunks > e.plan.Memory:
		return http.StatusTooManyRequests, Refusal{Type: "memory_full"}
	}
	e.active++
	e.runs[runKey(request.Request, request.Run, request.DispatchToken)] = connection
	return http.StatusOK, Refusal{}
}

// ChunkText returns the text of one chunk, from which the checkers can tell the request and
// the run that it belongs to. A server passes the run's number followed by the dispatch token
// as run, so that two dispatches of one run differ.
func ChunkText(request, run string, chunk int) string {
	return request + "/" + run + "/" + strconv.Itoa(chunk)
}

// stream sends the chunks of an answer. A chunk takes longer while the server warms up, and while
// it has more decodes in progress than slots.
func (e *Engine) stream(
	connection *Connection,
	request modelserver.DecodeRequest,
	send func(line modelserver.DecodeChunk) error,
) {
	run := strconv.Itoa(request.Run) + request.DispatchToken
	for chunk := 1; chunk <= request.Chunks; chunk++ {
		e.mutex.Lock()
		slowdown := max(1, float64(e.active)/float64(e.plan.DecodeSlots))
		chunkTime := time.Duration(float64(e.plan.ChunkTime) * slowdown * (0.5 + e.warmupFactor()/2))
		e.mutex.Unlock()
		for e.Unresponsive() && connection.Wait(time.Second) {
		}
		if !connection.Wait(chunkTime) {
			return
		}
		if send(modelserver.DecodeChunk{
			Request: request.Request,
			Run:     request.Run,
			Chunk:   chunk,
			Text:    ChunkText(request.Request, run, chunk),
		}) != nil {
			return
		}
	}
	_ = send(modelserver.DecodeChunk{Request: request.Request, Run: request.Run, Done: true, Chunks: request.Chunks})
}

// Cancel stops the dispatch of a run that the request's dispatch token names, and frees the
// memory of all handles of the run.
func (e *Engine) Cancel(request modelserver.CancelRequest) {
	e.mutex.Lock()
	connection := e.runs[runKey(request.Request, request.Run, request.DispatchToken)]
	for name, memory := range e.handles {
		if memory.request == request.Request && memory.run == request.Run {
			delete(e.handles, name)
			e.memory -= memory.tokens
		}
	}
	e.mutex.Unlock()
	if connection != nil {
		connection.Close()
	}
}

// TakeRole sets the server's role on the command of the role lease's holder. It refuses a
// command with an older fencing token than the last one.
func (e *Engine) TakeRole(request modelserver.RoleRequest) (int, any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	entry := Entry{
		Kind:         Commanded,
		Server:       e.plan.Name,
		Holder:       request.Holder,
		FencingToken: request.FencingToken,
		Role:         request.Role,
		Cause:        request.Cause,
	}
	if request.FencingToken < e.fencingToken {
		entry.Kind = CommandRefused
		e.events.Append(entry)
		return http.StatusConflict, Refusal{Type: "old_fence"}
	}
	e.events.Append(entry)
	e.fencingToken = request.FencingToken
	e.role = request.Role
	return http.StatusOK, map[string]string{"part": e.role}
}
