package dataplane

import (
	"net/http"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
)

// Calls serves opaque calls at one router: it has the scheduler decide on each, carries the
// decisions out, and reports to the scheduler how they ended. One thread serves one call.
type Calls struct {
	runtime runtime.Runtime
	window  *scheduler.Scheduler
	// onServers is called with each list of servers, before any call is sent to them.
	onServers   func(servers []membership.Server)
	serverCount atomic.Int64
	leaving     atomic.Bool
	// lastReady is when a health check was last told that the router is ready.
	lastReady atomic.Pointer[time.Time]
	// servingUntil is until when calls are admitted; nil: without a bound.
	servingUntil atomic.Pointer[time.Time]
	// countOwners are asked for counts before prefills; nil: no counts are asked for.
	countOwners *CountOwners
	// quotas keep the limits of tenants; nil: none are kept.
	quotas *Quotas
}

// NewCalls serves calls over a scheduler. OnServers is called with each list of servers.
func NewCalls(rt runtime.Runtime, window *scheduler.Scheduler, listed func(servers []membership.Server)) *Calls {
	return &Calls{runtime: rt, window: window, onServers: listed}
}

// SetConfiguration puts a configuration in force, unless a newer one is in force.
func (c *Calls) SetConfiguration(configuration *config.Configuration, version replication.Version) {
	c.window.SetRouteTable(scheduler.Compile(configuration, version.Epoch, version.Number))
}

// SetServing bounds until when calls are admitted.
func (c *Calls) SetServing(until time.Time) { c.servingUntil.Store(&until) }

// SetQuotas sets who keeps the limits of tenants, before the first call.
func (c *Calls) SetQuotas(quotas *Quotas) { c.quotas = quotas }

// SetCountOwners sets the owners of the counts of what servers prefill, before the first call.
func (c *Calls) SetCountOwners(owners *CountOwners) { c.countOwners = owners }

// serves tells whether calls may be admitted now.
func (c *Calls) serves() bool {
	until := c.servingUntil.Load()
	return until == nil || c.runtime.Now().Before(*until)
}

// noLeaseRetryAfter is after how long a call may be retried that met a router without a lease:
// its next update comes soon, or another router has a lease.
const noLeaseRetryAfter = 300 * time.Millisecond

// SetServers takes the list of servers.
func (c *Calls) SetServers(now time.Time, servers []membership.Server) {
	c.onServers(servers)
	c.window.SetServers(now, servers)
	c.serverCount.Store(int64(len(servers)))
}

// SetLoads takes the loads that the servers reported.
func (c *Calls) SetLoads(now time.Time, loads []scheduler.Load) {
	c.window.SetLoads(now, loads)
}

// SetRouters sets how many routers share the servers.
func (c *Calls) SetRouters(count int) { c.window.SetRouterCount(count) }

// Ready tells whether the router is ready for calls: a configuration is in force, servers are
// known, the lease allows it, and the router is not leaving.
func (c *Calls) Ready() bool {
	epoch, number := c.window.ConfigVersion()
	ready := (epoch > 0 || number > 0) && c.serverCount.Load() > 0 && !c.leaving.Load() && c.serves()
	if ready {
		now := c.runtime.Now()
		c.lastReady.Store(&now)
	}
	return ready
}

// noticeTime is how much longer load balancers may take the router for ready, which leaves now: no
// time where none was told lately that it is.
func (c *Calls) noticeTime(grace time.Duration) time.Duration {
	last := c.lastReady.Load()
	if last == nil {
		return 0
	}
	left := drainNoticeTime
	if since := c.runtime.Now().Sub(*last); since > healthCheckInterval {
		left -= since - healthCheckInterval
	}
	return max(0, min(left, grace/3))
}

// Leave marks the router as leaving. Calls that still come are served until it drains.
func (c *Calls) Leave() { c.leaving.Store(true) }

// Leaving tells whether the router is leaving.
func (c *Calls) Leaving() bool { return c.leaving.Load() }

// The times of leaving. The values are ours.
const (
	// drainNoticeTime is how long it takes load balancers to notice that a router is not
	// ready: two health checks in a row, one a second.
	drainNoticeTime = 2500 * time.Millisecond
	// healthCheckInterval is the time between two health checks of a load balancer.
	healthCheckInterval = time.Second
	// One part in exitMarginShare of the grace is reserved for ending the process, so that
	// what is cut off at the end was in flight in the last sixth.
	exitMarginShare = 8
	maxExitMargin   = time.Second
	drainInterval   = 20 * time.Millisecond
)

// Retire has the router leave: it is not ready from now on, serves what still comes until load
// balancers have noticed (at once if none was told that it is ready), refuses after that, and returns when no call is in flight or the
// grace is over. Noticed is called when they have noticed: from then on idle connections of
// clients had better be closed.
func (c *Calls) Retire(grace time.Duration, noticed func()) {
	deadline := c.runtime.Now().Add(grace - min(maxExitMargin, grace/exitMarginShare))
	c.Leave()
	runtime.Sleep(c.runtime, c.noticeTime(grace))
	noticed()
	c.window.Drain()
	for c.runtime.Alive() && c.window.InFlight() > 0 && c.runtime.Now().Before(deadline) {
		runtime.Sleep(c.runtime, drainInterval)
	}
}

// Limits bound what a client may send.
func (c *Calls) Limits() config.Limits { return c.window.Limits() }

// Screen tells whether a call is refused by its host, path and key alone, before its body is read.
func (c *Calls) Screen(call *scheduler.Call) (Refusal, bool) {
	if !c.serves() {
		return Refusal{}, false
	}
	screening := c.window.Screen(call)
	decision, refused := screening.Refused, screening.Refused.Kind == scheduler.Refuse
	if !refused && c.quotas != nil && screening.Limited() {
		decision, refused = c.quotas.Denied(screening.Limit.Tenant)
	}
	if !refused {
		return Refusal{}, false
	}
	return refusalOf(decision), true
}

// refusalOf is our own response for a decision to refuse.
func refusalOf(decision scheduler.Decision) Refusal {
	return Refusal{Cause: decision.Cause, Status: statusOf(decision.Cause), RetryAfter: decision.RetryAfter}
}

// Serve serves one call and returns when it is over.
func (c *Calls) Serve(call *scheduler.Call, exchange Exchange) {
	if !c.serves() {
		exchange.Refuse(Refusal{Cause: scheduler.NotReady, Status: statusOf(scheduler.NotReady), RetryAfter: noLeaseRetryAfter})
		return
	}
	tenant, refused := c.acquireToken(call)
	if refused.Kind == scheduler.Refuse {
		exchange.Refuse(refusalOf(refused))
		return
	}
	state, decision := c.window.Arrive(c.runtime.Now(), call)
	// sent tells that some server was sent the call: its token is spent then.
	sent := false
	defer func() {
		if tenant != "" && !sent {
			c.quotas.GiveBack(tenant)
		}
	}()
	// mayHaveRun tells that a server may have begun the call, before that one before the last
	// server may have.
	mayHaveRun, before := false, false
	var outcome scheduler.Outcome
	for {
		if c.countOwners != nil {
			c.countOwners.SendChanges()
		}
		for _, source := range decision.Release {
			exchange.Free(source)
		}
		switch decision.Kind {
		case scheduler.QueryBacklog:
			decision = c.askOwners(state, decision)
			continue
		case scheduler.Prefill:
			sent = true
			outcome = exchange.Read(decision)
			if outcome.Handle != "" && outcome.Result != scheduler.Complete {
				exchange.Free(scheduler.Source{Address: decision.Server.Address, Handle: outcome.Handle})
			}
		case scheduler.Generate:
			sent = true
			outcome = exchange.Run(state.Route().Calls, decision, func() { c.window.Began(c.runtime.Now(), state) })
			before, mayHaveRun = mayHaveRun, mayHaveRun || outcome.Result.MayHaveRun()
		default:
			if decision.Reason != "" {
				exchange.OnGiveUp(decision.Reason)
			}
			conclude(exchange, decision, mayHaveRun, before && !outcome.Result.MayHaveRun())
			return
		}
		decision = c.window.Ended(c.runtime.Now(), state, outcome)
	}
}

// acquireToken spends a token of the limit of a call's tenant, if it has one, or gives the decision that
// refuses the call.
func (c *Calls) acquireToken(call *scheduler.Call) (tenant string, refused scheduler.Decision) {
	if c.quotas == nil || c.window.Draining() {
		return "", scheduler.Decision{}
	}
	screening := c.window.Screen(call)
	if !screening.Limited() {
		return "", scheduler.Decision{}
	}
	return screening.Limit.Tenant, c.quotas.Acquire(screening.Limit, call.Deadline)
}

// conclude sends the client the final response. Its invariant: no response says that a call has
// not run which may have run. So after a run our own refusal promises nothing, and the last
// server's error is not passed through when an earlier server may have begun (ranBefore).
func conclude(exchange Exchange, decision scheduler.Decision, mayHaveRun, ranBefore bool) {
	switch decision.Kind {
	case scheduler.Done:
	case scheduler.BreakStream:
		exchange.Break()
	case scheduler.PassThrough:
		if ranBefore || !exchange.PassThrough() {
			exchange.Refuse(Refusal{Cause: scheduler.OutcomeUnknown, Status: http.StatusBadGateway})
		}
	default:
		refusal := Refusal{Cause: decision.Cause, RetryAfter: decision.RetryAfter}
		if mayHaveRun && refusal.Cause.NeverRan() {
			refusal = Refusal{Cause: scheduler.OutcomeUnknown}
		}
		refusal.Status = statusOf(refusal.Cause)
		exchange.Refuse(refusal)
	}
}

// statusOf is the HTTP status of a refusal. 503 says that the call has not run and never will;
// 502 and 504 leave that open.
func statusOf(cause scheduler.Cause) int {
	switch cause {
	case scheduler.NoRoute:
		return http.StatusNotFound
	case scheduler.Unauthenticated:
		return http.StatusUnauthorized
	case scheduler.OverLimit:
		return http.StatusTooManyRequests
	case scheduler.OutcomeUnknown:
		return http.StatusBadGateway
	case scheduler.OutcomeUnknownLate:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// askOwners asks the owners of counts and has the scheduler go on with their responses.
func (c *Calls) askOwners(state *scheduler.CallState, decision scheduler.Decision) scheduler.Decision {
	answers := c.countOwners.Ask(decision.BacklogRequests)
	return c.window.BacklogReported(c.runtime.Now(), state, answers)
}
