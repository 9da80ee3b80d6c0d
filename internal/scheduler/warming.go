package scheduler

import (
	"math"
	"slices"
	"sync"
	"time"
)

// A server that has ended its slow start by the list counts as warming for longer: for
// warmMargin, since the list may be early, and up to warmSpread more, a different time for each
// router, so that not all of them turn to it at once. The values are ours.
const (
	warmMargin = 600 * time.Millisecond
	warmSpread = 900 * time.Millisecond
)

// warmingMargin is this router's time above the list's for a server.
func (sn *snapshot) warmingMargin(server uint64) time.Duration {
	return warmMargin + time.Duration(rendezvousWeight(sn.router, server)%uint64(warmSpread))
}

// minWarmingAfterReturn is how long the servers of a zone count as warming at least after its
// evacuation was taken back. The value is ours.
const minWarmingAfterReturn = 1600 * time.Millisecond

// warmingAfterReturn is how long the servers of a service count as warming after the evacuation of
// their zone was taken back: they may have gone cold shortly before it, and the list may show that
// only when it is over.
func (rt *RouteTable) warmingAfterReturn(service string) time.Duration {
	duration := minWarmingAfterReturn
	if found, known := rt.services[service]; known {
		duration = max(duration, found.Warming.Duration)
	}
	return duration
}

// returnedZones are zones whose evacuation was taken back since the last cycle.
type returnedZones map[string]bool

// noteReturnedZones notes which zones come back with a route table, before it is in force.
func (s *Scheduler) noteReturnedZones(current, next *RouteTable) {
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

// warmReturnedZones has the servers of zones that came back count as warming from now.
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

// How the rate of a warming server is shared by the routers. The values are ours.
const (
	// Up to fewRouters share it equally; of more, those of warmingShares send.
	fewRouters = 6
	// warmingShare is the part of the configured rate that is used.
	warmingShare = 0.8
)

// warmingRate is how many calls a second this router may send to a warming server, and whether
// any: of many routers only some send to the same one.
func (c *cycle) warmingRate(b *backend) (rate float64, takes bool) {
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

// warmingShares is how many of so many routers send to a warming server that takes perSecond
// calls a second, and at which rate each. The senders are the first ones by rendezvous hashing.
//
// With n routers, p = perSecond and burst = ceil(p/n), there are ceil(p/burst) senders, each at
// a rate of 0.8 p/senders, which is 0.8 burst at most. After a call its bucket is empty or holds
// part of a call, and burst further ones take it 1/0.8 s: it sends at most burst calls in any
// second, even if one of them leaves up to 0.25 s late. All senders together send
//
//	senders * burst < (p/burst + 1) * burst = p + burst
//
// Routers may know different lists. Of the routers that some list has and another lacks, let there
// be d. A router that all lists have sends only if it is among the first ones of those that all
// lists have: fewer still come before it there. So the senders are those and d more at most, and send
//
//	(senders + d) * burst < p + burst * (1 + d)
//
// which is at most 1.5 p + 5 while burst * (1 + d) <= p/2 + 5: d = 8 for p = 8.8 and 9 or more
// routers, d = 2 for any p and 7 or more routers. Lists to which n gives different bursts are not
// covered by this; TestWarmingSendersStayInTheBoundWithDifferingLists has them too, with d = 3.
func warmingShares(perSecond float64, routers int) (senders int, rate float64) {
	burst := math.Ceil(perSecond / float64(routers))
	senders = int(math.Ceil(perSecond / burst))
	return senders, perSecond * warmingShare / float64(senders)
}

// routerList is the recorded routers. It is never altered.
type routerList struct {
	// names are sorted; keys are theirs in rendezvous hashing, in the same order.
	names []string
	keys  []uint64
	// own is the position of this router; negative if it is not recorded.
	own int
}

// SetRouters tells the names of the recorded routers, by which those that send to a warming
// server are chosen. Until it is called, a router of more than a few sends to none.
func (s *Scheduler) SetRouters(names []string) {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if known := s.routerList.Load(); known != nil && slices.Equal(known.names, sorted) {
		return
	}
	s.routerList.Store(newRouterList(sorted, s.options.Router))
}

// RecordedRouters is how many routers SetRouters named.
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

// rank is how many routers come before this one for a server, by rendezvous hashing; one that is
// not recorded comes last.
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

// warmingRank is this router's rank for the server; it is found once for each list of routers.
func (b *backend) warmingRank(routers *routerList) int {
	known := b.rank.Load()
	if known == nil || known.routers != routers {
		known = &routerRank{routers: routers, rank: routers.rank(b.key)}
		b.rank.Store(known)
	}
	return known.rank
}

// rateLimit is a token bucket of size one, empty at the start: it lets a few calls a second
// through to a warming server.
type rateLimit struct {
	mutex sync.Mutex
	level float64
	at    time.Time
}

// ready tells whether a call may go now, at a rate a second; take counts it.
func (r *rateLimit) ready(now time.Time, rate float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now, rate)
	return r.level >= 1
}

func (r *rateLimit) take(now time.Time, rate float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now, rate)
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}

func (r *rateLimit) fill(now time.Time, rate float64) {
	switch {
	case r.at.IsZero():
		r.at = now
	case now.After(r.at):
		r.level = min(1, r.level+now.Sub(r.at).Seconds()*rate)
		r.at = now
	}
}
