package auction

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// offer is one server's offer for the prefill or the decode of a request.
type offer struct {
	state *ServerState
	// position is the index of the server in the list sorted by name; it breaks ties.
	position int
	// ask is the estimated time of the server's part of the request.
	ask      time.Duration
	linkRate int
	report   *report
}

func newOffer(state *ServerState, position int, ask time.Duration) offer {
	result := offer{state: state, position: position, ask: ask, report: state.report.Load()}
	if result.report != nil {
		result.linkRate = result.report.load.LinkRate
	}
	return result
}

// minTransferTime returns a lower bound of transferTime over all decode servers: the time of a
// transfer within the zone to a server whose link is not slower than this server's.
func (o offer) minTransferTime(request *Request) time.Duration {
	return seconds(request.PromptTokens, o.linkRate)
}

// transferTime returns the estimated time to transfer the prompt's KV cache from this server to the
// decode server. The slower of the two links determines the rate; a transfer between zones takes
// 1.5 times as long, plus half of zonePenalty.
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

// offerSet holds the offers for one request.
type offerSet struct {
	prefill []offer
	decode  []offer
}

// offerPool reuses offer sets, to avoid an allocation for each request.
var offerPool = sync.Pool{New: func() any { return &offerSet{} }}

func (o *offerSet) clear() {
	o.prefill, o.decode = o.prefill[:0], o.decode[:0]
}

// sortByAsk sorts offers by ask, then by position in the server list.
func sortByAsk(offers []offer) {
	slices.SortFunc(offers, func(left, right offer) int {
		if left.ask != right.ask {
			return cmp.Compare(left.ask, right.ask)
		}
		return left.position - right.position
	})
}

// priceFloor is added to the sum of a pair's estimated times before priceSpread is applied, so that
// the spread also separates pairs whose sum is zero.
const priceFloor = 5 * time.Millisecond

// rank orders pairs by price, then by the positions of the prefill and the decode server.
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

// cheapest returns the pair with the lowest price, and among equal prices the pair with the
// lowest positions in the server list. priceSpread only increases prices, so a pair's sum of
// estimated times is a lower bound of its price. For each prefill server, the decode servers
// are tried in ascending order of their asks, until no remaining pair can have a lower price
// than the best one.
func (o *offerSet) cheapest(request *Request) (Bid, bool) {
	sortByAsk(o.prefill)
	sortByAsk(o.decode)
	var best Bid
	var bestRank rank
	// isWorse reports whether a pair whose estimated times add up to at least sum ranks
	// behind the best pair found so far.
	isWorse := func(sum time.Duration, prefill, decode int) bool {
		return best.Prefill != nil && bestRank.before(rank{float64(sum + priceFloor), prefill, decode})
	}
	for _, prefill := range o.prefill {
		minSum := prefill.ask + prefill.minTransferTime(request)
		var weigher membership.Weigher
		weigherReady := false
		for _, decode := range o.decode {
			if isWorse(minSum+decode.ask, prefill.position, decode.position) {
				break
			}
			transferTime := prefill.transferTime(decode, request)
			sum := prefill.ask + transferTime + decode.ask
			if decode.state == prefill.state || isWorse(sum, prefill.position, decode.position) {
				continue
			}
			if !weigherReady {
				weigher, weigherReady = membership.NewWeigher(request.ID+"/"+prefill.state.server.Name), true
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

// leastLoaded returns the pair that the baseline strategy selects, with which the auction is
// compared: the first prefill server with the fewest waiting prompts and the first decode
// server with the fewest active decodes. The selection ignores cached prefixes, KV transfers,
// zones and the router's own work in flight.
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
