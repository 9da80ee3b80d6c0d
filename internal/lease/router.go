package lease

import (
	"sort"
	"sync"
	"time"
)

// RouterLeases tracks the leases that the primary granted to routers, and the configuration that
// each router has acknowledged. It is kept in memory only.
//
// Invariant: a change counts as in force only when no router may still admit requests under an
// older configuration. Each router has then acknowledged the change, or its lease has ended. For
// the primary a lease ends later than for the router: the primary adds Drift, and the router counts
// its lease from the moment at which it sent the request. A new primary does not know the leases
// that the old primary granted. The new primary counts each of them as granted when its own term
// began (leadsSince): the old primary's own lease had expired by then, so the old primary granted
// none later. See docs/design/leases.md, "Configurations in force".
type RouterLeases struct {
	mutex      sync.Mutex
	timing     Timing
	leadsSince time.Time
	leases     map[string]*routerLease
}

// routerLease is the state of one router.
type routerLease struct {
	expires      time.Time
	liveSince    time.Time
	lastSeen     time.Time
	acknowledged uint64
}

// NewRouterLeases returns a RouterLeases without leases, for a controller that became primary at
// the given time.
func NewRouterLeases(timing Timing, since time.Time) *RouterLeases {
	return &RouterLeases{timing: timing, leadsSince: since, leases: map[string]*routerLease{}}
}

// Grant records that a router is granted a lease now, and the number of the configuration that
// the router reports as applied.
func (r *RouterLeases) Grant(now time.Time, router string, applied uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lease, found := r.leases[router]
	if !found || lease.expires.Before(now) {
		lease = &routerLease{liveSince: now}
		r.leases[router] = lease
	}
	lease.expires = now.Add(r.timing.Lease + r.timing.Drift)
	lease.lastSeen = now
	if applied > lease.acknowledged {
		lease.acknowledged = applied
	}
}

// Lagging returns the sorted names of the routers that may still admit requests under a
// configuration with a lower number. While leases of the old primary may be valid, the result
// includes each recorded router that has not sent a request to this primary.
func (r *RouterLeases) Lagging(now time.Time, number uint64, recorded []string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var lagging []string
	for router, lease := range r.leases {
		if now.Before(lease.expires) && lease.acknowledged < number {
			lagging = append(lagging, router)
		}
	}
	if now.Before(r.leadsSince.Add(r.timing.Lease + r.timing.Drift)) {
		for _, name := range recorded {
			if _, found := r.leases[name]; !found {
				lagging = append(lagging, name)
			}
		}
	}
	sort.Strings(lagging)
	return lagging
}

// Live returns the routers whose lease is valid, each with the time for which it has had a lease
// without a gap.
func (r *RouterLeases) Live(now time.Time) map[string]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	live := map[string]time.Duration{}
	for router, lease := range r.leases {
		if now.Before(lease.expires) {
			live[router] = now.Sub(lease.liveSince)
		}
	}
	return live
}

// Acknowledge records the number of the configuration that a router reports as applied, without
// granting a lease. A router without a recorded lease may have one that the old primary granted, so
// its lease counts as granted at leadsSince.
func (r *RouterLeases) Acknowledge(now time.Time, router string, applied uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lease, found := r.leases[router]
	if !found {
		lease = &routerLease{expires: r.leadsSince.Add(r.timing.Lease + r.timing.Drift), liveSince: now}
		r.leases[router] = lease
	}
	lease.lastSeen = now
	if applied > lease.acknowledged {
		lease.acknowledged = applied
	}
}

// SeenWithin returns the sorted names of the routers that sent a request within the given time
// before now.
func (r *RouterLeases) SeenWithin(now time.Time, within time.Duration) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var seen []string
	for router, lease := range r.leases {
		if now.Sub(lease.lastSeen) <= within {
			seen = append(seen, router)
		}
	}
	sort.Strings(seen)
	return seen
}

// LaggingSeenWithin returns the sorted names of the routers that sent a request within the given
// time before now and have not acknowledged the configuration with the given or a higher number.
func (r *RouterLeases) LaggingSeenWithin(now time.Time, number uint64, within time.Duration) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var lagging []string
	for router, lease := range r.leases {
		if now.Sub(lease.lastSeen) <= within && lease.acknowledged < number {
			lagging = append(lagging, router)
		}
	}
	sort.Strings(lagging)
	return lagging
}
