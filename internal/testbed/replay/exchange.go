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
	e := &exchange{server: server, header: header, body: body, source: header.Get(headerSource)}
	deadline, err := strconv.ParseFloat(header.Get(headerDeadline), 64)
	if err != nil {
		deadline = 0
	}
	e.behind, _ = strconv.Atoi(header.Get(headerLastEvent))
	s := phaseOf(header)
	e.event = Event{
		Server:   server.ID,
		Service:  server.Service,
		Zone:     server.Zone,
		Try:      header.Get(headerAttempt),
		Stage:    s,
		Behind:   e.behind,
		Digest:   digestOf(inbound.Method, inbound.URL.RequestURI(), inbound.Host, header, body),
		Deadline: time.Duration(deadline * float64(time.Millisecond)),
	}
	return e
}

// misdirected tells whether the request expects another server.
func (e *exchange) misdirected() int {
	server, header := e.server, e.header
	if t := header.Get(headerTarget); t != "" && t != server.ID {
		return http.StatusMisdirectedRequest
	}
	if expected := header.Get(headerExpected); expected != "" && expected != strconv.Itoa(server.revision) {
		return http.StatusMisdirectedRequest
	}
	if e.event.Stage != server.phase && server.shape.Plain == 0 {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// unfit tells why the request isn't taken up, if so.
func (e *exchange) unfit() int {
	switch {
	case e.event.Try == "":
		return http.StatusBadRequest
	case e.server.turning:
		return http.StatusServiceUnavailable
	}
	if _, fits := readChain(e.header.Get(headerParts)); !fits {
		return http.StatusBadRequest
	}
	return 0
}

// turnAway says that the request did not run here.
func (e *exchange) turnAway(writer http.ResponseWriter, status int) {
	event := e.event
	event.Kind, event.Status = TurnedAway, status
	e.server.pool.events.Append(event)
	writer.Header().Set(headerAttempt, event.Try)
	writer.Header().Set(headerServer, e.server.ID)
	writer.Header().Set(headerNotRun, "1")
	e.server.mutex.Lock()
	e.server.writeLoadHeader(writer.Header())
	e.server.mutex.Unlock()
	writer.WriteHeader(status)
}

// enter puts the request into the engine, once its memory is here if it has any
// elsewhere.
func (e *exchange) enter(now time.Time) {
	server := e.server
	server.answers++
	e.seal = fmt.Sprintf("%s.%x.%s", strings.TrimPrefix(server.ID, "i-"), server.answers, e.event.Digest)
	chain, _ := readChain(e.header.Get(headerParts))
	_, asked, _ := strings.Cut(e.header.Get(headerTokens), ",")
	most, _ := strconv.Atoi(asked)
	urgency := 5
	if given, err := strconv.Atoi(e.header.Get(headerUrgency)); err == nil {
		urgency = given
	}
	most = tokensOf(e.event.Digest, max(1, most))
	if server.shape.Plain > 0 {
		most = server.shape.Plain
	}
	e.one = &work{onlyRead: e.event.Stage == phasePrefill, model: e.header.Get(headerModel), chain: chain, most: most,
		made: e.behind, urgency: urgency, arrived: now}
	if e.event.Deadline > 0 {
		e.one.ends = now.Add(e.event.Deadline)
	}
	started := e.event
	started.Kind, started.Seal = RunStarted, e.seal
	e.one.started = func() { server.pool.events.Append(started) }
	if len(server.engine.waiting) >= server.shape.Queue && e.source != "" {
		e.refused = true
		return
	}
	if e.source != "" {
		_, ready, had := server.fetch(e.source, e.event.Try, now)
		if !had {
			e.noMemory = true
			return
		}
		e.one.fetched, e.one.notBefore = true, ready
	}
	if e.one.made >= e.one.most && !e.one.onlyRead {
		e.one.stage = over
		return
	}
	if e.refused = !server.engine.enter(e.one); !e.refused {
		server.progress.Broadcast()
	}
}

// answer waits for the engine, and writes what it makes.
func (e *exchange) answer(writer http.ResponseWriter) {
	if e.noMemory || e.refused {
		e.turnAway(writer, http.StatusServiceUnavailable)
		return
	}
	if e.event.Stage == phasePrefill {
		e.answerRead(writer)
		return
	}
	if e.server.shape.Plain > 0 {
		e.answerPlain(writer)
		return
	}
	e.answerStream(writer)
}

// await waits until there is more than so many tokens, or the request is over here.
func (e *exchange) await(sent int) (made int, finished bool, ending string) {
	server := e.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for e.one.made <= sent && e.one.stage != over && !e.gone && server.lifetime.Err() == nil {
		server.progress.Wait()
	}
	if (e.gone || server.lifetime.Err() != nil) && e.one.stage != over {
		server.engine.end(e.one, "left")
	}
	e.ran = e.one.begun
	return e.one.made, e.one.stage == over, e.one.ending
}

func (e *exchange) answerRead(writer http.ResponseWriter) {
	_, _, ending := e.await(1 << 30)
	server := e.server
	switch {
	case ending == "left":
		panic(http.ErrAbortHandler)
	case ending != "":
		e.turnAway(writer, http.StatusServiceUnavailable)
		return
	}
	tokens := 0
	for _, p := range e.one.chain {
		tokens += p.tokens
	}
	name := strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	server.mutex.Lock()
	server.handles[name] = &handle{
		try:    e.event.Try,
		tokens: tokens,
		held:   e.one.held,
		lapses: time.Now().Add(server.shape.HandleLifetime),
	}
	read := e.event
	read.Kind, read.Handle, read.Tokens = PromptRead, name, tokens
	server.pool.events.Append(read)
	server.lapse(time.Now())
	writer.Header().Set(headerAttempt, e.event.Try)
	server.writeLoadHeader(writer.Header())
	revision := server.revision
	server.mutex.Unlock()
	if e.spoiling == lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"prefillHandle": name, "tokenCount": tokens, "revision": revision})
}

// head writes the head of an answer.
func (e *exchange) head(header http.Header) {
	server := e.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	header.Set(headerAttempt, e.event.Try)
	header.Set(headerSeal, e.seal)
	header.Set(headerServer, server.ID)
	header.Set("Content-Type", "text/event-stream")
	server.writeLoadHeader(header)
	if server.draining || server.random.IntN(60) == 0 {
		header.Set("Connection", "close")
	}
}

// spanText is one event of a stream.
func (e *exchange) spanText(from, to int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%s/%d-%d\n\n", to, e.event.Digest, e.seal, from, to)
}

func (e *exchange) answerStream(writer http.ResponseWriter) {
	sent, begun, flusher := e.behind, false, http.NewResponseController(writer)
	ended := e.event
	ended.Kind, ended.Seal = RunEnded, e.seal
	defer func() { e.server.pool.events.Append(ended) }()
	for {
		made, finished, ending := e.await(sent)
		if e.server.silent() {
			<-e.server.lifetime.Done()
			ended.Cause = "dark"
			panic(http.ErrAbortHandler)
		}
		if made > sent && (ending == "" || begun) {
			if e.spoiling == lost && finished {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !begun {
				if e.spoiling == failed {
					e.leave()
					ended.Status, ended.Cause = http.StatusInternalServerError, "failed"
					e.head(writer.Header())
					writer.WriteHeader(http.StatusInternalServerError)
					return
				}
				if e.spoiling == garbage || e.spoiling == extraLate {
					e.answerBadly(writer, &ended)
					return
				}
				if e.spoiling != lost {
					e.head(writer.Header())
					writer.WriteHeader(http.StatusOK)
				}
				begun = true
			}
			if e.spoiling != lost {
				_, _ = writer.Write([]byte(e.spanText(sent+1, made)))
				_ = flusher.Flush()
			}
			sent = made
			if e.spoiling == brokenOff && sent-e.behind > 1 {
				ended.Cause = "broken off"
				e.leave()
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case !finished:
			continue
		case ending == "":
			if e.spoiling == lost {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !begun {
				e.head(writer.Header())
				writer.WriteHeader(http.StatusOK)
			}
			ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, sent
			return
		case ending == "left" || begun:
			ended.Cause = ending
			panic(http.ErrAbortHandler)
		case ending == "deadline" && e.ran:
			ended.Cause, ended.Status = ending, http.StatusGatewayTimeout
			e.head(writer.Header())
			writer.WriteHeader(http.StatusGatewayTimeout)
			return
		default:
			ended.Cause = ending
			e.turnAway(writer, http.StatusServiceUnavailable)
			return
		}
	}
}

// answerPlain answers a plain request once its work is done.
func (e *exchange) answerPlain(writer http.ResponseWriter) {
	ended := e.event
	ended.Kind, ended.Seal = RunEnded, e.seal
	defer func() { e.server.pool.events.Append(ended) }()
	made, _, ending := e.await(1 << 30)
	if e.server.silent() {
		<-e.server.lifetime.Done()
		ended.Cause = "dark"
		panic(http.ErrAbortHandler)
	}
	switch {
	case ending == "left":
		ended.Cause = ending
		panic(http.ErrAbortHandler)
	case ending != "" && !e.ran:
		ended.Cause = ending
		e.turnAway(writer, http.StatusServiceUnavailable)
		return
	case ending != "":
		ended.Cause, ended.Status = ending, http.StatusGatewayTimeout
	case e.spoiling == failed:
		ended.Cause, ended.Status = "failed", http.StatusInternalServerError
	case e.spoiling == lost:
		ended.Cause = "answer lost"
		panic(http.ErrAbortHandler)
	case e.spoiling == garbage || e.spoiling == extraLate:
		e.answerBadly(writer, &ended)
		return
	default:
		ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, made
	}
	text := e.plainText(made)
	e.head(writer.Header())
	writer.Header().Set("Content-Type", "application/json")
	if ended.Status == http.StatusOK {
		writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	writer.WriteHeader(ended.Status)
	if ended.Status != http.StatusOK {
		return
	}
	if e.spoiling == brokenOff {
		ended.Cause, ended.Complete = "broken off", false
		_, _ = writer.Write([]byte(text[:len(text)/2]))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write([]byte(text))
}

// plainText is the body of a plain answer.
func (e *exchange) plainText(made int) string {
	return fmt.Sprintf("{\"answer\":\"/%s/%s/1-%d\"}%s", e.event.Digest, e.seal, made, strings.Repeat(" ", 400))
}

// leave takes the request out of the engine.
func (e *exchange) leave() {
	e.server.mutex.Lock()
	defer e.server.mutex.Unlock()
	e.server.engine.end(e.one, "left")
}

// answerBadly writes by hand: bytes that are no answer, or a whole answer with another
// one behind it where the next answer should come.
func (e *exchange) answerBadly(writer http.ResponseWriter, ended *Event) {
	connection, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(4 * time.Second))
	if e.spoiling == garbage {
		ended.Cause = "spoilt"
		e.leave()
		_, _ = connection.Write([]byte("\x16\x03\x01 no answer at all\r\n\r\n"))
		return
	}
	head := http.Header{}
	e.head(head)
	head.Del("Connection")
	head.Set("Transfer-Encoding", "chunked")
	made, _, ending := e.await(1 << 30)
	if ending != "" {
		ended.Cause = ending
		return
	}
	write := func() {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\n"))
		_ = head.Write(connection)
		_, _ = connection.Write([]byte("\r\n"))
		body := httputil.NewChunkedWriter(connection)
		if e.server.shape.Plain > 0 {
			_, _ = body.Write([]byte(e.plainText(made)))
		} else {
			_, _ = body.Write([]byte(e.spanText(e.behind+1, made)))
		}
		_ = body.Close()
		_, _ = connection.Write([]byte("\r\n"))
	}
	write()
	ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, made
	// The extra answer comes once the next request is here, whole, and the connection stays
	// open behind it: a reset would take the answer away again.
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, next.Body)
	e.server.pool.events.Append(Event{
		Kind:    Arrived,
		Server:  e.server.ID,
		Service: e.server.Service,
		Zone:    e.server.Zone,
		Try:     next.Header.Get(headerAttempt),
		Stage:   phaseOf(next.Header),
		Cause:   "its answer was another's",
	})
	write()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, buffered)
}

// phaseOf is the part of the work that a request asks for.
func phaseOf(header http.Header) string {
	if header.Get(headerStage) == phasePrefill {
		return phasePrefill
	}
	return phaseDecode
}
