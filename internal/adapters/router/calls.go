package router

import (
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/proxy"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/scheduler"
)

// callProxy are what serves opaque calls in a process, if its settings name an
// address for them.
type callProxy struct {
	pool     *proxy.Pool
	calls    *dataplane.Calls
	handler  *proxy.Handler
	frontend *proxy.Frontend
}

// prepareCalls makes the conduct of opaque calls over the core's window.
func (p *Process) prepareCalls(rt *osruntime.Runtime) func(deciding *scheduler.Scheduler) dataplane.CallService {
	chosen := p.settings
	if chosen.CallsAddress == "" && chosen.ReadyAddress == "" {
		return nil
	}
	p.proxy.pool = proxy.NewPool(chosen.Detours)
	return func(deciding *scheduler.Scheduler) dataplane.CallService {
		p.proxy.calls = dataplane.NewCalls(rt, deciding, p.proxy.pool.SetServers)
		return p.proxy.calls
	}
}

// newCallHandler makes the intake of calls; nothing listens yet.
func (p *Process) newCallHandler(rt *osruntime.Runtime, reached Ports) error {
	if p.proxy.calls == nil {
		return nil
	}
	protocol := proxy.DefaultProtocol()
	if reached.Protocol != nil {
		protocol = *reached.Protocol
	}
	handler, err := proxy.NewHandler(p.ctx, protocol, p.proxy.pool, p.proxy.calls, rt.Now)
	p.proxy.handler = handler
	return err
}

// listenForCalls begins to listen for calls.
func (p *Process) listenForCalls() error {
	if p.proxy.handler == nil {
		return nil
	}
	frontend, err := proxy.Listen(&p.tomb, p.proxy.handler, p.settings.CallsAddress, p.settings.ReadyAddress)
	p.proxy.frontend = frontend
	return err
}

// drainCalls lets the calls under way end, within the grace.
func (p *Process) drainCalls(grace time.Duration) {
	if p.proxy.frontend == nil {
		return
	}
	p.proxy.calls.Retire(grace, p.proxy.frontend.DismissIdle)
	p.proxy.frontend.Close()
}

// abort ends a process that could not start, and gives the cause.
func (p *Process) abort(cause error) error {
	p.tomb.Kill(cause)
	_ = p.tomb.Wait()
	return cause
}
