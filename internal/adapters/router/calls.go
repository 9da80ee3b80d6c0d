package router

import (
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/proxy"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/scheduler"
)

// callProxy holds the parts of a router process that serve opaque calls: requests that are
// forwarded to model servers unchanged. The parts are nil if the settings contain no address for
// calls or readiness checks.
type callProxy struct {
	pool     *proxy.Pool
	calls    *dataplane.Calls
	handler  *proxy.Handler
	frontend *proxy.Frontend
}

// prepareCalls creates the connection pool for opaque calls. It returns a function that creates the CallService,
// given the scheduler of the router's core. If the settings contain no address for calls or readiness checks, it
// creates no pool and returns nil.
func (p *Process) prepareCalls(rt *osruntime.Runtime) func(callScheduler *scheduler.Scheduler) dataplane.CallService {
	nodeSettings := p.settings
	if nodeSettings.CallsAddress == "" && nodeSettings.ReadyAddress == "" {
		return nil
	}
	p.proxy.pool = proxy.NewPool(nodeSettings.Detours)
	return func(callScheduler *scheduler.Scheduler) dataplane.CallService {
		p.proxy.calls = dataplane.NewCalls(rt, callScheduler, p.proxy.pool.SetServers)
		return p.proxy.calls
	}
}

// newCallHandler creates the HTTP handler for calls. It fails if the platform's Protocol is invalid. Start calls
// it before the process listens, so that such a process accepts no connections.
func (p *Process) newCallHandler(rt *osruntime.Runtime, platformPorts Ports) error {
	if p.proxy.calls == nil {
		return nil
	}
	protocol := proxy.DefaultProtocol()
	if platformPorts.Protocol != nil {
		protocol = *platformPorts.Protocol
	}
	handler, err := proxy.NewHandler(p.ctx, protocol, p.proxy.pool, p.proxy.calls, rt.Now)
	p.proxy.handler = handler
	return err
}

// listenForCalls starts to listen for calls and readiness checks.
func (p *Process) listenForCalls() error {
	if p.proxy.handler == nil {
		return nil
	}
	frontend, err := proxy.Listen(&p.tomb, p.proxy.handler, p.settings.CallsAddress, p.settings.ReadyAddress)
	p.proxy.frontend = frontend
	return err
}

// drainCalls waits until no call is in flight or the grace period is nearly over, and then closes the listeners.
// While it waits, it closes idle connections once load balancers have noticed that the router is not ready.
func (p *Process) drainCalls(grace time.Duration) {
	if p.proxy.frontend == nil {
		return
	}
	p.proxy.calls.Shutdown(grace, p.proxy.frontend.CloseIdleConnections)
	p.proxy.frontend.Close()
}

// abort terminates a process that failed to start, and returns the cause.
func (p *Process) abort(cause error) error {
	p.tomb.Kill(cause)
	_ = p.tomb.Wait()
	return cause
}
