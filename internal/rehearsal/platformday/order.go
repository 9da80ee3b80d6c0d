package platformday

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// order is one request at a model server.
type order struct {
	server   *modelServer
	header   http.Header
	body     []byte
	event    Event
	seal     string
	spoiling spoiling
	one      *work
	behind   int
	noMemory bool
	refused  bool
	gone     bool
	// ran: the first token was made.
	ran    bool
	source string
}

func newOrder(server *modelServer, inbound *http.Request, body []byte) *order {
	header := inbound.Header
	order := &order{server: server, header: header, body: body, source: header.Get(headerSource)}
	deadline, failure := strconv.ParseFloat(header.Get(headerDeadline), 64)
	if failure != nil {
		deadline = 0
	}
	order.behind, _ = strconv.Atoi(header.Get(headerLastEvent))
	stage := stageDecode
	if header.Get(headerStage) == stagePrefill {
		stage = stagePrefill
	}
	order.event = Event{Server: server.ID, Service: server.Service, Zone: server.Zone, Try: header.Get(headerTry), Stage: stage, Behind: order.behind,
		Digest: digestOf(inbound.Method, inbound.URL.RequestURI(), inbound.Host, header, body), Deadline: time.Duration(deadline * float64(time.Millisecond))}
	return order
}

// misdirected tells whether the request expects another server.
func (order *order) misdirected() int {
	server, header := order.server, order.header
	if target := header.Get(headerTarget); target != "" && target != server.ID {
		return http.StatusMisdirectedRequest
	}
	if expected := header.Get(headerExpected); expected != "" && expected != strconv.Itoa(server.revision) {
		return http.StatusMisdirectedRequest
	}
	if order.event.Stage != server.phase {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// unfit tells why the request isn't taken up, if so.
func (order *order) unfit() int {
	switch {
	case order.event.Try == "":
		return http.StatusBadRequest
	case order.server.turning:
		return http.StatusServiceUnavailable
	}
	if _, fits := readChain(order.header.Get(headerParts)); !fits {
		return http.StatusBadRequest
	}
	return 0
}

// turnAway says that the request did not run here.
func (order *order) turnAway(writer http.ResponseWriter, status int) {
	event := order.event
	event.Kind, event.Status = TurnedAway, status
	order.server.park.book.Note(event)
	writer.Header().Set(headerTry, event.Try)
	writer.Header().Set(headerServer, order.server.ID)
	writer.Header().Set(headerNotRun, "1")
	order.server.mutex.Lock()
	order.server.tellLoad(writer.Header())
	order.server.mutex.Unlock()
	writer.WriteHeader(status)
}

// enter puts the request into the engine, once its memory is here if it has any
// elsewhere.
func (order *order) enter(now time.Time) {
	server := order.server
	server.answers++
	order.seal = fmt.Sprintf("%s.%x.%s", strings.TrimPrefix(server.ID, "i-"), server.answers, order.event.Digest)
	chain, _ := readChain(order.header.Get(headerParts))
	_, asked, _ := strings.Cut(order.header.Get(headerTokens), ",")
	most, _ := strconv.Atoi(asked)
	urgency := 5
	if given, failure := strconv.Atoi(order.header.Get(headerUrgency)); failure == nil {
		urgency = given
	}
	order.one = &work{onlyRead: order.event.Stage == stagePrefill, model: order.header.Get(headerModel), chain: chain, most: tokensOf(order.event.Digest, max(1, most)),
		made: order.behind, urgency: urgency, arrived: now}
	if order.event.Deadline > 0 {
		order.one.ends = now.Add(order.event.Deadline)
	}
	started := order.event
	started.Kind, started.Seal = RunStarted, order.seal
	order.one.started = func() { server.park.book.Note(started) }
	if len(server.engine.waiting) >= server.shape.Queue && order.source != "" {
		order.refused = true
		return
	}
	if order.source != "" {
		_, ready, had := server.fetch(order.source, order.event.Try, now)
		if !had {
			order.noMemory = true
			return
		}
		order.one.fetched, order.one.notBefore = true, ready
	}
	if order.one.made >= order.one.most && !order.one.onlyRead {
		order.one.stage = over
		return
	}
	if order.refused = !server.engine.enter(order.one); !order.refused {
		server.progress.Broadcast()
	}
}

// answer waits for the engine, and writes what it makes.
func (order *order) answer(writer http.ResponseWriter) {
	if order.noMemory || order.refused {
		order.turnAway(writer, http.StatusServiceUnavailable)
		return
	}
	if order.event.Stage == stagePrefill {
		order.answerRead(writer)
		return
	}
	order.answerStream(writer)
}

// await waits until there is more than so many tokens, or the request is over here.
func (order *order) await(sent int) (made int, finished bool, ending string) {
	server := order.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for order.one.made <= sent && order.one.stage != over && !order.gone && server.lifetime.Err() == nil {
		server.progress.Wait()
	}
	if (order.gone || server.lifetime.Err() != nil) && order.one.stage != over {
		server.engine.end(order.one, "left")
	}
	order.ran = order.one.begun
	return order.one.made, order.one.stage == over, order.one.ending
}

func (order *order) answerRead(writer http.ResponseWriter) {
	_, _, ending := order.await(1 << 30)
	server := order.server
	switch {
	case ending == "left":
		panic(http.ErrAbortHandler)
	case ending != "":
		order.turnAway(writer, http.StatusServiceUnavailable)
		return
	}
	tokens := 0
	for _, part := range order.one.chain {
		tokens += part.tokens
	}
	name := strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	server.mutex.Lock()
	server.handles[name] = &handle{try: order.event.Try, tokens: tokens, held: order.one.held, lapses: time.Now().Add(server.shape.HandleLife)}
	read := order.event
	read.Kind, read.Handle, read.Tokens = PromptRead, name, tokens
	server.park.book.Note(read)
	server.lapse(time.Now())
	writer.Header().Set(headerTry, order.event.Try)
	server.tellLoad(writer.Header())
	revision := server.revision
	server.mutex.Unlock()
	if order.spoiling == lost {
		panic(http.ErrAbortHandler)
	}
	say(writer, http.StatusOK, map[string]any{"prefillHandle": name, "tokenCount": tokens, "revision": revision})
}

// head writes the head of an answer.
func (order *order) head(header http.Header) {
	server := order.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	header.Set(headerTry, order.event.Try)
	header.Set(headerSeal, order.seal)
	header.Set(headerServer, server.ID)
	header.Set("Content-Type", "text/event-stream")
	server.tellLoad(header)
	if server.draining || server.random.IntN(60) == 0 {
		header.Set("Connection", "close")
	}
}

// spanText is one event of a stream.
func (order *order) spanText(from, to int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%s/%d-%d\n\n", to, order.event.Digest, order.seal, from, to)
}

func (order *order) answerStream(writer http.ResponseWriter) {
	sent, begun, flusher := order.behind, false, http.NewResponseController(writer)
	ended := order.event
	ended.Kind, ended.Seal = RunEnded, order.seal
	defer func() { order.server.park.book.Note(ended) }()
	for {
		made, finished, ending := order.await(sent)
		if order.server.silent() {
			<-order.server.lifetime.Done()
			ended.Cause = "dark"
			panic(http.ErrAbortHandler)
		}
		if made > sent && (ending == "" || begun) {
			if order.spoiling == lost && finished {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !begun {
				if order.spoiling == garbage || order.spoiling == extraLate {
					order.answerBadly(writer, &ended)
					return
				}
				if order.spoiling != lost {
					order.head(writer.Header())
					writer.WriteHeader(http.StatusOK)
				}
				begun = true
			}
			if order.spoiling != lost {
				_, _ = writer.Write([]byte(order.spanText(sent+1, made)))
				_ = flusher.Flush()
			}
			sent = made
			if order.spoiling == brokenOff && sent-order.behind > 1 {
				ended.Cause = "broken off"
				order.leave()
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case !finished:
			continue
		case ending == "":
			if order.spoiling == lost {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !begun {
				order.head(writer.Header())
				writer.WriteHeader(http.StatusOK)
			}
			ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, sent
			return
		case ending == "left" || begun:
			ended.Cause = ending
			panic(http.ErrAbortHandler)
		case ending == "deadline" && order.ran:
			ended.Cause, ended.Status = ending, http.StatusGatewayTimeout
			order.head(writer.Header())
			writer.WriteHeader(http.StatusGatewayTimeout)
			return
		default:
			ended.Cause = ending
			order.turnAway(writer, http.StatusServiceUnavailable)
			return
		}
	}
}

// leave takes the request out of the engine.
func (order *order) leave() {
	order.server.mutex.Lock()
	defer order.server.mutex.Unlock()
	order.server.engine.end(order.one, "left")
}

// answerBadly writes by hand: bytes that are no answer, or a whole answer with another
// one behind it where the next answer should come.
func (order *order) answerBadly(writer http.ResponseWriter, ended *Event) {
	circuit, buffered, failure := http.NewResponseController(writer).Hijack()
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = circuit.Close() }()
	_ = circuit.SetDeadline(time.Now().Add(4 * time.Second))
	if order.spoiling == garbage {
		ended.Cause = "spoilt"
		order.leave()
		_, _ = circuit.Write([]byte("\x16\x03\x01 no answer at all\r\n\r\n"))
		return
	}
	head := http.Header{}
	order.head(head)
	head.Del("Connection")
	head.Set("Transfer-Encoding", "chunked")
	made, _, ending := order.await(1 << 30)
	if ending != "" {
		ended.Cause = ending
		return
	}
	write := func() {
		_, _ = circuit.Write([]byte("HTTP/1.1 200 OK\r\n"))
		_ = head.Write(circuit)
		_, _ = circuit.Write([]byte("\r\n"))
		body := httputil.NewChunkedWriter(circuit)
		_, _ = body.Write([]byte(order.spanText(order.behind+1, made)))
		_ = body.Close()
		_, _ = circuit.Write([]byte("\r\n"))
	}
	write()
	ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, made
	// The extra answer comes once the next request is here.
	next, failure := http.ReadRequest(buffered.Reader)
	if failure != nil {
		return
	}
	order.server.park.book.Note(Event{Kind: Arrived, Server: order.server.ID, Service: order.server.Service, Zone: order.server.Zone, Try: next.Header.Get(headerTry),
		Stage: next.Header.Get(headerStage), Cause: "its answer was another's"})
	write()
}
