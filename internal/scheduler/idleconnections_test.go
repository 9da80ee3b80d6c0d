package scheduler

import (
	"testing"
	"time"
)

// TestConnections follows idle connections through use, return and closing.
func TestConnections(t *testing.T) {
	var idle idleConnections
	if idle.available(noon) {
		t.Error("a connection before any was opened")
	}
	idle.take(noon)
	idle.give(noon, 0)
	if idle.available(noon) {
		t.Error("a connection that its server closes is idle")
	}
	idle.give(noon, 10*time.Second)
	idle.give(noon.Add(time.Second), 10*time.Second)
	if !idle.available(noon.Add(10 * time.Second)) {
		t.Error("the connection returned last is closed too early")
	}
	idle.take(noon.Add(2 * time.Second))
	if !idle.available(noon.Add(2 * time.Second)) {
		t.Error("two idle connections, one taken, none left")
	}
	if idle.available(noon.Add(10 * time.Second)) {
		t.Error("a connection is idle after its server closed it")
	}
	for range 2 * maxIdleConnections {
		idle.give(noon, time.Second)
	}
	if len(idle.idle) != maxIdleConnections {
		t.Errorf("%d idle connections remembered", len(idle.idle))
	}
}

// TestPrefersConnectedServer has a call go to the server with an idle connection, where
// all else is equal.
func TestPrefersConnectedServer(t *testing.T) {
	calls := opened(30)
	at := noon
	seen := map[string]int{}
	for number := range 40 {
		at = at.Add(500 * time.Millisecond)
		state, decision := calls.Arrive(at, chatCall(string(rune('a'+number))))
		if decision.Kind != Generate {
			t.Fatalf("%+v", decision)
		}
		seen[decision.Server.Name]++
		calls.Ended(at.Add(100*time.Millisecond), state, Outcome{
			Result:    Complete,
			FirstByte: at.Add(20 * time.Millisecond),
			KeepAlive: 10 * time.Second,
		})
	}
	if len(seen) > 3 {
		t.Errorf("%d servers for calls that one connection could carry: %v", len(seen), seen)
	}
}

// TestGapBudget has the pause that reading may cause follow what routes allow.
func TestGapBudget(t *testing.T) {
	calls := opened(9)
	c := calls.newCycle(noon, &CallState{
		call:      chatCall("a"),
		routeRule: &routeRule{calls: plan(nil).Routes[1].Calls},
		service:   calls.routes.Load().services["desk"],
	})
	if got, want := c.gapBudget(), milliseconds(250*time.Millisecond)*gapShare; got != want {
		t.Errorf("%v ms for reading, want %v", got, want)
	}
}
