package dataplane

import (
	"seamloom.example/seamloom/internal/auction"
)

// ModelServer is the port to the model servers. May is asked at the last moment before a byte of
// a dispatch is sent: if it returns false none is sent, and the outcome is NotStarted.
type ModelServer interface {
	Prefill(decision auction.Decision, may func() bool) (outcome auction.Outcome, handle, detail string)
	Decode(decision auction.Decision, may func() bool, take func(chunk int, text string)) (outcome auction.Outcome, chunks int, detail string)
	Command(decision auction.Decision, may func() bool) error
	// Cancel closes a run's connection and has the server stop the run.
	Cancel(decision auction.Decision)
	// EndRun releases what a run has left behind.
	EndRun(id string, run int)
}
