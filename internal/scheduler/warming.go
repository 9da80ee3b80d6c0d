package scheduler

import (
	"math"
	"slices"
	"sync"
	"time"
)

// A server counts as warming for longer than the server list states: for warmMargin, since the list
// may state an end that is too early, and for up to warmSpread more. This second part differs between
// routers, so that the routers do not all lift their rate limits for the server at the same time.
const (
	warmMargin = 600 * time.Millisecond
	warmSpread = 900 * time.Millisecond
)

// warmingMargin returns the time by which this router extends a server's slow start.
func (sn *snapshot) warmingMargin(server uint64) time.Duration {
	return warmMargin + time.Duration(rendezvousWeight(sn.router, server)%uint64(warmSpread))
}

// minWarmingAfterReturn is the minimum time for which the servers of a zone count as warming after
// the evacuation of the zone has ended.
const minWarmingAfterReturn = 1600 * time.Millisecond

// warmingAfterReturn returns how long the servers of a service count as warming after the evacuation of
// their zone has ended: a server's slow start may have begun shortly before that, and may be over
// before the server list shows it.
func (rt *RouteTable) warmingAfterReturn(service string) time.Duration {
	duration := minWarmingAfterReturn
	if found, known := rt.services[service]; known {
		duration = max(duration, found.Warming.Duration)
	}
	return duration
}

// returnedZones are the zones whose evacuation has ended since the last cycle.
type returnedZones map[string]bool

// recordReturnedZones records the zones whose evacuation ends with the next route table. It has to
// be called before that table is in force.
func (s *Scheduler) recordReturnedZones(current, next *RouteTable) {
	if current == nil || len(current.evacuations) == 0 {
		return
	}
	zones := returnedZones{}
	if pending := s.returnedZones.Load(); pending != nil {
		for zone := range *pending {
			zones[zone] = true
		}
	}
	for zone := range current.evacuations {
		if !next.evacuations[zone] {
			zones[zone] = true
		}
	}
	if len(zones) > 0 {
		s.returnedZones.Store(&zones)
	}
}

// warmReturnedZones makes the servers of returned zones count as warming from now on.
func (s *Scheduler) warmReturnedZones(now time.Time) {
	zones := s.returnedZones.Load()
	if zones == nil || !s.returnedZones.CompareAndSwap(zones, nil) {
		return
	}
	routes := s.routes.Load()
	for _, b := range s.snapshot.Load().all {
		if (*zones)[b.server.Zone] {
			b.markWarmingUntil(now.Add(routes.warmingAfterReturn(b.server.Service)))
		}
	}
}

// How the configured rate of calls to a warming server is shared among the routers.
const (
	// fewRouters is the maximum number of routers that share the rate equally. If there are more
	// routers, only some of them send to a given server (see warmingShares).
	fewRouters = 6
	// warmingShare is the share of the configured rate that is used.
	warmingShare = 0.8
)

// warmingRate returns how many calls per second this router may send to a warming server, and whether
// it may send any: if there are many routers, only some of them send to a given server. If no rate is
// configured, each router may send one call per second.
func (c *cycle) warmingRate(b *backend) (rate float64, sends bool) {
	perSecond := c.service.Warming.RequestsPerSecond
	if perSecond <= 0 {
		return 1, true
	}
	routers := c.scheduler.routerList.Load()
	recorded := 0
	if routers != nil {
		recorded = len(routers.keys)
	}
	if c.routerCount <= fewRouters && recorded <= fewRouters {
		return perSecond * warmingShare / float64(c.routerCount), true
	}
	if recorded == 0 {
		return 0, false
	}
	senders, rate := warmingShares(perSecond, recorded)
	return rate, b.warmingRank(routers) < senders
}

// warmingShares returns how many of the routers send to a warming server that takes perSecond calls
// per second, and the rate of each sender. The senders are the first routers by rendezvous hashing.
//
// With n routers, p = perSecond and burst = ceil(p/n), there are ceil(p/burst) senders. Each sends
// at a rate of 0.8 p/senders, which is at most 0.8 burst. A sender's token bucket holds at most one
// token, so that it is empty after a call, and the tokens for burst further calls take at least
// 1/0.8 s. A sender therefore sends at most burst calls in any second, even if one of them is up to
// 0.25 s late. All senders together send
//
//	senders * burst < (p/burst + 1) * burst = p + burst
//
// Routers may have different lists of routers. Let d be the number of routers that are in some
// lists but not in all. A router that is in all lists is a sender by one of them only if its rank among
// the routers that are in all lists is below senders, since removing the d others can only improve its
// rank. Hence there are at most d additional senders, and all senders together send
//
//	(senders + d) * burst < p + burst * (1 + d)
//
// This is at most 1.5 p + 5 as long as burst * (1 + d) <= p/2 + 5: d = 8 for p = 8.8 and 9 or more
// routers, d = 2 for any p and 7 or more routers. The proof doesn't cover lists whose lengths give
// different bursts; TestWarmingSendersStayInTheBoundWithDifferingLists has such lists, with d = 3.
func warmingShares(perSecond float64, routers int) (senders int, rate float64) {
	burst := math.Ceil(perSecond / float64(routers))
	senders = int(math.Ceil(perSecond / burst))
	return senders, perSecond * warmingShare / float64(senders)
}

// routerList is the list of recorded routers. It is immutable.
type routerList struct {
	// names are sorted; keys are the hashes of the names for rendezvous hashing, in the same order.
	names []string
	keys  []uint64
	// own is the position of this router in names; negative if this router is not recorded.
	own int
}

// SetRouters sets the names of the recorded routers, from which the senders to a warming server are
// selected. Until it is called, a router that is one of more than fewRouters sends nothing to
// warming servers.
func (s *Scheduler) SetRouters(names []string) {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if known := s.routerList.Load(); known != nil && slices.Equal(known.names, sorted) {
		return
	}
	s.routerList.Store(newRouterList(sorted, s.options.Router))
}

// RecordedRouters returns the number of routers that were set by SetRouters.
func (s *Scheduler) RecordedRouters() int {
	if known := s.routerList.Load(); known != nil {
		return len(known.names)
	}
	return 0
}

func newRouterList(sorted []string, own string) *routerList {
	list := &routerList{names: sorted, keys: make([]uint64, len(sorted)), own: slices.Index(sorted, own)}
	for position, name := range sorted {
		list.keys[position] = nameKey(name)
	}
	return list
}

// rank returns the number of routers that precede this router in the order of rendezvous hashing for a
// server. A router that is not recorded comes last.
func (l *routerList) rank(server uint64) int {
	if l.own < 0 {
		return math.MaxInt
	}
	own, rank := rendezvousWeight(l.keys[l.own], server), 0
	for position, key := range l.keys {
		weight := rendezvousWeight(key, server)
		if weight > own || weight == own && position < l.own {
			rank++
		}
	}
	return rank
}

// routerRank is this router's rank for a server among the routers of a list.
type routerRank struct {
	routers *routerList
	rank    int
}

// warmingRank returns this router's rank for the server. The rank is computed once for each list of
// routers.
func (b *backend) warmingRank(routers *routerList) int {
	known := b.rank.Load()
	if known == nil || known.routers != routers {
		known = &routerRank{routers: routers, rank: routers.rank(b.key)}
		b.rank.Store(known)
	}
	return known.rank
}

// rateLimit is a token bucket of size one that is empty at the start. It limits the rate of calls
// to a warming server.
type rateLimit struct {
	mutex sync.Mutex
	// tokens is the number of tokens at the last update; updatedAt is the time of that update.
	tokens    float64
	updatedAt time.Time
}

// ready reports whether a call may be sent now, at the given rate per second. It does not count the
// call; take does.
func (r *rateLimit) ready(now time.Time, rate float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now, rate)
	return r.tokens >= 1
}

// take counts a call if it may be sent now, and reports whether it may.
func (r *rateLimit) take(now time.Time, rate float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now, rate)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// fill adds the tokens for the time since the last update.
func (r *rateLimit) fill(now time.Time, rate float64) {
	switch {
	case r.updatedAt.IsZero():
		r.updatedAt = now
	case now.After(r.updatedAt):
		r.tokens = min(1, r.tokens+now.Sub(r.updatedAt).Seconds()*rate)
		r.updatedAt = now
	}
}
