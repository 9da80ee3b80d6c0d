package scheduler

import (
	"testing"
	"time"
)

// TestConnections checks whether an idle connection is available after connections were taken, put back and
// closed.
func TestConnections(t *testing.T) {
	var idle idleConnections
	if idle.available(noon) {
		t.Error("a connection is available before any was opened")
	}
	idle.take(noon)
	idle.putBack(noon, 0)
	if idle.available(noon) {
		t.Error("a closed connection is available")
	}
	idle.putBack(noon, 10*time.Second)
	idle.putBack(noon.Add(time.Second), 10*time.Second)
	if !idle.available(noon.Add(10 * time.Second)) {
		t.Error("the connection returned last is not available before its closing time")
	}
	idle.take(noon.Add(2 * time.Second))
	if !idle.available(noon.Add(2 * time.Second)) {
		t.Error("no connection is available after one of two was taken")
	}
	if idle.available(noon.Add(10 * time.Second)) {
		t.Error("a connection is available after its closing time")
	}
	for range 2 * maxIdleConnections {
		idle.putBack(noon, time.Second)
	}
	if len(idle.idle) != maxIdleConnections {
		t.Errorf("got %d idle connections, want %d", len(idle.idle), maxIdleConnections)
	}
}

// TestPrefersConnectedServer checks that a server with an idle connection is preferred to others that are
// equal otherwise.
func TestPrefersConnectedServer(t *testing.T) {
	sched := newTestScheduler(30)
	at := noon
	seen := map[string]int{}
	for number := range 40 {
		at = at.Add(500 * time.Millisecond)
		state, decision := sched.Arrive(at, chatCall(string(rune('a'+number))))
		if decision.Kind != Generate {
			t.Fatalf("got %+v, want a run", decision)
		}
		seen[decision.Server.Name]++
		sched.Ended(at.Add(100*time.Millisecond), state, Outcome{
			Result:    Complete,
			FirstByte: at.Add(20 * time.Millisecond),
			KeepAlive: 10 * time.Second,
		})
	}
	if len(seen) > 3 {
		t.Errorf("got %d servers for calls that one connection could carry one after another, want at most 3: %v", len(seen), seen)
	}
}

// TestGapBudget checks that the stall that a prefill may cause depends on the gap that the routes allow.
func TestGapBudget(t *testing.T) {
	sched := newTestScheduler(9)
	c := sched.newCycle(noon, &CallState{
		call:      chatCall("a"),
		routeRule: &routeRule{calls: testConfiguration(nil).Routes[1].Calls},
		service:   sched.routes.Load().services["desk"],
	})
	if got, want := c.gapBudget(), milliseconds(250*time.Millisecond)*gapShare; got != want {
		t.Errorf("got a gap budget of %v ms, want %v ms", got, want)
	}
}
