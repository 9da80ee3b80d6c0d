package rehearsal

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/adapters/stove"
	"seamloom.example/seamloom/internal/trouble"
)

// StandIn is a model server for rehearsals: a queue of prompts read one by
// one, slots for answers, bounded memory for prompts, a prefix cache, handles
// that lapse, a cold start, and a link of some speed. It writes everything
// that it is asked to do into the book.
type StandIn struct {
	plan        ServerPlan
	book        *Book
	address     string
	incarnation string
	client      *http.Client
	lifetime    context.Context
	end         context.CancelFunc
	server      *http.Server

	mutex       sync.Mutex
	born        time.Time
	part        string
	fence       uint64
	leaving     bool
	dark        bool
	slowLink    int
	queue       []int
	reading     bool
	turn        *sync.Cond
	active      int
	memory      int
	handles     map[string]*promptMemory
	prefixes    map[string]int
	prefixOrder []string
	runs        map[string]context.CancelFunc
}

type promptMemory struct {
	inquiry string
	run     int
	tokens  int
	lapses  time.Time
}

// StartStandIn begins a stand-in at an address; an empty one means any port.
//
// Example:
//
//	server, failure := rehearsal.StartStandIn(plan, "127.0.0.1:0", book)
func StartStandIn(plan ServerPlan, address string, book *Book) (*StandIn, error) {
	listener, failure := net.Listen("tcp", address)
	if failure != nil {
		return nil, trouble.Wrap(trouble.Unreachable, failure)
	}
	standIn := &StandIn{plan: plan, book: book, address: listener.Addr().String(), incarnation: uuid.NewString(), born: time.Now(),
		handles: map[string]*promptMemory{}, prefixes: map[string]int{}, runs: map[string]context.CancelFunc{}, slowLink: 1,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	standIn.turn = sync.NewCond(&standIn.mutex)
	standIn.lifetime, standIn.end = context.WithCancel(context.Background())
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/load"), standIn.load)
	mux.HandleFunc(pat.Post("/v1/prefill"), standIn.prefill)
	mux.HandleFunc(pat.Post("/v1/decode"), standIn.decode)
	mux.HandleFunc(pat.Post("/v1/memory"), standIn.giveMemory)
	mux.HandleFunc(pat.Post("/v1/cancel"), standIn.cancel)
	mux.HandleFunc(pat.Post("/v1/part"), standIn.takePart)
	standIn.server = &http.Server{Handler: standIn.shade(mux), BaseContext: func(net.Listener) context.Context { return standIn.lifetime }}
	go func() { _ = standIn.server.Serve(listener) }()
	book.Note(Entry{Kind: ServerBorn, Server: plan.Name, District: plan.District})
	return standIn, nil
}

// Address is where the stand-in listens.
//
// Example:
//
//	address := server.Address()
func (standIn *StandIn) Address() string { return standIn.address }

// Crash ends the stand-in at once, with all its memory.
//
// Example:
//
//	server.Crash()
func (standIn *StandIn) Crash() {
	standIn.book.Note(Entry{Kind: ServerCrashed, Server: standIn.plan.Name})
	standIn.end()
	_ = standIn.server.Close()
	standIn.client.CloseIdleConnections()
	standIn.mutex.Lock()
	standIn.turn.Broadcast()
	standIn.mutex.Unlock()
}

// SetDark makes the stand-in accept circuits and never answer, or end that.
//
// Example:
//
//	server.SetDark(true)
func (standIn *StandIn) SetDark(dark bool) {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.dark = dark
}

// SetLeaving makes the load reports say that the server leaves.
//
// Example:
//
//	server.SetLeaving(true)
func (standIn *StandIn) SetLeaving(leaving bool) {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.leaving = leaving
}

// SetHandleLife makes handles lapse after another time.
//
// Example:
//
//	server.SetHandleLife(time.Millisecond)
func (standIn *StandIn) SetHandleLife(life time.Duration) {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.plan.HandleLife = life
}

// SlowLink makes the link so many times slower.
//
// Example:
//
//	server.SlowLink(10)
func (standIn *StandIn) SlowLink(times int) {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.slowLink = times
}

// Part is the part that the server has.
//
// Example:
//
//	if server.Part() == "decode" { ... }
func (standIn *StandIn) Part() string {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	return standIn.part
}

// Active counts the answers under way.
//
// Example:
//
//	if server.Active() == 0 { ... }
func (standIn *StandIn) Active() int {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	return standIn.active
}

// shade leaves every call without an answer while the server is dark. What was
// dark when it came is never done.
func (standIn *StandIn) shade(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		standIn.mutex.Lock()
		dark := standIn.dark
		standIn.mutex.Unlock()
		if dark {
			// The body is read so that the closing of the circuit is noticed.
			_, _ = io.Copy(io.Discard, inbound.Body)
			<-inbound.Context().Done()
			return
		}
		next.ServeHTTP(writer, inbound)
	})
}

func say(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

func refuse(writer http.ResponseWriter, status int, started bool, kind string) {
	say(writer, status, map[string]any{"started": started, "type": kind})
}

func (standIn *StandIn) load(writer http.ResponseWriter, _ *http.Request) {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.sweepHandles()
	waiting := 0
	for _, tokens := range standIn.queue {
		waiting += tokens
	}
	prefixes := map[string]int{}
	for name, tokens := range standIn.prefixes {
		prefixes[name] = tokens
	}
	say(writer, http.StatusOK, stove.LoadReport{Server: standIn.plan.Name, Incarnation: standIn.incarnation, Part: standIn.part, Leaving: standIn.leaving,
		AgeMilliseconds: int(time.Since(standIn.born).Milliseconds()), PrefillQueueTokens: waiting, PrefillRate: standIn.plan.PrefillRate,
		PrefillWaiting: len(standIn.queue), PrefillRoom: standIn.plan.PrefillRoom, DecodeActive: standIn.active, DecodeSlots: standIn.plan.DecodeSlots,
		PieceTimeMicroseconds: int(standIn.plan.PieceTime.Microseconds()), MemoryFree: standIn.plan.Memory - standIn.memory,
		MemoryTotal: standIn.plan.Memory, LinkRate: standIn.plan.LinkRate / standIn.slowLink, Prefixes: prefixes})
}

func (standIn *StandIn) sweepHandles() {
	for name, held := range standIn.handles {
		if time.Now().After(held.lapses) {
			delete(standIn.handles, name)
			standIn.memory -= held.tokens
		}
	}
}

// cold slows a server down that has just started.
func (standIn *StandIn) cold() float64 {
	age := time.Since(standIn.born)
	if age >= standIn.plan.ColdTime {
		return 1
	}
	return 3 - 2*float64(age)/float64(standIn.plan.ColdTime)
}

func (standIn *StandIn) prefill(writer http.ResponseWriter, inbound *http.Request) {
	var order stove.PrefillOrder
	if json.NewDecoder(inbound.Body).Decode(&order) != nil {
		refuse(writer, http.StatusBadRequest, false, "malformed")
		return
	}
	standIn.mutex.Lock()
	age := time.Since(standIn.born)
	standIn.book.Note(Entry{Kind: PrefillAsked, Server: standIn.plan.Name, District: standIn.plan.District, Inquiry: order.Inquiry, Run: order.Run, Depth: len(standIn.queue), Age: age})
	standIn.sweepHandles()
	switch {
	case standIn.part != "prefill":
		standIn.mutex.Unlock()
		refuse(writer, http.StatusServiceUnavailable, false, "wrong_part")
		return
	case len(standIn.queue) >= standIn.plan.PrefillRoom:
		standIn.mutex.Unlock()
		refuse(writer, http.StatusTooManyRequests, false, "queue_full")
		return
	case standIn.memory+order.PromptTokens > standIn.plan.Memory:
		standIn.mutex.Unlock()
		refuse(writer, http.StatusTooManyRequests, false, "memory_full")
		return
	}
	standIn.memory += order.PromptTokens
	uncached := order.PromptTokens - min(order.PrefixTokens, standIn.prefixes[order.Prefix])
	standIn.queue = append(standIn.queue, uncached)
	standIn.book.Note(Entry{Kind: PrefillStarted, Server: standIn.plan.Name, District: standIn.plan.District, Inquiry: order.Inquiry, Run: order.Run})
	run, end := context.WithCancel(inbound.Context())
	defer end()
	standIn.runs[runName(order.Inquiry, order.Run)] = end
	for standIn.reading && standIn.lifetime.Err() == nil {
		standIn.turn.Wait()
	}
	standIn.reading = true
	cost := time.Duration(float64(uncached) / float64(standIn.plan.PrefillRate) * standIn.cold() * float64(time.Second))
	standIn.mutex.Unlock()
	finished := pauseFor(run, cost)
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.reading = false
	delete(standIn.runs, runName(order.Inquiry, order.Run))
	standIn.queue = removeOne(standIn.queue, uncached)
	standIn.turn.Broadcast()
	if !finished {
		standIn.memory -= order.PromptTokens
		refuse(writer, http.StatusGone, true, "cancelled")
		return
	}
	if order.Prefix != "" && order.PrefixTokens > 0 {
		standIn.cache(order.Prefix, order.PrefixTokens)
	}
	handle := uuid.NewString()
	standIn.handles[handle] = &promptMemory{inquiry: order.Inquiry, run: order.Run, tokens: order.PromptTokens, lapses: time.Now().Add(standIn.plan.HandleLife)}
	say(writer, http.StatusOK, stove.PrefillAnswer{Inquiry: order.Inquiry, Run: order.Run, Handle: handle})
}

func removeOne(queue []int, tokens int) []int {
	for position, entry := range queue {
		if entry == tokens {
			return append(append([]int(nil), queue[:position]...), queue[position+1:]...)
		}
	}
	return queue
}

func (standIn *StandIn) cache(prefix string, tokens int) {
	for position, name := range standIn.prefixOrder {
		if name == prefix {
			standIn.prefixOrder = append(standIn.prefixOrder[:position], standIn.prefixOrder[position+1:]...)
			break
		}
	}
	standIn.prefixOrder = append(standIn.prefixOrder, prefix)
	standIn.prefixes[prefix] = tokens
	if len(standIn.prefixOrder) > standIn.plan.Prefixes {
		delete(standIn.prefixes, standIn.prefixOrder[0])
		standIn.prefixOrder = standIn.prefixOrder[1:]
	}
}

func runName(inquiry string, run int) string { return inquiry + "#" + strconv.Itoa(run) }

// pauseFor lets simulated work take its time; false means it was broken off.
func pauseFor(lifetime context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return lifetime.Err() == nil
	case <-lifetime.Done():
		return false
	}
}

// memoryQuestion is what a decode server asks a prefill server for.
type memoryQuestion struct {
	Handle  string `json:"handle"`
	Inquiry string `json:"inquiry"`
	Run     int    `json:"run"`
	Taker   string `json:"taker"`
}

type memoryAnswer struct {
	Tokens   int `json:"tokens"`
	LinkRate int `json:"link_tokens_per_second"`
}

func (standIn *StandIn) giveMemory(writer http.ResponseWriter, inbound *http.Request) {
	var question memoryQuestion
	if json.NewDecoder(inbound.Body).Decode(&question) != nil {
		refuse(writer, http.StatusBadRequest, false, "malformed")
		return
	}
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.sweepHandles()
	held, found := standIn.handles[question.Handle]
	if !found || held.inquiry != question.Inquiry || held.run != question.Run {
		standIn.book.Note(Entry{Kind: MemoryRefused, Server: standIn.plan.Name, Inquiry: question.Inquiry, Run: question.Run, Handle: question.Handle, Holder: question.Taker})
		refuse(writer, http.StatusConflict, false, "handle_lapsed")
		return
	}
	delete(standIn.handles, question.Handle)
	standIn.memory -= held.tokens
	standIn.book.Note(Entry{Kind: MemoryTaken, Server: standIn.plan.Name, Inquiry: held.inquiry, Run: held.run, Handle: question.Handle, Holder: question.Taker})
	say(writer, http.StatusOK, memoryAnswer{Tokens: held.tokens, LinkRate: standIn.plan.LinkRate / standIn.slowLink})
}

func (standIn *StandIn) decode(writer http.ResponseWriter, inbound *http.Request) {
	var order stove.DecodeOrder
	if json.NewDecoder(inbound.Body).Decode(&order) != nil {
		refuse(writer, http.StatusBadRequest, false, "malformed")
		return
	}
	standIn.mutex.Lock()
	standIn.book.Note(Entry{Kind: DecodeAsked, Server: standIn.plan.Name, District: standIn.plan.District, Inquiry: order.Inquiry, Run: order.Run, Depth: standIn.active, Age: time.Since(standIn.born)})
	switch {
	case standIn.part != "decode":
		standIn.mutex.Unlock()
		refuse(writer, http.StatusServiceUnavailable, false, "wrong_part")
		return
	case standIn.active >= 2*standIn.plan.DecodeSlots:
		standIn.mutex.Unlock()
		refuse(writer, http.StatusTooManyRequests, false, "slots_full")
		return
	case standIn.memory+order.Pieces > standIn.plan.Memory:
		standIn.mutex.Unlock()
		refuse(writer, http.StatusTooManyRequests, false, "memory_full")
		return
	}
	standIn.active++
	run, end := context.WithCancel(inbound.Context())
	defer end()
	standIn.runs[runName(order.Inquiry, order.Run)] = end
	standIn.mutex.Unlock()
	held := 0
	defer func() {
		standIn.mutex.Lock()
		standIn.active--
		standIn.memory -= held
		delete(standIn.runs, runName(order.Inquiry, order.Run))
		standIn.mutex.Unlock()
	}()
	given, status := standIn.fetch(run, order)
	if status != http.StatusOK {
		if status == http.StatusConflict {
			refuse(writer, http.StatusConflict, false, "handle_lapsed")
		} else {
			refuse(writer, http.StatusBadGateway, true, "source_lost")
		}
		return
	}
	standIn.mutex.Lock()
	held = given.Tokens + order.Pieces
	standIn.memory += held
	standIn.mutex.Unlock()
	standIn.book.Note(Entry{Kind: DecodeStarted, Server: standIn.plan.Name, District: standIn.plan.District, Inquiry: order.Inquiry, Run: order.Run})
	standIn.mutex.Lock()
	rate := min(given.LinkRate, standIn.plan.LinkRate/standIn.slowLink)
	standIn.mutex.Unlock()
	if !pauseFor(run, time.Duration(float64(given.Tokens)/float64(max(rate, 1))*float64(time.Second))) {
		refuse(writer, http.StatusGone, true, "cancelled")
		return
	}
	standIn.stream(run, writer, order)
}

// fetch takes the prompt's memory over from the server that read the prompt.
func (standIn *StandIn) fetch(lifetime context.Context, order stove.DecodeOrder) (memoryAnswer, int) {
	body, _ := json.Marshal(memoryQuestion{Handle: order.Handle, Inquiry: order.Inquiry, Run: order.Run, Taker: standIn.plan.Name})
	asking, end := context.WithTimeout(lifetime, 2*time.Second)
	defer end()
	outbound, failure := http.NewRequestWithContext(asking, http.MethodPost, "http://"+order.Source+"/v1/memory", bytes.NewReader(body))
	if failure != nil {
		return memoryAnswer{}, http.StatusBadRequest
	}
	inbound, failure := standIn.client.Do(outbound)
	if failure != nil {
		return memoryAnswer{}, http.StatusBadGateway
	}
	defer func() { _ = inbound.Body.Close() }()
	var given memoryAnswer
	if inbound.StatusCode != http.StatusOK || json.NewDecoder(inbound.Body).Decode(&given) != nil {
		return given, inbound.StatusCode
	}
	return given, http.StatusOK
}

// PieceText is the text of one piece, by which its reader can tell whose it is
// and which run made it.
//
// Example:
//
//	text := rehearsal.PieceText("inquiry-1", 1, 3)
func PieceText(inquiry string, run, piece int) string {
	return inquiry + "/" + strconv.Itoa(run) + "/" + strconv.Itoa(piece)
}

func (standIn *StandIn) stream(run context.Context, writer http.ResponseWriter, order stove.DecodeOrder) {
	flusher := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	writer.Header().Set("Content-Type", "application/jsonl")
	for piece := 1; piece <= order.Pieces; piece++ {
		standIn.mutex.Lock()
		crowd := max(1, float64(standIn.active)/float64(standIn.plan.DecodeSlots))
		length := time.Duration(float64(standIn.plan.PieceTime) * crowd * (0.5 + standIn.cold()/2))
		dark := standIn.dark
		standIn.mutex.Unlock()
		if dark {
			<-run.Done()
		}
		if !pauseFor(run, length) {
			return
		}
		if encoder.Encode(stove.StreamLine{Inquiry: order.Inquiry, Run: order.Run, Piece: piece, Text: PieceText(order.Inquiry, order.Run, piece)}) != nil {
			return
		}
		_ = flusher.Flush()
	}
	_ = encoder.Encode(stove.StreamLine{Inquiry: order.Inquiry, Run: order.Run, Done: true, Pieces: order.Pieces})
}

func (standIn *StandIn) cancel(writer http.ResponseWriter, inbound *http.Request) {
	var order stove.CancelOrder
	if json.NewDecoder(inbound.Body).Decode(&order) != nil {
		refuse(writer, http.StatusBadRequest, false, "malformed")
		return
	}
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	if end, found := standIn.runs[runName(order.Inquiry, order.Run)]; found {
		end()
	}
	for name, held := range standIn.handles {
		if held.inquiry == order.Inquiry && held.run == order.Run {
			delete(standIn.handles, name)
			standIn.memory -= held.tokens
		}
	}
	say(writer, http.StatusOK, map[string]bool{"cancelled": true})
}

func (standIn *StandIn) takePart(writer http.ResponseWriter, inbound *http.Request) {
	var order stove.PartOrder
	if json.NewDecoder(inbound.Body).Decode(&order) != nil {
		refuse(writer, http.StatusBadRequest, false, "malformed")
		return
	}
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	entry := Entry{Kind: Commanded, Server: standIn.plan.Name, Holder: order.Holder, Fence: order.Fence, Part: order.Part, Cause: order.Cause}
	if order.Fence < standIn.fence {
		entry.Kind = CommandRefused
		standIn.book.Note(entry)
		refuse(writer, http.StatusConflict, false, "old_fence")
		return
	}
	standIn.book.Note(entry)
	standIn.fence = order.Fence
	standIn.part = order.Part
	say(writer, http.StatusOK, map[string]string{"part": standIn.part})
}
