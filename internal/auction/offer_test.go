package auction

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// choosePairExhaustively is a reference implementation of Market.Choose: it prices every
// pair and returns the first pair with the lowest price.
func choosePairExhaustively(
	market *Market,
	now time.Time,
	request *Request,
	route *RouteDecision,
	allowed func(membership.Server) bool,
	tried map[string]bool,
) (Bid, bool) {
	var best Bid
	bestPrice, found := 0.0, false
	states := market.snapshot.Load().servers
	for _, prefill := range states {
		prefillAsk, offered := market.askPrefill(now, prefill, request, route)
		if !offered || !allowed(prefill.server) || tried[prefill.server.Name] {
			continue
		}
		for _, decode := range states {
			decodeAsk, offered := market.askDecode(now, decode, request)
			if !offered || decode == prefill || !allowed(decode.server) || tried[decode.server.Name] {
				continue
			}
			transferTime := newOffer(prefill, 0, 0).transferTime(newOffer(decode, 0, 0), request)
			sum := prefillAsk + transferTime + decodeAsk
			weight := membership.Weight(request.ID+"/"+prefill.server.Name, decode.server.Name)
			price := float64(sum+5*time.Millisecond) * (1 + priceSpread*float64(weight%1024)/1024)
			if market.leastLoaded {
				waiting, active := prefill.freshReport(now).load.PrefillWaiting, decode.freshReport(now).load.DecodeActive
				price = float64(waiting)*1000 + float64(active)
			}
			if !found || price < bestPrice {
				best, bestPrice, found = Bid{Prefill: prefill, Decode: decode, Price: sum, TransferTime: transferTime}, price, true
			}
		}
	}
	return best, found
}

// TestChooseMatchesExhaustiveSearch compares Market.Choose with choosePairExhaustively in random
// markets, half of them with equal loads on all servers and half with random loads.
func TestChooseMatchesExhaustiveSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	chosen, withoutPair := 0, 0
	for trial := range 400 {
		market := NewMarket("north", trial%5 == 4)
		market.SetRouters(1 + random.IntN(9))
		var servers []membership.Server
		for number := range 1 + random.IntN(60) {
			servers = append(servers, membership.Server{
				Name:    fmt.Sprintf("stove-%d", number),
				Address: fmt.Sprint(number),
				Zone:    []string{"north", "south", "east"}[random.IntN(3)],
				Leaving: random.IntN(15) == 0,
			})
		}
		market.SetServers(servers)
		equalLoads := trial%2 == 0
		randomBelow := func(limit int) int {
			if equalLoads {
				return 0
			}
			return random.IntN(limit)
		}
		for _, server := range servers {
			role := []ServerRole{Prefill, Prefill, Decode, Decode, Decode, Drain}[random.IntN(6)]
			market.Report(startTime, Load{
				Server:             server.Name,
				Role:               role,
				Age:                time.Hour - time.Duration(randomBelow(2))*time.Hour,
				PrefillRate:        20_000 + randomBelow(9000),
				PrefillCapacity:    12,
				PrefillWaiting:     randomBelow(14),
				PrefillQueueTokens: randomBelow(40_000),
				DecodeSlots:        16,
				DecodeActive:       randomBelow(17),
				ChunkTime:          8 * time.Millisecond,
				MemoryFree:         200_000 - randomBelow(205_000),
				LinkRate:           400_000 - randomBelow(390_000),
				Prefixes:           map[string]int{"shared": randomBelow(900)},
			})
		}
		for number := range 12 {
			now := startTime.Add(time.Duration(random.IntN(1600)) * time.Millisecond)
			request := &Request{
				ID:           fmt.Sprintf("%d-%d", trial, number),
				PromptTokens: 1 + random.IntN(6000),
				Prefix:       "shared",
				PrefixTokens: 800,
				Chunks:       1 + random.IntN(40),
			}
			route := &RouteDecision{HomeFirst: number%2 == 0}
			allowed := func(server membership.Server) bool { return number%3 != 0 || server.Zone != "east" }
			tried := map[string]bool{"stove-1": number%4 == 0}
			want, wantFound := choosePairExhaustively(market, now, request, route, allowed, tried)
			got, found := market.Choose(now, request, route, allowed, tried)
			if found != wantFound || got != want {
				t.Fatalf("trial %d, request %d: got %v, want %v", trial, number, got, want)
			}
			if !found {
				withoutPair++
				continue
			}
			chosen++
			market.Reserve(got, request)
			market.StartDecode(got, request)
		}
	}
	if chosen < 1000 || withoutPair < 100 {
		t.Errorf("got %d choices and %d without a pair, want at least 1000 and 100 for a significant comparison", chosen, withoutPair)
	}
}
