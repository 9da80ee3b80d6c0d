// Package router runs a router, the process of the data plane. It connects the
// logic of package dataplane to the network, the clock and the platform.
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

// drainPollInterval is the interval at which Drain counts the requests in flight.
const drainPollInterval = 20 * time.Millisecond

// Ports are the interfaces and parameters by which a router is adapted to a platform. If a field has its zero
// value, the router uses seamloom's own implementation or a default.
type Ports struct {
	// Directory reads the lists of servers and nodes, and Orders sends orders to model servers.
	Directory ports.Directory
	Orders    ports.OrderSender
	// Protocol defines the headers and paths of opaque calls.
	Protocol *proxy.Protocol
	// CallsOnly means that the model servers serve only opaque calls. The router then does not
	// read the loads that the auction of requests needs.
	CallsOnly bool
	// Retries limits the dispatches that all routers together send beyond the first dispatch
	// of each opaque call.
	Retries scheduler.RetryAllowance
	// StoredConfiguration converts a configuration that an earlier release stored to the current
	// format. Nil means that no conversion is needed.
	StoredConfiguration func(text []byte) ([]byte, error)
	// QuotaTolerance is how far the calls of a tenant may exceed its limit.
	QuotaTolerance dataplane.QuotaTolerance
}

// Start starts a router: it listens on the addresses in the settings and runs the router's loops.
func Start(nodeSettings settings.Settings, logger *log.Logger, clock *osruntime.Clock, platformPorts Ports) (*Process, error) {
	supported := nodeSettings.Supported()
	process := &Process{
		logger: logger, clock: clock, settings: nodeSettings, supported: supported, usage: usage.NewMeter(), ages: newUpdateAges(),
	}
	process.ctx = process.tomb.Context(context.Background())
	rt := osruntime.New(process.ctx, clock)
	if platformPorts.Directory == nil {
		platformPorts.Directory = discovery.New(rpc.Transport(nodeSettings.Detours))
	}
	modelServers := modelserver.New(process.ctx, rt, rpc.Transport(nodeSettings.Detours))
	options := dataplane.Options{
		Options: seamloom.Options{
			Router:      nodeSettings.Name,
			Zone:        nodeSettings.Zone,
			MaxRequests: nodeSettings.MaxRequests,
			Supported:   supported,
			LeastLoaded: nodeSettings.Market == "least_loaded",
			Retries:     platformPorts.Retries,

			StoredConfiguration: platformPorts.StoredConfiguration,
		},
		Address:           nodeSettings.Address,
		Seeds:             nodeSettings.Seeds,
		Neighbours:        nodeSettings.Neighbours,
		ObserveAge:        process.ages.observe,
		Nonce:             uuid.NewString,
		OnEnded:           process.recordUsage,
		Directory:         ports.ProcessDirectory{Directory: platformPorts.Directory, Context: process.ctx, Address: process.platformAddress},
		CallService:       process.prepareCalls(rt),
		ServeWithoutLease: nodeSettings.ServeWithoutLease,
		ApplyWithin:       nodeSettings.ApplyWithin,
		QuotaTolerance:    platformPorts.QuotaTolerance,
	}
	if !platformPorts.CallsOnly {
		options.LoadReader = modelServers
	}
	process.router = dataplane.NewRouter(rt, rpc.Client{Caller: rpc.NewCaller(nodeSettings.Detours), Context: process.ctx},
		withOrders(modelServers, platformPorts.Orders),
		&forwarder{client: rpc.NewClient(rpc.Transport(nodeSettings.Detours)), ctx: process.ctx}, options, process.observe)
	if err := process.newCallHandler(rt, platformPorts); err != nil {
		return nil, err
	}
	if err := daemon.Serve(&process.tomb, nodeSettings.Address, process.mux(), clock.Now); err != nil {
		return nil, err
	}
	if err := process.listenForCalls(); err != nil {
		return nil, process.abort(err)
	}
	for _, loop := range process.router.Loops() {
		process.tomb.Go(func() error { loop(); return nil })
	}
	logger.Info("listening", "address", nodeSettings.Address, "supported", supported)
	return process, nil
}

// observe logs an event of the data plane.
func (p *Process) observe(event string, detail ...any) { p.logger.Info(event, detail...) }

// Router returns the data plane's router, for handlers on additional addresses.
func (p *Process) Router() *dataplane.Router { return p.router }

// Serve serves the handler on an additional address until the process ends.
func (p *Process) Serve(address string, handler http.Handler) error {
	return daemon.Serve(&p.tomb, address, handler, p.clock.Now)
}

// platformAddress returns the address, in the current settings, of the platform that provides the lists of
// servers and nodes.
func (p *Process) platformAddress() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.settings.Platform
}

// recordUsage records the usage of a request that has ended.
func (p *Process) recordUsage(request *auction.Request, decision auction.Decision) {
	p.usage.Record(p.clock.Wall(), usage.Row{Router: p.settings.Name, Service: request.Service, Client: request.Client,
		Final: string(decision.Final), PromptTokens: int64(request.PromptTokens), Chunks: int64(decision.Chunks)})
}

// Drain stops admission, waits until no request is in flight or the grace period is over, and then
// terminates the process.
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

// Dead returns a channel that is closed when the router has ended, whether or not Drain was called.
func (p *Process) Dead() <-chan struct{} { return p.tomb.Dead() }

// Reload applies the settings that can change while the process runs, and logs which other changes need a restart.
func (p *Process) Reload(next settings.Settings) {
	p.mutex.Lock()
	needRestart := p.settings.Reload(next)
	seeds, level, serveWithoutLease := p.settings.Seeds, p.settings.LogLevel, p.settings.ServeWithoutLease
	p.mutex.Unlock()
	p.router.SetSeeds(seeds)
	p.router.SetServeWithoutLease(serveWithoutLease)
	if parsed, err := log.ParseLevel(level); err == nil {
		p.logger.SetLevel(parsed)
	}
	p.logger.Info("reloaded", "needs_restart", needRestart)
}

// Grace returns how long requests in flight may continue after the process was asked to terminate.
func (p *Process) Grace() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.settings.Grace
}

// withOrders returns the client to model servers, which sends orders through the platform's OrderSender if
// orders is not nil.
func withOrders(modelServers *modelserver.Client, orders ports.OrderSender) dataplane.ModelServer {
	if orders == nil {
		return modelServers
	}
	return &orderingClient{Client: modelServers, orders: orders}
}

// orderingClient is a client to model servers that sends orders through a platform's OrderSender.
type orderingClient struct {
	*modelserver.Client
	orders ports.OrderSender
}

// Command sends the order through the OrderSender instead of by modelserver's protocol. The command is abandoned
// when the lease to command the server ends, because a late command does more harm than a missing one.
func (o *orderingClient) Command(decision auction.Decision, maySend func() bool) error {
	return o.WithLeaseContext(decision, func(ctx context.Context) error { return o.orders.Order(ctx, decision, maySend) })
}
