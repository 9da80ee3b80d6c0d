package dataplane

import (
	"seamloom.example/seamloom/internal/auction"
)

// ModelServer is the port to the model servers. Prefill, Decode and Command call mayAct just
// before they send the first byte. If mayAct returns false, they send nothing, and the outcome
// of a prefill or decode is auction.OutcomeNotStarted.
type ModelServer interface {
	// Prefill has the decision's server prefill the prompt; handle names the KV cache.
	Prefill(decision auction.Decision, mayAct func() bool) (outcome auction.Outcome, handle, detail string)
	// Decode has the decision's server decode, and calls onChunk with each chunk. It returns
	// the number of chunks.
	Decode(
		decision auction.Decision,
		mayAct func() bool,
		onChunk func(chunk int, text string),
	) (outcome auction.Outcome, chunks int, detail string)
	// Command sends a server the order in force for it.
	Command(decision auction.Decision, mayAct func() bool) error
	// Cancel closes a run's connection and has the server stop the run.
	Cancel(decision auction.Decision)
	// EndRun releases the resources of a run.
	EndRun(id string, run int)
}
