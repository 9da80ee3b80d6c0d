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

// QuotaTolerance is how far the calls of a tenant may exceed its rate limit. In any Window of
// t seconds (PerSecond*t + Burst) * (1 + Overrun) + Slack calls are allowed. The zero value
// allows no excess.
type QuotaTolerance struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// toleranceUsed is the share of the tolerance that is added to the bucket. The rest covers
// excess that the token count can't detect, for example when messages between routers and
// witnesses are lost in one direction only.
const toleranceUsed = 0.7

// capacity returns the capacity of the token bucket of a limit: at least one token, so that
// calls can pass at all.
func (t QuotaTolerance) capacity(limit config.RateLimit) float64 {
	excess := t.Overrun*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Slack
	return max(1, limit.Burst+toleranceUsed*excess)
}

// Timeouts of requests for tokens.
const (
	// quotaTimeout is how long a call waits for a token: longer than a healthy quorum needs to
	// respond.
	quotaTimeout = 150 * time.Millisecond
	// quotaCallTimeout is the timeout of a request to one witness.
	quotaCallTimeout = 120 * time.Millisecond
	// quotaIdleInterval is the time between two checks for due requests while no call waits.
	quotaIdleInterval = time.Second
	// quotaBusyInterval is the time between two checks for due requests while a call waits.
	quotaBusyInterval = 20 * time.Millisecond
	// quotaUnknownRetryAfter is the retry delay of a call that is refused because no quorum
	// responded in time.
	quotaUnknownRetryAfter = 100 * time.Millisecond
)

// Quotas enforces the rate limits of tenants at one router. It requests tokens from the
// witnesses of the control plane and spends one token for each call.
type Quotas struct {
	runtime    runtime.Runtime
	client     wire.Client
	tolerance  QuotaTolerance
	allowances *quota.Allowances
	// membership returns the newest membership that the router knows; learnMembership updates
	// it with a membership from a witness.
	membership      func() replication.Membership
	learnMembership func(replication.Membership)
	observe         func(event string, detail ...any)
	// cachedGroup is the group of the last membership that groupOf was called with.
	cachedGroup atomic.Pointer[quotaGroup]
	// requestsDue wakes Run to send requests; responded wakes the calls that wait for a token.
	requestsDue runtime.Cond
	responded   runtime.Cond
}

// NewQuotas returns the rate limits of one incarnation of a router.
func NewQuotas(
	rt runtime.Runtime,
	client wire.Client,
	tolerance QuotaTolerance,
	incarnation string,
	membership func() replication.Membership,
	learnMembership func(replication.Membership),
	observe func(event string, detail ...any),
) *Quotas {
	return &Quotas{
		runtime:         rt,
		client:          client,
		tolerance:       tolerance,
		allowances:      quota.NewAllowances(incarnation),
		membership:      membership,
		learnMembership: learnMembership,
		observe:         observe,
		requestsDue:     rt.NewCond(),
		responded:       rt.NewCond(),
	}
}

// group returns the group of witnesses that grants tokens in the newest membership.
func (q *Quotas) group() quota.Group { return q.groupOf(q.membership()) }

// groupOf returns the group of witnesses that grants tokens in a membership. The group is
// cached until the membership's epoch changes.
func (q *Quotas) groupOf(membership replication.Membership) quota.Group {
	if cachedGroup := q.cachedGroup.Load(); cachedGroup != nil && cachedGroup.epoch == membership.Epoch {
		return cachedGroup.group
	}
	cachedGroup := &quotaGroup{epoch: membership.Epoch}
	if !membership.Blank() {
		cachedGroup.group = quota.NewGroup(membersOf(membership.Witnesses), membersOf(membership.Incoming))
	}
	q.cachedGroup.Store(cachedGroup)
	return cachedGroup.group
}

// quotaGroup is the group of witnesses that grants tokens in the membership of an epoch.
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

// Acquire spends a token of a tenant's rate limit and returns an empty decision, or returns the
// decision to refuse the call. It waits for a token for at most quotaTimeout, and not beyond the
// call's deadline unless that is zero.
func (q *Quotas) Acquire(limit scheduler.TenantLimit, deadline time.Time) scheduler.Decision {
	now := q.runtime.Now()
	claim := q.allowances.Claim(now, limit.Tenant, quota.Limit{
		PerSecond: limit.Limit.PerSecond,
		Capacity:  q.tolerance.capacity(limit.Limit),
		Revision:  quota.Revision{Epoch: limit.Epoch, Number: limit.Number},
	})
	group := q.group()
	result := claim.Poll(now, group)
	if claim.Due(now, group) {
		q.requestsDue.Broadcast()
	}
	if result == quota.Pending {
		timeout := quotaTimeout
		if !deadline.IsZero() {
			timeout = max(0, min(timeout, deadline.Sub(now)))
		}
		q.responded.Wait(timeout, func() bool {
			result = claim.Poll(q.runtime.Now(), q.group())
			return result != quota.Pending
		})
	}
	switch result {
	case quota.Taken:
		return scheduler.Decision{}
	case quota.Denied:
		return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.OverLimit, RetryAfter: claim.Wait()}
	}
	claim.Cancel()
	return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.NotReady, RetryAfter: quotaUnknownRetryAfter}
}

// Denied returns the decision to refuse a call of a tenant at once, and whether to refuse it: the
// call is refused while a recent denial of a token to this tenant still applies.
func (q *Quotas) Denied(tenant string) (scheduler.Decision, bool) {
	wait, denied := q.allowances.Denied(q.runtime.Now(), tenant, q.group())
	return scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.OverLimit, RetryAfter: wait}, denied
}

// Refund returns the token of a call that was not sent to any server.
func (q *Quotas) Refund(tenant string) { q.allowances.Refund(tenant) }

// due reports whether requests to witnesses are due.
func (q *Quotas) due() bool {
	return q.allowances.Due(q.runtime.Now(), q.group())
}

// Run sends requests to the witnesses whenever they are due, and logs when the denials of a tenant's
// calls begin and end. It returns when the process ends.
func (q *Quotas) Run() {
	for q.runtime.Alive() {
		interval := quotaIdleInterval
		if q.allowances.Waiting() {
			interval = quotaBusyInterval
		}
		if q.requestsDue.Wait(interval, q.due) {
			q.sendRequests()
		}
		q.logDenials()
	}
}

// logDenials logs the tenants whose calls begin to be denied, and those whose calls are no
// longer denied.
func (q *Quotas) logDenials() {
	for _, change := range q.allowances.DenialChanges(q.runtime.Now()) {
		if change.Over {
			q.observe("tenant_within_limit", "tenant", change.Subject, "denied", change.Count)
		} else {
			q.observe("tenant_over_limit", "tenant", change.Subject, "denied", change.Count)
		}
	}
}

// Counts returns the numbers of claims for tokens at this router, by tenant and result.
func (q *Quotas) Counts() []quota.Counts { return q.allowances.Counts() }

// Traffic returns the number of requests to witnesses, and the total number of tenants in them.
func (q *Quotas) Traffic() (requests, wants uint64) { return q.allowances.RequestCounts() }

// sendRequests sends the due requests to the witnesses, each in a thread of its own.
func (q *Quotas) sendRequests() {
	membership := q.membership()
	sentAt := q.runtime.Now()
	requests := q.allowances.Requests(sentAt, q.groupOf(membership))
	for _, witness := range membership.Voters() {
		if request, due := requests[quota.Member(witness.Identity)]; due {
			q.runtime.Go(func() { q.requestTokens(membership.Epoch, witness, sentAt, request) })
		}
	}
}

// requestTokens sends a request to one witness and applies the response. A response that
// contains a membership only updates the router's membership; it grants no tokens.
func (q *Quotas) requestTokens(epoch uint64, witness replication.Replica, sentAt time.Time, request quota.Request) {
	var response wire.QuotaResponse
	err := wire.Call(
		q.client,
		witness.Address,
		wire.QuotaPath,
		wire.QuotaRequest{To: witness.Identity, Epoch: epoch, Request: request},
		&response,
		quotaCallTimeout,
	)
	if err != nil {
		return
	}
	if !response.Membership.Blank() {
		q.learnMembership(response.Membership)
		return
	}
	due := q.allowances.HandleResponse(q.runtime.Now(), q.group(), quota.Member(witness.Identity), sentAt, request, response.Response)
	q.responded.Broadcast()
	if due {
		q.requestsDue.Broadcast()
	}
}
