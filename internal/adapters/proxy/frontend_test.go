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

	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// freeAddress is one that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func openFrontend(t *testing.T, s *scripted, now func() time.Time) (frontend *Frontend, address, readyAddress string) {
	t.Helper()
	address, readyAddress = freeAddress(t), freeAddress(t)
	handler, err := NewHandler(t.Context(), DefaultProtocol(), NewPool(nil), s, time.Now)
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

func TestReadinessAndLeaving(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server })}
	_, address, readyAddress := openFrontend(t, sc, time.Now)
	ask := func(status int) {
		t.Helper()
		inbound, err := http.Get("http://" + readyAddress + "/any")
		if err != nil {
			t.Fatal(err)
		}
		_ = inbound.Body.Close()
		if inbound.StatusCode != status {
			t.Fatalf("status %d", inbound.StatusCode)
		}
	}
	ask(200)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	call := func() *http.Response {
		t.Helper()
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\nContent-Length: 1\r\n\r\nx")
		inbound, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(inbound.Body)
		return inbound
	}
	if inbound := call(); inbound.Close || inbound.StatusCode != 200 {
		t.Fatalf("%+v", inbound)
	}
	sc.leaving.Store(true)
	ask(503)
	if inbound := call(); !inbound.Close || inbound.StatusCode != 200 {
		t.Fatalf("%+v", inbound)
	}
}

func TestOriginsThatTakeOrRestTooLongAreDismissed(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server }), limits: config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	var ahead atomic.Int64
	frontend, address, _ := openFrontend(t, sc, func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) })
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(slow, "POST /x HT")
	resting, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(resting, "GET /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\n\r\n")
	inbound, err := http.ReadResponse(bufio.NewReader(resting), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = inbound.Body.Close()
	until(t, "both are known", func() bool {
		frontend.mutex.Lock()
		defer frontend.mutex.Unlock()
		states := map[http.ConnState]int{}
		for _, known := range frontend.connections {
			known.mutex.Lock()
			states[known.state]++
			known.mutex.Unlock()
		}
		return states[http.StateNew] == 1 && states[http.StateIdle] == 1
	})
	ahead.Store(int64(4 * time.Second))
	frontend.dismissLate()
	_ = slow.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := slow.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatal("a head that takes too long is waited for", err)
	}
	ahead.Store(int64(13 * time.Second))
	frontend.dismissLate()
	_ = resting.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := resting.Read(make([]byte, 1)); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatal("dismissed while it may rest", err)
	}
	ahead.Store(int64(16 * time.Second))
	frontend.dismissLate()
	_ = resting.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := resting.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatal("an origin that rests too long is kept", err)
	}
}

func TestLimitsOnWhatAnClientSends(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server }), limits: config.Limits{HeaderBytes: 1000, BodyBytes: 100}}
	r := newRouter(t, sc)
	for status, outbound := range map[int]*http.Request{
		200: r.request(t, http.MethodPost, "/", "id", strings.Repeat("x", 100)),
		413: r.request(t, http.MethodPost, "/", "id", strings.Repeat("x", 101)),
		431: r.request(t, http.MethodPost, "/", "id", "", "X-Long", strings.Repeat("x", 1000)),
	} {
		if got := send(outbound); got.status != status {
			t.Fatalf("%+v, not %d", got, status)
		}
	}
	chunked := r.request(t, http.MethodPost, "/", "id", "")
	chunked.Body, chunked.ContentLength = asBody(strings.Repeat("x", 101)), -1
	if got := send(chunked); got.status != 413 {
		t.Fatalf("%+v", got)
	}
	if s.count() != 1 {
		t.Fatalf("%d calls went on", s.count())
	}
}

// TestARequestThatCrossesADismissalIsRefused lets a connection rest too long, and sends a
// request on it that the gate has read whole when the connection is dismissed: it gets
// the promise that it never runs, and no server sees it.
func TestARequestThatCrossesADismissalIsRefused(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server }), limits: config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	frontend, address, _ := openFrontend(t, sc, time.Now)
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	_, _ = io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\nContent-Length: 2\r\n\r\nx")
	var known *clientConnection
	until(t, "the head is read", func() bool {
		frontend.mutex.Lock()
		defer frontend.mutex.Unlock()
		for _, known = range frontend.connections {
			known.mutex.Lock()
			active := known.state == http.StateActive
			known.mutex.Unlock()
			if active {
				return true
			}
		}
		return false
	})
	// The dismissal has decided; the connection's reads do not fail yet.
	known.mutex.Lock()
	known.dismissed = true
	known.mutex.Unlock()
	_, _ = io.WriteString(client, "x")
	inbound, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if inbound.StatusCode != http.StatusServiceUnavailable || !inbound.Close || inbound.Header.Get("Retry-After") == "" {
		t.Errorf("%d %v", inbound.StatusCode, inbound.Header)
	}
	if s.count() != 0 {
		t.Error("the request was passed on")
	}
}
