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
	state    *ServerState
	position int
	ask      time.Duration
	linkRate int
	report   *report
}

func newOffer(state *ServerState, position int, ask time.Duration) offer {
	made := offer{state: state, position: position, ask: ask, report: state.report.Load()}
	if made.report != nil {
		made.linkRate = made.report.load.LinkRate
	}
	return made
}

// least is the least time that the prompt's memory takes from this server to any
// other: over its own link, and within its zone.
func (o offer) minTransferTime(request *Request) time.Duration {
	return seconds(request.PromptTokens, o.linkRate)
}

// transferTime is the time that the prompt's memory takes from one server to the
// other.
func (o offer) transferTime(decode offer, request *Request) time.Duration {
	rate := decode.linkRate
	if o.report != nil && o.linkRate < rate {
		rate = o.linkRate
	}
	took := seconds(request.PromptTokens, rate)
	if o.state.server.Zone != decode.state.server.Zone {
		took += took/2 + zonePenalty/2
	}
	return took
}

// offerSet holds the offers for one request.
type offerSet struct {
	prefill []offer
	decode  []offer
}

// offers keeps the books that nobody uses just now.
var offerPool = sync.Pool{New: func() any { return &offerSet{} }}

func (o *offerSet) clear() {
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
const priceFloor = 5 * time.Millisecond

// cheapest is the pair with the lowest price; of equal ones that which stands
// first in the list. A price is never below the sum of what it is made of, so that
// the lowest sum that is left bounds all prices that are left.
func (o *offerSet) cheapest(request *Request) (Bid, bool) {
	sortByAsk(o.prefill)
	sortByAsk(o.decode)
	var best Bid
	bestPrice, bestPrefill, bestDecode := 0.0, 0, 0
	// worse tells that no price from this sum on would be taken.
	worse := func(least time.Duration, prefill, decode int) bool {
		if best.Prefill == nil {
			return false
		}
		lowest := float64(least + priceFloor)
		return lowest > bestPrice || (lowest == bestPrice && (prefill > bestPrefill || (prefill == bestPrefill && decode > bestDecode)))
	}
	for _, prefill := range o.prefill {
		least := prefill.ask + prefill.minTransferTime(request)
		var weigher membership.Weigher
		weighs := false
		for _, decode := range o.decode {
			if worse(least+decode.ask, prefill.position, decode.position) {
				break
			}
			transferTime := prefill.transferTime(decode, request)
			sum := prefill.ask + transferTime + decode.ask
			if decode.state == prefill.state || worse(sum, prefill.position, decode.position) {
				continue
			}
			if !weighs {
				weigher, weighs = membership.NewWeigher(request.ID+"/"+prefill.state.server.Name), true
			}
			noise := float64(weigher.Weight(decode.state.server.Name)%1024) / 1024
			price := float64(sum+priceFloor) * (1 + priceSpread*noise)
			if best.Prefill == nil || price < bestPrice || (price == bestPrice && (prefill.position < bestPrefill || (prefill.position == bestPrefill && decode.position < bestDecode))) {
				best = Bid{Prefill: prefill.state, Decode: decode.state, Price: sum, TransferTime: transferTime}
				bestPrice, bestPrefill, bestDecode = price, prefill.position, decode.position
			}
		}
	}
	return best, best.Prefill != nil
}

// leastLoaded is the plain choice: the first server with the shortest queue and
// the first with the fewest answers under way, without prefixes, hand-over,
// zones or own work in flight.
func (o *offerSet) leastLoaded(_ time.Time, request *Request) (Bid, bool) {
	if len(o.prefill) == 0 || len(o.decode) == 0 {
		return Bid{}, false
	}
	prefill := slices.MinFunc(o.prefill, func(left, right offer) int {
		return left.report.load.PrefillWaiting - right.report.load.PrefillWaiting
	})
	decode := slices.MinFunc(o.decode, func(left, right offer) int {
		return left.report.load.DecodeActive - right.report.load.DecodeActive
	})
	transferTime := prefill.transferTime(decode, request)
	return Bid{Prefill: prefill.state, Decode: decode.state, Price: prefill.ask + transferTime + decode.ask, TransferTime: transferTime}, true
}
