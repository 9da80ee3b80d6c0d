package seamloom

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/scheduler"
)

const callConfiguration = `{"services":{"desk":{"engine":{"slots":64,"memory_tokens":295740}}},
"routes":{"long":{"match":{"host":"ask.example","path_prefix":"/"},
"calls":{"shares":[{"service":"desk","weight":1}],"limit_milliseconds":3000,"tries":2,"streams":true,"resumable":true}}}}`

// callServerCount is the number of servers in the tests of calls: two prefill servers and five decode servers,
// enough that two of the decode servers can become prefill servers.
const callServerCount = 7

// callServers returns count servers of opaque calls: two prefill servers, the rest decode servers.
func callServers(count int) []Server {
	var servers []Server
	for number := range count {
		role := "decode"
		if number < 2 {
			role = "prefill"
		}
		servers = append(servers, Server{Name: fmt.Sprintf("stove-%d", number), Address: fmt.Sprintf("10.0.0.%d:80", number),
			Zone: []string{"north", "south"}[number%2], Service: "desk", Role: role, Slots: 64})
	}
	return servers
}

// callCore returns a core that has received everything that it needs to serve calls.
func callCore(now time.Time) *Core {
	core := New(Options{Router: "courier-1", Zone: "north", Supported: Supported(nil)})
	core.Apply(Event{Kind: auction.FlagsRead, At: now})
	core.Apply(Event{Kind: auction.RoutersCounted, At: now, Number: 3})
	core.Apply(Event{Kind: auction.ServersListed, At: now, Servers: callServers(callServerCount)})
	core.Apply(Event{
		Kind:          auction.ConfigurationReceived,
		At:            now,
		Epoch:         1,
		Number:        1,
		Configuration: []byte(callConfiguration),
	})
	return core
}

// TestCoreServesACallByEvents feeds the events of an opaque call from its arrival to its end.
func TestCoreServesACallByEvents(t *testing.T) {
	now := time.Unix(3_000_000, 0)
	core := callCore(now)
	step := func(event Event) scheduler.Decision {
		now = now.Add(10 * time.Millisecond)
		event.At = now
		decisions := core.Apply(event)
		if len(decisions) != 1 || decisions[0].Kind != auction.CallDecided || decisions[0].ID != "one" || decisions[0].Call == nil {
			t.Fatalf("event %s: got %+v, want one decision about call one", event.Kind, decisions)
		}
		return *decisions[0].Call
	}
	ended := Event{Kind: auction.CallEnded, ID: "one", Result: &CallOutcome{Result: scheduler.Complete}}
	call := &Call{
		ID:           "one",
		Host:         "ask.example",
		Path:         "/x",
		PromptTokens: 9000,
		OutputTokens: 50,
		Segments:     []CallSegment{{ID: 1, Tokens: 6000}, {ID: 2, Tokens: 3000}},
	}
	if decision := step(Event{Kind: auction.CallArrived, Call: call}); decision.Kind != scheduler.Prefill {
		t.Fatalf("after the arrival: got %+v, want a prefill", decision)
	}
	prefilled := Event{Kind: auction.CallEnded, ID: "one", Result: &CallOutcome{Result: scheduler.Complete, Handle: "h"}}
	if decision := step(prefilled); decision.Kind != scheduler.Generate || decision.Source == nil {
		t.Fatalf("after the prefill: got %+v, want a generation with a source", decision)
	}
	if decision := step(ended); decision.Kind != scheduler.Done {
		t.Fatalf("after the generation: got %+v, want the call done", decision)
	}
	ended.At = now
	if decisions := core.Apply(ended); decisions != nil || core.Calls().InFlight() != 0 {
		t.Fatalf("second end of the call: got %+v with %d calls in flight, want nothing", decisions, core.Calls().InFlight())
	}
	call.Host = "nobody.example"
	if decision := step(Event{Kind: auction.CallArrived, Call: call}); decision.Cause != scheduler.NoRoute {
		t.Fatalf("call without a route: got %+v, want cause %s", decision, scheduler.NoRoute)
	}
}

// TestRolesFollowTheLoadOfCalls reports that all servers, including both prefill servers, are busy. It checks
// that the holder of lease.ServerRolesKey orders two decode servers to become prefill servers, and that the
// holder of a server's key sends exactly one command for each order.
func TestRolesFollowTheLoadOfCalls(t *testing.T) {
	now := time.Unix(3_000_000, 0)
	core := callCore(now)
	role := map[string]string{}
	changing := map[string]bool{}
	orders := map[string]Order{}
	commands := map[string]int{}
	for range 150 {
		now = now.Add(100 * time.Millisecond)
		var loads []CallLoad
		roles := []Role{{Key: lease.ServerRolesKey, Holder: "courier-1", FencingToken: 4}}
		for _, server := range callServers(callServerCount) {
			load := CallLoad{Server: server.Name, Role: server.Role, ChangingRole: changing[server.Name], Running: 3, MemoryTotal: 295_740}
			if role[server.Name] != "" {
				load.Role = role[server.Name]
			}
			loads = append(loads, load)
			roles = append(roles, Role{Key: lease.ServerKey(server.Name), Holder: "courier-1", FencingToken: 9})
		}
		core.Apply(Event{Kind: auction.LoadsReported, At: now, Loads: loads})
		core.Apply(Event{Kind: auction.LeaseRenewed, At: now, LeaseEnds: now.Add(time.Second), Roles: roles})
		for _, decision := range core.Apply(Event{Kind: auction.Ticked, At: now}) {
			switch decision.Kind {
			case auction.SubmitOrders:
				for _, order := range decision.Orders {
					orders[order.Server] = order
				}
				core.Apply(Event{Kind: auction.OrdersRead, At: now, Orders: orders})
			case auction.CommandServer:
				commands[decision.Server]++
				if decision.Role.FencingToken != 9 || string(decision.ServerRole) != orders[decision.Server].Role ||
					!decision.NotAfter.Equal(now.Add(time.Second)) {
					t.Fatalf("got command %+v, want fencing token 9, the ordered role and expiry with the lease", decision)
				}
				role[decision.Server] = string(decision.ServerRole)
			}
		}
	}
	if len(orders) != 2 || len(commands) != 2 {
		t.Errorf("got orders %v and commands %v, want two of each", orders, commands)
	}
	for server, count := range commands {
		if count != 1 {
			t.Errorf("commands to %s: got %d, want 1", server, count)
		}
	}
}
