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

// Calls is the conduct of opaque calls at one router: it has the window decide on
// each, carries the decisions out, and tells the window how they ended. One thread
// serves one call.
type Calls struct {
	runtime runtime.Runtime
	window  *scheduler.Scheduler
	// listed is told which servers there are, before any call is sent to them.
	onServers   func(servers []membership.Server)
	serverCount atomic.Int64
	leaving     atomic.Bool
	// serving is until when calls are admitted; nil: nobody bounds it.
	servingUntil atomic.Pointer[time.Time]
	// keepers are asked for counts before reads; nil: nobody is.
	countOwners *CountOwners
}

// NewCalls makes the conduct over a window. Listed is told which servers there are.
func NewCalls(rt runtime.Runtime, window *scheduler.Scheduler, listed func(servers []membership.Server)) *Calls {
	return &Calls{runtime: rt, window: window, onServers: listed}
}

// SetConfiguration puts a configuration in force, unless a newer one is.
func (c *Calls) SetConfiguration(configuration *config.Configuration, version replication.Version) {
	c.window.SetRouteTable(scheduler.Compile(configuration, version.Epoch, version.Number))
}

// SetServing bounds until when calls are admitted.
func (c *Calls) SetServing(until time.Time) { c.servingUntil.Store(&until) }

// SetCountOwners gives the way to those who keep counts of what servers read, before any call
// comes.
func (c *Calls) SetCountOwners(owners *CountOwners) { c.countOwners = owners }

// serves tells whether calls may be admitted now.
func (c *Calls) serves() bool {
	until := c.servingUntil.Load()
	return until == nil || c.runtime.Now().Before(*until)
}

// noLeaseRetryAfter is when a call may come back that met a router without a hold: the
// next news is a moment away, or another router has it.
const noLeaseRetryAfter = 300 * time.Millisecond

// SetServers takes the list of servers.
func (c *Calls) SetServers(now time.Time, servers []membership.Server) {
	c.onServers(servers)
	c.window.SetServers(now, servers)
	c.serverCount.Store(int64(len(servers)))
}

// SetLoads takes what the servers reported of themselves.
func (c *Calls) SetLoads(now time.Time, loads []scheduler.Load) {
	c.window.SetLoads(now, loads)
}

// SetRouters tells how many routers share the servers.
func (c *Calls) SetRouters(count int) { c.window.SetRouterCount(count) }

// Ready tells whether calls are welcome: a configuration is in force, servers are
// known, and the router is not leaving.
func (c *Calls) Ready() bool {
	epoch, number := c.window.ConfigVersion()
	return (epoch > 0 || number > 0) && c.serverCount.Load() > 0 && !c.leaving.Load() && c.serves()
}

// Leave says that the router is leaving. Calls that still come are served until
// Drain.
func (c *Calls) Leave() { c.leaving.Store(true) }

// Leaving tells whether the router is leaving.
func (c *Calls) Leaving() bool { return c.leaving.Load() }

// The pauses of leaving. The values are ours.
const (
	// drainNoticeTime is how long it takes those who ask whether a router is ready to
	// send no more: two questions in a row, one a second.
	drainNoticeTime = 2500 * time.Millisecond
	// exitMarginShare is the part of the grace that is kept for ending the process: an
	// eighth, so that what is cut off at the end was at work in the last sixth.
	exitMarginShare = 8
	maxExitMargin   = time.Second
	drainInterval   = 20 * time.Millisecond
)

// Retire has the router leave: it is not ready from now on, serves what still comes
// until that is noticed, refuses after that, and returns when nothing is under way or
// the grace is over. Noticed is told when those who look have noticed: clients whose
// connections rest had better not come back on them.
func (c *Calls) Retire(grace time.Duration, noticed func()) {
	deadline := c.runtime.Now().Add(grace - min(maxExitMargin, grace/exitMarginShare))
	c.Leave()
	runtime.Sleep(c.runtime, min(drainNoticeTime, grace/3))
	noticed()
	c.window.Drain()
	for c.runtime.Alive() && c.window.InFlight() > 0 && c.runtime.Now().Before(deadline) {
		runtime.Sleep(c.runtime, drainInterval)
	}
}

// Limits bound what an origin may send.
func (c *Calls) Limits() config.Limits { return c.window.Limits() }

// Serve serves one call and returns when it is over.
func (c *Calls) Serve(call *scheduler.Call, exchange Exchange) {
	if !c.serves() {
		exchange.Refuse(Refusal{Cause: scheduler.NotReady, Status: statusOf(scheduler.NotReady), RetryAfter: noLeaseRetryAfter})
		return
	}
	ticket, decision := c.window.Arrive(c.runtime.Now(), call)
	// ran tells that a server may have begun the call, before that an earlier one than
	// the last may have.
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
			decision = c.askOwners(ticket, decision)
			continue
		case scheduler.Prefill:
			outcome = exchange.Read(decision)
			if outcome.Handle != "" && outcome.Result != scheduler.Complete {
				exchange.Free(scheduler.Source{Address: decision.Server.Address, Handle: outcome.Handle})
			}
		case scheduler.Generate:
			outcome = exchange.Run(ticket.Route().Calls, decision, func() { c.window.Began(c.runtime.Now(), ticket) })
			before, mayHaveRun = mayHaveRun, mayHaveRun || outcome.Result.MayHaveRun()
		default:
			if decision.Reason != "" {
				exchange.OnGiveUp(decision.Reason)
			}
			conclude(exchange, decision, mayHaveRun, before && !outcome.Result.MayHaveRun())
			return
		}
		decision = c.window.Ended(c.runtime.Now(), ticket, outcome)
	}
}

// conclude gives the origin the last word. Whatever was decided, no promise is given of
// what may have run: not our own, and not that of the last server when an earlier one may
// have begun, which partly tells.
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

// statusOf is the status of a refusal. 503 promises that the call has not run and
// never will; 502 and 504 promise nothing.
func statusOf(cause scheduler.Cause) int {
	switch cause {
	case scheduler.NoRoute:
		return http.StatusNotFound
	case scheduler.OutcomeUnknown:
		return http.StatusBadGateway
	case scheduler.OutcomeUnknownLate:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// told asks the keepers of counts and has the window go on with their answers.
func (c *Calls) askOwners(ticket *scheduler.CallState, decision scheduler.Decision) scheduler.Decision {
	answers := c.countOwners.Ask(decision.BacklogRequests)
	return c.window.BacklogReported(c.runtime.Now(), ticket, answers)
}
