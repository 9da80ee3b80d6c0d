package scheduler

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// testConfiguration returns a configuration with a service that has separate prefill and decode servers, a
// route for calls with long prompts whose streams can be resumed, and a route for chat calls that must not
// run more than once. change, if not nil, changes the configuration.
func testConfiguration(change func(*config.Configuration)) *config.Configuration {
	service := config.Service{Name: "desk", Timeout: 30 * time.Second, Connections: 370,
		Warming: config.Warming{Duration: 3 * time.Second, RequestsPerSecond: 12},
		Engine: config.Engine{Slots: 64, MemoryTokens: 295_740, TokenBytes: 18_432, LinkBitsPerSecond: 550e9, TokensPerChunk: 11,
			HandleLifetime: 5 * time.Second, RoleChange: 1500 * time.Millisecond, Models: []string{"m"}}}
	configuration := config.Empty()
	configuration.Services = map[string]config.Service{"desk": service, "other": {Name: "other"}}
	configuration.Routes = []config.Route{
		{Name: "long", Match: config.Match{Host: "long.example", PathPrefix: "/ask/"}, Calls: &config.CallRoute{
			Shares: []config.Share{{Service: "desk", Weight: 1}}, Timeout: 3 * time.Second, LatencyTarget: 400 * time.Millisecond,
			MaxEventGap: 250 * time.Millisecond, Priority: 0, MaxAttempts: 2, Streams: true, Resumable: true, Sticky: true}},
		{Name: "chat", Match: config.Match{Host: "chat.example", PathPrefix: "/"}, Calls: &config.CallRoute{
			Shares: []config.Share{{Service: "desk", Weight: 1}}, Timeout: 8 * time.Second, LatencyTarget: 500 * time.Millisecond,
			MaxEventGap: 250 * time.Millisecond, Priority: 1, MaxAttempts: 1, Streams: true, Sticky: true}},
	}
	if change != nil {
		change(configuration)
	}
	return configuration
}

// servers returns count servers in three zones. Four of each ten servers are prefill servers.
func servers(count int) []membership.Server { return serversWithPrefillShare(count, 4) }

// serversWithPrefillShare returns count servers in three zones. The given tenths of the servers are prefill
// servers.
func serversWithPrefillShare(count, tenths int) []membership.Server {
	zones := []string{"north", "south", "west"}
	var list []membership.Server
	prefillServers := 0
	for number := range count {
		role := decode
		if prefillServers*10 < tenths*(number+1) {
			role = prefill
			prefillServers++
		}
		list = append(list, membership.Server{Name: fmt.Sprintf("stove-%d", number),
			Address: fmt.Sprintf("10.0.%d.%d:8080", number/250, number%250),
			Zone:    zones[number%3], Service: "desk", Role: role, Slots: 64, Models: []string{"m"}})
	}
	return list
}

// serversWithPrefillPerZone returns count servers in three zones. The first prefillServers servers of each
// zone are prefill servers.
func serversWithPrefillPerZone(count, prefillServers int) []membership.Server {
	list := serversWithPrefillShare(count, 0)
	for position := range list {
		if position < 3*prefillServers {
			list[position].Role = prefill
		}
	}
	return list
}

// newTestScheduler returns a scheduler with testConfiguration and count servers.
func newTestScheduler(count int) *Scheduler {
	sched := New(Options{Router: "courier-1", Zone: "north"})
	sched.SetRouterCount(9)
	sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
	sched.SetServers(noon, servers(count))
	return sched
}

// longCall returns a call with a long prompt.
func longCall(id string, chain uint64) *Call {
	return &Call{ID: id, Host: "long.example", Path: "/ask/one", Model: "m", PromptTokens: 9190, OutputTokens: 52, Bytes: 18_000,
		Segments: []Segment{{ID: 1, Tokens: 2520}, {ID: chain, Tokens: 3780}, {ID: nameKey(id), Tokens: 2890}}}
}

// chatCall returns a call with a short prompt.
func chatCall(id string) *Call {
	return &Call{ID: id, Host: "chat.example", Path: "/talk", Model: "m", PromptTokens: 826, OutputTokens: 290, Bytes: 1700,
		Segments: []Segment{{ID: 2, Tokens: 119}, {ID: 3, Tokens: 79}, {ID: nameKey(id), Tokens: 628}}}
}

// TestSplitAndDirectCalls checks the decisions for a long call, which needs a prefill server and a decode
// server, and for a chat call, which needs a decode server only.
func TestSplitAndDirectCalls(t *testing.T) {
	sched := newTestScheduler(9)
	state, decision := sched.Arrive(noon, longCall("a", 77))
	if state == nil || decision.Kind != Prefill || decision.Server.Role != prefill {
		t.Fatalf("a long prompt: got %+v, want a prefill", decision)
	}
	decision = sched.Ended(noon.Add(180*time.Millisecond), state, Outcome{Result: Complete, Handle: "h"})
	if decision.Kind != Generate || decision.Server.Role != decode || decision.Source == nil || decision.Source.Handle != "h" {
		t.Fatalf("after the prefill: got %+v, want a run with the KV cache at a decode server", decision)
	}
	decision = sched.Ended(noon.Add(600*time.Millisecond), state, Outcome{Result: Complete, FirstByte: noon.Add(200 * time.Millisecond)})
	if decision.Kind != Done || sched.InFlight() != 0 {
		t.Fatalf("after the run: got %+v and %d calls in flight, want done and none", decision, sched.InFlight())
	}
	state, decision = sched.Arrive(noon, chatCall("b"))
	if state == nil || decision.Kind != Generate || decision.Server.Role != decode || decision.Source != nil || decision.Priority != 1 {
		t.Fatalf("a chat: got %+v, want a run with priority 1 at a decode server", decision)
	}
	decision = sched.Ended(noon.Add(time.Second), state, Outcome{Result: TimedOut})
	if decision.Kind != Refuse || decision.Cause != OutcomeUnknown {
		t.Fatalf("a chat that may have run: got %+v, want a refusal with an unknown outcome", decision)
	}
}
