package replay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// duplicateTimeout is how long a server waits for the next request on a connection, in the place of whose response it
// sends an earlier response again.
const duplicateTimeout = 4 * time.Second

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
