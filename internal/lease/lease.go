// Package lease tracks, in memory, the leases that the primary grants. RouterLeases holds the
// leases of routers, which admit requests while their lease is valid and, if operators allow it,
// for a limited time without a valid lease. RoleLeases holds the leases on roles: one router at a
// time has a role, under a fencing token. The controlplane package passes in the current time and
// the recorded state; this package stores nothing durably, starts no goroutines and reads no clock.
// docs/design/leases.md describes both protocols. The lease of the primary itself is granted by
// witnesses: see the replication package.
package lease

import "time"

// Timing holds the durations that leases depend on. Operators cannot configure them.
type Timing struct {
	// Lease is how long a router may act on one response, counted from the moment at which it
	// sent the request.
	Lease time.Duration
	// Drift is how much longer than the lease the granting side waits, to allow for clocks that
	// run at different speeds.
	Drift time.Duration
	// Cooldown is how long a role stays unassigned between two holders.
	Cooldown time.Duration
	// MinUptime is how long a router must have been live before a role moves to it from
	// another live router.
	MinUptime time.Duration
}

// DefaultTiming returns the durations that deployments use.
func DefaultTiming() Timing {
	return Timing{
		Lease:     4 * time.Second,
		Drift:     200 * time.Millisecond,
		Cooldown:  3300 * time.Millisecond,
		MinUptime: 8 * time.Second,
	}
}
