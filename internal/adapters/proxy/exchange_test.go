package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// TestCallAndResponseAreForwardedUnchanged sends a call with an unusual path, with hop-by-hop headers and with headers that
// only the router may set. Everything but these headers must arrive unchanged, and so must the response, except for
// its hop-by-hop headers.
func TestCallAndResponseAreForwardedUnchanged(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "the body", "Keep-Alive: timeout=4", "X-Other: 7"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	router := newRouter(t, executor)
	body := strings.Repeat("0123456789", 9000)
	outbound := router.request(t, http.MethodPost, "/chat//a%2fb/../c?x=%20y&&z", "id-1", body,
		"X-Kept", "yes", "Connection", "X-Dropped", "X-Dropped", "no",
		"Seamloom-Server", "forged", "Seamloom-Stage", "prefill", "Seamloom-Source", "forged",
		"Seamloom-Parts", "5c1e07a2:800,91bd3f06:410", "Seamloom-Tokens", "1460,80", "Seamloom-Model", "m")
	got := send(outbound)
	if got.failure != nil || got.status != 200 || string(got.body) != "the body" || got.header.Get("X-Seal") != "seal-id-1" ||
		got.header.Get("X-Other") != "7" || got.header.Get("Keep-Alive") != "" {
		t.Fatalf("the response was changed: %+v", got)
	}
	inbound, sent := server.request(0)
	if inbound.Method != http.MethodPost || inbound.RequestURI != "/chat//a%2fb/../c?x=%20y&&z" || string(sent) != body ||
		inbound.Host != "calls.example" {
		t.Fatalf("the call was changed: %s %s %s, %d bytes", inbound.Method, inbound.RequestURI, inbound.Host, len(sent))
	}
	if inbound.Header.Get("X-Kept") != "yes" || inbound.Header.Get("X-Dropped") != "" || inbound.Header.Get("Seamloom-Server") != "server-1" ||
		inbound.Header.Get("Seamloom-Stage") != "" || inbound.Header.Get("Seamloom-Source") != "" {
		t.Fatalf("the server got the wrong headers: %v", inbound.Header)
	}
	// The server gets the remaining time of the decision's five seconds, not the client's four seconds.
	if left, err := strconv.Atoi(inbound.Header.Get("Seamloom-Limit-Milliseconds")); err != nil || left <= 4000 || left > 5000 {
		t.Fatalf("the server got the wrong time limit, want over 4000 and at most 5000 ms: %v", inbound.Header)
	}
	call := executor.calls[0]
	if call.Model != "m" || call.PromptTokens != 1460 || call.OutputTokens != 80 || len(call.Segments) != 2 ||
		call.Segments[0] != (scheduler.Segment{ID: 0x5c1e07a2, Tokens: 800}) || call.Path != "/chat//a%2fb/../c" || call.Bytes != len(body) {
		t.Fatalf("the head of the call was parsed wrongly: %+v", call)
	}
}

// TestMethodsWithAndWithoutBodies checks that an empty body stays empty, that a chunked body gets a Content-Length, and
// that sequential calls share one connection.
func TestMethodsWithAndWithoutBodies(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	router := newRouter(t, &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })})
	for number, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		got := send(router.request(t, method, "//twice", "id-"+method, "", "Idempotency-Key", "key"))
		if got.status != 200 {
			t.Fatalf("%s: got %+v, want status 200", method, got)
		}
		inbound, body := server.request(number)
		if inbound.Method != method || inbound.RequestURI != "//twice" || len(body) != 0 || inbound.TransferEncoding != nil ||
			inbound.Header.Get("Idempotency-Key") != "key" {
			t.Fatalf("%s was forwarded as %s %s, transfer encoding %v, headers %v",
				method, inbound.Method, inbound.RequestURI, inbound.TransferEncoding, inbound.Header)
		}
	}
	chunked := router.request(t, http.MethodPost, "/chunks", "id", "")
	chunked.Body, chunked.ContentLength = http.MaxBytesReader(nil, bodyOf("in chunks"), 100), -1
	if got := send(chunked); got.status != 200 {
		t.Fatalf("chunked body: got %+v, want status 200", got)
	}
	if inbound, body := server.request(4); string(body) != "in chunks" || inbound.ContentLength != 9 {
		t.Fatalf("a chunked body was forwarded as %q", body)
	}
	if server.connectionCount() != 1 {
		t.Fatalf("sequential calls opened %d connections, want 1", server.connectionCount())
	}
}

// TestFailedResponsesAreClassified has a server fail in various ways. Each failure must have its result, which decides
// whether the call may be retried, and the client must get the right status.
func TestFailedResponsesAreClassified(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		result   scheduler.Result
		status   int
	}{
		"full": {responseText(503, "id", "busy", "Seamloom-Not-Started: 1", "Seamloom-Load: 3,1,8", "Retry-After: 0.2"),
			scheduler.NotStarted, 503},
		"another incarnation":            {responseText(421, "id", ""), scheduler.Misdirected, 421},
		"the server's own error":         {responseText(500, "id", "oops"), scheduler.ErrorResponse, 500},
		"the server's own timeout":       {responseText(504, "id", ""), scheduler.ErrorResponse, 504},
		"503 without not-started header": {responseText(503, "id", "?"), scheduler.ErrorResponse, 502},
		"success of another call":        {responseText(200, "id-0", "?"), scheduler.Malformed, 503},
		"success without a call ID":      {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", scheduler.Malformed, 503},
		"failure of another call":        {responseText(503, "id-0", "?", "Seamloom-Not-Started: 1"), scheduler.Malformed, 503},
		"garbage":                        {"\x00\x01 garbage\r\n\r\n", scheduler.Malformed, 503},
		"invalid status code": {"HTTP/1.1 099 What\r\nSeamloom-Call: id\r\nContent-Length: 1\r\n\r\nx",
			scheduler.Malformed, 503},
		"switch to another protocol": {"HTTP/1.1 101 Switching Protocols\r\nSeamloom-Call: id\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nx",
			scheduler.Malformed, 503},
		"no response":             {"", scheduler.TimedOut, 503},
		"success with a cut body": {"HTTP/1.1 200 OK\r\nSeamloom-Call: id\r\nContent-Length: 10\r\n\r\nx", scheduler.TimedOut, 503},
		"failure with a cut body": {"HTTP/1.1 500 OK\r\nSeamloom-Call: id\r\nContent-Length: 10\r\n\r\nx", scheduler.TimedOut, 503},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				connection.writeText(test.response)
				return false
			})
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			got := newRouter(t, executor).send(t, "id", "body")
			if got.failure != nil || got.status != test.status || executor.last().Result != test.result {
				t.Fatalf("got %+v and outcome %+v, want status %d and result %s", got, executor.last(), test.status, test.result)
			}
			if server.count() != 1 {
				t.Fatalf("the call was sent %d times, want once", server.count())
			}
			if name == "full" && (got.header.Get("Retry-After") != "0.2" || got.header.Get("X-Seal") != "seal-id" ||
				string(got.body) != "busy" || *executor.last().Load != (scheduler.ResponseLoad{Running: 3, Waiting: 1, Slots: 8})) {
				t.Fatalf("the server's response was changed or its load misread: got %+v, load %+v", got, executor.last().Load)
			}
			if test.result == scheduler.Malformed && got.header.Get("X-Seal") != "" {
				t.Fatal("the router's own response has a header of the server")
			}
		})
	}
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	server := newFakeServer(t, nil)
	_ = server.listener.Close()
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	newRouter(t, executor).send(t, "id", "body")
	if executor.last().Result != scheduler.Unreachable {
		t.Fatalf("got outcome %+v, want result %s", executor.last(), scheduler.Unreachable)
	}
}

// TestPrefillAndDecodeAtTwoServers checks the headers of both phases, and that the prefill server gets the request to
// release a handle.
func TestPrefillAndDecodeAtTwoServers(t *testing.T) {
	releasedPaths := make(chan string, 1)
	prefillServer := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		if inbound.Method == http.MethodDelete {
			releasedPaths <- inbound.RequestURI
			connection.writeText(responseText(200, "", ""))
			return true
		}
		connection.writeText(responseText(200, "id", `{"handle":"3fa09c41b7d5","tokens":3}`))
		return true
	})
	decodeServer := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(responseText(200, "id", "answer"))
		return true
	})
	executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
		deadline := time.Now().Add(time.Second)
		switch number {
		case 0:
			return scheduler.Decision{Kind: scheduler.Prefill, Server: prefillServer.record, Deadline: deadline, Priority: -1}
		case 1:
			return scheduler.Decision{Kind: scheduler.Generate, Server: decodeServer.record, Deadline: deadline, Priority: -1,
				Source: &scheduler.Source{Address: prefillServer.record.Address, Handle: outcome.Handle}}
		}
		return scheduler.Decision{Kind: scheduler.Done, Release: []scheduler.Source{{Address: prefillServer.record.Address, Handle: "left over"}}}
	}}
	got := newRouter(t, executor).send(t, "id", "body")
	if got.status != 200 || string(got.body) != "answer" {
		t.Fatalf("got %+v, want the decode server's response", got)
	}
	prefillRequest, body := prefillServer.request(0)
	decodeRequest, _ := decodeServer.request(0)
	if prefillRequest.Header.Get("Seamloom-Stage") != "prefill" || string(body) != "body" ||
		decodeRequest.Header.Get("Seamloom-Stage") != "" ||
		decodeRequest.Header.Get("Seamloom-Source") != prefillServer.record.Address+"/3fa09c41b7d5" {
		t.Fatalf("wrong headers: prefill %v, decode %v", prefillRequest.Header, decodeRequest.Header)
	}
	if path := <-releasedPaths; path != "/v1/handles/left%20over" {
		t.Fatalf("a handle was released with path %s, want /v1/handles/left%%20over", path)
	}
}

// TestServerWorkEndsWhenTheClientDisconnects guards against servers that continue to work on the call of a client that
// has disconnected.
func TestServerWorkEndsWhenTheClientDisconnects(t *testing.T) {
	for name, text := range map[string]string{"before the head": "", "within the stream": streamHead("id") + chunk(event(1))} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan bool, 1), make(chan bool, 1)
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				connection.writeText(text)
				begun <- true
				_, _ = connection.reader.Peek(1)
				ended <- true
				return false
			})
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			router := newRouter(t, executor)
			disconnectedAt := make(chan time.Time, 1)
			go func() {
				<-begun
				disconnectedAt <- time.Now()
				router.CloseClientConnections()
			}()
			_ = router.send(t, "id", "body")
			<-ended
			// The deadline of the decision would end this work only after five seconds.
			if took := time.Since(<-disconnectedAt); took > 2*time.Second {
				t.Errorf("the server still worked %v after the client disconnected, want at most 2s", took)
			}
			waitUntil(t, "the call ends", func() bool { return executor.active.Load() == 0 && executor.last().Result != "" })
			if executor.last().Result != scheduler.ClientGone {
				t.Fatalf("got outcome %+v, want result %s", executor.last(), scheduler.ClientGone)
			}
		})
	}
}

// TestResponseTimeoutAndDeadline has a server that never responds: the call must end at the response timeout or at the
// deadline. The result is Unreachable if the deadline passes before the call is sent.
func TestResponseTimeoutAndDeadline(t *testing.T) {
	for name, decision := range map[string]scheduler.Decision{
		"response timeout": {Deadline: time.Now().Add(time.Hour), ResponseTimeout: 20 * time.Millisecond},
		"deadline":         {Deadline: time.Now().Add(50 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				_, _ = connection.reader.Peek(1)
				return false
			})
			executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
				if number > 0 {
					return finalDecision(outcome)
				}
				decision.Kind, decision.Server = scheduler.Generate, server.record
				return decision
			}}
			got := newRouter(t, executor).send(t, "id", "body")
			if got.status != 503 || executor.last().Result != scheduler.TimedOut && executor.last().Result != scheduler.Unreachable {
				t.Fatalf("got %+v and outcome %+v, want status 503 after a timeout", got, executor.last())
			}
		})
	}
}

// TestHalfClosedClientGetsNoInventedResponse guards against a response that looks complete although the server
// has not completed it: a client that closes its sending half counts as disconnected, but can still read.
func TestHalfClosedClientGetsNoInventedResponse(t *testing.T) {
	for name, text := range map[string]string{"before the head": "", "within the stream": streamHead("id") + chunk(event(1))} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				connection.writeText(text)
				_, _ = connection.reader.Peek(1)
				return false
			})
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			router := newRouter(t, executor)
			client, err := net.Dial("tcp", router.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			_, _ = io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\nContent-Length: 1\r\n\r\nx")
			reader := bufio.NewReader(client)
			if text == "" {
				waitUntil(t, "the call reaches the server", func() bool { return server.count() == 1 })
			} else if _, err := reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			_ = client.(*net.TCPConn).CloseWrite()
			if got, _ := io.ReadAll(reader); text == "" && len(got) != 0 || strings.HasSuffix(string(got), "0\r\n\r\n") {
				t.Fatalf("got %q, want a response that does not look complete", got)
			}
			if executor.last().Result != scheduler.ClientGone {
				t.Fatalf("got outcome %+v, want result %s", executor.last(), scheduler.ClientGone)
			}
		})
	}
}
