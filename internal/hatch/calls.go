package hatch

import (
	"net/http"

	"seamloom.example/seamloom/internal/menu"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/window"
)

// Calls is the conduct of opaque calls at one courier: it has the window decide on
// each, carries the decisions out, and tells the window how they ended. One thread
// serves one call.
type Calls struct {
	turns  rota.Turns
	window *window.Window
}

// NewCalls makes the conduct over a window.
//
// Example:
//
//	conduct := hatch.NewCalls(turns, window.New(options))
func NewCalls(turns rota.Turns, window *window.Window) *Calls {
	return &Calls{turns: turns, window: window}
}

// Limits bound what an origin may send.
//
// Example:
//
//	most := conduct.Limits().BodyBytes
func (calls *Calls) Limits() menu.Limits { return calls.window.Limits() }

// Serve serves one call and returns when it is over.
//
// Example:
//
//	conduct.Serve(call, exchange)
func (calls *Calls) Serve(call *window.Call, exchange Exchange) {
	ticket, decision := calls.window.Arrive(calls.turns.Now(), call)
	ran := false
	for {
		for _, source := range decision.Free {
			exchange.Free(source)
		}
		var outcome window.Outcome
		switch decision.Kind {
		case window.Read:
			outcome = exchange.Read(decision)
			if outcome.Handle != "" && outcome.Result != window.Complete {
				exchange.Free(window.Source{Address: decision.Server.Address, Handle: outcome.Handle})
			}
		case window.Run:
			outcome = exchange.Run(ticket.Route().Calls, decision)
			ran = ran || outcome.Result.MayHaveRun()
		default:
			conclude(exchange, decision, ran)
			return
		}
		decision = calls.window.Ended(calls.turns.Now(), ticket, outcome)
	}
}

// conclude gives the origin the last word.
func conclude(exchange Exchange, decision window.Decision, ran bool) {
	switch decision.Kind {
	case window.Done:
	case window.Break:
		exchange.Break()
	case window.Through:
		if !exchange.Through() {
			exchange.Refuse(Refusal{Cause: window.Broken, Status: http.StatusBadGateway})
		}
	default:
		refusal := Refusal{Cause: decision.Cause, RetryAfter: decision.RetryAfter}
		if ran && refusal.Cause.NeverRan() {
			// Whatever was decided: no promise is given of what may have run.
			refusal = Refusal{Cause: window.Broken}
		}
		refusal.Status = statusOf(refusal.Cause)
		exchange.Refuse(refusal)
	}
}

// statusOf is the status of a refusal. 503 promises that the call has not run and
// never will; 502 and 504 promise nothing.
func statusOf(cause window.Cause) int {
	switch cause {
	case window.NoRoute:
		return http.StatusNotFound
	case window.Broken:
		return http.StatusBadGateway
	case window.BrokenLate:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
