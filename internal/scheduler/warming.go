package scheduler

import (
	"sync"
	"time"
)

// A server that is warm again by the list is still taken for cold: for warmMargin since
// the list's word may be early, and up to warmSpread more, for each router another
// time, so that not all of them run to it at once. The values are ours.
const (
	warmMargin = 600 * time.Millisecond
	warmSpread = 900 * time.Millisecond
)

func (sn *snapshot) warmingMargin(server uint64) time.Duration {
	return warmMargin + time.Duration(rendezvousWeight(sn.router, server)%uint64(warmSpread))
}

// warmingAfterReturn is how long the servers of a zone count as cold whose evacuation was
// taken back: they may have become cold while nobody used them, and the list tells that
// only later. The value is ours, above the time that list and news take.
const warmingAfterReturn = 1600 * time.Millisecond

// returned are zones whose evacuation was taken back since the last call.
type returnedZones map[string]bool

// returning notes which zones come back with a program, before it is in force.
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
	for district := range current.evacuations {
		if !next.evacuations[district] {
			zones[district] = true
		}
	}
	if len(zones) > 0 {
		s.returnedZones.Store(&zones)
	}
}

// cool has the servers of zones that came back count as cold from now.
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

// warmingRate is this router's part of what a cold server stands. Of many routers only
// some send to the same one.
func (c *cycle) warmingRate(b *backend) (rate float64, takes bool) {
	perSecond := c.service.Warming.PerSecond
	if perSecond <= 0 {
		return 1, true
	}
	if c.routerCount <= fewRouters {
		return perSecond * warmingShare / float64(c.routerCount), true
	}
	own := rendezvousWeight(nameKey(c.scheduler.options.Router), b.key) % uint64(c.routerCount)
	return perSecond * warmingShare / fewRouters, own < chosenRouters
}

const (
	fewRouters    = 6
	chosenRouters = 3
	warmingShare  = 0.8
)

// rateLimit lets a few calls a second through to a cold server: one at most in hand, and
// none at the start.
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
