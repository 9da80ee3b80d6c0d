package auction

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Market finds the pair of servers for a request as a whole: the price of a pair is the
// prefill server's ask, the KV transfer between the two, and the decode server's ask, all
// estimated times. Methods may be called from several threads.
type Market struct {
	// mutex orders the lists; the snapshot is replaced under it.
	mutex       sync.Mutex
	snapshot    atomic.Pointer[snapshot]
	zone        string
	leastLoaded bool
	routers     atomic.Int64
}

// snapshot is the servers as they were listed last; it is not altered.
type snapshot struct {
	// servers are sorted by name.
	servers []*ServerState
	byName  map[string]*ServerState
	listing []membership.Server
}

// NewMarket makes the market of a router in a zone. With leastLoaded it picks the two
// least loaded servers instead of the cheapest pair, for comparison.
func NewMarket(zone string, leastLoaded bool) *Market {
	market := &Market{zone: zone, leastLoaded: leastLoaded}
	market.snapshot.Store(&snapshot{byName: map[string]*ServerState{}})
	return market
}

// SetRouters sets how many routers share the servers.
func (m *Market) SetRouters(count int) { m.routers.Store(int64(count)) }

// localQuota is how much of the free capacity this router may fill before it sees the next
// report: twice its own share, since not all others come at once; only its own share of a
// server that is warming up; but one at least.
func (m *Market) localQuota(free, ramp float64) int64 {
	routers := max(1, m.routers.Load())
	if routers == 1 {
		return int64(free)
	}
	return max(1, int64(free*(1+ramp*ramp)/float64(routers)))
}

// List replaces the server list; a server whose address stays keeps its report.
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
	sort.Slice(next.servers, func(i, j int) bool {
		return next.servers[i].server.Name < next.servers[j].server.Name
	})
	m.snapshot.Store(next)
}

// Report takes the load report of a listed server.
func (m *Market) Report(now time.Time, load Load) {
	if state, found := m.snapshot.Load().byName[load.Server]; found {
		state.report.Store(&report{load: load, at: now})
	}
}

// reports tells whether a server is listed and has a report that counts, leaving or not.
func (m *Market) reports(now time.Time, server membership.Server) bool {
	state, found := m.snapshot.Load().byName[server.Name]
	if !found || state.server.Address != server.Address {
		return false
	}
	return state.report.Load().recent(now)
}

// Avoid offers a server no work for avoidPeriod, after a fault.
func (m *Market) Avoid(now time.Time, server string) {
	if state, found := m.snapshot.Load().byName[server]; found {
		state.avoidedUntil.Store(now.Add(avoidPeriod).UnixNano())
	}
}

// Bid is the pair of servers that a request gets.
type Bid struct {
	Prefill *ServerState
	Decode  *ServerState
	// Price is the estimated time of the request, TransferTime the KV transfer in it.
	Price        time.Duration
	TransferTime time.Duration
}

// zonePenalty is what is added for work that leaves the router's zone.
const zonePenalty = 30 * time.Millisecond

// priceSpread is how far apart two prices must be for every router to prefer the same
// pair: within it the request's own hash decides, so that routers with the same stale
// reports do not all send to one server.
const priceSpread = 0.25

// Choose finds the pair with the lowest price, among servers that allowed accepts and
// whose names are not in tried. Each server is asked once; pairs are priced from the
// lowest asks on, until none that is left can be cheaper.
func (m *Market) Choose(
	now time.Time,
	request *Request,
	route *RouteDecision,
	allowed func(membership.Server) bool,
	tried map[string]bool,
) (Bid, bool) {
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
		return collected.leastLoaded(request)
	}
	return collected.cheapest(request)
}

// ChooseDecode finds the decode server with the lowest price for a request whose prefill
// is done at the server source.
func (m *Market) ChooseDecode(
	now time.Time,
	request *Request,
	source string,
	allowed func(membership.Server) bool,
	tried map[string]bool,
) (Bid, bool) {
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
			found = true
			best = Bid{Prefill: prefill, Decode: decode, Price: ask + transferTime, TransferTime: transferTime}
		}
	}
	return best, found
}

// seconds is the time for an amount at a rate per second.
func seconds(amount, rate int) time.Duration {
	return time.Duration(float64(amount) / float64(max(rate, 1)) * float64(time.Second))
}

// askPrefill is the estimated time until the server has read the prompt, or false if it
// offers nothing.
func (m *Market) askPrefill(
	now time.Time,
	state *ServerState,
	request *Request,
	route *RouteDecision,
) (time.Duration, bool) {
	current := state.freshReport(now)
	if current == nil || current.load.Role != Prefill || state.avoided(now) {
		return 0, false
	}
	ramp := current.rampUp(now)
	// What was read since the report has left the queue; a server that is still warming
	// up is not trusted to have done so.
	queued := float64(current.load.PrefillQueueTokens) + float64(current.prefillTokens.Load())
	remaining := 1.0
	if queued > 0 && ramp == 1 {
		remaining = max(0, 1-now.Sub(current.at).Seconds()*float64(current.load.PrefillRate)/queued)
	}
	free := max(1, float64(current.load.PrefillCapacity)*ramp) - remaining*float64(current.load.PrefillWaiting)
	if free < 1 || int64(remaining*float64(current.prefills.Load())) >= m.localQuota(free, ramp) {
		return 0, false
	}
	uncached := current.uncachedTokens(request)
	ask := seconds(int(remaining*queued)+max(uncached, 1), current.load.PrefillRate)
	ask = time.Duration(float64(ask) / ramp)
	if route.HomeFirst && state.server.Zone != m.zone {
		ask += zonePenalty
	}
	return ask, true
}

// askDecode is the estimated time of the stream, or false if the server offers nothing.
func (m *Market) askDecode(now time.Time, decode *ServerState, request *Request) (time.Duration, bool) {
	current := decode.freshReport(now)
	if current == nil || current.load.Role != Decode || decode.avoided(now) {
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
	// A fuller server makes chunks more slowly, and leaves less capacity for the
	// requests that come next.
	fullness := float64(busy) / float64(slots)
	return time.Duration(float64(request.Chunks) * float64(current.load.ChunkTime) * (0.25 + fullness*fullness)), true
}

// Reserve counts a bid's prefill until the server's next report shows it, and reserves a
// slot at the decode server until Release.
func (m *Market) Reserve(bid Bid, request *Request) {
	if current := bid.Prefill.report.Load(); current != nil {
		current.prefillTokens.Add(int64(current.uncachedTokens(request)))
		current.prefills.Add(1)
	}
	bid.Decode.pendingDecodes.Add(1)
}

// Release gives the reserved decode slot back.
func (m *Market) Release(bid Bid) { bid.Decode.pendingDecodes.Add(-1) }

// StartDecode counts a decode until the server's next report shows it.
func (m *Market) StartDecode(bid Bid, request *Request) {
	if current := bid.Decode.report.Load(); current != nil {
		current.decodes.Add(1)
		current.memory.Add(int64(request.PromptTokens + request.Chunks))
	}
}

// RetryAfter estimates after what time there may be capacity again: one to ten seconds.
func (m *Market) RetryAfter(now time.Time) time.Duration {
	delay := time.Second
	for _, state := range m.snapshot.Load().servers {
		if current := state.freshReport(now); current != nil && current.load.Role == Prefill {
			delay = max(delay, seconds(current.load.PrefillQueueTokens, current.load.PrefillRate)/2)
		}
	}
	return min(delay, 10*time.Second)
}

// Listing is the server list as List took it last.
func (m *Market) Listing() []membership.Server { return m.snapshot.Load().listing }

// Load is the report of one server that counts now, if it has one.
func (m *Market) Load(now time.Time, server string) (Load, bool) {
	state, found := m.snapshot.Load().byName[server]
	if !found {
		return Load{}, false
	}
	r := state.report.Load()
	if !r.recent(now) {
		return Load{}, false
	}
	return r.load, true
}

// Loads lists the servers with the reports that count now.
func (m *Market) Loads(now time.Time) ([]membership.Server, map[string]Load) {
	current := m.snapshot.Load()
	loads := map[string]Load{}
	for _, state := range current.servers {
		if r := state.report.Load(); r.recent(now) {
			loads[state.server.Name] = r.load
		}
	}
	return current.listing, loads
}
