package router

import (
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/proxy"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/scheduler"
)

// counterCalls are what serves opaque calls in a process, if its settings name an
// address for them.
type counterCalls struct {
	connections *proxy.Connections
	conduct     *hatch.Calls
	intake      *proxy.Intake
	gate        *proxy.Gate
}

// prepareCalls makes the conduct of opaque calls over the core's window.
func (process *Process) prepareCalls(rt *osruntime.Runtime) func(deciding *scheduler.Window) hatch.Board {
	chosen := process.chosen
	if chosen.CallsAddress == "" && chosen.ReadyAddress == "" {
		return nil
	}
	process.calls.connections = proxy.NewConnections(chosen.Detours)
	return func(deciding *scheduler.Window) hatch.Board {
		process.calls.conduct = hatch.NewCalls(rt, deciding, process.calls.connections.SetServers)
		return process.calls.conduct
	}
}

// takeCalls makes the intake of calls; nothing listens yet.
func (process *Process) takeCalls(rt *osruntime.Runtime, reached Ports) error {
	if process.calls.conduct == nil {
		return nil
	}
	words := proxy.DefaultWords()
	if reached.Words != nil {
		words = *reached.Words
	}
	intake, err := proxy.NewIntake(process.lifetime, words, process.calls.connections, process.calls.conduct, rt.Now)
	process.calls.intake = intake
	return err
}

// openCalls begins to listen for calls.
func (process *Process) openCalls() error {
	if process.calls.intake == nil {
		return nil
	}
	gate, err := proxy.Open(&process.tomb, process.calls.intake, process.chosen.CallsAddress, process.chosen.ReadyAddress)
	process.calls.gate = gate
	return err
}

// retireCalls lets the calls under way end, within the grace.
func (process *Process) retireCalls(grace time.Duration) {
	if process.calls.gate == nil {
		return
	}
	process.calls.conduct.Retire(grace, process.calls.gate.DismissIdle)
	process.calls.gate.Close()
}

// giveUp ends a process that could not start, and gives the cause.
func (process *Process) giveUp(cause error) error {
	process.tomb.Kill(cause)
	_ = process.tomb.Wait()
	return cause
}
