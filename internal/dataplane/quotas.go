package dataplane

import (
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
	quotaTimeout = 300 * time.Millisecond
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
	// wanted wakes the thread that asks, answered the calls that wait.
	wanted   runtime.Cond
	answered runtime.Cond
}

// NewQuotas makes the part of one incarnation of a router.
func NewQuotas(rt runtime.Runtime, client wire.Client, tolerance QuotaTolerance, incarnation string, membership func() replication.Membership,
	learn func(replication.Membership),
) *Quotas {
	return &Quotas{runtime: rt, client: client, tolerance: tolerance, allowances: quota.NewAllowances(incarnation), membership: membership, learn: learn,
		wanted: rt.NewCond(), answered: rt.NewCond()}
}

// quorumOf tells whether members are a quorum of a membership.
func quorumOf(membership replication.Membership) quota.Quorum {
	return func(members map[quota.Member]bool) bool {
		granted := make(map[replication.Identity]bool, len(members))
		for member := range members {
			granted[replication.Identity(member)] = true
		}
		return !membership.Blank() && membership.HasQuorum(granted)
	}
}

// Acquire spends a token of a tenant's limit, or gives the decision that refuses the call; its kind is empty
// for a call that may go on. A zero deadline is none.
func (q *Quotas) Acquire(limit scheduler.TenantLimit, deadline time.Time) scheduler.Decision {
	now := q.runtime.Now()
	claim := q.allowances.Claim(now, limit.Tenant, quota.Limit{PerSecond: limit.Limit.PerSecond, Capacity: q.tolerance.capacity(limit.Limit),
		Revision: quota.Revision{Epoch: limit.Epoch, Number: limit.Number}})
	verdict := claim.Try(now, quorumOf(q.membership()))
	q.wake()
	if verdict == quota.Pending {
		timeout := quotaTimeout
		if !deadline.IsZero() {
			timeout = max(0, min(timeout, deadline.Sub(now)))
		}
		q.answered.Wait(timeout, func() bool {
			verdict = claim.Try(q.runtime.Now(), quorumOf(q.membership()))
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
	wait, denied := q.allowances.Denied(q.runtime.Now(), tenant, quorumOf(q.membership()))
	return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.OverLimit, RetryAfter: wait}, denied
}

// GiveBack returns the token of a call that was sent to no server.
func (q *Quotas) GiveBack(tenant string) { q.allowances.GiveBack(tenant) }

// wake wakes the thread that asks if there is anything to ask for.
func (q *Quotas) wake() {
	if q.due() {
		q.wanted.Broadcast()
	}
}

// due tells whether there is something to ask for.
func (q *Quotas) due() bool {
	return q.allowances.Due(q.runtime.Now(), quorumOf(q.membership()))
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
	}
}

// ask sends the requests that are due, each in a thread of its own.
func (q *Quotas) ask() {
	membership := q.membership()
	replicas := map[quota.Member]replication.Replica{}
	group := quota.Group{Quorum: quorumOf(membership)}
	for _, witness := range membership.Voters() {
		member := quota.Member(witness.Identity)
		replicas[member] = witness
		group.Members = append(group.Members, member)
	}
	sentAt := q.runtime.Now()
	requests := q.allowances.Requests(sentAt, group)
	for _, member := range group.Members {
		if request, asked := requests[member]; asked {
			q.runtime.Go(func() { q.askWitness(membership.Epoch, replicas[member], sentAt, request) })
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
	q.allowances.Granted(quota.Member(witness.Identity), sentAt, request, response.Response)
	q.answered.Broadcast()
	q.wake()
}
