package auction

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// newTestMarket returns a market with count servers. Two of each five servers are prefill servers.
func newTestMarket(count int) *Market {
	market := NewMarket("north", false)
	var servers []membership.Server
	for number := range count {
		servers = append(servers, membership.Server{
			Name:    fmt.Sprintf("stove-%d", number),
			Address: fmt.Sprint(number),
			Zone:    []string{"north", "south", "east"}[number%3],
		})
	}
	market.SetServers(servers)
	market.SetRouters(7)
	reportAll(market, count, startTime)
	return market
}

func reportAll(market *Market, count int, now time.Time) {
	for number := range count {
		role := Decode
		if number%5 < 2 {
			role = Prefill
		}
		market.Report(now, Load{
			Server:          fmt.Sprintf("stove-%d", number),
			Role:            role,
			Age:             time.Hour,
			PrefillRate:     20_000,
			PrefillCapacity: 12,
			DecodeSlots:     16,
			ChunkTime:       8 * time.Millisecond,
			MemoryFree:      200_000,
			LinkRate:        400_000,
		})
	}
}

func allowAll(membership.Server) bool { return true }

// BenchmarkChoose measures the choice of a pair of servers for one request.
func BenchmarkChoose(benchmark *testing.B) {
	for _, count := range []int{9, 12, 100, 300, 1100} {
		benchmark.Run(fmt.Sprintf("%d servers", count), func(benchmark *testing.B) {
			market := newTestMarket(count)
			request := &Request{ID: "one", Service: "chat", PromptTokens: 500, Chunks: 20}
			benchmark.ReportAllocs()
			for range benchmark.N {
				if _, found := market.Choose(startTime, request, &RouteDecision{HomeFirst: true}, allowAll, nil); !found {
					benchmark.Fatal("no pair")
				}
			}
		})
	}
}

// TestMarketIsSafeForConcurrentUse has several goroutines choose pairs, reserve and release
// them while load reports and server lists are replaced. The race detector must find no
// data race, and all reserved slots must be free at the end.
func TestMarketIsSafeForConcurrentUse(t *testing.T) {
	market := newTestMarket(12)
	var workers sync.WaitGroup
	for worker := range 8 {
		workers.Go(func() {
			for number := range 400 {
				request := &Request{ID: fmt.Sprintf("%d-%d", worker, number), PromptTokens: 100, Chunks: 5}
				bid, found := market.Choose(startTime, request, &RouteDecision{}, allowAll, nil)
				if !found {
					continue
				}
				market.Reserve(bid, request)
				if decodeBid, found := market.ChooseDecode(startTime, request, bid.Prefill.server.Name, allowAll, nil); found {
					market.StartDecode(decodeBid, request)
				}
				market.Release(bid)
			}
		})
	}
	workers.Go(func() {
		for range 200 {
			reportAll(market, 12, startTime)
		}
	})
	workers.Go(func() {
		for range 200 {
			listed, _ := market.Loads(startTime)
			market.SetServers(listed)
		}
	})
	workers.Wait()
	for _, state := range market.snapshot.Load().servers {
		if pending := state.pendingDecodes.Load(); pending != 0 {
			t.Errorf("%s still has %d reserved slots, want 0", state.server.Name, pending)
		}
	}
}
