package scheduler

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// The tests in this file reproduce failures of single calls that the simulation has shown.

// TestKVCacheThatDidNotArriveIsNotCached checks that a decode server which failed to fetch a prompt's KV
// cache doesn't count as having the prompt cached.
func TestKVCacheThatDidNotArriveIsNotCached(t *testing.T) {
	sched := newTestScheduler(9)
	call := longCall("a", 77)
	state, decision := sched.Arrive(noon, call)
	if decision.Kind != Prefill {
		t.Fatalf("got %+v, want a prefill", decision)
	}
	decision = sched.Ended(noon.Add(100*time.Millisecond), state, Outcome{Result: Complete, Handle: "h"})
	decodeServer := sched.snapshot.Load().byName[decision.Server.Name]
	if decodeServer.prefixes.cachedTokens(call.Segments) != 0 {
		t.Error("the prompt counts as cached before its transfer")
	}
	decision = sched.Ended(noon.Add(110*time.Millisecond), state, Outcome{Result: NotStarted, Status: 503})
	if decodeServer.prefixes.cachedTokens(call.Segments) != 0 {
		t.Error("the prompt counts as cached though its transfer failed")
	}
	if decision.Kind == Generate && len(decision.Release) != 1 {
		t.Errorf("the KV cache is not released: %+v", decision)
	}
	// A failed prefill adds nothing to the cache either.
	state, decision = sched.Arrive(noon, longCall("b", 78))
	prefillServer := sched.snapshot.Load().byName[decision.Server.Name]
	sched.Ended(noon.Add(time.Second), state, Outcome{Result: TimedOut})
	if cached := prefillServer.prefixes.cachedTokens(longCall("b", 78).Segments); cached > 2520 {
		t.Errorf("got %d tokens cached after a failed prefill, want at most 2520", cached)
	}
}

// TestTooCostlyRetryIsRefused makes the transfer of a long prompt's KV cache fail while all decode servers
// are busy. If a decode server read the prompt itself, it would stall many calls. The call has to be refused
// with a cause that says that it never ran, and its origin may retry it after minRetryAfter.
func TestTooCostlyRetryIsRefused(t *testing.T) {
	sched := newTestScheduler(9)
	var loads []Load
	for _, server := range servers(9) {
		load := Load{Server: server.Name, Role: server.Role, MemoryTotal: 295_740}
		if load.Role == decode {
			load.Running = 30
		}
		loads = append(loads, load)
	}
	sched.SetLoads(noon, loads)
	state, _ := sched.Arrive(noon, longCall("a", 77))
	sched.Ended(noon.Add(100*time.Millisecond), state, Outcome{Result: Complete, Handle: "h"})
	decision := sched.Ended(noon.Add(110*time.Millisecond), state, Outcome{Result: NotStarted, Status: 503})
	if decision.Kind != Refuse || decision.Cause != Saturated || decision.RetryAfter != minRetryAfter || len(decision.Release) != 1 {
		t.Errorf("got %+v, want a refusal with the shortest delay and one released KV cache", decision)
	}
}

// TestTimeoutNeedsAReservedRetry checks that a dispatch has a response timeout only if a retry could be
// reserved for its call, and that such a call is retried when it times out.
func TestTimeoutNeedsAReservedRetry(t *testing.T) {
	sched := newTestScheduler(9)
	sched.SetRouterCount(1)
	routes := Compile(testConfiguration(func(configuration *config.Configuration) { configuration.Routes[0].Calls.MaxAttempts = 4 }), 1, 2)
	sched.SetRouteTable(routes)
	withTimeout := 0
	var states []*CallState
	now := noon
	for number := range 40 {
		now = now.Add(10 * time.Millisecond)
		state, decision := sched.Arrive(now, longCall(fmt.Sprint(number), uint64(number)))
		if decision.ResponseTimeout > 0 {
			withTimeout++
			states = append(states, state)
		} else {
			sched.Ended(now, state, Outcome{Result: ClientGone})
		}
	}
	if withTimeout == 0 || withTimeout > 10 {
		t.Fatalf("got a timeout for %d of 40 calls, want 1 to 10", withTimeout)
	}
	for _, callState := range states {
		decision := sched.Ended(now.Add(time.Second), callState, Outcome{Result: TimedOut})
		if decision.Kind != Prefill && decision.Kind != Generate {
			t.Errorf("after a timeout: got %+v, want a retry", decision)
		}
		sched.Ended(now.Add(time.Second), callState, Outcome{Result: ClientGone})
	}
}

// TestUnneededRetryIsReleased checks that the reserved retries of successful calls are released: many more
// calls than the budget could serve at once get a timeout.
func TestUnneededRetryIsReleased(t *testing.T) {
	sched := newTestScheduler(9)
	sched.SetRouterCount(1)
	now, withTimeout := noon.Add(10*time.Second), 0
	service := sched.serviceState("desk")
	service.retries.since = now.Add(-sched.options.Retries.Window)
	for number := range 50 {
		state, decision := sched.Arrive(now, longCall(fmt.Sprint(number), uint64(number)))
		if decision.ResponseTimeout > 0 {
			withTimeout++
		}
		decision = sched.Ended(now, state, Outcome{Result: Complete, Handle: "h"})
		if decision.Kind == Generate {
			sched.Ended(now, state, Outcome{Result: Complete, FirstByte: now})
		}
	}
	if withTimeout < 45 {
		t.Errorf("got a reserved retry for %d of 50 calls, want at least 45", withTimeout)
	}
}

// TestStaleAndStalledServersAreAvoided checks that a server gets no calls after it has stopped sending load
// reports, or while it completes no prefill, as long as other servers are healthy.
func TestStaleAndStalledServersAreAvoided(t *testing.T) {
	sched := newTestScheduler(9)
	report := func(now time.Time, without string) {
		var loads []Load
		for _, server := range servers(9) {
			if server.Name != without {
				loads = append(loads, Load{Server: server.Name, Role: server.Role, MemoryTotal: 295_740})
			}
		}
		sched.SetLoads(now, loads)
	}
	report(noon, "")
	_, decision := sched.Arrive(noon, longCall("a", 77))
	home := decision.Server.Name
	now := noon.Add(2 * time.Second)
	report(now, home)
	if _, decision = sched.Arrive(now, longCall("b", 77)); decision.Server.Name == home {
		t.Error("a server that has stopped sending load reports got a call")
	}
	sched = newTestScheduler(9)
	state, decision := sched.Arrive(noon, longCall("a", 77))
	sched.Arrive(noon, longCall("b", 77))
	now = noon.Add(900 * time.Millisecond)
	away, second := sched.Arrive(now, longCall("c", 77))
	if second.Server.Name == decision.Server.Name {
		t.Error("a server that completes no prefill got a call")
	}
	// The call at the other server is cancelled, so that this server doesn't have the chain cached.
	sched.Ended(now, away, Outcome{Result: ClientGone})
	sched.Ended(now, state, Outcome{Result: Complete, Handle: "h"})
	if _, second := sched.Arrive(now, longCall("d", 77)); second.Server.Name != decision.Server.Name {
		t.Error("the home server got no call though it completed a prefill")
	}
}

// TestServersWithAPendingRoleOrderGetNoCalls checks that a server gets no calls after it was ordered to change its role,
// before any load report shows the change.
func TestServersWithAPendingRoleOrderGetNoCalls(t *testing.T) {
	sched := newTestScheduler(9)
	_, decision := sched.Arrive(noon, chatCall("a"))
	ordered := decision.Server.Name
	sched.SetRoleOrders(noon, map[string]string{ordered: prefill})
	for number := range 50 {
		if _, decision = sched.Arrive(noon.Add(time.Second), chatCall(fmt.Sprint(number))); decision.Server.Name == ordered {
			t.Fatal("a server that is to change its role got a call")
		}
	}
	// An order that the server doesn't carry out expires.
	found := false
	for number := range 50 {
		_, decision = sched.Arrive(noon.Add(10*time.Second), chatCall(fmt.Sprintf("late-%d", number)))
		found = found || decision.Server.Name == ordered
	}
	if !found {
		t.Error("the server got no calls after the order expired")
	}
}

// TestWarmingHomeServerGetsCallsOfItsChains checks that a home server in slow start gets the calls of its own chains as
// far as its rate limit allows, and that they don't go to the next prefill server instead.
func TestWarmingHomeServerGetsCallsOfItsChains(t *testing.T) {
	home := ""
	var chains []uint64
	for chain := uint64(1000); len(chains) < 20; chain++ {
		if _, decision := newTestScheduler(9).Arrive(noon, longCall("a", chain)); home == "" || decision.Server.Name == home {
			home = decision.Server.Name
			chains = append(chains, chain)
		}
	}
	sched := newTestScheduler(9)
	sched.SetRouterCount(1)
	list := servers(9)
	for position := range list {
		if list[position].Name == home {
			list[position].Address, list[position].Warming = "10.9.9.9:8080", 3*time.Second
		}
	}
	sched.SetServers(noon, list)
	sched.Arrive(noon, longCall("first", 1))
	got, now := 0, noon
	for number, chain := range chains {
		now = now.Add(150 * time.Millisecond)
		state, decision := sched.Arrive(now, longCall(fmt.Sprint(number), chain))
		if decision.Server.Name == home {
			got++
		}
		sched.Ended(now, state, Outcome{Result: Complete, Handle: "h"})
	}
	if got < 15 {
		t.Errorf("got %d of %d calls at the warming home server, want at least 15", got, len(chains))
	}
}

// TestALeavingServerGetsNoCall checks that a server gets no further calls once it is listed as leaving.
func TestALeavingServerGetsNoCall(t *testing.T) {
	sched := newTestScheduler(9)
	_, decision := sched.Arrive(noon, chatCall("a"))
	leaving := decision.Server.Name
	listed := servers(9)
	for i := range listed {
		listed[i].Leaving = listed[i].Name == leaving
	}
	sched.SetServers(noon, listed)
	for number := range 50 {
		if _, decision = sched.Arrive(noon.Add(time.Second), chatCall(fmt.Sprint(number))); decision.Server.Name == leaving {
			t.Fatal("a leaving server got a call")
		}
	}
}

// TestACallGoesToNoMoreServersThanItsRouteSays makes servers reject calls of routes that allow one and two
// attempts, and counts the servers to which a call is sent.
func TestACallGoesToNoMoreServersThanItsRouteSays(t *testing.T) {
	for _, row := range []struct {
		call *Call
		most int
	}{{chatCall("a"), 1}, {longCall("b", 77), 2}} {
		sched := New(Options{Router: "courier-1", Zone: "north", Retries: RetryAllowance{Ratio: 9, Slack: 1000, Window: time.Second}})
		sched.SetRouterCount(1)
		sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
		sched.SetServers(noon, servers(9))
		now, runs := noon.Add(time.Minute), 0
		began := now
		state, decision := sched.Arrive(now, row.call)
		for range 20 {
			outcome := Outcome{Result: NotStarted, Status: 503}
			switch decision.Kind {
			case Generate:
				runs++
			case Prefill:
				outcome = Outcome{Result: Complete, Handle: "h"}
			default:
				now = now.Add(time.Hour)
			}
			if now.After(began.Add(time.Minute)) {
				break
			}
			now = now.Add(time.Millisecond)
			decision = sched.Ended(now, state, outcome)
		}
		if runs < 1 || runs > row.most {
			t.Errorf("call %s was sent to %d servers, want 1 to %d", row.call.ID, runs, row.most)
		}
	}
}
