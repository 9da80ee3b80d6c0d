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
	mutex       sync.Mutex
	snapshot    atomic.Pointer[snapshot]
	router      string
	zone        string
	leastLoaded bool
	routers     atomic.Int64
}

type snapshot struct {
	servers []*ServerState
	byName  map[string]*ServerState
	listing []membership.Server
}

// NewMarket makes a router's market. A plain one picks the least loaded
// servers one by one, for comparison.
func NewMarket(router, zone string, leastLoaded bool) *Market {
	market := &Market{router: router, zone: zone, leastLoaded: leastLoaded}
	market.snapshot.Store(&snapshot{byName: map[string]*ServerState{}})
	return market
}

// SetRouters tells how many routers share the servers.
func (m *Market) SetRouters(count int) { m.routers.Store(int64(count)) }

// share is how much of the room left this router may fill before it sees the
// next report: twice its own part, since not all others come at once; of a cold
// server only its own part; but one at least.
func (m *Market) localQuota(free, ramp float64) int64 {
	routers := max(1, m.routers.Load())
	if routers == 1 {
		return int64(free)
	}
	return max(1, int64(free*(1+ramp*ramp)/float64(routers)))
}

// List takes the platform's server list.
func (m *Market) List(servers []membership.Server) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	old := m.snapshot.Load()
	next := &snapshot{byName: map[string]*ServerState{}, listing: servers}
	for _, server := range servers {
		state := &ServerState{server: server, pendingDecodes: &atomic.Int64{}}
		if earlier, found := old.byName[server.Name]; found && earlier.server.Address == server.Address {
			state.report.Store(earlier.report.Load())
			state.avoidedUntil.Store(earlier.avoidedUntil.Load())
			state.pendingDecodes = earlier.pendingDecodes
		}
		next.byName[server.Name] = state
		next.servers = append(next.servers, state)
	}
	sort.Slice(next.servers, func(free, right int) bool { return next.servers[free].server.Name < next.servers[right].server.Name })
	m.snapshot.Store(next)
}

// Report takes a server's load report.
func (m *Market) Report(now time.Time, load Load) {
	if state, found := m.snapshot.Load().byName[load.Server]; found {
		state.report.Store(&report{load: load, at: now})
	}
}

// reports tells whether a server is listed and reported a moment ago, leaving or
// not.
func (m *Market) reports(now time.Time, server membership.Server) bool {
	state, found := m.snapshot.Load().byName[server.Name]
	if !found || state.server.Address != server.Address {
		return false
	}
	current := state.report.Load()
	return current != nil && now.Sub(current.at) <= reportMaxAge
}

// Avoid keeps a server out of the market for a while, after trouble with it.
func (m *Market) Avoid(now time.Time, server string) {
	if state, found := m.snapshot.Load().byName[server]; found {
		state.avoidedUntil.Store(now.Add(avoidPeriod).UnixNano())
	}
}

// Bid is the offer that a request takes up.
type Bid struct {
	Prefill      *ServerState
	Decode       *ServerState
	Price        time.Duration
	TransferTime time.Duration
}

// crossing is what is added for work that leaves the router's zone.
const zonePenalty = 30 * time.Millisecond

// spread is how far apart two asks must be for every router to prefer the
// same one: within it the request's own hash decides, so that routers with
// the same stale view do not all run to one server.
const priceSpread = 0.25

// Choose finds the pair with the lowest price, among servers that allowed says
// may be used and whose names are not in tried. Each server is asked once; pairs
// are priced from the lowest asks on, until none that is left can be cheaper.
func (m *Market) Choose(now time.Time, request *Request, route *RouteDecision, allowed func(membership.Server) bool, tried map[string]bool) (Bid, bool) {
	collected := offerPool.Get().(*offerSet)
	defer offerPool.Put(collected)
	collected.clear()
	for position, state := range m.snapshot.Load().servers {
		if !allowed(state.server) || tried[state.server.Name] {
			continue
		}
		if ask, offered := m.askPrefill(now, state, request, route); offered {
			collected.prefill = append(collected.prefill, newOffer(state, position, ask))
		}
		if ask, offered := m.askDecode(now, state, request); offered {
			collected.decode = append(collected.decode, newOffer(state, position, ask))
		}
	}
	if m.leastLoaded {
		return collected.leastLoaded(now, request)
	}
	return collected.cheapest(request)
}

// ChooseDecode finds another decode server for a prompt that is already read.
func (m *Market) ChooseDecode(now time.Time, request *Request, source string, allowed func(membership.Server) bool, tried map[string]bool) (Bid, bool) {
	current := m.snapshot.Load()
	prefill, found := current.byName[source]
	if !found {
		return Bid{}, false
	}
	var best Bid
	found = false
	for _, decode := range current.servers {
		if decode == prefill || !allowed(decode.server) || tried[decode.server.Name] {
			continue
		}
		ask, offered := m.askDecode(now, decode, request)
		if !offered {
			continue
		}
		transferTime := newOffer(prefill, 0, 0).transferTime(newOffer(decode, 0, 0), request)
		if !found || ask+transferTime < best.Price {
			best, found = Bid{Prefill: prefill, Decode: decode, Price: ask + transferTime, TransferTime: transferTime}, true
		}
	}
	return best, found
}

func seconds(amount, rate int) time.Duration {
	return time.Duration(float64(amount) / float64(max(rate, 1)) * float64(time.Second))
}

func (m *Market) askPrefill(now time.Time, state *ServerState, request *Request, route *RouteDecision) (time.Duration, bool) {
	current := state.freshReport(now)
	if current == nil || current.load.Part != Prefill || state.avoided(now) {
		return 0, false
	}
	ramp := current.rampUp(now)
	// What was read since the report has left the queue; of a cold server that
	// is not counted on.
	queued := float64(current.load.PrefillQueueTokens) + float64(current.prefillTokens.Load())
	remaining := 1.0
	if queued > 0 && ramp == 1 {
		remaining = max(0, 1-now.Sub(current.at).Seconds()*float64(current.load.PrefillRate)/queued)
	}
	free := max(1, float64(current.load.PrefillCapacity)*ramp) - remaining*float64(current.load.PrefillWaiting)
	if free < 1 || int64(remaining*float64(current.prefills.Load())) >= m.localQuota(free, ramp) {
		return 0, false
	}
	uncached := request.PromptTokens - min(request.PrefixTokens, current.load.Prefixes[request.Prefix])
	ask := seconds(int(remaining*queued)+max(uncached, 1), current.load.PrefillRate)
	ask = time.Duration(float64(ask) / ramp)
	if route.HomeFirst && state.server.Zone != m.zone {
		ask += zonePenalty
	}
	return ask, true
}

func (m *Market) askDecode(now time.Time, decode *ServerState, request *Request) (time.Duration, bool) {
	current := decode.freshReport(now)
	if current == nil || current.load.Part != Decode || decode.avoided(now) {
		return 0, false
	}
	ramp := current.rampUp(now)
	reserved := current.decodes.Load() + decode.pendingDecodes.Load()
	busy := current.load.DecodeActive + int(reserved)
	slots := max(1, int(float64(current.load.DecodeSlots)*ramp))
	free := float64(slots - current.load.DecodeActive)
	needed := request.PromptTokens + request.Chunks
	full := busy >= slots
	if ramp < 1 {
		full = free < 1 || reserved >= m.localQuota(free, ramp)
	}
	if full || current.load.MemoryFree-int(current.memory.Load()) < needed {
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
	bid.Decode.pendingDecodes.Add(1)
}

// Release gives a reserved decode room back.
func (m *Market) Release(bid Bid) { bid.Decode.pendingDecodes.Add(-1) }

// StartDecode counts a decode until the server's next report shows it.
func (m *Market) StartDecode(bid Bid, request *Request) {
	if current := bid.Decode.report.Load(); current != nil {
		current.decodes.Add(1)
		current.memory.Add(int64(request.PromptTokens + request.Chunks))
	}
}

// RetryAfter estimates when there may be room again.
func (m *Market) RetryAfter(now time.Time) time.Duration {
	delay := time.Second
	for _, state := range m.snapshot.Load().servers {
		if current := state.freshReport(now); current != nil && current.load.Part == Prefill {
			delay = max(delay, seconds(current.load.PrefillQueueTokens, current.load.PrefillRate)/2)
		}
	}
	return min(delay, 10*time.Second)
}

// Listing is the platform's list as it was taken last.
func (m *Market) Listing() []membership.Server { return m.snapshot.Load().listing }

// Load is the report that counts now of one server, if it has one.
func (m *Market) Load(now time.Time, server string) (Load, bool) {
	state, found := m.snapshot.Load().byName[server]
	if !found {
		return Load{}, false
	}
	r := state.report.Load()
	if r == nil || now.Sub(r.at) > reportMaxAge {
		return Load{}, false
	}
	return r.load, true
}

// Loads lists the servers with the reports that count now.
func (m *Market) Loads(now time.Time) ([]membership.Server, map[string]Load) {
	current := m.snapshot.Load()
	loads := map[string]Load{}
	for _, state := range current.servers {
		if r := state.report.Load(); r != nil && now.Sub(r.at) <= reportMaxAge {
			loads[state.server.Name] = r.load
		}
	}
	return current.listing, loads
}
