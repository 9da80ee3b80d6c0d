package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// bodyOf returns a request body with the text.
func bodyOf(text string) io.ReadCloser { return io.NopCloser(strings.NewReader(text)) }

// TestConnectionIdleForTooLongIsNotReused guards against a call that is sent while the server closes the connection. The
// server states a keep-alive timeout of two seconds, from which the pool subtracts keepAliveMargin.
func TestConnectionIdleForTooLongIsNotReused(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x", "Keep-Alive: timeout=2"))
		return true
	})
	var clockOffset atomic.Int64
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	router := newRouter(t, executor)
	router.connections.now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	executor.decide = func(number int, outcome scheduler.Outcome) scheduler.Decision {
		decision := runOnce(func() membership.Server { return server.record })(number, outcome)
		decision.Deadline = decision.Deadline.Add(time.Hour)
		return decision
	}
	for _, step := range []struct {
		idleTime    time.Duration
		connections int
	}{{0, 1}, {time.Second, 1}, {1800 * time.Millisecond, 2}} {
		clockOffset.Add(int64(step.idleTime))
		if got := router.send(t, "id-"+step.idleTime.String(), ""); got.status != 200 || server.connectionCount() != step.connections {
			t.Fatalf("after %v of idle time: got %+v and %d connections, want status 200 and %d connections",
				step.idleTime, got, server.connectionCount(), step.connections)
		}
	}
}

// TestConnectionClosedByItsServerIsNotReused has a server that closes each connection after its response without a
// Connection: close header. Every call must reach the server exactly once, even if its result is TimedOut.
func TestConnectionClosedByItsServerIsNotReused(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return false
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	router := newRouter(t, executor)
	for number := range 20 {
		got := router.send(t, "id", "body")
		if got.status != 200 && executor.last().Result != scheduler.TimedOut {
			t.Fatalf("call %d: got %+v and outcome %+v, want status 200 or a timeout", number, got, executor.last())
		}
		waitUntil(t, "the closed connection is detected", func() bool { return !hasUsableIdleConnection(router.connections) })
	}
	if server.count() != 20 {
		t.Fatalf("the server got %d calls, want 20", server.count())
	}
}

// hasUsableIdleConnection reports whether the pool has an idle connection without an error.
func hasUsableIdleConnection(pool *Pool) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, idle := range pool.idle {
		for _, conn := range idle {
			if conn.http.Err() == nil {
				return true
			}
		}
	}
	return false
}

// TestBytesAfterACompleteResponseBelongToNoCall has a server that sends more bytes after a complete response: a later call
// on the connection must not get them as its response.
func TestBytesAfterACompleteResponseBelongToNoCall(t *testing.T) {
	for name, extra := range map[string]string{
		"bytes that are no response": "more bytes", "a second response": responseText(200, "id", "again"),
		"a late second response": "late"} {
		t.Run(name, func(t *testing.T) {
			var number atomic.Int64
			server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
				id := inbound.Header.Get("Seamloom-Call")
				if number.Add(1) > 1 {
					connection.writeText(responseText(200, id, "mine"))
					return true
				}
				// In the case "a late second response", the server sends a second response to the first call when the
				// second call arrives.
				if extra != "late" {
					connection.writeText(responseText(200, id, "mine") + extra)
					return true
				}
				connection.writeText(responseText(200, id, "mine"))
				_, _ = connection.reader.Peek(1)
				connection.writeText(responseText(200, id, "again"))
				return true
			})
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			router := newRouter(t, executor)
			if got := router.send(t, "first", "body"); string(got.body) != "mine" {
				t.Fatalf("first call: got %+v, want its own response", got)
			}
			got := router.send(t, "second", "body")
			if got.status == 200 && string(got.body) != "mine" ||
				got.status != 200 && (extra != "late" || executor.last().Result != scheduler.Malformed) {
				t.Fatalf("second call: got %+v and outcome %+v, want its own response (or, after a late second response, result %s)",
					got, executor.last(), scheduler.Malformed)
			}
			if got := router.send(t, "third", "body"); string(got.body) != "mine" {
				t.Fatalf("third call: got %+v, want its own response", got)
			}
		})
	}
}

// TestConnectionsToAnEarlierIncarnationAreDropped replaces a server in the list by another one at the same address. The
// pool must close its idle connections to the earlier server, and must not keep a connection that a later call to the
// earlier server opens.
func TestConnectionsToAnEarlierIncarnationAreDropped(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x", "Keep-Alive: timeout=9"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	router := newRouter(t, executor)
	router.connections.SetServers([]membership.Server{server.record})
	_ = router.send(t, "id", "")
	next := server.record
	next.Name = "server-2"
	router.connections.SetServers([]membership.Server{next})
	if hasUsableIdleConnection(router.connections) {
		t.Fatal("the pool still has a connection to an earlier incarnation")
	}
	_ = router.send(t, "id", "")
	if server.connectionCount() != 2 || hasUsableIdleConnection(router.connections) {
		t.Fatalf("got %d connections, want 2 and none of them reusable", server.connectionCount())
	}
}

// TestEndReportsWhetherBytesWereWritten guards against both wrong results of end. If end misses written bytes, a call
// that may have been sent is retried. If end reports bytes that were not written, a call that was certainly not sent is
// reported as possibly run.
func TestEndReportsWhetherBytesWereWritten(t *testing.T) {
	server := newFakeServer(t, func(*serverConnection, *http.Request) bool { return false })
	pool := NewPool(nil)
	pooled, err := pool.get(t.Context(), server.record, "id", time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if wrote, _ := pooled.conn.end(); wrote {
		t.Fatal("end reports written bytes, but none were written")
	}
	if _, err := pooled.conn.Write([]byte("x")); err == nil {
		t.Fatal("a write succeeded on a connection that was ended")
	}
	pooled, err = pool.get(t.Context(), server.record, "id", time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = pooled.conn.Write([]byte("GET"))
	if wrote, _ := pooled.conn.end(); !wrote {
		t.Fatal("end reports no written bytes, but some were written")
	}
	// A connection that is still open accepts no bytes of a call whose deadline has passed.
	pooled, err = pool.get(t.Context(), server.record, "id", time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if pooled.conn.begin(time.Now().Add(-time.Second)) {
		t.Fatal("begin accepted a call whose deadline has passed")
	}
	if _, err := pooled.conn.Write([]byte("GET")); err == nil {
		t.Fatal("a write succeeded although begin refused the call")
	}
	if wrote, _ := pooled.conn.end(); wrote {
		t.Fatal("end reports written bytes, but none were written")
	}
}

func TestConnectionAnsweredByAnotherIncarnationIsNotReused(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(421, inbound.Header.Get("Seamloom-Call"), "", "Keep-Alive: timeout=9"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	router := newRouter(t, executor)
	for range 2 {
		if got := router.send(t, "id", ""); got.status != 421 || executor.last().Result != scheduler.Misdirected {
			t.Fatalf("got %+v and outcome %+v, want status 421", got, executor.last())
		}
	}
	if server.connectionCount() != 2 {
		t.Fatalf("got %d connections, want 2", server.connectionCount())
	}
}

// TestServerThatRespondsEarlyGetsNoOtherBytes has a server refuse a call before it has read the long
// body. If the server later reads on, it may get only the rest of that body, and no bytes of another
// call.
func TestServerThatRespondsEarlyGetsNoOtherBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	remainders := make(chan string, 2)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(connection)
				inbound, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(connection, responseText(503, inbound.Header.Get("Seamloom-Call"), "", "Seamloom-Not-Started: 1"))
				if inbound.ContentLength < 1000 {
					_ = connection.Close()
					return
				}
				time.Sleep(200 * time.Millisecond)
				remainder, _ := io.ReadAll(reader)
				remainders <- string(remainder)
				_ = connection.Close()
			}()
		}
	}()
	server := membership.Server{Name: "server-1", Address: listener.Addr().String()}
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server })}
	router := newRouter(t, executor)
	if got := router.send(t, "long", strings.Repeat("x", 8<<20)); got.status != 503 || executor.last().Result != scheduler.NotStarted {
		t.Fatalf("long call: got %+v and outcome %+v, want status 503 and result %s", got, executor.last(), scheduler.NotStarted)
	}
	if got := router.send(t, "short", "y"); got.status != 503 {
		t.Fatalf("short call: got %+v, want status 503", got)
	}
	if remainder := <-remainders; strings.Trim(remainder, "x") != "" {
		t.Fatalf("the server got bytes of another call: %q", strings.Trim(remainder, "x"))
	}
}
