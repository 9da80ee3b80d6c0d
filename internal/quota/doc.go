// Package quota keeps limits that hold over all routers together. The members of a small group, the
// witnesses of the control plane, each count in a Ledger what they granted of every limit; a router
// spends a batch of tokens only when a quorum of the group has granted it (Allowances), and asks
// ahead by its own demand. Members know nothing of one another: two quorums always share a member, and
// what that member has granted to one router it does not grant to another.
//
// The package is deterministic: it reads no clock and sends nothing. Package dataplane carries the
// messages of routers, package controlplane serves those to members. docs/design/quotas.md has the
// argument and what else was weighed.
package quota

import "time"

// Limit bounds what all routers spend of one subject: at most PerSecond*t + Capacity tokens in any span of
// t seconds.
type Limit struct {
	PerSecond float64 `msgpack:"per_second"`
	Capacity  float64 `msgpack:"capacity"`
	// Revision orders the limits of a subject: a member goes by the highest that it was told.
	Revision Revision `msgpack:"revision"`
}

// Revision is the version of the configuration that a limit comes from.
type Revision struct {
	Epoch  uint64 `msgpack:"epoch"`
	Number uint64 `msgpack:"number"`
}

// before reports whether the revision is older than another.
func (r Revision) before(other Revision) bool {
	return r.Epoch < other.Epoch || r.Epoch == other.Epoch && r.Number < other.Number
}

// BatchTTL is how long a member's grants to a router last after the router's last request, by the
// member's clock from when the request came and by the router's from when it was sent, less clockDrift.
const BatchTTL = 8 * time.Second

// clockDrift is the part of BatchTTL by which clocks of two machines may run apart over it.
const clockDrift = 0.02

// Request asks a member for tokens of several subjects and reports what was spent of earlier ones. It is
// absolute: one that is lost or comes twice does no harm, and an older one is passed over.
type Request struct {
	// Router is one incarnation of the requesting router, Sequence the number of its request.
	Router   string `msgpack:"router"`
	Sequence uint64 `msgpack:"sequence"`
	Wants    []Want `msgpack:"wants"`
}

// Want is what a router wants of one subject.
type Want struct {
	Subject string `msgpack:"subject"`
	Limit   Limit  `msgpack:"limit"`
	// Spent is how many tokens the router has spent since it started.
	Spent uint64 `msgpack:"spent"`
	// Debt is by how many tokens the router's own spending is ahead of what flows in: a member that first hears
	// from the router has not counted them.
	Debt uint64 `msgpack:"debt,omitempty"`
	// Hold is how many tokens the router wants to hold unspent: more than it has are granted if there
	// are any, and fewer are taken back.
	Hold uint64 `msgpack:"hold"`
	// Need is how many of them calls wait for; the rest is wanted ahead.
	Need uint64 `msgpack:"need"`
}

// Grant is a member's answer to a Want, in the order of the request.
type Grant struct {
	// Granted is how many tokens the member lets the router spend, counted from the router's start.
	Granted uint64 `msgpack:"granted"`
	// Wait is how long it takes at least until the member has another token; zero if all was granted.
	Wait time.Duration `msgpack:"wait,omitempty"`
}

// Response has a grant for each want; none if the request was older than one that came before.
type Response struct {
	Grants []Grant `msgpack:"grants,omitempty"`
}
