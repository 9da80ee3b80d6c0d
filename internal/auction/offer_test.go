package auction

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// everyPair is the choice as its definition says it: every pair is priced, and the
// first of the lowest is taken.
func everyPair(
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

// TestChoiceIsThatOfEveryPair has drawn markets, with equal asks and with very
// different ones, give the pair that pricing every pair gives.
func TestChoiceIsThatOfEveryPair(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	chosen, none := 0, 0
	for day := range 400 {
		market := NewMarket("north", day%5 == 4)
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
		market.List(servers)
		alike := day%2 == 0
		draw := func(limit int) int {
			if alike {
				return 0
			}
			return random.IntN(limit)
		}
		for _, server := range servers {
			role := []ServerRole{Prefill, Prefill, Decode, Decode, Decode, Drain}[random.IntN(6)]
			market.Report(noon, Load{
				Server:             server.Name,
				Role:               role,
				Age:                time.Hour - time.Duration(draw(2))*time.Hour,
				PrefillRate:        20_000 + draw(9000),
				PrefillCapacity:    12,
				PrefillWaiting:     draw(14),
				PrefillQueueTokens: draw(40_000),
				DecodeSlots:        16,
				DecodeActive:       draw(17),
				ChunkTime:          8 * time.Millisecond,
				MemoryFree:         200_000 - draw(205_000),
				LinkRate:           400_000 - draw(390_000),
				Prefixes:           map[string]int{"shared": draw(900)},
			})
		}
		for number := range 12 {
			now := noon.Add(time.Duration(random.IntN(1600)) * time.Millisecond)
			request := &Request{
				ID:           fmt.Sprintf("%d-%d", day, number),
				PromptTokens: 1 + random.IntN(6000),
				Prefix:       "shared",
				PrefixTokens: 800,
				Chunks:       1 + random.IntN(40),
			}
			route := &RouteDecision{HomeFirst: number%2 == 0}
			allowed := func(server membership.Server) bool { return number%3 != 0 || server.Zone != "east" }
			tried := map[string]bool{"stove-1": number%4 == 0}
			want, wanted := everyPair(market, now, request, route, allowed, tried)
			got, found := market.Choose(now, request, route, allowed, tried)
			if found != wanted || got != want {
				t.Fatalf("day %d, inquiry %d: got %v, want %v", day, number, got, want)
			}
			if !found {
				none++
				continue
			}
			chosen++
			market.Reserve(got, request)
			market.StartDecode(got, request)
		}
	}
	if chosen < 1000 || none < 100 {
		t.Errorf("%d choices and %d without a pair say little", chosen, none)
	}
}
