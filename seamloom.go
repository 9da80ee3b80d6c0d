// Package seamloom is the core of a router fleet for split prefill and decode, to be
// embedded in a routing program: events go in, decisions come out. It does no input or
// output, starts no threads, and reads no clock; the same events give the same decisions.
//
// The program tells the core what happened (Event), carries out what the core decides
// (Decision), and feeds back what came of it. Package internal/dataplane is such a program,
// and examples/embedded a small one.
package seamloom

import (
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// The types of events and decisions.
type (
	// Event is one thing that happened.
	Event = auction.Event
	// Decision is one thing to be done.
	Decision = auction.Decision
	// Server is a model server as the platform lists it.
	Server = membership.Server
	// Role is a key that this router holds, with its fencing token.
	Role = lease.Role
	// Order says which role a model server is to take.
	Order = codec.Order
)

// The types of requests, whose prompt and stream pass through the core.
type (
	// Request is one client's request.
	Request = auction.Request
	// Load is a model server's report of its load.
	Load = auction.Load
)

// The types of opaque calls, whose method, path and body are forwarded unchanged.
type (
	// Call is one opaque call.
	Call = scheduler.Call
	// CallSegment is one segment of a call's prompt.
	CallSegment = scheduler.Segment
	// CallOutcome is how a dispatch of a call ended.
	CallOutcome = scheduler.Outcome
	// CallDecision is what is next with a call.
	CallDecision = scheduler.Decision
	// CallLoad is a report of the load of a server of calls.
	CallLoad = scheduler.Load
	// RetryAllowance bounds the retries of calls.
	RetryAllowance = scheduler.RetryAllowance
)

// The types of feature flags.
type (
	// Flag names one breaking change of a record format.
	Flag = features.Flag
	// FlagList is a set of flags.
	FlagList = features.List
)

// Supported are the feature flags that this build supports, less the withheld.
func Supported(withheld FlagList) FlagList { return features.Supported(withheld) }

// CheckConfiguration checks a configuration's text. It returns nil, or an error whose text
// names the path and code of the first failure.
func CheckConfiguration(text []byte) error {
	_, err := config.Check(text)
	return err
}
