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
	ctx       context.Context
	logger    *log.Logger
	clock     *osruntime.Clock
	router    *dataplane.Router
	supported features.List
	usage     *usage.Meter
	proxy     callProxy
	ages      *updateAges

	mutex    sync.Mutex
	settings settings.Settings
}

// drainPollInterval lies between two looks at what is still running while the process ends.
const drainPollInterval = 20 * time.Millisecond

// Ports are what a router reaches a platform by. Those left out are the product's
// own.
type Ports struct {
	Directory ports.Directory
	Orders    ports.Orders
	// Protocol are the headers and paths of opaque calls.
	Protocol *proxy.Protocol
	// CallsOnly tells that servers speak no requests: they are not asked for what the
	// market of requests needs.
	CallsOnly bool
	// Retries bounds what all routers send beyond the first dispatch of each
	// opaque call.
	Retries scheduler.RetryAllowance
	// StoredConfiguration translates what earlier releases stored; nil: nothing needs it.
	StoredConfiguration func(text []byte) ([]byte, error)
	// QuotaTolerance is how far the calls of a tenant may go beyond its limit.
	QuotaTolerance dataplane.QuotaTolerance
}

// Start listens and begins to work.
func Start(chosen settings.Settings, logger *log.Logger, clock *osruntime.Clock, reached Ports) (*Process, error) {
	supported := chosen.Supported()
	process := &Process{logger: logger, clock: clock, settings: chosen, supported: supported, usage: usage.NewMeter(), ages: newUpdateAges()}
	process.ctx = process.tomb.Context(context.Background())
	rt := osruntime.New(process.ctx, clock)
	if reached.Directory == nil {
		reached.Directory = discovery.New(rpc.Transport(chosen.Detours))
	}
	servers := modelserver.New(process.ctx, rt, rpc.Transport(chosen.Detours))
	options := dataplane.Options{
		Options: seamloom.Options{
			Router:      chosen.Name,
			Zone:        chosen.Zone,
			MaxRequests: chosen.MaxRequests,
			Supported:   supported,
			LeastLoaded: chosen.Market == "least_loaded",
			Retries:     reached.Retries,

			StoredConfiguration: reached.StoredConfiguration,
		},
		Address:           chosen.Address,
		Seeds:             chosen.Seeds,
		Neighbours:        chosen.Neighbours,
		ObserveAge:        process.ages.observe,
		Nonce:             uuid.NewString,
		OnEnded:           process.recordUsage,
		Directory:         ports.FixedDirectory{Directory: reached.Directory, Context: process.ctx, Address: process.platform},
		CallService:       process.prepareCalls(rt),
		ServeWithoutLease: chosen.ServeWithoutLease,
		ApplyWithin:       chosen.ApplyWithin,
		QuotaTolerance:    reached.QuotaTolerance,
	}
	if !reached.CallsOnly {
		options.LoadReader = servers
	}
	process.router = dataplane.NewRouter(rt, rpc.Client{Caller: rpc.NewCaller(chosen.Detours), Context: process.ctx},
		withOrders(servers, reached.Orders),
		&forwarder{client: rpc.NewClient(rpc.Transport(chosen.Detours)), ctx: process.ctx}, options, process.observe)
	if err := process.newCallHandler(rt, reached); err != nil {
		return nil, err
	}
	if err := daemon.Serve(&process.tomb, chosen.Address, process.mux(), clock.Now); err != nil {
		return nil, err
	}
	if err := process.listenForCalls(); err != nil {
		return nil, process.abort(err)
	}
	for _, round := range process.router.Loops() {
		process.tomb.Go(func() error { round(); return nil })
	}
	logger.Info("listening", "address", chosen.Address, "supported", supported)
	return process, nil
}

func (p *Process) observe(event string, detail ...any) { p.logger.Info(event, detail...) }

// Router is what the router does, for who mounts further ways in.
func (p *Process) Router() *dataplane.Router { return p.router }

// Answer listens on a further address for as long as the process lives.
func (p *Process) Answer(address string, handler http.Handler) error {
	return daemon.Serve(&p.tomb, address, handler, p.clock.Now)
}

// platform is the address of the platform's lists.
func (p *Process) platform() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.settings.Platform
}

// recordUsage counts a request's use.
func (p *Process) recordUsage(request *auction.Request, decision auction.Decision) {
	p.usage.Record(p.clock.Wall(), usage.Row{Router: p.settings.Name, Service: request.Service, Client: request.Client,
		Final: string(decision.Final), PromptTokens: int64(request.PromptTokens), Chunks: int64(decision.Chunks)})
}

// Drain stops letting in, waits for what runs until the patience ends, and
// ends the process.
func (p *Process) Drain(grace time.Duration) error {
	p.router.Apply(auction.Event{Kind: auction.DrainStarted})
	p.logger.Info("draining", "in_flight", p.router.Core().InFlightRequests())
	deadline := p.clock.Now().Add(grace)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	p.drainCalls(grace)
	for p.router.Core().InFlightRequests() > 0 && p.clock.Now().Before(deadline) {
		<-ticker.C
	}
	p.logger.Info("drained", "in_flight", p.router.Core().InFlightRequests())
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Dead is closed when the process has ended by itself.
func (p *Process) Dead() <-chan struct{} { return p.tomb.Dead() }

// Reload takes settings that may change while the process runs.
func (p *Process) Reload(next settings.Settings) {
	p.mutex.Lock()
	stays := p.settings.Reload(next)
	seeds, level, without := p.settings.Seeds, p.settings.LogLevel, p.settings.ServeWithoutLease
	p.mutex.Unlock()
	p.router.SetSeeds(seeds)
	p.router.SetServeWithoutLease(without)
	if parsed, err := log.ParseLevel(level); err == nil {
		p.logger.SetLevel(parsed)
	}
	p.logger.Info("reloaded", "needs_restart", stays)
}

// Grace is how long what runs may go on after the process was told to end.
func (p *Process) Grace() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.settings.Grace
}

// withOrders has servers commanded by a platform's own orders, if there are any.
func withOrders(servers *modelserver.Client, orders ports.Orders) dataplane.ModelServer {
	if orders == nil {
		return servers
	}
	return &orderingClient{Client: servers, orders: orders}
}

// orderingClient is a client to model servers whose parts are ordered in a platform's way.
type orderingClient struct {
	*modelserver.Client
	orders ports.Orders
}

// Command has a server take a part. One that is late is worse than none: it ends
// with the duty's hold.
func (o *orderingClient) Command(decision auction.Decision, may func() bool) error {
	return o.WithinGrant(decision, func(ctx context.Context) error { return o.orders.Order(ctx, decision, may) })
}
