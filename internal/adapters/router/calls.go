package router

import (
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/proxy"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/scheduler"
)

// counterCalls are what serves opaque calls in a process, if its settings name an
// address for them.
type counterCalls struct {
	connections *proxy.Connections
	conduct     *dataplane.Calls
	intake      *proxy.Intake
	gate        *proxy.Gate
}

// prepareCalls makes the conduct of opaque calls over the core's window.
func (p *Process) prepareCalls(rt *osruntime.Runtime) func(deciding *scheduler.Scheduler) dataplane.Board {
	chosen := p.chosen
	if chosen.CallsAddress == "" && chosen.ReadyAddress == "" {
		return nil
	}
	p.calls.connections = proxy.NewConnections(chosen.Detours)
	return func(deciding *scheduler.Scheduler) dataplane.Board {
		p.calls.conduct = dataplane.NewCalls(rt, deciding, p.calls.connections.SetServers)
		return p.calls.conduct
	}
}

// takeCalls makes the intake of calls; nothing listens yet.
func (p *Process) takeCalls(rt *osruntime.Runtime, reached Ports) error {
	if p.calls.conduct == nil {
		return nil
	}
	words := proxy.DefaultWords()
	if reached.Words != nil {
		words = *reached.Words
	}
	intake, err := proxy.NewIntake(p.lifetime, words, p.calls.connections, p.calls.conduct, rt.Now)
	p.calls.intake = intake
	return err
}

// openCalls begins to listen for calls.
func (p *Process) openCalls() error {
	if p.calls.intake == nil {
		return nil
	}
	gate, err := proxy.Open(&p.tomb, p.calls.intake, p.chosen.CallsAddress, p.chosen.ReadyAddress)
	p.calls.gate = gate
	return err
}

// retireCalls lets the calls under way end, within the grace.
func (p *Process) retireCalls(grace time.Duration) {
	if p.calls.gate == nil {
		return
	}
	p.calls.conduct.Retire(grace, p.calls.gate.DismissIdle)
	p.calls.gate.Close()
}

// giveUp ends a process that could not start, and gives the cause.
func (p *Process) giveUp(cause error) error {
	p.tomb.Kill(cause)
	_ = p.tomb.Wait()
	return cause
}
