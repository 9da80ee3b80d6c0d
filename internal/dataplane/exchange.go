package dataplane

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Exchange is the port to one opaque call: to its client on one side and to model servers on
// the other. One thread uses it, one method after the other.
type Exchange interface {
	// Read has the decision's server prefill the call's prompt.
	Read(decision scheduler.Decision) scheduler.Outcome
	// Run has the decision's server decode, and streams a success to the client. After a
	// stream that was cut off it resumes behind what the client has. Began is called with
	// the first chunk of a stream.
	Run(route *config.CallRoute, decision scheduler.Decision, began func()) scheduler.Outcome
	// Refuse ends the call with our own response.
	Refuse(refusal Refusal)
	// PassThrough passes the failing answer of the last dispatch to the origin unchanged;
	// false when there is none that can be forwarded.
	PassThrough() bool
	// Break ends the response so that the client sees that it is not complete.
	Break()
	// OnGiveUp is told why a call is not retried, before its final response.
	OnGiveUp(reason scheduler.Reason)
	// Free frees the KV cache of a prefill that no decode will take.
	Free(source scheduler.Source)
}

// Refusal is our own final response to a call.
type Refusal struct {
	Cause  scheduler.Cause
	Status int
	// RetryAfter is after how long the client may retry; zero: not said.
	RetryAfter time.Duration
}

// CallService is who serves opaque calls beside the core's window. A router tells it what
// it needs to know besides.
type CallService interface {
	// SetServing sets until when calls may be admitted: the end of the router's lease, and
	// of the time for which it serves without one.
	SetServing(until time.Time)
	// SetCountOwners gives the way to those who keep counts of what servers read.
	SetCountOwners(owners *CountOwners)
	// SetQuotas gives who keeps the limits of tenants over all routers.
	SetQuotas(quotas *Quotas)
	// SetServers sets the list of servers, before the scheduler knows it.
	SetServers(now time.Time, servers []membership.Server)
}
