package replay

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// exchange handles one request at a model server.
type exchange struct {
	server      *modelServer
	header      http.Header
	body        []byte
	event       Event
	seal        string
	fault       answerFault
	work        *engineRequest
	lastEventID int
	// prefillMissing means that the KV cache that the request refers to was not available, queueFull
	// that the engine's queue was full, clientGone that the client has disconnected.
	prefillMissing bool
	queueFull      bool
	clientGone     bool
	// ran means that the first token was generated.
	ran bool
	// source is the location of the prompt's KV cache, if another server prefilled the prompt.
	source string
	// closeDelimited means that the response has neither a length nor chunks and ends with the connection.
	closeDelimited bool
	connection     net.Conn
}

// newExchange reads the headers of a request.
func newExchange(server *modelServer, inbound *http.Request, body []byte) *exchange {
	header := inbound.Header
	e := &exchange{server: server, header: header, body: body, source: header.Get(headerSource), connection: connectionOf(inbound)}
	deadline, err := strconv.ParseFloat(header.Get(headerDeadline), 64)
	if err != nil {
		deadline = 0
	}
	e.lastEventID, _ = strconv.Atoi(header.Get(headerLastEvent))
	workPhase := phaseOf(header)
	e.event = Event{
		Server:      server.ID,
		Service:     server.Service,
		Zone:        server.Zone,
		AttemptID:   header.Get(headerAttempt),
		WorkPhase:   workPhase,
		LastEventID: e.lastEventID,
		Digest:      digestOf(inbound.Method, inbound.URL.RequestURI(), inbound.Host, header, body),
		Deadline:    time.Duration(deadline * float64(time.Millisecond)),
	}
	return e
}

// misdirectedStatus returns 421 if the request is meant for another server, revision or phase, and
// 0 otherwise.
func (e *exchange) misdirectedStatus() int {
	server, header := e.server, e.header
	if expectedID := header.Get(headerTarget); expectedID != "" && expectedID != server.ID {
		return http.StatusMisdirectedRequest
	}
	if expected := header.Get(headerExpected); expected != "" && expected != strconv.Itoa(server.revision) {
		return http.StatusMisdirectedRequest
	}
	if e.event.WorkPhase != server.phase && server.config.PlainSteps == 0 {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// rejectionStatus returns the status with which the server rejects the request, or 0 if the server
// accepts it.
func (e *exchange) rejectionStatus() int {
	switch {
	case e.event.AttemptID == "":
		return http.StatusBadRequest
	case e.server.changingPhase:
		return http.StatusServiceUnavailable
	}
	if _, valid := parseChain(e.header.Get(headerParts)); !valid {
		return http.StatusBadRequest
	}
	return 0
}

// reject responds with a status and the header that says that the request did not run here.
func (e *exchange) reject(writer http.ResponseWriter, status int) {
	e.writeRejection(writer.Header(), status)
	writer.WriteHeader(status)
}

// writeRejection records that the request is rejected, and sets the headers that say so.
func (e *exchange) writeRejection(header http.Header, status int) {
	event := e.event
	event.Kind, event.Status = RequestRejected, status
	e.server.pool.events.Append(event)
	header.Set(headerAttempt, event.AttemptID)
	header.Set(headerServer, e.server.ID)
	header.Set(headerNotRun, "1")
	e.server.mutex.Lock()
	e.server.writeLoadHeader(header)
	e.server.mutex.Unlock()
}

// submit passes the request to the engine. If another server prefilled the prompt, the request
// starts once the KV cache has been transferred.
func (e *exchange) submit(now time.Time) {
	server := e.server
	server.answers++
	e.seal = fmt.Sprintf("%s.%x.%s", strings.TrimPrefix(server.ID, "i-"), server.answers, e.event.Digest)
	chain, _ := parseChain(e.header.Get(headerParts))
	_, maxText, _ := strings.Cut(e.header.Get(headerTokens), ",")
	maxTokens, _ := strconv.Atoi(maxText)
	urgency := 5
	if given, err := strconv.Atoi(e.header.Get(headerUrgency)); err == nil {
		urgency = given
	}
	maxTokens = answerTokens(e.event.Digest, max(1, maxTokens))
	if server.config.PlainSteps > 0 {
		maxTokens = server.config.PlainSteps
	}
	e.work = &engineRequest{prefillOnly: e.event.WorkPhase == phasePrefill, model: e.header.Get(headerModel), chain: chain,
		maxTokens: maxTokens, generated: e.lastEventID, urgency: urgency, arrived: now}
	if e.event.Deadline > 0 {
		e.work.deadline = now.Add(e.event.Deadline)
	}
	started := e.event
	started.Kind, started.Seal = RunStarted, e.seal
	e.work.onFirstToken = func() { server.pool.events.Append(started) }
	if len(server.engine.queue) >= server.config.Queue && e.source != "" {
		e.queueFull = true
		return
	}
	if e.source != "" {
		_, ready, available := server.fetchPrefix(e.source, e.event.AttemptID, now)
		if !available {
			e.prefillMissing = true
			return
		}
		e.work.fetched, e.work.notBefore = true, ready
	}
	if e.work.generated >= e.work.maxTokens && !e.work.prefillOnly {
		e.work.state = workFinished
		return
	}
	if e.queueFull = !server.engine.submit(e.work); !e.queueFull {
		server.progress.Broadcast()
	}
}

// answer waits for the engine and writes the response.
func (e *exchange) answer(writer http.ResponseWriter) {
	if e.prefillMissing || e.queueFull {
		if e.fault == answerDuplicated {
			e.rejectTwice(writer, http.StatusServiceUnavailable)
		} else {
			e.reject(writer, http.StatusServiceUnavailable)
		}
		return
	}
	if e.event.WorkPhase == phasePrefill {
		e.answerPrefill(writer)
		return
	}
	if e.server.config.PlainSteps > 0 {
		e.answerPlain(writer)
		return
	}
	e.answerStream(writer)
}

// awaitTokens waits until more tokens than sent are generated, the request ends, the client
// disconnects or the server stops. To wait only for the end, callers pass a number of tokens that no
// request reaches.
func (e *exchange) awaitTokens(sent int) (generated int, finished bool, cause string) {
	server := e.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for e.work.generated <= sent && e.work.state != workFinished && !e.clientGone && server.lifetime.Err() == nil {
		server.progress.Wait()
	}
	if (e.clientGone || server.lifetime.Err() != nil) && e.work.state != workFinished {
		server.engine.finish(e.work, "left")
	}
	e.ran = e.work.tokenGenerated
	return e.work.generated, e.work.state == workFinished, e.work.endCause
}

// answerPrefill responds to a prefill request with a handle to the KV cache.
func (e *exchange) answerPrefill(writer http.ResponseWriter) {
	_, _, cause := e.awaitTokens(1 << 30)
	server := e.server
	switch {
	case cause == "left":
		panic(http.ErrAbortHandler)
	case cause != "":
		e.reject(writer, http.StatusServiceUnavailable)
		return
	}
	tokens := 0
	for _, element := range e.work.chain {
		tokens += element.tokens
	}
	name := strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	server.mutex.Lock()
	server.handles[name] = &handle{
		attemptID: e.event.AttemptID,
		tokens:    tokens,
		pinned:    e.work.pinned,
		expires:   time.Now().Add(server.config.HandleLifetime),
	}
	prefilled := e.event
	prefilled.Kind, prefilled.Handle, prefilled.Tokens = PromptPrefilled, name, tokens
	server.pool.events.Append(prefilled)
	server.expireHandles(time.Now())
	writer.Header().Set(headerAttempt, e.event.AttemptID)
	server.writeLoadHeader(writer.Header())
	e.omitLength(writer.Header())
	revision := server.revision
	server.mutex.Unlock()
	if e.fault == answerLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"prefillHandle": name, "tokenCount": tokens, "revision": revision})
}

// writeHead sets the headers of a response.
func (e *exchange) writeHead(header http.Header) {
	server := e.server
	server.mutex.Lock()
	defer server.mutex.Unlock()
	header.Set(headerAttempt, e.event.AttemptID)
	header.Set(headerSeal, e.seal)
	header.Set(headerServer, server.ID)
	header.Set("Content-Type", "text/event-stream")
	server.writeLoadHeader(header)
	if server.draining || server.random.IntN(60) == 0 {
		header.Set("Connection", "close")
	}
	e.omitLength(header)
}

// spanText formats one event of a stream.
func (e *exchange) spanText(from, to int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%s/%d-%d\n\n", to, e.event.Digest, e.seal, from, to)
}

// answerStream responds with a stream of events, one for each batch of new tokens.
func (e *exchange) answerStream(writer http.ResponseWriter) {
	sent, headWritten, flusher := e.lastEventID, false, http.NewResponseController(writer)
	ended := e.event
	ended.Kind, ended.Seal = RunEnded, e.seal
	defer func() { e.server.pool.events.Append(ended) }()
	for {
		generated, finished, cause := e.awaitTokens(sent)
		if e.server.isSilent() {
			<-e.server.lifetime.Done()
			ended.Cause = "dark"
			panic(http.ErrAbortHandler)
		}
		if generated > sent && (cause == "" || headWritten) {
			if e.fault == answerLost && finished {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !headWritten {
				if e.fault == answerFailed {
					e.abandon()
					ended.Status, ended.Cause = http.StatusInternalServerError, "failed"
					e.writeHead(writer.Header())
					writer.WriteHeader(http.StatusInternalServerError)
					return
				}
				if e.fault == answerMalformed || e.fault == answerDuplicated {
					e.answerFaulty(writer, &ended)
					return
				}
				if e.fault != answerLost {
					e.writeHead(writer.Header())
					writer.WriteHeader(http.StatusOK)
					e.resetIfAborted()
				}
				headWritten = true
			}
			text := e.spanText(sent+1, generated)
			if e.fault == answerCutOff && e.closeDelimited && generated-e.lastEventID > 1 {
				ended.Cause = "broken off within an event"
				e.abandon()
				e.cutWithin(writer, text)
			}
			if e.fault != answerLost {
				_, _ = writer.Write([]byte(text))
				_ = flusher.Flush()
			}
			sent = generated
			if e.fault == answerCutOff && sent-e.lastEventID > 1 {
				ended.Cause = "broken off"
				e.abandon()
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case !finished:
			continue
		case cause == "":
			if e.fault == answerLost {
				ended.Cause = "answer lost"
				panic(http.ErrAbortHandler)
			}
			if !headWritten {
				e.writeHead(writer.Header())
				writer.WriteHeader(http.StatusOK)
			}
			ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, sent
			e.endRegularly()
			return
		case cause == "left" || headWritten:
			ended.Cause = cause
			panic(http.ErrAbortHandler)
		case cause == "deadline" && e.ran:
			ended.Cause, ended.Status = cause, http.StatusGatewayTimeout
			e.writeHead(writer.Header())
			writer.WriteHeader(http.StatusGatewayTimeout)
			return
		default:
			ended.Cause = cause
			e.reject(writer, http.StatusServiceUnavailable)
			return
		}
	}
}

// answerPlain responds to a plain request when its work is complete.
func (e *exchange) answerPlain(writer http.ResponseWriter) {
	ended := e.event
	ended.Kind, ended.Seal = RunEnded, e.seal
	defer func() { e.server.pool.events.Append(ended) }()
	generated, _, cause := e.awaitTokens(1 << 30)
	if e.server.isSilent() {
		<-e.server.lifetime.Done()
		ended.Cause = "dark"
		panic(http.ErrAbortHandler)
	}
	switch {
	case cause == "left":
		ended.Cause = cause
		panic(http.ErrAbortHandler)
	case cause != "" && !e.ran:
		ended.Cause = cause
		e.reject(writer, http.StatusServiceUnavailable)
		return
	case cause != "":
		ended.Cause, ended.Status = cause, http.StatusGatewayTimeout
	case e.fault == answerFailed:
		ended.Cause, ended.Status = "failed", http.StatusInternalServerError
	case e.fault == answerLost:
		ended.Cause = "answer lost"
		panic(http.ErrAbortHandler)
	case e.fault == answerMalformed || e.fault == answerDuplicated:
		e.answerFaulty(writer, &ended)
		return
	default:
		ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, generated
	}
	text := e.plainText(generated)
	e.writeHead(writer.Header())
	writer.Header().Set("Content-Type", "application/json")
	if ended.Status == http.StatusOK && !e.closeDelimited {
		writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	writer.WriteHeader(ended.Status)
	if ended.Status != http.StatusOK {
		return
	}
	if e.fault == answerCutOff {
		ended.Cause, ended.Complete = "broken off", false
		e.cutWithin(writer, strings.TrimSpace(text))
	}
	_, _ = writer.Write([]byte(text))
}

// plainText formats the body of a plain response.
func (e *exchange) plainText(generated int) string {
	return fmt.Sprintf("{\"answer\":\"/%s/%s/1-%d\"}%s", e.event.Digest, e.seal, generated, strings.Repeat(" ", 400))
}

// abandon removes the request from the engine.
func (e *exchange) abandon() {
	e.server.mutex.Lock()
	defer e.server.mutex.Unlock()
	e.server.engine.finish(e.work, "left")
}

// phaseOf returns the phase that a request asks for.
func phaseOf(header http.Header) string {
	if header.Get(headerWorkPhase) == phasePrefill {
		return phasePrefill
	}
	return phaseDecode
}
