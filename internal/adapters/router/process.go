// Package router is the data plane's process: its conduct and the adapters
// that carry it out.
package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/discovery"
	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/ports"
	"seamloom.example/seamloom/internal/adapters/proxy"
	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/adapters/usage"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/scheduler"
)

// Process is one router.
type Process struct {
	tomb      tomb.Tomb
	lifetime  context.Context
	logger    *log.Logger
	clock     *osruntime.Clock
	conduct   *dataplane.Router
	supported features.List
	ledger    *usage.Ledger
	calls     counterCalls

	mutex  sync.Mutex
	chosen settings.Settings
}

// tickPause lies between two looks at what is still running while the process ends.
const tickPause = 20 * time.Millisecond

// Ports are what a router reaches a platform by. Those left out are the product's
// own.
type Ports struct {
	Directory ports.Directory
	Orders    ports.Orders
	// Words are the headers and paths of opaque calls.
	Words *proxy.Words
	// CallsOnly tells that servers speak no requests: they are not asked for what the
	// market of requests needs.
	CallsOnly bool
	// Retries bounds what all routers send beyond the first dispatch of each
	// opaque call.
	Retries scheduler.RetryAllowance
}

// Start listens and begins to work.
func Start(chosen settings.Settings, logger *log.Logger, clock *osruntime.Clock, reached Ports) (*Process, error) {
	supported := chosen.Supported()
	process := &Process{logger: logger, clock: clock, chosen: chosen, supported: supported, ledger: usage.NewLedger()}
	process.lifetime = process.tomb.Context(context.Background())
	rt := osruntime.New(process.lifetime, clock)
	if reached.Directory == nil {
		reached.Directory = discovery.New(rpc.Transport(chosen.Detours))
	}
	kitchen := modelserver.New(process.lifetime, rt, rpc.Transport(chosen.Detours))
	options := dataplane.Options{Options: seamloom.Options{Router: chosen.Name, Zone: chosen.Zone, MaxRequests: chosen.MostRequests,
		Supported: supported, LeastLoaded: chosen.Market == "least_loaded", Retries: reached.Retries}, Address: chosen.Address, Seeds: chosen.Seeds, Nonce: uuid.NewString, Ended: process.noteEnd,
		Directory: ports.Here{Directory: reached.Directory, Lifetime: process.lifetime, Address: process.platform}, Board: process.prepareCalls(rt),
		ServeWithoutLease: chosen.ServeWithoutLease, ApplyWithin: chosen.ApplyWithin}
	if !reached.CallsOnly {
		options.Pressures = kitchen
	}
	process.conduct = dataplane.NewRouter(rt, rpc.Line{Caller: rpc.NewCaller(chosen.Detours), Lifetime: process.lifetime},
		commanding(kitchen, reached.Orders),
		&passing{client: rpc.NewClient(rpc.Transport(chosen.Detours)), lifetime: process.lifetime}, options, process.observe)
	if err := process.takeCalls(rt, reached); err != nil {
		return nil, err
	}
	if err := daemon.Serve(&process.tomb, chosen.Address, process.mux()); err != nil {
		return nil, err
	}
	if err := process.openCalls(); err != nil {
		return nil, process.giveUp(err)
	}
	for _, round := range process.conduct.Rounds() {
		process.tomb.Go(func() error { round(); return nil })
	}
	logger.Info("listening", "address", chosen.Address, "supported", supported)
	return process, nil
}

func (p *Process) observe(event string, detail ...any) { p.logger.Info(event, detail...) }

// Conduct is what the router does, for who mounts further ways in.
func (p *Process) Conduct() *dataplane.Router { return p.conduct }

// Answer listens on a further address for as long as the process lives.
func (p *Process) Answer(address string, handler http.Handler) error {
	return daemon.Serve(&p.tomb, address, handler)
}

// platform is the address of the platform's lists.
func (p *Process) platform() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.chosen.Platform
}

// noteEnd counts a request's use.
func (p *Process) noteEnd(request *auction.Request, decision auction.Decision) {
	p.ledger.Note(p.clock.Wall(), usage.Row{Router: p.chosen.Name, Service: request.Service, Client: request.Client,
		Final: string(decision.Final), PromptTokens: int64(request.PromptTokens), Chunks: int64(decision.Chunks)})
}

// Drain stops letting in, waits for what runs until the patience ends, and
// ends the process.
func (p *Process) Drain(patience time.Duration) error {
	p.conduct.Apply(auction.Event{Kind: auction.DrainStarted})
	p.logger.Info("draining", "in_flight", p.conduct.Core().InFlightRequests())
	ends := p.clock.Now().Add(patience)
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	p.retireCalls(patience)
	for p.conduct.Core().InFlightRequests() > 0 && p.clock.Now().Before(ends) {
		<-ticker.C
	}
	p.logger.Info("drained", "in_flight", p.conduct.Core().InFlightRequests())
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Dead is closed when the process has ended by itself.
func (p *Process) Dead() <-chan struct{} { return p.tomb.Dead() }

// Reload takes settings that may change while the process runs.
func (p *Process) Reload(next settings.Settings) {
	p.mutex.Lock()
	stays := p.chosen.Reload(next)
	seeds, level, without := p.chosen.Seeds, p.chosen.LogLevel, p.chosen.ServeWithoutLease
	p.mutex.Unlock()
	p.conduct.SetSeeds(seeds)
	p.conduct.SetServeWithoutLease(without)
	if parsed, err := log.ParseLevel(level); err == nil {
		p.logger.SetLevel(parsed)
	}
	p.logger.Info("reloaded", "needs_restart", stays)
}

// Grace is how long what runs may go on after the process was told to end.
func (p *Process) Grace() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.chosen.Grace
}

// commanding has servers commanded by a platform's own orders, if there are any.
func commanding(kitchen *modelserver.ModelServer, orders ports.Orders) dataplane.ModelServer {
	if orders == nil {
		return kitchen
	}
	return &orderly{ModelServer: kitchen, orders: orders}
}

// orderly is a client to model servers whose parts are ordered in a platform's way.
type orderly struct {
	*modelserver.ModelServer
	orders ports.Orders
}

// Command has a server take a part. One that is late is worse than none: it ends
// with the duty's hold.
func (o *orderly) Command(decision auction.Decision, may func() bool) error {
	return o.Within(decision, func(lifetime context.Context) error { return o.orders.Order(lifetime, decision, may) })
}
