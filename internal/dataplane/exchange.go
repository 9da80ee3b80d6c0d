package dataplane

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Exchange is the port of one opaque call to its client and to the model servers. It is used
// by one thread, one method at a time.
type Exchange interface {
	// Prefill has the decision's server prefill the call's prompt. The outcome is Superseded if the call's stalled
	// stream has an event before the prefill is complete.
	Prefill(decision scheduler.Decision) scheduler.Outcome
	// Generate has the decision's server decode, and streams a successful response to the client.
	// After an interrupted or stalled stream it resumes after the part that the client has received. It calls
	// began when it receives the first chunk of a stream. If the call has a stalled stream, whichever of the two
	// streams has the next event goes on, and the other one is ended: then began is called once the new
	// stream goes on, and the outcome is Superseded if the stalled one does.
	Generate(route *config.CallRoute, decision scheduler.Decision, began func()) scheduler.Outcome
	// ContinueStream keeps reading the stream whose dispatch has ended as Stalled, and streams it to the client.
	ContinueStream(decision scheduler.Decision) scheduler.Outcome
	// Refuse ends the call with the router's own response.
	Refuse(refusal Refusal)
	// ForwardFailure forwards the error response of the last dispatch to the client unchanged.
	// It returns false if there is no response that can be forwarded.
	ForwardFailure() bool
	// Abort ends the response in a way that shows the client that it is incomplete.
	Abort()
	// OnGiveUp is called before the final response of a call that is not retried, or that is not
	// admitted because capacity is short, with the reason.
	OnGiveUp(reason scheduler.Reason)
	// ReleaseHandle frees the KV cache of a prefill that no decode will use.
	ReleaseHandle(source scheduler.Source)
}

// Refusal is the router's own final response to a call.
type Refusal struct {
	Cause  scheduler.Cause
	Status int
	// RetryAfter is the delay after which the client may retry; zero means none is given.
	RetryAfter time.Duration
}

// CallService serves opaque calls, using the scheduler of the router's core. With these methods
// the router passes to the service the state that the scheduler does not provide.
type CallService interface {
	// SetServing sets the time until which calls may be admitted: the end of the router's
	// lease plus the period for which the router serves without a lease.
	SetServing(until time.Time)
	// SetBacklogCounts sets the prefill backlog counts that the service queries before a prefill.
	SetBacklogCounts(counts *BacklogCounts)
	// SetQuotas sets the rate limits of tenants, which apply to all routers together.
	SetQuotas(quotas *Quotas)
	// SetServers replaces the list of servers, before the scheduler receives it.
	SetServers(now time.Time, servers []membership.Server)
}
