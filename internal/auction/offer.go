package auction

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// offer is what one server asks for its half of a request.
type offer struct {
	stall    *Stall
	position int
	ask      time.Duration
	linkRate int
	report   *report
}

func newOffer(stall *Stall, position int, ask time.Duration) offer {
	made := offer{stall: stall, position: position, ask: ask, report: stall.report.Load()}
	if made.report != nil {
		made.linkRate = made.report.load.LinkRate
	}
	return made
}

// least is the least time that the prompt's memory takes from this server to any
// other: over its own link, and within its zone.
func (o offer) least(request *Request) time.Duration {
	return seconds(request.PromptTokens, o.linkRate)
}

// handOver is the time that the prompt's memory takes from one server to the
// other.
func (o offer) handOver(decode offer, request *Request) time.Duration {
	rate := decode.linkRate
	if o.report != nil && o.linkRate < rate {
		rate = o.linkRate
	}
	took := seconds(request.PromptTokens, rate)
	if o.stall.server.Zone != decode.stall.server.Zone {
		took += took/2 + crossing/2
	}
	return took
}

// offerBook holds the offers for one request.
type offerBook struct {
	prefill []offer
	decode  []offer
}

// offers keeps the books that nobody uses just now.
var offers = sync.Pool{New: func() any { return &offerBook{} }}

func (o *offerBook) clear() {
	o.prefill, o.decode = o.prefill[:0], o.decode[:0]
}

func sortByAsk(offers []offer) {
	slices.SortFunc(offers, func(left, right offer) int {
		if left.ask != right.ask {
			return cmp.Compare(left.ask, right.ask)
		}
		return left.position - right.position
	})
}

// floor is added to each price, so that the spread counts for asks of nothing too.
const floor = 5 * time.Millisecond

// cheapest is the pair with the lowest price; of equal ones that which stands
// first in the list. A price is never below the sum of what it is made of, so that
// the lowest sum that is left bounds all prices that are left.
func (o *offerBook) cheapest(request *Request) (Bid, bool) {
	sortByAsk(o.prefill)
	sortByAsk(o.decode)
	var best Bid
	bestPrice, bestPrefill, bestDecode := 0.0, 0, 0
	// worse tells that no price from this sum on would be taken.
	worse := func(least time.Duration, prefill, decode int) bool {
		if best.Prefill == nil {
			return false
		}
		lowest := float64(least + floor)
		return lowest > bestPrice || (lowest == bestPrice && (prefill > bestPrefill || (prefill == bestPrefill && decode > bestDecode)))
	}
	for _, prefill := range o.prefill {
		least := prefill.ask + prefill.least(request)
		var weigher membership.Weigher
		weighs := false
		for _, decode := range o.decode {
			if worse(least+decode.ask, prefill.position, decode.position) {
				break
			}
			handOver := prefill.handOver(decode, request)
			sum := prefill.ask + handOver + decode.ask
			if decode.stall == prefill.stall || worse(sum, prefill.position, decode.position) {
				continue
			}
			if !weighs {
				weigher, weighs = membership.NewWeigher(request.ID+"/"+prefill.stall.server.Name), true
			}
			noise := float64(weigher.Weight(decode.stall.server.Name)%1024) / 1024
			price := float64(sum+floor) * (1 + spread*noise)
			if best.Prefill == nil || price < bestPrice || (price == bestPrice && (prefill.position < bestPrefill || (prefill.position == bestPrefill && decode.position < bestDecode))) {
				best = Bid{Prefill: prefill.stall, Decode: decode.stall, Price: sum, HandOver: handOver}
				bestPrice, bestPrefill, bestDecode = price, prefill.position, decode.position
			}
		}
	}
	return best, best.Prefill != nil
}

// leastLoaded is the plain choice: the first server with the shortest queue and
// the first with the fewest answers under way, without prefixes, hand-over,
// zones or own work in flight.
func (o *offerBook) leastLoaded(_ time.Time, request *Request) (Bid, bool) {
	if len(o.prefill) == 0 || len(o.decode) == 0 {
		return Bid{}, false
	}
	prefill := slices.MinFunc(o.prefill, func(left, right offer) int {
		return left.report.load.PrefillWaiting - right.report.load.PrefillWaiting
	})
	decode := slices.MinFunc(o.decode, func(left, right offer) int {
		return left.report.load.DecodeActive - right.report.load.DecodeActive
	})
	handOver := prefill.handOver(decode, request)
	return Bid{Prefill: prefill.stall, Decode: decode.stall, Price: prefill.ask + handOver + decode.ask, HandOver: handOver}, true
}
