// Package seamloom is a router fleet's core for split prefill and decode, to be
// embedded in a routing program: events go in, decisions come out. It does no
// input or output, starts no threads, and reads no clock; the same events give
// the same decisions.
package seamloom

import (
	"seamloom.example/seamloom/internal/menu"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/window"
)

// The types of the stream. They are documented where they are made.
type (
	// Event is one thing that happened.
	Event = pass.Event
	// Decision is one thing to be done.
	Decision = pass.Decision
	// Inquiry is one caller's request.
	Inquiry = pass.Inquiry
	// Load is a model server's report of its pressure.
	Load = pass.Load
	// Server is a model server as the platform lists it.
	Server = roster.Server
	// Duty is a key that this node holds, with its fence.
	Duty = rota.Duty
	// Order is what a model server is to do.
	Order = recipe.Order
	// Call is one opaque inquiry: its method, path and body are passed on unchanged.
	Call = window.Call
	// CallPart is one part of a call's prompt.
	CallPart = window.Part
	// CallOutcome is how a dispatch of a call ended, CallDecision what is next.
	CallOutcome  = window.Outcome
	CallDecision = window.Decision
	// CallLoad is what a server of calls reported of itself.
	CallLoad = window.Load
	// Allowance bounds further tries.
	Allowance = window.Allowance
	// Flag names one breaking change of a record format.
	Flag = recipe.Flag
	// FlagList is a set of flags.
	FlagList = recipe.List
)

// Supported is the list of flags that this build supports, less the withheld.
//
// Example:
//
//	core := seamloom.New(seamloom.Options{Courier: "courier-1", Supported: seamloom.Supported(nil)})
func Supported(withheld FlagList) FlagList { return recipe.Supported(withheld) }

// CheckConfiguration tells every failure of a configuration's text, or nil.
//
// Example:
//
//	if failure := seamloom.CheckConfiguration(text); failure != nil { ... }
func CheckConfiguration(text []byte) error {
	_, err := menu.Check(text)
	return err
}
