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

// standin is a model server that speaks as a test says.
type standin struct {
	listener net.Listener
	server   membership.Server
	// act answers one call on a connection; false closes the connection.
	act func(connection *callerConnection, inbound *http.Request) bool

	mutex       sync.Mutex
	calls       []*http.Request
	bodies      [][]byte
	connections int
	open        []net.Conn
}

type callerConnection struct {
	net.Conn
	reader *bufio.Reader
	number int
}

func (c *callerConnection) say(text string) { _, _ = io.WriteString(c, text) }

// reset closes the connection so that what is on its way is lost.
func (c *callerConnection) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func newStandin(t *testing.T, act func(c *callerConnection, inbound *http.Request) bool) *standin {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standin{listener: listener, act: act, server: membership.Server{Name: "life-1", Address: listener.Addr().String()}}
	var workers sync.WaitGroup
	workers.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.mutex.Lock()
			s.connections++
			conn := &callerConnection{Conn: connection, reader: bufio.NewReader(connection), number: s.connections}
			s.open = append(s.open, connection)
			s.mutex.Unlock()
			workers.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.mutex.Lock()
		for _, connection := range s.open {
			_ = connection.Close()
		}
		s.mutex.Unlock()
		workers.Wait()
	})
	return s
}

func (s *standin) serve(connection *callerConnection) {
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
		if !s.act(connection, inbound) {
			return
		}
	}
}

func (s *standin) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.calls)
}

// saw tells whether a call came.
func (s *standin) saw(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, inbound := range s.calls {
		if inbound.Header.Get("Seamloom-Call") == id {
			return true
		}
	}
	return false
}

func (s *standin) opened() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connections
}

func (s *standin) call(number int) (*http.Request, []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[number], s.bodies[number]
}

// whole is an answer with a length.
func whole(status int, id, body string, headers ...string) string {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nSeamloom-Call: " + id + "\r\nX-Seal: seal-" + id + "\r\n"
	for _, header := range headers {
		text += header + "\r\n"
	}
	return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// stream is the head of a chunked stream.
func stream(id string, headers ...string) string {
	text := "HTTP/1.1 200 OK\r\nSeamloom-Call: " + id + "\r\nX-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	for _, header := range headers {
		text += header + "\r\n"
	}
	return text + "\r\n"
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

func event(id int) string {
	return "id: " + strconv.Itoa(id) + "\ndata: piece " + strconv.Itoa(id) + "\n\n"
}

// scripted is a conduct that has one server run each call, and gives what the last
// dispatch told.
type scripted struct {
	limits   config.Limits
	decide   func(number int, outcome scheduler.Outcome) scheduler.Decision
	route    config.CallRoute
	mutex    sync.Mutex
	outcomes []scheduler.Outcome
	calls    []*scheduler.Call
	active   atomic.Int64
	leaving  atomic.Bool
}

// Limits bound what an origin may send.
func (s *scripted) Limits() config.Limits { return s.limits }

// Ready tells whether calls are welcome.
func (s *scripted) Ready() bool { return !s.leaving.Load() }

// Leaving tells that connections are to end.
func (s *scripted) Leaving() bool { return s.leaving.Load() }

// Screen refuses nothing by its head.
func (s *scripted) Screen(*scheduler.Call) (dataplane.Refusal, bool) {
	return dataplane.Refusal{}, false
}

// Serve carries the script out.
func (s *scripted) Serve(call *scheduler.Call, e dataplane.Exchange) {
	s.active.Add(1)
	defer s.active.Add(-1)
	s.mutex.Lock()
	s.calls = append(s.calls, call)
	s.mutex.Unlock()
	var outcome scheduler.Outcome
	for number := 0; ; number++ {
		decision := s.decide(number, outcome)
		for _, source := range decision.Release {
			e.Free(source)
		}
		switch decision.Kind {
		case scheduler.Prefill:
			outcome = e.Read(decision)
		case scheduler.Generate:
			outcome = e.Run(&s.route, decision, func() {})
		case scheduler.PassThrough:
			if !e.PassThrough() {
				e.Refuse(dataplane.Refusal{Cause: scheduler.OutcomeUnknown, Status: http.StatusBadGateway})
			}
			return
		case scheduler.BreakStream:
			e.Break()
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

func (s *scripted) last() scheduler.Outcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.outcomes) == 0 {
		return scheduler.Outcome{}
	}
	return s.outcomes[len(s.outcomes)-1]
}

// once runs a call at one server and passes on what comes.
func once(server func() membership.Server) func(number int, outcome scheduler.Outcome) scheduler.Decision {
	return func(number int, outcome scheduler.Outcome) scheduler.Decision {
		if number == 0 {
			return scheduler.Decision{Kind: scheduler.Generate, Server: server(), Deadline: time.Now().Add(5 * time.Second), Priority: -1}
		}
		return finalReply(outcome)
	}
}

func finalReply(outcome scheduler.Outcome) scheduler.Decision {
	switch outcome.Result {
	case scheduler.Complete, scheduler.ClientGone:
		return scheduler.Decision{Kind: scheduler.Done}
	case scheduler.Interrupted:
		return scheduler.Decision{Kind: scheduler.BreakStream}
	case scheduler.ErrorResponse, scheduler.NotStarted, scheduler.Misdirected:
		return scheduler.Decision{Kind: scheduler.PassThrough}
	}
	return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.OutcomeUnknown}
}

type router struct {
	*httptest.Server
	handler     *Handler
	connections *Pool
	scripted    *scripted
}

func newRouter(t *testing.T, s *scripted) *router {
	t.Helper()
	connections := NewPool(nil)
	ctx, cancel := context.WithCancel(context.Background())
	handler, err := NewHandler(ctx, DefaultProtocol(), connections, s, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	server.Config.ErrorLog = nil
	t.Cleanup(func() { cancel(); server.Close(); connections.SetServers(nil) })
	return &router{Server: server, handler: handler, connections: connections, scripted: s}
}

func (r *router) request(t *testing.T, method, path, id, body string, headers ...string) *http.Request {
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

// reply is what an origin got.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	failure error
}

func send(outbound *http.Request) reply {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	inbound, err := client.Do(outbound)
	if err != nil {
		return reply{failure: err}
	}
	body, err := io.ReadAll(inbound.Body)
	_ = inbound.Body.Close()
	return reply{status: inbound.StatusCode, header: inbound.Header, body: body, failure: err}
}

func (r *router) send(t *testing.T, id, body string, headers ...string) reply {
	t.Helper()
	return send(r.request(t, http.MethodPost, "/chat/x", id, body, headers...))
}

func joined(numbers ...int) string {
	var text bytes.Buffer
	for _, number := range numbers {
		text.WriteString(event(number))
	}
	return text.String()
}

// until waits for what another thread brings about.
func until(t *testing.T, what string, over func() bool) {
	t.Helper()
	ends := time.Now().Add(5 * time.Second)
	for !over() {
		if time.Now().After(ends) {
			t.Fatal("in vain: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}
