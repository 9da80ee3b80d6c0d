// Package pass owns the market in which requests bid for prefill and decode
// servers, the dispatch of the chosen pair, and what is done in trouble.
package auction

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Market finds the pair of servers for a request as a whole: the prefill
// server's ask, the hand-over between the two, and the decode server's ask.
type Market struct {
	mutex   sync.Mutex
	board   atomic.Pointer[board]
	router  string
	zone    string
	plain   bool
	routers atomic.Int64
}

type board struct {
	stalls  []*Stall
	byName  map[string]*Stall
	listing []membership.Server
}

// NewMarket makes a router's market. A plain one picks the least loaded
// servers one by one, for comparison.
func NewMarket(router, zone string, plain bool) *Market {
	market := &Market{router: router, zone: zone, plain: plain}
	market.board.Store(&board{byName: map[string]*Stall{}})
	return market
}

// SetRouters tells how many routers share the servers.
func (m *Market) SetRouters(count int) { m.routers.Store(int64(count)) }

// share is how much of the room left this router may fill before it sees the
// next report: twice its own part, since not all others come at once; of a cold
// server only its own part; but one at least.
func (m *Market) share(left, warmth float64) int64 {
	routers := max(1, m.routers.Load())
	if routers == 1 {
		return int64(left)
	}
	return max(1, int64(left*(1+warmth*warmth)/float64(routers)))
}

// List takes the platform's server list.
func (m *Market) List(servers []membership.Server) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	old := m.board.Load()
	next := &board{byName: map[string]*Stall{}, listing: servers}
	for _, server := range servers {
		stall := &Stall{server: server, promised: &atomic.Int64{}}
		if earlier, found := old.byName[server.Name]; found && earlier.server.Address == server.Address {
			stall.report.Store(earlier.report.Load())
			stall.avoid.Store(earlier.avoid.Load())
			stall.promised = earlier.promised
		}
		next.byName[server.Name] = stall
		next.stalls = append(next.stalls, stall)
	}
	sort.Slice(next.stalls, func(left, right int) bool { return next.stalls[left].server.Name < next.stalls[right].server.Name })
	m.board.Store(next)
}

// Report takes a server's load report.
func (m *Market) Report(now time.Time, load Load) {
	if stall, found := m.board.Load().byName[load.Server]; found {
		stall.report.Store(&report{load: load, at: now})
	}
}

// reports tells whether a server is listed and reported a moment ago, leaving or
// not.
func (m *Market) reports(now time.Time, server membership.Server) bool {
	stall, found := m.board.Load().byName[server.Name]
	if !found || stall.server.Address != server.Address {
		return false
	}
	current := stall.report.Load()
	return current != nil && now.Sub(current.at) <= reportFresh
}

// Avoid keeps a server out of the market for a while, after trouble with it.
func (m *Market) Avoid(now time.Time, server string) {
	if stall, found := m.board.Load().byName[server]; found {
		stall.avoid.Store(now.Add(avoidTime).UnixNano())
	}
}

// Bid is the offer that a request takes up.
type Bid struct {
	Prefill  *Stall
	Decode   *Stall
	Price    time.Duration
	HandOver time.Duration
}

// crossing is what is added for work that leaves the router's zone.
const crossing = 30 * time.Millisecond

// spread is how far apart two asks must be for every router to prefer the
// same one: within it the request's own hash decides, so that routers with
// the same stale view do not all run to one server.
const spread = 0.25

// Choose finds the pair with the lowest price, among servers that allowed says
// may be used and whose names are not in tried. Each server is asked once; pairs
// are priced from the lowest asks on, until none that is left can be cheaper.
func (m *Market) Choose(now time.Time, request *Request, ruling *Ruling, allowed func(membership.Server) bool, tried map[string]bool) (Bid, bool) {
	asked := offers.Get().(*offerBook)
	defer offers.Put(asked)
	asked.clear()
	for position, stall := range m.board.Load().stalls {
		if !allowed(stall.server) || tried[stall.server.Name] {
			continue
		}
		if ask, offered := m.askPrefill(now, stall, request, ruling); offered {
			asked.prefill = append(asked.prefill, newOffer(stall, position, ask))
		}
		if ask, offered := m.askDecode(now, stall, request); offered {
			asked.decode = append(asked.decode, newOffer(stall, position, ask))
		}
	}
	if m.plain {
		return asked.leastLoaded(now, request)
	}
	return asked.cheapest(request)
}

// ChooseDecode finds another decode server for a prompt that is already read.
func (m *Market) ChooseDecode(now time.Time, request *Request, source string, allowed func(membership.Server) bool, tried map[string]bool) (Bid, bool) {
	current := m.board.Load()
	prefill, found := current.byName[source]
	if !found {
		return Bid{}, false
	}
	var best Bid
	found = false
	for _, decode := range current.stalls {
		if decode == prefill || !allowed(decode.server) || tried[decode.server.Name] {
			continue
		}
		ask, offered := m.askDecode(now, decode, request)
		if !offered {
			continue
		}
		handOver := newOffer(prefill, 0, 0).handOver(newOffer(decode, 0, 0), request)
		if !found || ask+handOver < best.Price {
			best, found = Bid{Prefill: prefill, Decode: decode, Price: ask + handOver, HandOver: handOver}, true
		}
	}
	return best, found
}

func seconds(amount, rate int) time.Duration {
	return time.Duration(float64(amount) / float64(max(rate, 1)) * float64(time.Second))
}

func (m *Market) askPrefill(now time.Time, stall *Stall, request *Request, ruling *Ruling) (time.Duration, bool) {
	current := stall.fresh(now)
	if current == nil || current.load.Part != Prefill || stall.avoided(now) {
		return 0, false
	}
	warmth := current.warmth(now)
	// What was read since the report has left the queue; of a cold server that
	// is not counted on.
	queued := float64(current.load.PrefillQueueTokens) + float64(current.prefillTokens.Load())
	still := 1.0
	if queued > 0 && warmth == 1 {
		still = max(0, 1-now.Sub(current.at).Seconds()*float64(current.load.PrefillRate)/queued)
	}
	left := max(1, float64(current.load.PrefillRoom)*warmth) - still*float64(current.load.PrefillWaiting)
	if left < 1 || int64(still*float64(current.prefills.Load())) >= m.share(left, warmth) {
		return 0, false
	}
	uncached := request.PromptTokens - min(request.PrefixTokens, current.load.Prefixes[request.Prefix])
	ask := seconds(int(still*queued)+max(uncached, 1), current.load.PrefillRate)
	ask = time.Duration(float64(ask) / warmth)
	if ruling.HomeFirst && stall.server.Zone != m.zone {
		ask += crossing
	}
	return ask, true
}

func (m *Market) askDecode(now time.Time, decode *Stall, request *Request) (time.Duration, bool) {
	current := decode.fresh(now)
	if current == nil || current.load.Part != Decode || decode.avoided(now) {
		return 0, false
	}
	warmth := current.warmth(now)
	mine := current.decodes.Load() + decode.promised.Load()
	busy := current.load.DecodeActive + int(mine)
	slots := max(1, int(float64(current.load.DecodeSlots)*warmth))
	left := float64(slots - current.load.DecodeActive)
	need := request.PromptTokens + request.Chunks
	full := busy >= slots
	if warmth < 1 {
		full = left < 1 || mine >= m.share(left, warmth)
	}
	if full || current.load.MemoryFree-int(current.memory.Load()) < need {
		return 0, false
	}
	// A fuller server makes chunks more slowly, and leaves less room for the
	// requests that come next.
	fullness := float64(busy) / float64(slots)
	return time.Duration(float64(request.Chunks) * float64(current.load.ChunkTime) * (0.25 + fullness*fullness)), true
}

// Reserve counts a bid's prefill until the server's next report shows it, and
// keeps the decode server's room until the prompt is read.
func (m *Market) Reserve(bid Bid, request *Request) {
	if current := bid.Prefill.report.Load(); current != nil {
		uncached := request.PromptTokens - min(request.PrefixTokens, current.load.Prefixes[request.Prefix])
		current.prefillTokens.Add(int64(uncached))
		current.prefills.Add(1)
	}
	bid.Decode.promised.Add(1)
}

// Release gives a reserved decode room back.
func (m *Market) Release(bid Bid) { bid.Decode.promised.Add(-1) }

// Take counts a decode until the server's next report shows it.
func (m *Market) Take(bid Bid, request *Request) {
	if current := bid.Decode.report.Load(); current != nil {
		current.decodes.Add(1)
		current.memory.Add(int64(request.PromptTokens + request.Chunks))
	}
}

// Relief estimates when there may be room again.
func (m *Market) Relief(now time.Time) time.Duration {
	relief := time.Second
	for _, stall := range m.board.Load().stalls {
		if current := stall.fresh(now); current != nil && current.load.Part == Prefill {
			relief = max(relief, seconds(current.load.PrefillQueueTokens, current.load.PrefillRate)/2)
		}
	}
	return min(relief, 10*time.Second)
}

// Listing is the platform's list as it was taken last.
func (m *Market) Listing() []membership.Server { return m.board.Load().listing }

// Load is the report that counts now of one server, if it has one.
func (m *Market) Load(now time.Time, server string) (Load, bool) {
	stall, found := m.board.Load().byName[server]
	if !found {
		return Load{}, false
	}
	r := stall.report.Load()
	if r == nil || now.Sub(r.at) > reportFresh {
		return Load{}, false
	}
	return r.load, true
}

// Loads lists the servers with the reports that count now.
func (m *Market) Loads(now time.Time) ([]membership.Server, map[string]Load) {
	current := m.board.Load()
	loads := map[string]Load{}
	for _, stall := range current.stalls {
		if r := stall.report.Load(); r != nil && now.Sub(r.at) <= reportFresh {
			loads[stall.server.Name] = r.load
		}
	}
	return current.listing, loads
}
