package hatch

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

// Calls is the conduct of opaque calls at one courier: it has the window decide on
// each, carries the decisions out, and tells the window how they ended. One thread
// serves one call.
type Calls struct {
	runtime runtime.Runtime
	window  *scheduler.Window
	// listed is told which servers there are, before any call is sent to them.
	listed  func(servers []membership.Server)
	servers atomic.Int64
	leaving atomic.Bool
	// serving is until when calls are let in; nil: nobody bounds it.
	serving atomic.Pointer[time.Time]
	// keepers are asked for counts before reads; nil: nobody is.
	keepers *CountKeepers
}

// NewCalls makes the conduct over a window. Listed is told which servers there are.
func NewCalls(rt runtime.Runtime, window *scheduler.Window, listed func(servers []membership.Server)) *Calls {
	return &Calls{runtime: rt, window: window, listed: listed}
}

// SetConfiguration puts a configuration in force, unless a newer one is.
func (calls *Calls) SetConfiguration(configuration *config.Configuration, version replication.Version) {
	calls.window.SetProgram(scheduler.Compile(configuration, version.Epoch, version.Number))
}

// SetServing bounds until when calls are let in.
func (calls *Calls) SetServing(until time.Time) { calls.serving.Store(&until) }

// SetKeepers gives the way to those who keep counts of what servers read, before any call
// comes.
func (calls *Calls) SetKeepers(keepers *CountKeepers) { calls.keepers = keepers }

// serves tells whether calls may be let in now.
func (calls *Calls) serves() bool {
	until := calls.serving.Load()
	return until == nil || calls.runtime.Now().Before(*until)
}

// unheldRetry is when a call may come back that met a courier without a hold: the
// next news is a moment away, or another courier has it.
const unheldRetry = 300 * time.Millisecond

// SetServers takes the list of servers.
func (calls *Calls) SetServers(now time.Time, servers []membership.Server) {
	calls.listed(servers)
	calls.window.SetServers(now, servers)
	calls.servers.Store(int64(len(servers)))
}

// SetLoads takes what the servers reported of themselves.
func (calls *Calls) SetLoads(now time.Time, loads []scheduler.Load) {
	calls.window.SetLoads(now, loads)
}

// SetRouters tells how many couriers share the servers.
func (calls *Calls) SetRouters(count int) { calls.window.SetRouters(count) }

// Ready tells whether calls are welcome: a configuration is in force, servers are
// known, and the courier is not leaving.
func (calls *Calls) Ready() bool {
	epoch, number := calls.window.InForce()
	return (epoch > 0 || number > 0) && calls.servers.Load() > 0 && !calls.leaving.Load() && calls.serves()
}

// Leave says that the courier is leaving. Calls that still come are served until
// Drain.
func (calls *Calls) Leave() { calls.leaving.Store(true) }

// Leaving tells whether the courier is leaving.
func (calls *Calls) Leaving() bool { return calls.leaving.Load() }

// The pauses of leaving. The values are ours.
const (
	// noticePause is how long it takes those who ask whether a courier is ready to
	// send no more: two questions in a row, one a second.
	noticePause = 2500 * time.Millisecond
	// leaveMarginShare is the part of the grace that is kept for ending the process: an
	// eighth, so that what is cut off at the end was at work in the last sixth.
	leaveMarginShare = 8
	mostLeaveMargin  = time.Second
	leavingPause     = 20 * time.Millisecond
)

// Retire has the courier leave: it is not ready from now on, serves what still comes
// until that is noticed, refuses after that, and returns when nothing is under way or
// the grace is over. Noticed is told when those who look have noticed: clients whose
// connections rest had better not come back on them.
func (calls *Calls) Retire(grace time.Duration, noticed func()) {
	ends := calls.runtime.Now().Add(grace - min(mostLeaveMargin, grace/leaveMarginShare))
	calls.Leave()
	runtime.Sleep(calls.runtime, min(noticePause, grace/3))
	noticed()
	calls.window.Drain()
	for calls.runtime.Alive() && calls.window.InFlight() > 0 && calls.runtime.Now().Before(ends) {
		runtime.Sleep(calls.runtime, leavingPause)
	}
}

// Limits bound what an origin may send.
func (calls *Calls) Limits() config.Limits { return calls.window.Limits() }

// Serve serves one call and returns when it is over.
func (calls *Calls) Serve(call *scheduler.Call, exchange Exchange) {
	if !calls.serves() {
		exchange.Refuse(Refusal{Cause: scheduler.NotReady, Status: statusOf(scheduler.NotReady), RetryAfter: unheldRetry})
		return
	}
	ticket, decision := calls.window.Arrive(calls.runtime.Now(), call)
	// ran tells that a server may have begun the call, before that an earlier one than
	// the last may have.
	ran, before := false, false
	var outcome scheduler.Outcome
	for {
		if calls.keepers != nil {
			calls.keepers.NoteChanges()
		}
		for _, source := range decision.Free {
			exchange.Free(source)
		}
		switch decision.Kind {
		case scheduler.Ask:
			decision = calls.told(ticket, decision)
			continue
		case scheduler.Read:
			outcome = exchange.Read(decision)
			if outcome.Handle != "" && outcome.Result != scheduler.Complete {
				exchange.Free(scheduler.Source{Address: decision.Server.Address, Handle: outcome.Handle})
			}
		case scheduler.Run:
			outcome = exchange.Run(ticket.Route().Calls, decision, func() { calls.window.Began(calls.runtime.Now(), ticket) })
			before, ran = ran, ran || outcome.Result.MayHaveRun()
		default:
			if decision.Reason != "" {
				exchange.GivenUp(decision.Reason)
			}
			conclude(exchange, decision, ran, before && !outcome.Result.MayHaveRun())
			return
		}
		decision = calls.window.Ended(calls.runtime.Now(), ticket, outcome)
	}
}

// conclude gives the origin the last word. Whatever was decided, no promise is given of
// what may have run: not our own, and not that of the last server when an earlier one may
// have begun, which partly tells.
func conclude(exchange Exchange, decision scheduler.Decision, ran, partly bool) {
	switch decision.Kind {
	case scheduler.Done:
	case scheduler.Break:
		exchange.Break()
	case scheduler.Through:
		if partly || !exchange.Through() {
			exchange.Refuse(Refusal{Cause: scheduler.Broken, Status: http.StatusBadGateway})
		}
	default:
		refusal := Refusal{Cause: decision.Cause, RetryAfter: decision.RetryAfter}
		if ran && refusal.Cause.NeverRan() {
			refusal = Refusal{Cause: scheduler.Broken}
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
	case scheduler.Broken:
		return http.StatusBadGateway
	case scheduler.BrokenLate:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// told asks the keepers of counts and has the window go on with their answers.
func (calls *Calls) told(ticket *scheduler.Ticket, decision scheduler.Decision) scheduler.Decision {
	answers := calls.keepers.Ask(decision.Questions)
	return calls.window.Told(calls.runtime.Now(), ticket, answers)
}
