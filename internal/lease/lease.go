// Package lease keeps the primary's memory of the leases that it grants: to routers, which may
// admit requests only under one (RouterLeases), and on roles, each of which one router has at
// a time under a fencing token (RoleLeases). The controlplane package calls it with the time
// and the recorded state; it stores nothing durably, starts no goroutines and reads no clock.
// docs/design/leases.md describes both protocols. The lease of the primary itself is another
// one, which witnesses grant: see the replication package.
package lease

import "time"

// Timing holds the lengths of time that leases depend on. All are constants of the product, no
// settings.
type Timing struct {
	// Lease is how long a router may act on one response, counted from the moment at which it
	// sent the request.
	Lease time.Duration
	// Drift is what the granting side waits beyond the end of a lease, for clocks that run at
	// different speeds.
	Drift time.Duration
	// Cooldown is how long a role is assigned to nobody between two holders.
	Cooldown time.Duration
	// MinUptime is how long a router must have been live before it is preferred to another
	// live router that has the role.
	MinUptime time.Duration
}

// DefaultTiming returns the lengths that deployments use.
func DefaultTiming() Timing {
	return Timing{
		Lease:     4 * time.Second,
		Drift:     200 * time.Millisecond,
		Cooldown:  3300 * time.Millisecond,
		MinUptime: 8 * time.Second,
	}
}
