package auction

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// offer is what one server asks for its half of a request, as an estimated time.
type offer struct {
	state *ServerState
	// position in the sorted list breaks ties.
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

// minTransferTime is the least time that the prompt's KV cache takes from this server to any
// other: over its own link, and within its zone.
func (o offer) minTransferTime(request *Request) time.Duration {
	return seconds(request.PromptTokens, o.linkRate)
}

// transferTime is the time that the prompt's KV cache takes from this server to the decode
// server: at the slower of both links, and longer between zones.
func (o offer) transferTime(decode offer, request *Request) time.Duration {
	rate := decode.linkRate
	if o.report != nil && o.linkRate < rate {
		rate = o.linkRate
	}
	total := seconds(request.PromptTokens, rate)
	if o.state.server.Zone != decode.state.server.Zone {
		total += total/2 + zonePenalty/2
	}
	return total
}

// offerSet has the offers for one request.
type offerSet struct {
	prefill []offer
	decode  []offer
}

// offerPool keeps the sets that are not in use, to allocate none for each request.
var offerPool = sync.Pool{New: func() any { return &offerSet{} }}

func (o *offerSet) clear() {
	o.prefill, o.decode = o.prefill[:0], o.decode[:0]
}

// sortByAsk sorts offers by their ask, and equal ones as they stand in the list.
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

// rank orders pairs by price, and those of one price by their place in the list.
type rank struct {
	price           float64
	prefill, decode int
}

func (r rank) before(other rank) bool {
	if r.price != other.price {
		return r.price < other.price
	}
	if r.prefill != other.prefill {
		return r.prefill < other.prefill
	}
	return r.decode < other.decode
}

// cheapest is the pair with the lowest price; of equal ones that which stands first in
// the list. The spread only adds to the sum that a price is made of, so that the lowest
// sum that is left bounds all prices that are left.
func (o *offerSet) cheapest(request *Request) (Bid, bool) {
	sortByAsk(o.prefill)
	sortByAsk(o.decode)
	var best Bid
	var bestRank rank
	// worse tells that no pair whose parts sum up to this or more would be taken.
	worse := func(sum time.Duration, prefill, decode int) bool {
		return best.Prefill != nil && bestRank.before(rank{float64(sum + priceFloor), prefill, decode})
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
			candidate := rank{price, prefill.position, decode.position}
			if best.Prefill == nil || candidate.before(bestRank) {
				best = Bid{Prefill: prefill.state, Decode: decode.state, Price: sum, TransferTime: transferTime}
				bestRank = candidate
			}
		}
	}
	return best, best.Prefill != nil
}

// leastLoaded is the choice that the auction is compared with: the first server with the
// shortest queue and the first with the fewest active decodes, regardless of prefixes, KV
// transfer, zones and the router's own work in flight.
func (o *offerSet) leastLoaded(request *Request) (Bid, bool) {
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
	return Bid{
		Prefill:      prefill.state,
		Decode:       decode.state,
		Price:        prefill.ask + transferTime + decode.ask,
		TransferTime: transferTime,
	}, true
}
