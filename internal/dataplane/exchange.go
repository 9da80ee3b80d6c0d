package dataplane

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/scheduler"
)

// Exchange is the port to one opaque call: to its origin on one side and to model
// servers on the other. It is used by one thread, one act after the other.
type Exchange interface {
	// Read has the decision's server read the call's prompt.
	Read(decision scheduler.Decision) scheduler.Outcome
	// Run has the decision's server make the answer and passes a success on as it
	// comes. After one that was cut it goes on behind what was forwarded. Began is told
	// when the first of a stream comes.
	Run(route *config.CallRoute, decision scheduler.Decision, began func()) scheduler.Outcome
	// Refuse ends the call with a word of our own.
	Refuse(refusal Refusal)
	// PassThrough passes the failing answer of the last dispatch to the origin unchanged;
	// false when there is none that can be forwarded.
	PassThrough() bool
	// Break ends the answer so that the origin sees that it is not complete.
	Break()
	// OnGiveUp is told why a call is tried no more, before its last word.
	OnGiveUp(reason scheduler.Reason)
	// Free gives a prompt's memory back that nobody will take.
	Free(source scheduler.Source)
}

// Refusal is a final word of our own on a call.
type Refusal struct {
	Cause  scheduler.Cause
	Status int
	// RetryAfter is when to come back; zero if that is not said.
	RetryAfter time.Duration
}
