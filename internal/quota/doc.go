// Package quota enforces rate limits over all routers together. The members of a small group, the
// witnesses of the control plane, each keep a Ledger of the tokens that they have granted under each limit.
// A router (Allowances) spends a batch of tokens only after a quorum of the group has granted it, and
// prefetches tokens according to its own demand. Members do not communicate with each other: two quorums
// always share a member, and that member does not grant the same tokens to two routers.
//
// The package is deterministic: it neither reads a clock nor sends messages. Package dataplane sends the
// requests of routers, package controlplane serves them at the members. docs/design/quotas.md explains why the
// limits hold and which alternatives were considered.
package quota

import "time"

// Limit bounds how many tokens of one subject, such as a tenant, all routers together spend: at most
// PerSecond*t + Capacity tokens in any span of t seconds.
type Limit struct {
	PerSecond float64 `msgpack:"per_second"`
	Capacity  float64 `msgpack:"capacity"`
	// Revision orders the limits of a subject: a member applies the limit with the highest revision that it
	// has received.
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

// BatchTTL is how long a member's grants to a router are valid after the router's last request. The member
// counts from the arrival of the request by its own clock; the router counts from the sending of the request
// by its own clock and subtracts the possible clockDrift.
const BatchTTL = 8 * time.Second

// clockDrift is the maximum time by which the clocks of two machines drift apart during BatchTTL, as a fraction of
// BatchTTL.
const clockDrift = 0.02

// Request asks a member for tokens of several subjects and reports how many tokens were spent. Its numbers
// are totals, so a request may be lost or delivered twice; a request that is not newer than the last one is ignored.
type Request struct {
	// Router identifies one incarnation of the requesting router, and Sequence is the number of its request.
	Router   string `msgpack:"router"`
	Sequence uint64 `msgpack:"sequence"`
	Wants    []Want `msgpack:"wants"`
}

// Want is a router's request for tokens of one subject.
type Want struct {
	Subject string `msgpack:"subject"`
	Limit   Limit  `msgpack:"limit"`
	// Spent is the number of tokens that the router has spent since it started.
	Spent uint64 `msgpack:"spent"`
	// Debt is the number of tokens by which the router's own spending exceeds the refill of the bucket. A member
	// that receives its first request from the router subtracts Debt, because it has not counted these tokens yet.
	Debt uint64 `msgpack:"debt,omitempty"`
	// Target is the number of unspent tokens that the router wants to have. The member grants the missing
	// tokens as far as they are available, and takes back surplus tokens.
	Target uint64 `msgpack:"hold"`
	// Need is the number of Target tokens for which calls are waiting. The other Target tokens are prefetched.
	Need uint64 `msgpack:"need"`
}

// Grant is a member's response to one Want.
type Grant struct {
	// Granted is the total number of tokens that the member allows the router to spend, counted from the router's start.
	Granted uint64 `msgpack:"granted"`
	// Wait is the time until the member's bucket contains another token, at most BatchTTL. It is zero if all wanted
	// tokens were granted. It may be negative if the bucket still contains tokens, which are reserved for waiting calls.
	Wait time.Duration `msgpack:"wait,omitempty"`
}

// Response has a grant for each want, in the order of the request. It has no grants if the member has already
// served this request or a later one of the router.
type Response struct {
	Grants []Grant `msgpack:"grants,omitempty"`
}
