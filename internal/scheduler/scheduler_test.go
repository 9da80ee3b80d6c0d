package scheduler

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// plan is a configuration with one split service, a route of long prompts whose
// streams may go on elsewhere and one of chats that may run once.
func plan(change func(*config.Configuration)) *config.Configuration {
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

// servers lists so many servers over three zones, four in ten of them prefill servers.
func servers(count int) []membership.Server { return divided(count, 4) }

// divided lists so many servers, so many in ten of them prefill servers.
func divided(count, tenths int) []membership.Server {
	zones := []string{"north", "south", "west"}
	var list []membership.Server
	prefillServers := 0
	for number := range count {
		part := decode
		if prefillServers*10 < tenths*(number+1) {
			part = prefill
			prefillServers++
		}
		list = append(list, membership.Server{Name: fmt.Sprintf("stove-%d", number), Address: fmt.Sprintf("10.0.%d.%d:8080", number/250, number%250),
			Zone: zones[number%3], Service: "desk", Part: part, Slots: 64, Models: []string{"m"}})
	}
	return list
}

// zoned lists so many servers, of each zone's the first ones prefill servers.
func zoned(count, prefillServers int) []membership.Server {
	list := divided(count, 0)
	for position := range list {
		if position < 3*prefillServers {
			list[position].Part = prefill
		}
	}
	return list
}

func opened(count int) *Scheduler {
	calls := New(Options{Router: "courier-1", Zone: "north"})
	calls.SetRouterCount(9)
	calls.SetRouteTable(Compile(plan(nil), 1, 1))
	calls.SetServers(noon, servers(count))
	return calls
}

func longCall(id string, chain uint64) *Call {
	return &Call{ID: id, Host: "long.example", Path: "/ask/one", Model: "m", PromptTokens: 9190, OutputTokens: 52, Bytes: 18_000,
		Segments: []Segment{{ID: 1, Tokens: 2520}, {ID: chain, Tokens: 3780}, {ID: nameKey(id), Tokens: 2890}}}
}

func chatCall(id string) *Call {
	return &Call{ID: id, Host: "chat.example", Path: "/talk", Model: "m", PromptTokens: 826, OutputTokens: 290, Bytes: 1700,
		Segments: []Segment{{ID: 2, Tokens: 119}, {ID: 3, Tokens: 79}, {ID: nameKey(id), Tokens: 628}}}
}

// TestTwoHalves follows one long call through a prefill and a decode server, and one chat
// straight through a decode server.
func TestTwoHalves(t *testing.T) {
	calls := opened(9)
	state, decision := calls.Arrive(noon, longCall("a", 77))
	if state == nil || decision.Kind != Prefill || decision.Server.Part != prefill {
		t.Fatalf("a long prompt: %+v", decision)
	}
	decision = calls.Ended(noon.Add(180*time.Millisecond), state, Outcome{Result: Complete, Handle: "h"})
	if decision.Kind != Generate || decision.Server.Part != decode || decision.Source == nil || decision.Source.Handle != "h" {
		t.Fatalf("after the read: %+v", decision)
	}
	decision = calls.Ended(noon.Add(600*time.Millisecond), state, Outcome{Result: Complete, FirstByte: noon.Add(200 * time.Millisecond)})
	if decision.Kind != Done || calls.InFlight() != 0 {
		t.Fatalf("after the run: %+v, %d in flight", decision, calls.InFlight())
	}
	state, decision = calls.Arrive(noon, chatCall("b"))
	if state == nil || decision.Kind != Generate || decision.Server.Part != decode || decision.Source != nil || decision.Priority != 1 {
		t.Fatalf("a chat: %+v", decision)
	}
	decision = calls.Ended(noon.Add(time.Second), state, Outcome{Result: TimedOut})
	if decision.Kind != Refuse || decision.Cause != OutcomeUnknown {
		t.Fatalf("a chat that may have run: %+v", decision)
	}
}
