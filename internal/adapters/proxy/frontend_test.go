package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// freeAddress returns an address on which nothing listens. Its loopback IP is that of this process alone: at 127.0.0.1
// an outgoing connection of any process may get the port before the test listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// openFrontend starts a frontend that uses the function now as its clock, and returns the frontend with its addresses.
func openFrontend(t *testing.T, executor *scriptedExecutor, now func() time.Time) (frontend *Frontend, address, readyAddress string) {
	t.Helper()
	address, readyAddress = freeAddress(t), freeAddress(t)
	handler, err := NewHandler(t.Context(), DefaultProtocol(), NewPool(nil), executor, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	owner := &tomb.Tomb{}
	frontend, err = listen(owner, handler, address, readyAddress, now)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { owner.Kill(nil); frontend.Close(); _ = owner.Wait() })
	return frontend, address, readyAddress
}

// TestReadinessAndDraining checks that a draining router is not ready, but still serves a call on an open connection and
// then closes that connection.
func TestReadinessAndDraining(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	_, address, readyAddress := openFrontend(t, executor, time.Now)
	expectReadiness := func(status int) {
		t.Helper()
		response, err := http.Get("http://" + readyAddress + "/any")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != status {
			t.Fatalf("readiness: got status %d, want %d", response.StatusCode, status)
		}
	}
	expectReadiness(200)
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	call := func() *http.Response {
		t.Helper()
		_, _ = io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\nContent-Length: 1\r\n\r\nx")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(response.Body)
		return response
	}
	if response := call(); response.Close || response.StatusCode != 200 {
		t.Fatalf("got %+v, want status 200 on a connection that stays open", response)
	}
	executor.draining.Store(true)
	expectReadiness(503)
	if response := call(); !response.Close || response.StatusCode != 200 {
		t.Fatalf("got %+v, want status 200 with Connection: close", response)
	}
}

// TestSlowAndIdleClientsAreDisconnected moves the clock of the frontend past the header timeout, and then past the idle
// timeout. Each timeout must close only the connection to which it applies.
func TestSlowAndIdleClientsAreDisconnected(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record }),
		limits: config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	var clockOffset atomic.Int64
	frontend, address, _ := openFrontend(t, executor, func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) })
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(slow, "POST /x HT")
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(idle, "GET /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(idle), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	waitUntil(t, "one connection is new and one is idle", func() bool {
		frontend.mutex.Lock()
		defer frontend.mutex.Unlock()
		states := map[http.ConnState]int{}
		for _, connState := range frontend.connections {
			connState.mutex.Lock()
			states[connState.httpState]++
			connState.mutex.Unlock()
		}
		return states[http.StateNew] == 1 && states[http.StateIdle] == 1
	})
	clockOffset.Store(int64(4 * time.Second))
	frontend.closeTimedOut()
	_ = slow.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := slow.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatal("a connection without a complete head is still open after the header timeout:", err)
	}
	clockOffset.Store(int64(13 * time.Second))
	frontend.closeTimedOut()
	_ = idle.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := idle.Read(make([]byte, 1)); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatal("an idle connection was closed before the idle timeout:", err)
	}
	clockOffset.Store(int64(16 * time.Second))
	frontend.closeTimedOut()
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatal("an idle connection is still open after the idle timeout:", err)
	}
}

func TestLimitsOnClientRequests(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record }),
		limits: config.Limits{HeaderBytes: 1000, BodyBytes: 100}}
	router := newRouter(t, executor)
	for status, outbound := range map[int]*http.Request{
		200: router.request(t, http.MethodPost, "/", "id", strings.Repeat("x", 100)),
		413: router.request(t, http.MethodPost, "/", "id", strings.Repeat("x", 101)),
		431: router.request(t, http.MethodPost, "/", "id", "", "X-Long", strings.Repeat("x", 1000)),
	} {
		if got := send(outbound); got.status != status {
			t.Fatalf("got %+v, want status %d", got, status)
		}
	}
	chunked := router.request(t, http.MethodPost, "/", "id", "")
	chunked.Body, chunked.ContentLength = bodyOf(strings.Repeat("x", 101)), -1
	if got := send(chunked); got.status != 413 {
		t.Fatalf("chunked body: got %+v, want status 413", got)
	}
	if server.count() != 1 {
		t.Fatalf("%d calls were forwarded, want 1", server.count())
	}
}

// TestRequestOnAClosingConnectionIsRefused marks a connection as closing while the body of a request is
// still arriving. The request must be refused with 503 and Retry-After, and no server may get it.
func TestRequestOnAClosingConnectionIsRefused(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record }),
		limits: config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	frontend, address, _ := openFrontend(t, executor, time.Now)
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	_, _ = io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\nContent-Length: 2\r\n\r\nx")
	var connState *clientConnState
	waitUntil(t, "the head is read", func() bool {
		frontend.mutex.Lock()
		defer frontend.mutex.Unlock()
		for _, connState = range frontend.connections {
			connState.mutex.Lock()
			active := connState.httpState == http.StateActive
			connState.mutex.Unlock()
			if active {
				return true
			}
		}
		return false
	})
	// The connection is marked as closing, but its reads do not fail yet.
	connState.mutex.Lock()
	connState.closing = true
	connState.mutex.Unlock()
	_, _ = io.WriteString(client, "x")
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d and headers %v, want 503 with Connection: close and Retry-After", response.StatusCode, response.Header)
	}
	if server.count() != 0 {
		t.Error("the request was forwarded")
	}
}
