package courier

import (
	"time"

	"seamloom.example/seamloom/internal/adapters/calls"
	"seamloom.example/seamloom/internal/adapters/threads"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/window"
)

// counterCalls are what serves opaque calls in a process, if its settings name an
// address for them.
type counterCalls struct {
	conduct *hatch.Calls
	intake  *calls.Intake
	gate    *calls.Gate
}

// prepareCalls makes what serves opaque calls; nothing listens yet.
func (process *Process) prepareCalls(turns *threads.Threads, reached Ports) error {
	chosen := process.chosen
	if chosen.CallsAddress == "" && chosen.ReadyAddress == "" {
		return nil
	}
	words := calls.DefaultWords()
	if reached.Words != nil {
		words = *reached.Words
	}
	circuits := calls.NewCircuits(turns.Now, chosen.Detours)
	deciding := window.New(window.Options{Courier: chosen.Name, District: chosen.District, FurtherTries: reached.FurtherTries})
	process.calls.conduct = hatch.NewCalls(turns, deciding, circuits.SetServers)
	intake, failure := calls.NewIntake(process.lifetime, words, circuits, process.calls.conduct, turns.Now)
	process.calls.intake = intake
	return failure
}

// openCalls begins to listen for calls.
func (process *Process) openCalls() error {
	if process.calls.intake == nil {
		return nil
	}
	gate, failure := calls.Open(&process.tomb, process.calls.intake, process.chosen.CallsAddress, process.chosen.ReadyAddress)
	process.calls.gate = gate
	return failure
}

// retireCalls lets the calls under way end, within the grace.
func (process *Process) retireCalls(grace time.Duration) {
	if process.calls.gate == nil {
		return
	}
	process.calls.conduct.Retire(grace)
	process.calls.gate.Close()
}

// giveUp ends a process that could not start, and gives the cause.
func (process *Process) giveUp(cause error) error {
	process.tomb.Kill(cause)
	_ = process.tomb.Wait()
	return cause
}
