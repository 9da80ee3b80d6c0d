package dataplane

import (
	"seamloom.example/seamloom/internal/auction"
)

// ModelServer is the port to the model servers. May is asked at the last moment
// before anything of an order leaves: if it says no, nothing does and the
// outcome is NotStarted.
type ModelServer interface {
	Prefill(decision auction.Decision, may func() bool) (outcome auction.Outcome, handle, detail string)
	Decode(decision auction.Decision, may func() bool, take func(chunk int, text string)) (outcome auction.Outcome, chunks int, detail string)
	Command(decision auction.Decision, may func() bool) error
	// Cancel breaks a run's connection and has the server stop it.
	Cancel(decision auction.Decision)
	// EndRun lets go of what a run has left behind.
	EndRun(id string, run int)
}
