// Package lease owns duties cut by key over the live nodes, the holds that
// nodes have, and the fences under which a key changes hands. Time is an
// input everywhere.
package lease

import "time"

// Terms are the lengths of time that holds live by. The values are ours.
type Terms struct {
	// Lease is how long a router may act on one answer, from when it asked.
	Lease time.Duration
	// Drift is what the granting side waits beyond the hold, for clocks that
	// run at different speeds.
	Drift time.Duration
	// Rest is how long a key lies untouched between two holders.
	Rest time.Duration
	// Settled is how long a node must have been live to be given a key that
	// another live node has.
	Settled time.Duration
}

// DefaultTerms are the lengths that the deployments use.
func DefaultTerms() Terms {
	return Terms{Lease: 4 * time.Second, Drift: 200 * time.Millisecond, Rest: 3300 * time.Millisecond, Settled: 8 * time.Second}
}
