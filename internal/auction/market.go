package auction

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Market picks the pair of servers for a request. The price of a pair is the sum of three
// estimated times: the prefill server's ask, the KV transfer between the two servers, and
// the decode server's ask. A Market is safe for concurrent use.
type Market struct {
	// mutex serializes replacements of the snapshot.
	mutex       sync.Mutex
	snapshot    atomic.Pointer[snapshot]
	zone        string
	leastLoaded bool
	routers     atomic.Int64
}

// snapshot holds the servers of the last list. It is replaced, never modified; only the
// atomic fields of the server states change.
type snapshot struct {
	// servers are sorted by name; listing is the list in its original order.
	servers []*ServerState
	byName  map[string]*ServerState
	listing []membership.Server
}

// NewMarket returns the market of a router in a zone. If leastLoaded is set, the market picks the
// least loaded prefill server and the least loaded decode server instead of the cheapest pair, as a
// baseline for comparison.
func NewMarket(zone string, leastLoaded bool) *Market {
	market := &Market{zone: zone, leastLoaded: leastLoaded}
	market.snapshot.Store(&snapshot{byName: map[string]*ServerState{}})
	return market
}

// SetRouters sets how many routers share the servers.
func (m *Market) SetRouters(count int) { m.routers.Store(int64(count)) }

// localQuota returns how much of a server's free capacity this router may use before the
// next load report. A single router may use all of it. Several routers may each use twice an
// equal share, because not all of them send at the same time; the factor falls to one for a
// server that has just started (see rampUp), and the result is at least one.
func (m *Market) localQuota(free, ramp float64) int64 {
	routers := max(1, m.routers.Load())
	if routers == 1 {
		return int64(free)
	}
	return max(1, int64(free*(1+ramp*ramp)/float64(routers)))
}

// SetServers replaces the server list. A server with an unchanged name and address keeps its
// report, its avoidance period and its pending decodes.
func (m *Market) SetServers(servers []membership.Server) {
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

// Report stores the load report of a listed server.
func (m *Market) Report(now time.Time, load Load) {
	if state, found := m.snapshot.Load().byName[load.Server]; found {
		state.report.Store(&report{load: load, at: now})
	}
}

// hasRecentReport reports whether a server is still listed at the same address and has a recent
// load report. The result does not depend on whether the server is leaving.
func (m *Market) hasRecentReport(now time.Time, server membership.Server) bool {
	state, found := m.snapshot.Load().byName[server.Name]
	if !found || state.server.Address != server.Address {
		return false
	}
	return state.report.Load().recent(now)
}

// Avoid excludes a server from new work for avoidPeriod. It is called after a fault of the server.
func (m *Market) Avoid(now time.Time, server string) {
	if state, found := m.snapshot.Load().byName[server]; found {
		state.avoidedUntil.Store(now.Add(avoidPeriod).UnixNano())
	}
}

// Bid is the pair of servers chosen for a request.
type Bid struct {
	Prefill *ServerState
	Decode  *ServerState
	// Price is the estimated time of the request; it includes TransferTime, the estimated
	// time of the KV transfer.
	Price        time.Duration
	TransferTime time.Duration
}

// zonePenalty is added to the price of work outside the router's own zone, for a route that
// prefers this zone. Half of it is added to each KV transfer between zones.
const zonePenalty = 30 * time.Millisecond

// priceSpread is the maximum share of a pair's price that is added to the price. The added share
// depends on a hash of the request and the pair, so that requests are spread over pairs of
// similar price, and routers with the same stale reports do not all send to one server.
const priceSpread = 0.25

// Choose finds the pair with the lowest price among the servers that allowed accepts and
// whose names are not in tried. It computes one ask per server, then prices pairs in order
// of their asks until no remaining pair can be cheaper.
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
// was done by the server named source.
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

// seconds returns the time that an amount takes at a rate per second.
func seconds(amount, rate int) time.Duration {
	return time.Duration(float64(amount) / float64(max(rate, 1)) * float64(time.Second))
}

// askPrefill returns the estimated time until the server has prefilled the prompt, or false
// if the server can take no prefill.
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
	// remaining is the estimated share of the queue that the server has not yet prefilled. A
	// server that is still warming up is assumed to have prefilled nothing since its report.
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

// askDecode returns the estimated time of the stream, or false if the server can take no
// decode.
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
	// A fuller server produces chunks more slowly and has less capacity left for later
	// requests.
	fullness := float64(busy) / float64(slots)
	return time.Duration(float64(request.Chunks) * float64(current.load.ChunkTime) * (0.25 + fullness*fullness)), true
}

// Reserve adds a bid's prefill to the load of the prefill server until its next report, and
// reserves a slot at the decode server until Release.
func (m *Market) Reserve(bid Bid, request *Request) {
	if current := bid.Prefill.report.Load(); current != nil {
		current.prefillTokens.Add(int64(current.uncachedTokens(request)))
		current.prefills.Add(1)
	}
	bid.Decode.pendingDecodes.Add(1)
}

// Release frees the decode slot that Reserve has reserved.
func (m *Market) Release(bid Bid) { bid.Decode.pendingDecodes.Add(-1) }

// StartDecode adds a decode to the load of the decode server until its next report.
func (m *Market) StartDecode(bid Bid, request *Request) {
	if current := bid.Decode.report.Load(); current != nil {
		current.decodes.Add(1)
		current.memory.Add(int64(request.PromptTokens + request.Chunks))
	}
}

// RetryAfter estimates the time until there is capacity again, between one and ten seconds:
// half the time that the longest prefill queue takes.
func (m *Market) RetryAfter(now time.Time) time.Duration {
	delay := time.Second
	for _, state := range m.snapshot.Load().servers {
		if current := state.freshReport(now); current != nil && current.load.Role == Prefill {
			delay = max(delay, seconds(current.load.PrefillQueueTokens, current.load.PrefillRate)/2)
		}
	}
	return min(delay, 10*time.Second)
}

// Servers returns the server list of the last call of SetServers.
func (m *Market) Servers() []membership.Server { return m.snapshot.Load().listing }

// Load returns the recent load report of one server, if there is one.
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

// Loads returns the server list, and the recent load reports by server.
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
