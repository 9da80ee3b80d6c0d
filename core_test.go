package seamloom

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/lease"
)

// TestSameEventsGiveTheSameDecisions feeds two cores the same long random sequence of events and compares their
// decisions. The events must lead to decisions of each kind that is listed at the end.
func TestSameEventsGiveTheSameDecisions(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 8))
	cores := []*Core{}
	for range 2 {
		cores = append(cores, New(Options{Router: "courier-1", Zone: "north", Supported: Supported(nil)}))
	}
	now := time.Unix(3_000_000, 0)
	servers := []Server{}
	for number := range 6 {
		servers = append(servers, Server{
			Name:    fmt.Sprint("s", number),
			Address: fmt.Sprint("s", number),
			Zone:    []string{"north", "south"}[number%2],
		})
	}
	runs := map[string]int{}
	var dispatched []string
	seen := map[auction.DecisionKind]int{}
	feed := func(event Event) {
		event.At = now
		var texts []string
		for _, core := range cores {
			decisions := core.Apply(event)
			encoded, err := json.Marshal(decisions)
			if err != nil {
				t.Fatal(err)
			}
			texts = append(texts, string(encoded))
			if core == cores[0] {
				for _, decision := range decisions {
					seen[decision.Kind]++
					if decision.Kind == auction.DispatchPrefill || decision.Kind == auction.DispatchDecode {
						runs[decision.ID] = decision.Run
						dispatched = append(dispatched, decision.ID)
					}
				}
			}
		}
		if texts[0] != texts[1] {
			t.Fatalf("the cores decide differently on %+v:\n%s\n%s", event, texts[0], texts[1])
		}
	}
	feed(Event{Kind: auction.ServersListed, Servers: servers})
	feed(Event{Kind: auction.FlagsRead})
	feed(Event{
		Kind:          auction.ConfigurationReceived,
		Epoch:         1,
		Number:        1,
		Configuration: []byte(`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`),
	})
	outcomes := []auction.Outcome{
		auction.OutcomeDone,
		auction.OutcomeDone,
		auction.OutcomeDone,
		auction.OutcomeNotStarted,
		auction.OutcomeFailed,
		auction.OutcomeUnknown,
		auction.OutcomeHandleExpired,
	}
	for number := range 4000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		if number%20 == 0 {
			feed(Event{
				Kind:      auction.LeaseRenewed,
				LeaseEnds: now.Add(4 * time.Second),
				Epoch:     1,
				Number:    1,
				Roles:     []Role{{Key: lease.ServerRolesKey, Holder: "courier-1", FencingToken: 1}},
			})
			for position, server := range servers {
				role := []auction.ServerRole{auction.Prefill, auction.Decode}[position/2%2]
				feed(Event{Kind: auction.LoadReported, Load: &Load{
					Server:             server.Name,
					Role:               role,
					Age:                time.Hour,
					PrefillRate:        20_000,
					PrefillCapacity:    8,
					DecodeSlots:        16,
					ChunkTime:          time.Millisecond,
					MemoryFree:         100_000,
					LinkRate:           400_000,
					PrefillQueueTokens: random.IntN(4000),
				}})
			}
		}
		// Half of the answers are for one of the latest dispatches, so that many of them have an effect.
		id := fmt.Sprint("inquiry-", random.IntN(number+1))
		if len(dispatched) > 0 && random.IntN(2) == 0 {
			id = dispatched[len(dispatched)-1-random.IntN(min(8, len(dispatched)))]
		}
		switch random.IntN(7) {
		case 0, 1:
			feed(Event{Kind: auction.RequestArrived, Request: &Request{
				ID:           fmt.Sprint("inquiry-", number),
				Service:      "chat",
				Idempotent:   random.IntN(3) > 0,
				PromptTokens: 100 + random.IntN(900),
				Chunks:       2,
			}})
		case 2:
			feed(Event{Kind: auction.ClaimAnswered, ID: id, Outcome: auction.OutcomeDone})
		case 3:
			feed(Event{Kind: auction.PrefillAnswered, ID: id, Run: runs[id], Outcome: outcomes[random.IntN(len(outcomes))], Handle: "handle"})
		case 4:
			feed(Event{Kind: auction.ChunkReceived, ID: id, Run: runs[id], Chunk: 1 + random.IntN(2), Text: "text"})
		case 5:
			feed(Event{Kind: auction.DecodeEnded, ID: id, Run: runs[id], Chunk: 2, Outcome: outcomes[random.IntN(len(outcomes))]})
		case 6:
			feed(Event{Kind: auction.Ticked})
		}
	}
	for _, kind := range []auction.DecisionKind{
		auction.ClaimRequest,
		auction.DispatchPrefill,
		auction.DispatchDecode,
		auction.SendChunk,
		auction.Finish,
		auction.Cancel,
		auction.RecordRetry,
		auction.SubmitOrders,
	} {
		if seen[kind] == 0 {
			t.Errorf("the events led to no decision of kind %s", kind)
		}
	}
}

// TestNewHolderSendsItsFencingToken checks that a server gets exactly one command for each new fencing
// token, even if it already has the ordered role, and none after the lease has expired.
func TestNewHolderSendsItsFencingToken(t *testing.T) {
	core := New(Options{Router: "courier-1", Zone: "north", Supported: Supported(nil)})
	now := time.Unix(3_000_000, 0)
	core.Apply(Event{Kind: auction.ServersListed, At: now, Servers: []Server{{Name: "s", Address: "s", Zone: "north"}}})
	core.Apply(Event{Kind: auction.OrdersRead, At: now, Orders: map[string]Order{"s": {Server: "s", Role: "decode"}}})
	commands := func(fencingToken uint64) int {
		count := 0
		for range 30 {
			now = now.Add(200 * time.Millisecond)
			core.Apply(Event{Kind: auction.LoadReported, At: now, Load: &Load{Server: "s", Role: auction.Decode}})
			if fencingToken > 0 {
				core.Apply(Event{
					Kind:      auction.LeaseRenewed,
					At:        now,
					LeaseEnds: now.Add(time.Second),
					Roles:     []Role{{Key: lease.ServerKey("s"), Holder: "courier-1", FencingToken: fencingToken}},
				})
			}
			for _, decision := range core.Apply(Event{Kind: auction.Ticked, At: now}) {
				if decision.Kind == auction.CommandServer && decision.Role.FencingToken == fencingToken &&
					decision.NotAfter.Equal(now.Add(time.Second)) {
					count++
				}
			}
		}
		return count
	}
	if first, second := commands(4), commands(9); first != 1 || second != 1 {
		t.Errorf("commands under the two fencing tokens: got %d and %d, want one each", first, second)
	}
	core.Apply(Event{Kind: auction.OrdersRead, At: now, Orders: map[string]Order{"s": {Server: "s", Role: "prefill"}}})
	now = now.Add(5 * time.Second)
	if late := commands(0); late != 0 {
		t.Errorf("commands after the lease expired: got %d, want none", late)
	}
}
