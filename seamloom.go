// Package seamloom is the core of a router for split prefill and decode. A routing program
// embeds it, feeds it events and receives decisions. The core does no input or output, starts
// no goroutines and reads no clock: the same sequence of events gives the same decisions.
//
// The program passes each Event to the core, carries out each Decision that the core returns,
// and reports the result as another event. Package internal/dataplane embeds the core in this
// way; examples/embedded is a small example.
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
	// Event is an input of the core, such as the arrival of a request or a load report.
	Event = auction.Event
	// Decision is an action that the program must carry out, such as a dispatch to a server.
	Decision = auction.Decision
	// Server is a model server in the platform's list.
	Server = membership.Server
	// Role is a singleton role that a router holds under its lease, with the fencing token.
	Role = lease.Role
	// Order orders a model server to take a role, such as prefill or decode.
	Order = codec.Order
)

// The types of requests. Their prompts and the chunks of their replies pass through the core.
type (
	// Request is a client's request for a streamed reply.
	Request = auction.Request
	// Load is a load report of a model server that serves requests.
	Load = auction.Load
)

// The types of opaque calls, whose method, path and body are forwarded unchanged.
type (
	// Call is an opaque call.
	Call = scheduler.Call
	// CallSegment is one segment of a call's prompt.
	CallSegment = scheduler.Segment
	// CallOutcome is the result of a dispatch of a call.
	CallOutcome = scheduler.Outcome
	// CallDecision is the next step of a call, such as a dispatch or its final status.
	CallDecision = scheduler.Decision
	// CallLoad is a load report of a model server that serves calls.
	CallLoad = scheduler.Load
	// RetryAllowance limits the retries of calls.
	RetryAllowance = scheduler.RetryAllowance
)

// The types of feature flags.
type (
	// Flag names one breaking change of a record format.
	Flag = features.Flag
	// FlagList is a set of flags.
	FlagList = features.List
)

// Supported returns the feature flags that this build supports, except the withheld ones.
func Supported(withheld FlagList) FlagList { return features.Supported(withheld) }

// CheckConfiguration validates the text of a configuration. It returns nil or an error; the
// error text names the code and the path of the first failure.
func CheckConfiguration(text []byte) error {
	_, err := config.Check(text)
	return err
}
