package auction

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// newTestMarket has so many servers, two of five of which read prompts.
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
	market.List(servers)
	market.SetRouters(7)
	reportAll(market, count, noon)
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

func anywhere(membership.Server) bool { return true }

// BenchmarkChoose is what the market costs a request.
func BenchmarkChoose(benchmark *testing.B) {
	for _, count := range []int{9, 12, 100, 300, 1100} {
		benchmark.Run(fmt.Sprintf("%d servers", count), func(benchmark *testing.B) {
			market := newTestMarket(count)
			request := &Request{ID: "one", Service: "chat", PromptTokens: 500, Chunks: 20}
			benchmark.ReportAllocs()
			for range benchmark.N {
				if _, found := market.Choose(noon, request, &RouteDecision{HomeFirst: true}, anywhere, nil); !found {
					benchmark.Fatal("no pair")
				}
			}
		})
	}
}

// TestMarketIsTradedByManyThreads has threads bid, reserve and release while
// reports and lists are replaced. The race detector watches; a slot that
// is reserved must be given back.
func TestMarketIsTradedByManyThreads(t *testing.T) {
	market := newTestMarket(12)
	var trading sync.WaitGroup
	for thread := range 8 {
		trading.Go(func() {
			for number := range 400 {
				request := &Request{ID: fmt.Sprintf("%d-%d", thread, number), PromptTokens: 100, Chunks: 5}
				bid, found := market.Choose(noon, request, &RouteDecision{}, anywhere, nil)
				if !found {
					continue
				}
				market.Reserve(bid, request)
				if other, found := market.ChooseDecode(noon, request, bid.Prefill.server.Name, anywhere, nil); found {
					market.StartDecode(other, request)
				}
				market.Release(bid)
			}
		})
	}
	trading.Go(func() {
		for range 200 {
			reportAll(market, 12, noon)
		}
	})
	trading.Go(func() {
		for range 200 {
			listing, _ := market.Loads(noon)
			market.List(listing)
		}
	})
	trading.Wait()
	for _, state := range market.snapshot.Load().servers {
		if pending := state.pendingDecodes.Load(); pending != 0 {
			t.Errorf("%s has %d slots reserved for nobody", state.server.Name, pending)
		}
	}
}
