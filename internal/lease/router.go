package lease

import (
	"sort"
	"sync"
	"time"
)

// RouterLeases is the primary's memory of the leases that it granted to routers, and of the
// configuration that each router has acknowledged. It is never stored.
//
// Invariant: a change counts as in force only when no router may still admit requests under an
// older configuration: each has acknowledged the change, or its lease has ended, which the
// primary takes to be Drift later than the router does, and the router counts from an earlier
// moment, that of its request. A new primary knows nothing of the old one's leases. It takes
// each of them as granted at its own start (leadsSince): the old primary's own lease was over
// by then, so none is younger. See docs/design/leases.md, "Configurations in force".
type RouterLeases struct {
	mutex      sync.Mutex
	timing     Timing
	leadsSince time.Time
	leases     map[string]*routerLease
}

// routerLease is what the primary knows of one router.
type routerLease struct {
	expires      time.Time
	liveSince    time.Time
	lastSeen     time.Time
	acknowledged uint64
}

// NewRouterLeases returns the empty memory of a controller that became primary at a moment.
func NewRouterLeases(timing Timing, since time.Time) *RouterLeases {
	return &RouterLeases{timing: timing, leadsSince: since, leases: map[string]*routerLease{}}
}

// Grant records that a router was granted a lease now, and the number of the configuration that
// it reports to have applied.
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

// Lagging lists, in order, the routers that may still admit requests under a configuration older
// than the number. While leases of the old primary may run, these include each recorded router
// that this primary has not heard from.
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
		for _, holder := range recorded {
			if _, found := r.leases[holder]; !found {
				lagging = append(lagging, holder)
			}
		}
	}
	sort.Strings(lagging)
	return lagging
}

// Live returns the routers whose lease runs, with how long each has had one without a gap.
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

// Acknowledge records the number of the configuration that a router reports to have applied,
// without granting it a lease. A router that is not known may have a lease of the old primary.
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

// SeenWithin lists, in order, the routers that sent a request within a length of time.
func (r *RouterLeases) SeenWithin(now time.Time, length time.Duration) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var heard []string
	for router, lease := range r.leases {
		if now.Sub(lease.lastSeen) <= length {
			heard = append(heard, router)
		}
	}
	sort.Strings(heard)
	return heard
}

// LaggingSeenWithin lists, in order, the routers that sent a request within a length of time and
// have not acknowledged the number.
func (r *RouterLeases) LaggingSeenWithin(now time.Time, number uint64, within time.Duration) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var behind []string
	for router, lease := range r.leases {
		if now.Sub(lease.lastSeen) <= within && lease.acknowledged < number {
			behind = append(behind, router)
		}
	}
	sort.Strings(behind)
	return behind
}
