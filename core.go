package seamloom

import (
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/scheduler"
)

// Core is the deterministic state machine of one router: it admits requests and opaque
// calls, picks their servers, retries within a budget, and decides what the router's roles
// ask for. Its methods may be called from several threads; fed from one, the same events
// give the same decisions.
type Core struct {
	options          Options
	market           *auction.Market
	dispatcher       *auction.Dispatcher
	roleBalancer     *auction.RoleBalancer
	calls            *scheduler.Scheduler
	callRoleBalancer *scheduler.RoleBalancer
	enabled          atomic.Pointer[FlagList]
	// rejected counts the configurations that this build could not read.
	rejected atomic.Int64

	// mutex guards what follows.
	mutex sync.Mutex
	// roles are the keys that this router holds until roleEnds.
	roles        []Role
	roleEnds     time.Time
	nextRoleTick time.Time
	// orders are the orders in force, by server.
	orders        map[string]Order
	configuration *config.Configuration
	// commandedAt and announcedToken are when, and with which fencing token, this router
	// commanded a server last.
	commandedAt    map[string]time.Time
	announcedToken map[string]uint64
	// openCalls are the calls that came by events and have not ended, by ID.
	openCalls map[string]*scheduler.CallState
}

// New makes the core of one router. It admits nothing before it was fed the servers, their
// loads, the enabled flags, a configuration and a lease that confirms it.
func New(options Options) *Core {
	if options.MaxRequests <= 0 {
		options.MaxRequests = DefaultMaxRequests
	}
	market := auction.NewMarket(options.Zone, options.LeastLoaded)
	calls := scheduler.New(scheduler.Options{
		Router:  options.Router,
		Zone:    options.Zone,
		Retries: options.Retries,
	})
	return &Core{
		options:          options,
		market:           market,
		dispatcher:       auction.NewDispatcher(market, options.Zone, options.MaxRequests),
		roleBalancer:     auction.NewRoleBalancer(options.FixedRoles),
		calls:            calls,
		callRoleBalancer: scheduler.NewRoleBalancer(),
		orders:           map[string]Order{},
		configuration:    config.Empty(),
		commandedAt:      map[string]time.Time{},
		announcedToken:   map[string]uint64{},
		openCalls:        map[string]*scheduler.CallState{},
	}
}

// Apply feeds the core one event and returns what is to be done now, in that order. It
// never fails: an event that fits no request, or lacks its fields, changes nothing. Events
// should come in the order of their times. Deadlines, timeouts and roles are looked at only
// on those of kind auction.Ticked; feed one every few milliseconds while requests are in
// flight.
func (c *Core) Apply(event Event) []Decision {
	switch event.Kind {
	case auction.Ticked:
		return append(c.dispatcher.Tick(event.At), c.roleDecisions(event.At)...)
	case auction.RequestArrived, auction.ClaimAnswered, auction.PrefillAnswered,
		auction.ChunkReceived, auction.DecodeEnded, auction.ClientDisconnected:
		return c.applyToRequest(event)
	case auction.CallArrived, auction.CallEnded:
		return c.applyToCall(event)
	case auction.ConfigurationReceived, auction.ConfigurationProvisional, auction.LeaseRenewed,
		auction.FlagsRead, auction.OrdersRead, auction.DrainStarted:
		c.applyControl(event)
	default:
		c.applyFleet(event)
	}
	return nil
}

// applyToRequest applies an event about one request.
func (c *Core) applyToRequest(event Event) []Decision {
	switch event.Kind {
	case auction.RequestArrived:
		if event.Request != nil {
			return c.dispatcher.Arrive(event.At, event.Request)
		}
	case auction.ClaimAnswered:
		return c.dispatcher.Claimed(event.At, event.ID, event.Outcome, event.Detail)
	case auction.PrefillAnswered:
		return c.dispatcher.Prefilled(event.At, event.ID, event.Run, event.Outcome, event.Handle)
	case auction.ChunkReceived:
		return c.dispatcher.Chunk(event.At, event.ID, event.Run, event.Chunk, event.Text)
	case auction.DecodeEnded:
		return c.dispatcher.Decoded(event.At, event.ID, event.Run, event.Outcome, event.Chunk)
	case auction.ClientDisconnected:
		return c.dispatcher.ClientDisconnected(event.At, event.ID)
	}
	return nil
}

// applyToCall applies an event about one opaque call.
func (c *Core) applyToCall(event Event) []Decision {
	switch {
	case event.Kind == auction.CallArrived && event.Call != nil:
		return c.callArrived(event)
	case event.Kind == auction.CallEnded && event.Result != nil:
		return c.callEnded(event)
	}
	return nil
}

// applyControl applies an event from the control plane.
func (c *Core) applyControl(event Event) {
	switch event.Kind {
	case auction.ConfigurationReceived:
		c.applyConfiguration(event)
	case auction.ConfigurationProvisional:
		c.applyConfiguration(event)
		c.dispatcher.ServeProvisionally(event.At)
	case auction.LeaseRenewed:
		c.applyLease(event)
	case auction.FlagsRead:
		enabled := event.Enabled
		c.enabled.Store(&enabled)
		c.dispatcher.SetForwarding(c.Restricted())
	case auction.OrdersRead:
		c.applyOrders(event)
	case auction.DrainStarted:
		c.dispatcher.Drain()
		c.calls.Drain()
	}
}

// applyFleet applies an event about the servers and the other routers.
func (c *Core) applyFleet(event Event) {
	switch event.Kind {
	case auction.ServersListed:
		c.market.List(event.Servers)
		c.calls.SetServers(event.At, event.Servers)
	case auction.LoadReported:
		if event.Load != nil {
			c.market.Report(event.At, *event.Load)
		}
	case auction.LoadsReported:
		c.calls.SetLoads(event.At, event.Loads)
	case auction.RoutersCounted:
		c.market.SetRouters(int(event.Number))
		c.calls.SetRouterCount(int(event.Number))
	}
}

func (c *Core) applyOrders(event Event) {
	c.mutex.Lock()
	c.orders = event.Orders
	c.mutex.Unlock()
	roles := make(map[string]string, len(event.Orders))
	for server, order := range event.Orders {
		roles[server] = order.Part
	}
	c.calls.SetRoleOrders(event.At, roles)
}

func (c *Core) applyConfiguration(event Event) {
	configuration, err := c.readConfiguration(event.Configuration)
	if err != nil {
		// A configuration is checked before it is accepted; one that this build can't
		// read leaves the router without a lease that confirms its version.
		c.rejected.Add(1)
		return
	}
	c.calls.SetRouteTable(scheduler.Compile(configuration, event.Epoch, event.Number))
	if c.dispatcher.SetRouteTable(auction.Compile(configuration, event.Epoch, event.Number)) {
		c.mutex.Lock()
		c.configuration = configuration
		c.mutex.Unlock()
	}
}

// readConfiguration reads a stored configuration.
func (c *Core) readConfiguration(text []byte) (*config.Configuration, error) {
	if c.options.StoredConfiguration != nil {
		var err error
		if text, err = c.options.StoredConfiguration(text); err != nil {
			return nil, err
		}
	}
	configuration, err := config.Check(text)
	if err == nil && configuration.Tenants != nil && !c.options.Supported.Has(features.Tenants) {
		// A build without tenants would serve calls that show no key.
		return nil, failure.New(failure.NotSupported, "the configuration has tenants")
	}
	return configuration, err
}

func (c *Core) applyLease(event Event) {
	c.dispatcher.Renew(event.LeaseEnds, event.Epoch, event.Number)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.roles = event.Roles
	c.roleEnds = event.LeaseEnds
}

// Calls is the scheduler of opaque calls. A program that serves each call in a thread of
// its own uses it directly instead of feeding events about calls.
func (c *Core) Calls() *scheduler.Scheduler { return c.calls }

func (c *Core) callArrived(event Event) []Decision {
	open, decision := c.calls.Arrive(event.At, event.Call)
	if open != nil {
		c.mutex.Lock()
		c.openCalls[event.Call.ID] = open
		c.mutex.Unlock()
	}
	return []Decision{{Kind: auction.CallDecided, ID: event.Call.ID, Call: &decision}}
}

func (c *Core) callEnded(event Event) []Decision {
	c.mutex.Lock()
	open, found := c.openCalls[event.ID]
	c.mutex.Unlock()
	if !found {
		return nil
	}
	decision := c.calls.Ended(event.At, open, *event.Result)
	if decision.Kind != scheduler.Prefill && decision.Kind != scheduler.Generate {
		c.mutex.Lock()
		delete(c.openCalls, event.ID)
		c.mutex.Unlock()
	}
	return []Decision{{Kind: auction.CallDecided, ID: event.ID, Call: &decision}}
}

// InForce is the version of the configuration in force; zero before the first one.
func (c *Core) InForce() (epoch, number uint64) { return c.dispatcher.InForce() }

// LeaseEnds is when the router's lease runs out; zero before the first one.
func (c *Core) LeaseEnds() time.Time { return c.dispatcher.LeaseEnds() }

// SetServeWithoutLease sets for how long requests are admitted after the last lease ran
// out, under the configuration in force; zero, the default, ends admission with the lease.
// Roles always need a lease.
func (c *Core) SetServeWithoutLease(period time.Duration) { c.dispatcher.SetServeWithoutLease(period) }

// ServesUntil is until when requests are admitted.
func (c *Core) ServesUntil() time.Time { return c.dispatcher.ServesUntil() }

// Enabled are the enabled feature flags as they were read last, or nil.
func (c *Core) Enabled() FlagList {
	if enabled := c.enabled.Load(); enabled != nil {
		return *enabled
	}
	return nil
}

// Restricted tells whether this build lacks an enabled feature flag, or has not read the
// enabled flags yet: the router then writes no records and takes no roles.
func (c *Core) Restricted() bool {
	enabled := c.enabled.Load()
	return enabled == nil || len(c.options.Supported.Lacks(*enabled)) > 0
}

// InFlight counts the requests that have no final status yet, without opaque calls.
func (c *Core) InFlight() int { return c.dispatcher.InFlight() }

// InFlightRequests counts requests and opaque calls that have not ended.
func (c *Core) InFlightRequests() int { return c.dispatcher.InFlight() + c.calls.InFlight() }

// HasRoles tells whether the last lease gave the router roles.
func (c *Core) HasRoles() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.roles) > 0
}

// Draining tells whether admission has ended for good.
func (c *Core) Draining() bool { return c.dispatcher.Draining() }

// Counts are counters since the start, by the names that the metrics use, and "in_flight".
func (c *Core) Counts() map[string]int64 {
	counters := c.dispatcher.Counters()
	firstDispatches, retries := c.dispatcher.Budget().Counts()
	warming := c.calls.WarmingCounts()
	return map[string]int64{
		"arrived":                   counters.Arrived.Load(),
		"complete":                  counters.Complete.Load(),
		"refused":                   counters.Refused.Load(),
		"failed":                    counters.Failed.Load(),
		"unknown":                   counters.Unknown.Load(),
		"first_dispatches":          int64(firstDispatches),
		"extra_tries":               int64(retries),
		"in_flight":                 int64(c.dispatcher.InFlight()),
		"unreadable_configurations": c.rejected.Load(),
		"recorded_routers":          int64(c.calls.RecordedRouters()),
		"warming_dispatches":        warming.Dispatches,
		// The age of the list of servers at these dispatches, all together and the most of any.
		"warming_list_age_milliseconds":      warming.ListAge.Milliseconds(),
		"most_warming_list_age_milliseconds": warming.MostListAge.Milliseconds(),
		"warming_late_news":                  warming.LateNews,
	}
}

// ReadOrders decodes the records of the orders in force, by server. It leaves out those
// that need a feature flag that this build lacks, or can't be read.
func (c *Core) ReadOrders(records map[string]codec.Record) map[string]Order {
	orders := map[string]Order{}
	for server, record := range records {
		if order, err := codec.DecodeOrder(record, c.options.Supported); err == nil {
			orders[server] = order
		}
	}
	return orders
}
