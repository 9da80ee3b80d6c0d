package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// fakeServer is a model server whose responses a test determines.
type fakeServer struct {
	listener net.Listener
	// record is the server's entry in the list of servers.
	record membership.Server
	// respond responds to one call on a connection. If it returns false, the connection is closed.
	respond func(connection *serverConnection, inbound *http.Request) bool

	mutex       sync.Mutex
	calls       []*http.Request
	bodies      [][]byte
	connections int
	open        []net.Conn
}

// serverConnection is the fake server's side of a connection from the router.
type serverConnection struct {
	net.Conn
	reader *bufio.Reader
	number int
	// late is an answer that lateAnswers sends again in the place of the next one.
	late string
}

func (c *serverConnection) writeText(text string) { _, _ = io.WriteString(c, text) }

// reset closes the connection with a TCP reset, so that unread bytes are lost.
func (c *serverConnection) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// newFakeServer starts a fake server that responds to each call with respond. The server runs until the test ends.
func newFakeServer(t *testing.T, respond func(connection *serverConnection, inbound *http.Request) bool) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fakeServer{listener: listener, respond: respond, record: membership.Server{Name: "server-1", Address: listener.Addr().String()}}
	var workers sync.WaitGroup
	workers.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			server.mutex.Lock()
			server.connections++
			conn := &serverConnection{Conn: connection, reader: bufio.NewReader(connection), number: server.connections}
			server.open = append(server.open, connection)
			server.mutex.Unlock()
			workers.Go(func() { server.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		server.mutex.Lock()
		for _, connection := range server.open {
			_ = connection.Close()
		}
		server.mutex.Unlock()
		workers.Wait()
	})
	return server
}

func (s *fakeServer) serve(connection *serverConnection) {
	defer func() { _ = connection.Close() }()
	for {
		inbound, err := http.ReadRequest(connection.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(inbound.Body)
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.calls = append(s.calls, inbound)
		s.bodies = append(s.bodies, body)
		s.mutex.Unlock()
		if !s.respond(connection, inbound) {
			return
		}
	}
}

// count returns the number of calls that the server got.
func (s *fakeServer) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.calls)
}

// received reports whether the server got the call with this ID.
func (s *fakeServer) received(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, inbound := range s.calls {
		if inbound.Header.Get("Seamloom-Call") == id {
			return true
		}
	}
	return false
}

// connectionCount returns the number of connections that the server accepted.
func (s *fakeServer) connectionCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connections
}

// request returns the request of the call with this number, counted from 0, and its body.
func (s *fakeServer) request(number int) (*http.Request, []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[number], s.bodies[number]
}

// responseText returns a complete response with a Content-Length.
func responseText(status int, id, body string, headers ...string) string {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nSeamloom-Call: " + id + "\r\nX-Seal: seal-" + id + "\r\n"
	for _, header := range headers {
		text += header + "\r\n"
	}
	return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// streamHead returns the head of an event stream with chunked encoding.
func streamHead(id string, headers ...string) string {
	text := "HTTP/1.1 200 OK\r\nSeamloom-Call: " + id + "\r\nX-Seal: seal-" + id +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	for _, header := range headers {
		text += header + "\r\n"
	}
	return text + "\r\n"
}

// chunk returns the text as one chunk of a chunked body.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// event returns the event with this ID.
func event(id int) string {
	return "id: " + strconv.Itoa(id) + "\ndata: event " + strconv.Itoa(id) + "\n\n"
}

// scriptedExecutor executes the decisions of a test's decide function, which gets the number of the
// decision, counted from 0, and the outcome of the previous one. It records all calls and outcomes.
type scriptedExecutor struct {
	limits   config.Limits
	decide   func(number int, outcome scheduler.Outcome) scheduler.Decision
	route    config.CallRoute
	mutex    sync.Mutex
	outcomes []scheduler.Outcome
	calls    []*scheduler.Call
	active   atomic.Int64
	draining atomic.Bool
}

// Limits returns the limits that the test set.
func (s *scriptedExecutor) Limits() config.Limits { return s.limits }

// Ready reports whether the router accepts calls, which it does until the test sets draining.
func (s *scriptedExecutor) Ready() bool { return !s.draining.Load() }

// Draining reports whether the test has set draining.
func (s *scriptedExecutor) Draining() bool { return s.draining.Load() }

// Screen accepts every call.
func (s *scriptedExecutor) Screen(*scheduler.Call) (dataplane.Refusal, bool) {
	return dataplane.Refusal{}, false
}

// Serve executes the test's decisions for one call until a decision ends the call.
func (s *scriptedExecutor) Serve(call *scheduler.Call, e dataplane.Exchange) {
	s.active.Add(1)
	defer s.active.Add(-1)
	s.mutex.Lock()
	s.calls = append(s.calls, call)
	s.mutex.Unlock()
	var outcome scheduler.Outcome
	for number := 0; ; number++ {
		decision := s.decide(number, outcome)
		for _, source := range decision.Release {
			e.ReleaseHandle(source)
		}
		switch decision.Kind {
		case scheduler.Prefill:
			outcome = e.Prefill(decision)
		case scheduler.Generate:
			outcome = e.Generate(&s.route, decision, func() {})
		case scheduler.Continue:
			outcome = e.ContinueStream(decision)
		case scheduler.PassThrough:
			if !e.ForwardFailure() {
				e.Refuse(dataplane.Refusal{Cause: scheduler.OutcomeUnknown, Status: http.StatusBadGateway})
			}
			return
		case scheduler.BreakStream:
			e.Abort()
			return
		case scheduler.Refuse:
			e.Refuse(dataplane.Refusal{Cause: decision.Cause, Status: http.StatusServiceUnavailable, RetryAfter: decision.RetryAfter})
			return
		case scheduler.Done:
			return
		}
		s.mutex.Lock()
		s.outcomes = append(s.outcomes, outcome)
		s.mutex.Unlock()
	}
}

// last returns the outcome of the last dispatch.
func (s *scriptedExecutor) last() scheduler.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.outcomes) == 0 {
		return scheduler.Outcome{}
	}
	return s.outcomes[len(s.outcomes)-1]
}

// runOnce returns a decide function that sends a call to one server, with a deadline of five seconds, and then ends
// it with finalDecision.
func runOnce(server func() membership.Server) func(number int, outcome scheduler.Outcome) scheduler.Decision {
	return func(number int, outcome scheduler.Outcome) scheduler.Decision {
		if number == 0 {
			return scheduler.Decision{Kind: scheduler.Generate, Server: server(), Deadline: time.Now().Add(5 * time.Second), Priority: -1}
		}
		return finalDecision(outcome)
	}
}

// finalDecision returns the decision that ends a call after this outcome.
func finalDecision(outcome scheduler.Outcome) scheduler.Decision {
	switch outcome.Result {
	case scheduler.Complete, scheduler.ClientGone:
		return scheduler.Decision{Kind: scheduler.Done}
	case scheduler.Interrupted, scheduler.Stalled:
		return scheduler.Decision{Kind: scheduler.BreakStream}
	case scheduler.ErrorResponse, scheduler.NotStarted, scheduler.Misdirected:
		return scheduler.Decision{Kind: scheduler.PassThrough}
	}
	return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.OutcomeUnknown}
}

// testRouter is an HTTP server with a Handler, and the parts it was made of.
type testRouter struct {
	*httptest.Server
	handler     *Handler
	connections *Pool
	executor    *scriptedExecutor
}

// newRouter starts a router that serves its calls with the executor. The router runs until the test ends.
func newRouter(t *testing.T, executor *scriptedExecutor) *testRouter {
	t.Helper()
	connections := NewPool(nil)
	ctx, cancel := context.WithCancel(context.Background())
	handler, err := NewHandler(ctx, DefaultProtocol(), connections, executor, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	server.Config.ErrorLog = nil
	t.Cleanup(func() { cancel(); server.Close(); connections.SetServers(nil) })
	return &testRouter{Server: server, handler: handler, connections: connections, executor: executor}
}

// request returns a client's request with the call's ID, a time limit and the given pairs of header names and values.
func (r *testRouter) request(t *testing.T, method, path, id, body string, headers ...string) *http.Request {
	t.Helper()
	outbound, err := http.NewRequest(method, r.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	outbound.Host = "calls.example"
	outbound.Header.Set("Seamloom-Call", id)
	outbound.Header.Set("Seamloom-Limit-Milliseconds", "4000")
	for position := 0; position+1 < len(headers); position += 2 {
		outbound.Header.Set(headers[position], headers[position+1])
	}
	return outbound
}

// reply is the response that a client got. failure is the error if the response is missing or incomplete.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	failure error
}

// send sends a request on a new connection and returns the response.
func send(outbound *http.Request) reply {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(outbound)
	if err != nil {
		return reply{failure: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return reply{status: response.StatusCode, header: response.Header, body: body, failure: err}
}

func (r *testRouter) send(t *testing.T, id, body string, headers ...string) reply {
	t.Helper()
	return send(r.request(t, http.MethodPost, "/chat/x", id, body, headers...))
}

// joinedEvents returns the events with these IDs.
func joinedEvents(numbers ...int) string {
	var text bytes.Buffer
	for _, number := range numbers {
		text.WriteString(event(number))
	}
	return text.String()
}

// waitUntil waits until the condition holds, and fails the test after five seconds. The description completes the
// message "timed out waiting until".
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until " + description)
		}
		time.Sleep(time.Millisecond)
	}
}
