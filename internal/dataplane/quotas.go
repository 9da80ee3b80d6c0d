package dataplane

import (
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/quota"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// QuotaTolerance is how far the calls of a tenant may go beyond its limit: in any Window of t seconds the
// rule allows (PerSecond*t + Burst) * (1 + Overrun) + Slack. All zero: not at all.
type QuotaTolerance struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// toleranceUsed is the part of the tolerance that is used; the rest is for what the count can't see, such as
// asymmetric losses of messages between routers and witnesses.
const toleranceUsed = 0.7

// capacity is the capacity of the bucket that keeps a limit: whole, so that it can be used up.
func (t QuotaTolerance) capacity(limit config.RateLimit) float64 {
	beyond := t.Overrun*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Slack
	return max(1, limit.Burst+toleranceUsed*beyond)
}

// The timeouts of asking for tokens.
const (
	// quotaTimeout is how long a call waits for a token: longer than a healthy quorum takes to answer.
	quotaTimeout = 150 * time.Millisecond
	// quotaCallTimeout is how long a witness's answer is waited for.
	quotaCallTimeout = 120 * time.Millisecond
	// quotaIdleInterval lies between two looks at what is to be asked for while no call comes.
	quotaIdleInterval = time.Second
	// quotaBusyInterval is that while a call waits.
	quotaBusyInterval = 20 * time.Millisecond
	// quotaUnknownRetryAfter is after how long a call may come back that got no answer in time.
	quotaUnknownRetryAfter = 100 * time.Millisecond
)

// Quotas is a router's part in keeping the limits of tenants: it asks the witnesses of the control plane for
// tokens and spends one for each call.
type Quotas struct {
	runtime    runtime.Runtime
	client     wire.Client
	tolerance  QuotaTolerance
	allowances *quota.Allowances
	// membership is the newest that the router knows; learn takes one from a witness.
	membership func() replication.Membership
	learn      func(replication.Membership)
	observe    func(event string, detail ...any)
	known      atomic.Pointer[quotaGroup]
	// wanted wakes the thread that asks, answered the calls that wait.
	wanted   runtime.Cond
	answered runtime.Cond
}

// NewQuotas makes the part of one incarnation of a router.
func NewQuotas(rt runtime.Runtime, client wire.Client, tolerance QuotaTolerance, incarnation string, membership func() replication.Membership,
	learn func(replication.Membership), observe func(event string, detail ...any),
) *Quotas {
	return &Quotas{runtime: rt, client: client, tolerance: tolerance, allowances: quota.NewAllowances(incarnation), membership: membership, learn: learn, observe: observe,
		wanted: rt.NewCond(), answered: rt.NewCond()}
}

// group is who grants by the newest membership.
func (q *Quotas) group() quota.Group { return q.groupOf(q.membership()) }

// groupOf is who grants by a membership. It is made anew only when that changes.
func (q *Quotas) groupOf(membership replication.Membership) quota.Group {
	if known := q.known.Load(); known != nil && known.epoch == membership.Epoch {
		return known.group
	}
	known := &quotaGroup{epoch: membership.Epoch}
	if !membership.Blank() {
		known.group = quota.NewGroup(membersOf(membership.Witnesses), membersOf(membership.Incoming))
	}
	q.known.Store(known)
	return known.group
}

// quotaGroup is who grants by the membership of an epoch.
type quotaGroup struct {
	epoch uint64
	group quota.Group
}

func membersOf(replicas []replication.Replica) []quota.Member {
	members := make([]quota.Member, 0, len(replicas))
	for _, replica := range replicas {
		members = append(members, quota.Member(replica.Identity))
	}
	return members
}

// Acquire spends a token of a tenant's limit, or gives the decision that refuses the call; its kind is empty
// for a call that may go on. A zero deadline is none.
func (q *Quotas) Acquire(limit scheduler.TenantLimit, deadline time.Time) scheduler.Decision {
	now := q.runtime.Now()
	claim := q.allowances.Claim(now, limit.Tenant, quota.Limit{PerSecond: limit.Limit.PerSecond, Capacity: q.tolerance.capacity(limit.Limit),
		Revision: quota.Revision{Epoch: limit.Epoch, Number: limit.Number}})
	group := q.group()
	verdict := claim.Try(now, group)
	if claim.Due(now, group) {
		q.wanted.Broadcast()
	}
	if verdict == quota.Pending {
		timeout := quotaTimeout
		if !deadline.IsZero() {
			timeout = max(0, min(timeout, deadline.Sub(now)))
		}
		q.answered.Wait(timeout, func() bool {
			verdict = claim.Try(q.runtime.Now(), q.group())
			return verdict != quota.Pending
		})
	}
	switch verdict {
	case quota.Taken:
		return scheduler.Decision{}
	case quota.Denied:
		return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.OverLimit, RetryAfter: claim.Wait()}
	}
	claim.Cancel()
	return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.NotReady, RetryAfter: quotaUnknownRetryAfter}
}

// Denied gives the decision that refuses a call at once, because its tenant was denied a token just now.
func (q *Quotas) Denied(tenant string) (scheduler.Decision, bool) {
	wait, denied := q.allowances.Denied(q.runtime.Now(), tenant, q.group())
	return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.OverLimit, RetryAfter: wait}, denied
}

// GiveBack returns the token of a call that was sent to no server.
func (q *Quotas) GiveBack(tenant string) { q.allowances.GiveBack(tenant) }

// due tells whether there is something to ask for.
func (q *Quotas) due() bool {
	return q.allowances.Due(q.runtime.Now(), q.group())
}

// Run asks the witnesses whenever there is something to ask for.
func (q *Quotas) Run() {
	for q.runtime.Alive() {
		interval := quotaIdleInterval
		if q.allowances.Waiting() {
			interval = quotaBusyInterval
		}
		if q.wanted.Wait(interval, q.due) {
			q.ask()
		}
		q.logDenials()
	}
}

// logDenials logs which tenants begin to be denied, and for which that is over.
func (q *Quotas) logDenials() {
	for _, change := range q.allowances.DenialChanges(q.runtime.Now()) {
		if change.Over {
			q.observe("tenant_within_limit", "tenant", change.Subject, "denied", change.Count)
		} else {
			q.observe("tenant_over_limit", "tenant", change.Subject, "denied", change.Count)
		}
	}
}

// Counts lists how the calls of tenants with limits ended at this router.
func (q *Quotas) Counts() []quota.Counts { return q.allowances.Counts() }

// Traffic is how many requests went to witnesses, and for how many tenants in sum.
func (q *Quotas) Traffic() (requests, wants uint64) { return q.allowances.Traffic() }

// ask sends the requests that are due, each in a thread of its own.
func (q *Quotas) ask() {
	membership := q.membership()
	sentAt := q.runtime.Now()
	requests := q.allowances.Requests(sentAt, q.groupOf(membership))
	for _, witness := range membership.Voters() {
		if request, asked := requests[quota.Member(witness.Identity)]; asked {
			q.runtime.Go(func() { q.askWitness(membership.Epoch, witness, sentAt, request) })
		}
	}
}

// askWitness sends a request to one witness and takes its response.
func (q *Quotas) askWitness(epoch uint64, witness replication.Replica, sentAt time.Time, request quota.Request) {
	var response wire.QuotaResponse
	err := wire.Call(q.client, witness.Address, wire.QuotaPath, wire.QuotaRequest{To: witness.Identity, Epoch: epoch, Request: request}, &response, quotaCallTimeout)
	if err != nil {
		return
	}
	if !response.Membership.Blank() {
		q.learn(response.Membership)
		return
	}
	due := q.allowances.Granted(q.runtime.Now(), q.group(), quota.Member(witness.Identity), sentAt, request, response.Response)
	q.answered.Broadcast()
	if due {
		q.wanted.Broadcast()
	}
}
