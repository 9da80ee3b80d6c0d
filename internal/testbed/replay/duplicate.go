package replay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"time"
)

// duplicateTimeout is how long a server waits for the next request on a connection, in the place of whose response it
// sends an earlier response again.
const duplicateTimeout = 4 * time.Second

// answerFaulty writes to the raw connection: either bytes that are not an HTTP response, or a
// complete response, which it sends again in place of the response to the next request.
func (e *exchange) answerFaulty(writer http.ResponseWriter, ended *Event) {
	connection, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(4 * time.Second))
	if e.fault == answerMalformed {
		ended.Cause = "spoilt"
		e.abandon()
		_, _ = connection.Write([]byte("\x16\x03\x01 no answer at all\r\n\r\n"))
		return
	}
	head := http.Header{}
	e.writeHead(head)
	head.Del("Connection")
	head.Set("Transfer-Encoding", "chunked")
	generated, _, cause := e.awaitTokens(1 << 30)
	if cause != "" {
		ended.Cause = cause
		return
	}
	write := func() {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\n"))
		_ = head.Write(connection)
		_, _ = connection.Write([]byte("\r\n"))
		body := httputil.NewChunkedWriter(connection)
		if e.server.config.PlainSteps > 0 {
			_, _ = body.Write([]byte(e.plainText(generated)))
		} else {
			_, _ = body.Write([]byte(e.spanText(e.lastEventID+1, generated)))
		}
		_ = body.Close()
		_, _ = connection.Write([]byte("\r\n"))
	}
	write()
	ended.Complete, ended.Status, ended.Tokens = true, http.StatusOK, generated
	// The duplicate is sent once the next request has been read completely. The connection then
	// stays open: a reset could discard the duplicate before the client reads it.
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, next.Body)
	e.server.pool.events.Append(Event{
		Kind:      RequestArrived,
		Server:    e.server.ID,
		Service:   e.server.Service,
		Zone:      e.server.Zone,
		AttemptID: next.Header.Get(headerAttempt),
		WorkPhase: phaseOf(next.Header),
		Cause:     "it got the response to an earlier request",
	})
	write()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, buffered)
}

// rejectTwice rejects the request, and sends that response again in the place of the response to the next request on the
// connection. The next request is run for as long as its client keeps the connection.
func (e *exchange) rejectTwice(writer http.ResponseWriter, status int) {
	header := http.Header{}
	e.writeRejection(header, status)
	header.Set("Content-Length", "0")
	connection, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(duplicateTimeout))
	if writeResponse(connection, status, header) != nil {
		return
	}
	next, body, err := readRequest(buffered.Reader)
	if err != nil {
		return
	}
	if writeResponse(connection, status, header) != nil {
		return
	}
	e.server.runWithoutResponse(next, body, buffered.Reader)
}

// writeResponse writes a response without a body to a connection.
func writeResponse(connection net.Conn, status int, header http.Header) error {
	if _, err := fmt.Fprintf(connection, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)); err != nil {
		return err
	}
	if err := header.Write(connection); err != nil {
		return err
	}
	_, err := io.WriteString(connection, "\r\n")
	return err
}

// readRequest reads the next request on a connection, with its body.
func readRequest(reader *bufio.Reader) (*http.Request, []byte, error) {
	next, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(next.Body)
	return next, body, err
}

// runWithoutResponse runs a request whose response was replaced by an earlier one, until it is complete or its client
// closes the connection. Requests of other kinds are ignored.
func (m *modelServer) runWithoutResponse(inbound *http.Request, body []byte, connection io.Reader) {
	if inbound.Method != http.MethodPost {
		return
	}
	e := newExchange(m, inbound, body)
	arrived := e.event
	arrived.Kind, arrived.Cause = RequestArrived, "it got the response to an earlier request"
	m.mutex.Lock()
	m.pool.events.Append(arrived)
	misdirected := e.misdirectedStatus() != 0
	if !misdirected {
		e.submit(time.Now())
	}
	m.mutex.Unlock()
	if misdirected || e.prefillMissing || e.queueFull {
		return
	}
	go func() {
		_, _ = io.Copy(io.Discard, connection)
		m.mutex.Lock()
		defer m.mutex.Unlock()
		e.clientGone = true
		m.progress.Broadcast()
	}()
	ended := e.event
	ended.Kind, ended.Seal = RunEnded, e.seal
	_, _, ended.Cause = e.awaitTokens(1 << 30)
	m.pool.events.Append(ended)
}
