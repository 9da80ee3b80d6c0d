// Package seamloom is a router fleet's core for split prefill and decode, to be
// embedded in a routing program: events go in, decisions come out. It does no
// input or output, starts no threads, and reads no clock; the same events give
// the same decisions.
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

// The types of the stream. They are documented where they are made.
type (
	// Event is one thing that happened.
	Event = auction.Event
	// Decision is one thing to be done.
	Decision = auction.Decision
	// Request is one caller's request.
	Request = auction.Request
	// Load is a model server's report of its pressure.
	Load = auction.Load
	// Server is a model server as the platform lists it.
	Server = membership.Server
	// Role is a key that this node holds, with its fence.
	Role = lease.Role
	// Order is what a model server is to do.
	Order = codec.Order
	// Call is one opaque request: its method, path and body are forwarded unchanged.
	Call = scheduler.Call
	// CallPart is one part of a call's prompt.
	CallPart = scheduler.Segment
	// CallOutcome is how a dispatch of a call ended, CallDecision what is next.
	CallOutcome  = scheduler.Outcome
	CallDecision = scheduler.Decision
	// CallLoad is what a server of calls reported of itself.
	CallLoad = scheduler.Load
	// Allowance bounds retries.
	Allowance = scheduler.RetryAllowance
	// Flag names one breaking change of a record format.
	Flag = features.Flag
	// FlagList is a set of flags.
	FlagList = features.List
)

// Supported is the list of flags that this build supports, less the withheld.
func Supported(withheld FlagList) FlagList { return features.Supported(withheld) }

// CheckConfiguration tells every failure of a configuration's text, or nil.
func CheckConfiguration(text []byte) error {
	_, err := config.Check(text)
	return err
}
