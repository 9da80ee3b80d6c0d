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

func asBody(text string) io.ReadCloser { return io.NopCloser(strings.NewReader(text)) }

func TestAConnectionThatRestedTooLongIsNotUsed(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(200, inbound.Header.Get("Seamloom-Call"), "x", "Keep-Alive: timeout=2"))
		return true
	})
	var ahead atomic.Int64
	sc := &scripted{decide: once(func() membership.Server { return s.server })}
	r := newRouter(t, sc)
	r.connections.now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	sc.decide = func(number int, outcome scheduler.Outcome) scheduler.Decision {
		decision := once(func() membership.Server { return s.server })(number, outcome)
		decision.Deadline = decision.Deadline.Add(time.Hour)
		return decision
	}
	for _, step := range []struct {
		later       time.Duration
		connections int
	}{{0, 1}, {time.Second, 1}, {1800 * time.Millisecond, 2}} {
		ahead.Add(int64(step.later))
		if got := r.send(t, "id", ""); got.status != 200 || s.opened() != step.connections {
			t.Fatalf("after %v: %+v, %d circuits", step.later, got, s.opened())
		}
	}
}

func TestAConnectionThatItsServerClosedIsNotUsed(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return false
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server })}
	r := newRouter(t, sc)
	for number := range 20 {
		got := r.send(t, "id", "body")
		if got.status != 200 && sc.last().Result != scheduler.TimedOut {
			t.Fatalf("%d: %+v %+v", number, got, sc.last())
		}
		until(t, "the circuit is seen closed", func() bool { return !restingGood(r.connections) })
	}
	if s.count() != 20 {
		t.Fatalf("%d calls for 20", s.count())
	}
}

// restingGood tells whether any connection rests that looks good.
func restingGood(connections *Pool) bool {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for _, resting := range connections.idle {
		for _, l := range resting {
			if l.http.Err() == nil {
				return true
			}
		}
	}
	return false
}

func TestWhatFollowsAWholeAnswerBelongsToNoCall(t *testing.T) {
	for name, extra := range map[string]string{"bytes": "more bytes", "an answer": whole(200, "id", "again"), "a late answer": "late"} {
		t.Run(name, func(t *testing.T) {
			var number atomic.Int64
			s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
				id := inbound.Header.Get("Seamloom-Call")
				if number.Add(1) > 1 {
					connection.say(whole(200, id, "mine"))
					return true
				}
				if extra != "late" {
					connection.say(whole(200, id, "mine") + extra)
					return true
				}
				connection.say(whole(200, id, "mine"))
				_, _ = connection.reader.Peek(1)
				connection.say(whole(200, id, "again"))
				return true
			})
			sc := &scripted{decide: once(func() membership.Server { return s.server })}
			r := newRouter(t, sc)
			if got := r.send(t, "first", "body"); string(got.body) != "mine" {
				t.Fatalf("%+v", got)
			}
			got := r.send(t, "second", "body")
			if got.status == 200 && string(got.body) != "mine" || got.status != 200 && (extra != "late" || sc.last().Result != scheduler.Malformed) {
				t.Fatalf("%+v %+v", got, sc.last())
			}
			if got := r.send(t, "third", "body"); string(got.body) != "mine" {
				t.Fatalf("%+v", got)
			}
		})
	}
}

func TestConnectionsToAnEarlierIncarnationAreDropped(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(200, inbound.Header.Get("Seamloom-Call"), "x", "Keep-Alive: timeout=9"))
		return true
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server })}
	r := newRouter(t, sc)
	r.connections.SetServers([]membership.Server{s.server})
	_ = r.send(t, "id", "")
	next := s.server
	next.Name = "life-2"
	r.connections.SetServers([]membership.Server{next})
	if restingGood(r.connections) {
		t.Fatal("a circuit to a life that is gone still rests")
	}
	_ = r.send(t, "id", "")
	if s.opened() != 2 || restingGood(r.connections) {
		t.Fatalf("%d circuits", s.opened())
	}
}

func TestNothingWrittenIsCertain(t *testing.T) {
	s := newStandin(t, func(*callerConnection, *http.Request) bool { return false })
	connections := NewPool(nil)
	l, err := connections.get(t.Context(), s.server, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if wrote, _ := l.conn.end(); wrote {
		t.Fatal("nothing was written")
	}
	if _, err := l.conn.Write([]byte("x")); err == nil {
		t.Fatal("an ended circuit took bytes")
	}
	l, err = connections.get(t.Context(), s.server, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = l.conn.Write([]byte("GET"))
	if wrote, _ := l.conn.end(); !wrote {
		t.Fatal("something was written")
	}
	// One whose call's end has come takes nothing, though it is up.
	l, err = connections.get(t.Context(), s.server, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if l.conn.begin(time.Now().Add(-time.Second)) {
		t.Fatal("a call began after its end")
	}
	if _, err := l.conn.Write([]byte("GET")); err == nil {
		t.Fatal("a circuit that was not begun took bytes")
	}
	if wrote, _ := l.conn.end(); wrote {
		t.Fatal("nothing was written")
	}
}

func TestAConnectionThatAnotherIncarnationAnsweredOnIsNotUsedAgain(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(whole(421, inbound.Header.Get("Seamloom-Call"), "", "Keep-Alive: timeout=9"))
		return true
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server })}
	r := newRouter(t, sc)
	for range 2 {
		if got := r.send(t, "id", ""); got.status != 421 || sc.last().Result != scheduler.Misdirected {
			t.Fatalf("%+v", got)
		}
	}
	if s.opened() != 2 {
		t.Fatalf("%d circuits", s.opened())
	}
}

// TestAServerThatAnswersEarlyGetsNoOtherBytes: one that says no before it has read a
// long body, and reads on later, reads the rest of that body or nothing.
func TestAServerThatAnswersEarlyGetsNoOtherBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	rests := make(chan string, 2)
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
				_, _ = io.WriteString(connection, whole(503, inbound.Header.Get("Seamloom-Call"), "", "Seamloom-Not-Started: 1"))
				if inbound.ContentLength < 1000 {
					_ = connection.Close()
					return
				}
				time.Sleep(200 * time.Millisecond)
				rest, _ := io.ReadAll(reader)
				rests <- string(rest)
				_ = connection.Close()
			}()
		}
	}()
	server := membership.Server{Name: "life-1", Address: listener.Addr().String()}
	s := &scripted{decide: once(func() membership.Server { return server })}
	r := newRouter(t, s)
	if got := r.send(t, "long", strings.Repeat("x", 8<<20)); got.status != 503 || s.last().Result != scheduler.NotStarted {
		t.Fatalf("%+v", got)
	}
	if got := r.send(t, "short", "y"); got.status != 503 {
		t.Fatalf("%+v", got)
	}
	if rest := <-rests; strings.Trim(rest, "x") != "" {
		t.Fatalf("other bytes: %q", strings.Trim(rest, "x"))
	}
}
