package scheduler

import (
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

// warmingAfterReturn is how long the servers of a zone count as warming after its evacuation was
// taken back: they may have gone cold while nobody used them, and the list shows that only
// later. The value is ours, above the time that list and configuration take to arrive.
const warmingAfterReturn = 1600 * time.Millisecond

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
	for _, b := range s.snapshot.Load().all {
		if (*zones)[b.server.Zone] {
			b.markWarmingUntil(now.Add(warmingAfterReturn))
		}
	}
}

// warmingRate is how many calls a second this router may send to a warming server, and whether
// any: of many routers only some send to the same one.
func (c *cycle) warmingRate(b *backend) (rate float64, takes bool) {
	perSecond := c.service.Warming.RequestsPerSecond
	if perSecond <= 0 {
		return 1, true
	}
	if c.routerCount <= fewRouters {
		return perSecond * warmingShare / float64(c.routerCount), true
	}
	own := rendezvousWeight(nameKey(c.scheduler.options.Router), b.key) % uint64(c.routerCount)
	return perSecond * warmingShare / fewRouters, own < chosenRouters
}

// How the rate of a warming server is shared. The values are ours.
const (
	// Up to fewRouters share it equally; of more, about chosenRouters of fewRouters send.
	fewRouters    = 6
	chosenRouters = 3
	// warmingShare is the part of the configured rate that is used.
	warmingShare = 0.8
)

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
