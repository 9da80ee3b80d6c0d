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

// Calls serves opaque calls at one router: it passes each call to the scheduler, carries out the
// scheduler's decisions, and reports their outcomes to the scheduler. Each call is served by one
// thread.
type Calls struct {
	runtime       runtime.Runtime
	callScheduler *scheduler.Scheduler
	// onServers is called with each list of servers, before a call is sent to any of them.
	onServers   func(servers []membership.Server)
	serverCount atomic.Int64
	leaving     atomic.Bool
	// lastReady is when Ready last returned true; nil if it never did.
	lastReady atomic.Pointer[time.Time]
	// servingUntil is the time until which calls are admitted; nil means no limit.
	servingUntil atomic.Pointer[time.Time]
	// backlogCounts queries the prefill backlogs of servers before a prefill; nil disables the queries.
	backlogCounts *BacklogCounts
	// quotas enforces the rate limits of tenants; nil disables them.
	quotas *Quotas
}

// NewCalls returns the service of calls over a scheduler. It calls onServersChanged with each
// list of servers.
func NewCalls(
	rt runtime.Runtime,
	callScheduler *scheduler.Scheduler,
	onServersChanged func(servers []membership.Server),
) *Calls {
	return &Calls{runtime: rt, callScheduler: callScheduler, onServers: onServersChanged}
}

// SetConfiguration puts a configuration in force unless a newer one already is.
func (c *Calls) SetConfiguration(configuration *config.Configuration, version replication.Version) {
	c.callScheduler.SetRouteTable(scheduler.Compile(configuration, version.Epoch, version.Number))
}

// SetServing sets the time until which calls are admitted.
func (c *Calls) SetServing(until time.Time) { c.servingUntil.Store(&until) }

// SetQuotas enables the rate limits of tenants. It must be called before the first call is
// served.
func (c *Calls) SetQuotas(quotas *Quotas) { c.quotas = quotas }

// SetBacklogCounts enables queries for the servers' prefill backlogs. It must be called before
// the first call is served.
func (c *Calls) SetBacklogCounts(counts *BacklogCounts) { c.backlogCounts = counts }

// serves reports whether calls may be admitted now.
func (c *Calls) serves() bool {
	until := c.servingUntil.Load()
	return until == nil || c.runtime.Now().Before(*until)
}

// noLeaseRetryAfter is the retry delay of a call that is refused because the router has no
// lease. It is short because the router's next update comes soon, or another router has a
// lease.
const noLeaseRetryAfter = 300 * time.Millisecond

// SetServers replaces the list of servers.
func (c *Calls) SetServers(now time.Time, servers []membership.Server) {
	c.onServers(servers)
	c.callScheduler.SetServers(now, servers)
	c.serverCount.Store(int64(len(servers)))
}

// SetLoads passes the servers' load reports to the scheduler.
func (c *Calls) SetLoads(now time.Time, loads []scheduler.Load) {
	c.callScheduler.SetLoads(now, loads)
}

// SetRouters sets how many routers share the servers.
func (c *Calls) SetRouters(count int) { c.callScheduler.SetRouterCount(count) }

// Ready reports whether the router is ready for calls: a configuration is in force, servers
// are known, calls may be admitted now, and the router is not leaving.
func (c *Calls) Ready() bool {
	epoch, number := c.callScheduler.ConfigVersion()
	ready := (epoch > 0 || number > 0) && c.serverCount.Load() > 0 && !c.leaving.Load() && c.serves()
	if ready {
		now := c.runtime.Now()
		c.lastReady.Store(&now)
	}
	return ready
}

// noticeTime returns how long load balancers may still consider the router ready after it starts to
// leave. It is drainNoticeTime, minus the time for which the next successful health check has been
// overdue: it was due healthCheckInterval after the last one. The result is zero if there was no
// successful health check, and at most a third of the grace period.
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

// SetLeaving marks the router as leaving. Calls that still arrive are served until it drains.
func (c *Calls) SetLeaving() { c.leaving.Store(true) }

// Draining reports whether the router is leaving.
func (c *Calls) Draining() bool { return c.leaving.Load() }

// Times of a graceful shutdown.
const (
	// drainNoticeTime is how long load balancers take to notice that a router is not ready:
	// two consecutive health checks, one per second.
	drainNoticeTime = 2500 * time.Millisecond
	// healthCheckInterval is the time between two health checks of a load balancer.
	healthCheckInterval = time.Second
	// The grace period divided by exitMarginDivisor, but at most maxExitMargin, is reserved for the
	// exit of the process. An eighth is little enough that calls are cut off only in the last sixth
	// of the grace period.
	exitMarginDivisor = 8
	maxExitMargin     = time.Second
	// drainInterval is the time between two checks for calls in flight.
	drainInterval = 20 * time.Millisecond
)

// Shutdown shuts the router down gracefully. From now on the router is not ready. It serves new
// calls until load balancers have noticed that it is not ready (see noticeTime), and refuses them
// afterwards. Shutdown returns when no call is in flight or the grace period is over. It calls
// onNoticed when load balancers have noticed; from then on idle client connections should be
// closed.
func (c *Calls) Shutdown(grace time.Duration, onNoticed func()) {
	deadline := c.runtime.Now().Add(grace - min(maxExitMargin, grace/exitMarginDivisor))
	c.SetLeaving()
	runtime.Sleep(c.runtime, c.noticeTime(grace))
	onNoticed()
	c.callScheduler.Drain()
	for c.runtime.Alive() && c.callScheduler.InFlight() > 0 && c.runtime.Now().Before(deadline) {
		runtime.Sleep(c.runtime, drainInterval)
	}
}

// Limits returns the limits on what a client may send.
func (c *Calls) Limits() config.Limits { return c.callScheduler.Limits() }

// Screen reports whether a call is refused because of its host, path, key or rate limit, before its
// body is read, and returns the refusal. While the router admits no calls, it leaves the refusal to
// Serve.
func (c *Calls) Screen(call *scheduler.Call) (Refusal, bool) {
	if !c.serves() {
		return Refusal{}, false
	}
	screening := c.callScheduler.Screen(call)
	decision, refused := screening.Refused, screening.Refused.Kind == scheduler.Refuse
	if !refused && c.quotas != nil && screening.Limited() {
		decision, refused = c.quotas.Denied(screening.Limit.Tenant)
	}
	if !refused {
		return Refusal{}, false
	}
	return refusalOf(decision), true
}

// refusalOf returns the router's own response for a decision to refuse.
func refusalOf(decision scheduler.Decision) Refusal {
	return Refusal{Cause: decision.Cause, Status: statusOf(decision.Cause), RetryAfter: decision.RetryAfter}
}

// Serve serves one call and returns when the call has ended.
func (c *Calls) Serve(call *scheduler.Call, exchange Exchange) {
	if !c.serves() {
		exchange.Refuse(Refusal{
			Cause:      scheduler.NotReady,
			Status:     statusOf(scheduler.NotReady),
			RetryAfter: noLeaseRetryAfter,
		})
		return
	}
	tenant, refused := c.acquireToken(call)
	if refused.Kind == scheduler.Refuse {
		exchange.Refuse(refusalOf(refused))
		return
	}
	state, decision := c.callScheduler.Arrive(c.runtime.Now(), call)
	// sent is set once the call is sent to a server. If the call ends without that, the tenant's
	// token is refunded.
	sent := false
	defer func() {
		if tenant != "" && !sent {
			c.quotas.Refund(tenant)
		}
	}()
	// mayHaveRun is set if any server may have started the call, and mayHaveRunBefore is set if a
	// server before the last one may have started it.
	mayHaveRun, mayHaveRunBefore := false, false
	var outcome scheduler.Outcome
	for {
		if c.backlogCounts != nil {
			c.backlogCounts.SendChanges()
		}
		for _, source := range decision.Release {
			exchange.ReleaseHandle(source)
		}
		switch decision.Kind {
		case scheduler.QueryBacklog:
			decision = c.askOwners(state, decision)
			continue
		case scheduler.Prefill:
			sent = true
			outcome = exchange.Prefill(decision)
			if outcome.Handle != "" && outcome.Result != scheduler.Complete {
				exchange.ReleaseHandle(scheduler.Source{Address: decision.Server.Address, Handle: outcome.Handle})
			}
		case scheduler.Generate:
			sent = true
			outcome = exchange.Generate(state.Route().Calls, decision, func() { c.callScheduler.Began(c.runtime.Now(), state) })
			mayHaveRunBefore, mayHaveRun = mayHaveRun, mayHaveRun || outcome.Result.MayHaveRun()
		case scheduler.Continue:
			outcome = exchange.ContinueStream(decision)
		default:
			if decision.Reason != "" {
				exchange.OnGiveUp(decision.Reason)
			}
			conclude(exchange, decision, mayHaveRun, mayHaveRunBefore && !outcome.Result.MayHaveRun())
			return
		}
		decision = c.callScheduler.Ended(c.runtime.Now(), state, outcome)
	}
}

// acquireToken spends a token of the rate limit of the call's tenant. It returns the tenant if
// it has a limit, and the decision to refuse the call if there is no token.
func (c *Calls) acquireToken(call *scheduler.Call) (tenant string, refused scheduler.Decision) {
	if c.quotas == nil || c.callScheduler.Draining() {
		return "", scheduler.Decision{}
	}
	screening := c.callScheduler.Screen(call)
	if !screening.Limited() {
		return "", scheduler.Decision{}
	}
	return screening.Limit.Tenant, c.quotas.Acquire(screening.Limit, call.Deadline)
}

// conclude sends the final response to the client. Its invariant: if a server may have run the
// call (mayHaveRun), no response states that the call has not run. So after a possible run, a
// refusal by the router has the status of an unknown outcome. The error of the last server is not
// passed through if only an earlier server may have run the call (onlyEarlierMayHaveRun).
func conclude(exchange Exchange, decision scheduler.Decision, mayHaveRun, onlyEarlierMayHaveRun bool) {
	switch decision.Kind {
	case scheduler.Done:
	case scheduler.BreakStream:
		exchange.Abort()
	case scheduler.PassThrough:
		if onlyEarlierMayHaveRun || !exchange.ForwardFailure() {
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

// statusOf returns the HTTP status of a refusal. Status 503 states that the call has not run
// and never will; 502 and 504 leave it open whether the call has run.
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

// askOwners sends a decision's backlog requests to the owners of the counts and returns the
// scheduler's next decision, which is based on the owners' responses.
func (c *Calls) askOwners(state *scheduler.CallState, decision scheduler.Decision) scheduler.Decision {
	answers := c.backlogCounts.Ask(decision.BacklogRequests)
	return c.callScheduler.BacklogReported(c.runtime.Now(), state, answers)
}
