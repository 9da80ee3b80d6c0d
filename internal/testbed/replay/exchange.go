package replay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// exchange is one request at a model server.
type exchange struct {
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

func newExchange(server *modelServer, inbound *http.Request, body []byte) *exchange {
	header := inbound.Header
	exchange := &exchange{server: server, header: header, body: body, source: header.Get(headerSource)}
	deadline, err := strconv.ParseFloat(header.Get(headerDeadline), 64)
	if err != nil {
		deadline = 0
	}
	exchange.behind, _ = strconv.Atoi(header.Get(headerLastEvent))
	stage := stageOf(header)
	exchange.event = Event{Server: server.ID, Service: server.Service, Zone: server.Zone, Try: header.Get(headerTry), Stage: stage, Behind: exchange.behind,
		Digest: digestOf(inbound.Method, inbound.URL.RequestURI(), inbound.Host, header, body), Deadline: time.Duration(deadline * float64(time.Millisecond))}
	return exchange
}

// misdirected tells whether the request expects another server.
func (exchange *exchange) misdirected() int {
	server, header := exchange.server, exchange.header
	if target := header.Get(headerTarget); target != "" && target != server.ID {
		return http.StatusMisdirectedRequest
	}
	if expected := header.Get(headerExpected); expected != "" && expected != strconv.Itoa(server.revision) {
		return http.StatusMisdirectedRequest
	}
	if exchange.event.Stage != server.phase && server.shape.Plain == 0 {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// unfit tells why the request isn't taken up, if so.
func (exchange *exchange) unfit() int {
	switch {
	case exchange.event.Try == "":
		return http.StatusBadRequest
	case exchange.server.turning:
		return http.StatusServiceUnavailable
	}
	if _, fits := readChain(exchange.header.Get(headerParts)); !fits {
		return http.StatusBadRequest
	}
	return 0
}

// turnAway says that the request did not run here.
func (exchange *exchange) turnAway(writer http.ResponseWriter, status int) {
	event := exchange.event
	event.Kind, event.Status = TurnedAway, status
	exchange.server.pool.book.Note(event)
	writer.Header().Set(headerTry, event.Try)
	writer.Header().Set(headerServer, exchange.server.ID)
	writer.Header().Set(headerNotRun, "1")
	exchange.server.mutex.Lock()
	exchange.server.tellLoad(writer.Header())
	exchange.server.mutex.Unlock()
	writer.WriteHeader(status)
}

// enter puts the request into the engine, once its memory is here if it has any
// elsewhere.
func (exchange *exchange) enter(now time.Time) {
	server := exchange.server
	server.answers++
	exchange.seal = fmt.Sprintf("%s.%x.%s", strings.TrimPrefix(server.ID, "i-"), server.answers, exchange.event.Digest)
	chain, _ := readChain(exchange.header.Get(headerParts))
	_, asked, _ := strings.Cut(exchange.header.Get(headerTokens), ",")
	most, _ := strconv.Atoi(asked)
	urgency := 5
	if given, err := strconv.Atoi(exchange.header.Get(headerUrgency)); err == nil {
		urgency = given
	}
	most = tokensOf(exchange.event.Digest, max(1, most))
	if server.shape.Plain > 0 {
		most = server.shape.Plain
	}
	exchange.one = &work{onlyRead: exchange.event.Stage == stagePrefill, model: exchange.header.Get(headerModel), chain: chain, most: most,
		made: exchange.behind, urgency: urgency, arrived: now}
	if exchange.event.Deadline > 0 {
		exchange.one.ends = now.Add(exchange.event.Deadline)
	}
	started := exchange.event
	started.Kind, started.Seal = RunStarted, exchange.seal
	exchange.one.started = func() { server.pool.book.Note(started) }
	if len(server.engine.waiting) >= server.shape.Queue && exchange.source != "" {
		exchange.refused = true
		return
	}
	if exchange.source != "" {
		_, ready, had := server.fetch(exchange.source, exchange.event.Try, now)
		if !had {
			exchange.noMemory = true
			return
		}
		exchange.one.fetched, exchange.one.notBefore = true, ready
	}
	if exchange.one.made >= exchange.one.most && !exchange.one.onlyRead {
		exchange.one.stage = over
		return
	}
	if exchange.refused = !server.engine.enter(exchange.one); !exchange.refused {
		server.progress.Broadcast()
	}
}

// answer waits for the engine, and writes what it makes.
func (exchange *exchange) answer(writer http.ResponseWriter) {
	if exchange.noMemory || exchange.refused {
		exchange.turnAway(writer, http.StatusServiceUnavailable)
		return
	}
	if exchange.event.Stage == stagePrefill {
		exchange.answerRead(writer)
		return
	}
	if exchange.server.shape.Plain > 0 {
		exchange.answerWhole(writer)
		return
	}
	exchange.answerStream(writer)
}

// await waits until there is more than so many tokens, or the request is over here.
func (exchange *exchange) await(sent int) (made int, finished bool, ending string) {
	server := exchange.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for exchange.one.made <= sent && exchange.one.stage != over && !exchange.gone && server.lifetime.Err() == nil {
		server.progress.Wait()
	}
	if (exchange.gone || server.lifetime.Err() != nil) && exchange.one.stage != over {
		server.engine.end(exchange.one, "left")
	}
	exchange.ran = exchange.one.begun
	return exchange.one.made, exchange.one.stage == over, exchange.one.ending
}

func (exchange *exchange) answerRead(writer http.ResponseWriter) {
	_, _, ending := exchange.await(1 << 30)
	server := exchange.server
	switch {
	case ending == "left":
		panic(http.ErrAbortHandler)
	case ending != "":
		exchange.turnAway(writer, http.StatusServiceUnavailable)
		return
	}
	tokens := 0
	for _, part := range exchange.one.chain {
		tokens += part.tokens
	}
	name := strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	server.mutex.Lock()
	server.handles[name] = &handle{try: exchange.event.Try, tokens: tokens, held: exchange.one.held, lapses: time.Now().Add(server.shape.HandleLifetime)}
	read := exchange.event
	read.Kind, read.Handle, read.Tokens = PromptRead, name, tokens
	server.pool.book.Note(read)
	server.lapse(time.Now())
	writer.Header().Set(headerTry, exchange.event.Try)
	server.tellLoad(writer.Header())
	revision := server.revision
	server.mutex.Unlock()
	if exchange.spoiling == lost {
		panic(http.ErrAbortHandler)
	}
	say(writer, http.StatusOK, map[string]any{"prefillHandle": name, "tokenCount": tokens, "revision": revision})
}

// head writes the head of an answer.
func (exchange *exchange) head(header http.Header) {
	server := exchange.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	header.Set(headerTry, exchange.event.Try)
	header.Set(headerSeal, exchange.seal)
	header.Set(headerServer, server.ID)
	header.Set("Content-Type", "text/event-stream")
	server.tellLoad(header)
	if server.draining || server.random.IntN(60) == 0 {
		header.Set("Connection", "close")
	}
}

// spanText is one event of a stream.
func (exchange *exchange) spanText(from, to int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%s/%d-%d\n\n", to, exchange.event.Digest, exchange.seal, from, to)
}

func (exchange *exchange) answerStream(writer http.ResponseWriter) {
	sent, begun, flusher := exchange.behind, false, http.NewResponseController(writer)
	ended := exchange.event
	ended.Kind, ended.Seal = RunEnded, exchange.seal
	defer func() { exchange.server.pool.book.Note(ended) }()
	for {
		made, finished, ending := exchange.await(sent)
		if exchange.server.silent() {
			<-exchange.server.lifetime.Done()
			ended.Cause = "dark"
			panic(http.ErrAbortHandler)
		}
		if made > sent && (ending == "" || begun) {
			if exchange.spoiling == lost && finished {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !begun {
				if exchange.spoiling == failed {
					exchange.leave()
					ended.Status, ended.Cause = http.StatusInternalServerError, "failed"
					exchange.head(writer.Header())
					writer.WriteHeader(http.StatusInternalServerError)
					return
				}
				if exchange.spoiling == garbage || exchange.spoiling == extraLate {
					exchange.answerBadly(writer, &ended)
					return
				}
				if exchange.spoiling != lost {
					exchange.head(writer.Header())
					writer.WriteHeader(http.StatusOK)
				}
				begun = true
			}
			if exchange.spoiling != lost {
				_, _ = writer.Write([]byte(exchange.spanText(sent+1, made)))
				_ = flusher.Flush()
			}
			sent = made
			if exchange.spoiling == brokenOff && sent-exchange.behind > 1 {
				ended.Cause = "broken off"
				exchange.leave()
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case !finished:
			continue
		case ending == "":
			if exchange.spoiling == lost {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !begun {
				exchange.head(writer.Header())
				writer.WriteHeader(http.StatusOK)
			}
			ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, sent
			return
		case ending == "left" || begun:
			ended.Cause = ending
			panic(http.ErrAbortHandler)
		case ending == "deadline" && exchange.ran:
			ended.Cause, ended.Status = ending, http.StatusGatewayTimeout
			exchange.head(writer.Header())
			writer.WriteHeader(http.StatusGatewayTimeout)
			return
		default:
			ended.Cause = ending
			exchange.turnAway(writer, http.StatusServiceUnavailable)
			return
		}
	}
}

// answerWhole answers a plain request once its work is done.
func (exchange *exchange) answerWhole(writer http.ResponseWriter) {
	ended := exchange.event
	ended.Kind, ended.Seal = RunEnded, exchange.seal
	defer func() { exchange.server.pool.book.Note(ended) }()
	made, _, ending := exchange.await(1 << 30)
	if exchange.server.silent() {
		<-exchange.server.lifetime.Done()
		ended.Cause = "dark"
		panic(http.ErrAbortHandler)
	}
	switch {
	case ending == "left":
		ended.Cause = ending
		panic(http.ErrAbortHandler)
	case ending != "" && !exchange.ran:
		ended.Cause = ending
		exchange.turnAway(writer, http.StatusServiceUnavailable)
		return
	case ending != "":
		ended.Cause, ended.Status = ending, http.StatusGatewayTimeout
	case exchange.spoiling == failed:
		ended.Cause, ended.Status = "failed", http.StatusInternalServerError
	case exchange.spoiling == lost:
		ended.Cause = "answer lost"
		panic(http.ErrAbortHandler)
	case exchange.spoiling == garbage || exchange.spoiling == extraLate:
		exchange.answerBadly(writer, &ended)
		return
	default:
		ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, made
	}
	text := exchange.wholeText(made)
	exchange.head(writer.Header())
	writer.Header().Set("Content-Type", "application/json")
	if ended.Status == http.StatusOK {
		writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	writer.WriteHeader(ended.Status)
	if ended.Status != http.StatusOK {
		return
	}
	if exchange.spoiling == brokenOff {
		ended.Cause, ended.Complete = "broken off", false
		_, _ = writer.Write([]byte(text[:len(text)/2]))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write([]byte(text))
}

// wholeText is the body of a plain answer.
func (exchange *exchange) wholeText(made int) string {
	return fmt.Sprintf("{\"answer\":\"/%s/%s/1-%d\"}%s", exchange.event.Digest, exchange.seal, made, strings.Repeat(" ", 400))
}

// leave takes the request out of the engine.
func (exchange *exchange) leave() {
	exchange.server.mutex.Lock()
	defer exchange.server.mutex.Unlock()
	exchange.server.engine.end(exchange.one, "left")
}

// answerBadly writes by hand: bytes that are no answer, or a whole answer with another
// one behind it where the next answer should come.
func (exchange *exchange) answerBadly(writer http.ResponseWriter, ended *Event) {
	connection, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(4 * time.Second))
	if exchange.spoiling == garbage {
		ended.Cause = "spoilt"
		exchange.leave()
		_, _ = connection.Write([]byte("\x16\x03\x01 no answer at all\r\n\r\n"))
		return
	}
	head := http.Header{}
	exchange.head(head)
	head.Del("Connection")
	head.Set("Transfer-Encoding", "chunked")
	made, _, ending := exchange.await(1 << 30)
	if ending != "" {
		ended.Cause = ending
		return
	}
	write := func() {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\n"))
		_ = head.Write(connection)
		_, _ = connection.Write([]byte("\r\n"))
		body := httputil.NewChunkedWriter(connection)
		if exchange.server.shape.Plain > 0 {
			_, _ = body.Write([]byte(exchange.wholeText(made)))
		} else {
			_, _ = body.Write([]byte(exchange.spanText(exchange.behind+1, made)))
		}
		_ = body.Close()
		_, _ = connection.Write([]byte("\r\n"))
	}
	write()
	ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, made
	// The extra answer comes once the next request is here, whole, and the circuit stays
	// open behind it: a reset would take the answer away again.
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, next.Body)
	exchange.server.pool.book.Note(Event{Kind: Arrived, Server: exchange.server.ID, Service: exchange.server.Service, Zone: exchange.server.Zone, Try: next.Header.Get(headerTry),
		Stage: stageOf(next.Header), Cause: "its answer was another's"})
	write()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, buffered)
}

// stageOf is the part of the work that a request asks for.
func stageOf(header http.Header) string {
	if header.Get(headerStage) == stagePrefill {
		return stagePrefill
	}
	return stageDecode
}
