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

// Core is the deterministic state machine of one router. It admits requests and opaque calls,
// selects their servers, retries within a budget, and makes the decisions of the roles that the
// router holds. Its methods are safe for concurrent use. If all events come from one goroutine,
// the same sequence of events gives the same decisions.
type Core struct {
	options          Options
	market           *auction.Market
	dispatcher       *auction.Dispatcher
	roleBalancer     *auction.RoleBalancer
	calls            *scheduler.Scheduler
	callRoleBalancer *scheduler.RoleBalancer
	enabled          atomic.Pointer[FlagList]
	// rejected counts the received configurations that this build could not read.
	rejected atomic.Int64

	// mutex guards the fields below.
	mutex sync.Mutex
	// roles are the roles that this router holds until roleEnds.
	roles        []Role
	roleEnds     time.Time
	nextRoleTick time.Time
	// orders are the orders in force, by the name of the server.
	orders        map[string]Order
	configuration *config.Configuration
	// commandedAt is the time of this router's last command to each server, and
	// commandedToken is the fencing token that the command carried.
	commandedAt    map[string]time.Time
	commandedToken map[string]uint64
	// openCalls are the calls, by ID, that arrived as events and have not ended.
	openCalls map[string]*scheduler.CallState
}

// New makes the core of one router. The core admits no request until it has received the list
// of servers, their loads, the enabled feature flags, a configuration, and a lease that
// confirms the version of that configuration.
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
		commandedToken:   map[string]uint64{},
		openCalls:        map[string]*scheduler.CallState{},
	}
}

// Apply applies one event and returns the decisions that the program must carry out now, in the
// returned order. It never fails: an event that matches no request or call, or that lacks a required
// field, changes nothing. Events should arrive in the order of their times. Deadlines, timeouts and
// roles are checked only on events of kind auction.Ticked; send one every few milliseconds
// while requests are in flight.
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

// applyToRequest applies an event that concerns one request.
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
		return c.dispatcher.HandleChunk(event.At, event.ID, event.Run, event.Chunk, event.Text)
	case auction.DecodeEnded:
		return c.dispatcher.Decoded(event.At, event.ID, event.Run, event.Outcome, event.Chunk)
	case auction.ClientDisconnected:
		return c.dispatcher.ClientDisconnected(event.At, event.ID)
	}
	return nil
}

// applyToCall applies an event that concerns one opaque call.
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

// applyFleet applies an event that concerns the servers or the number of routers.
func (c *Core) applyFleet(event Event) {
	switch event.Kind {
	case auction.ServersListed:
		c.market.SetServers(event.Servers)
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

// applyOrders applies the orders in force, by the name of the server.
func (c *Core) applyOrders(event Event) {
	c.mutex.Lock()
	c.orders = event.Orders
	c.mutex.Unlock()
	roles := make(map[string]string, len(event.Orders))
	for server, order := range event.Orders {
		roles[server] = order.Role
	}
	c.calls.SetRoleOrders(event.At, roles)
}

// applyConfiguration brings a received configuration into force.
func (c *Core) applyConfiguration(event Event) {
	configuration, err := c.readConfiguration(event.Configuration)
	if err != nil {
		// Controllers validate a configuration before they accept it. If this build can't
		// read it, the router keeps the configuration in force, and the dispatcher ignores
		// leases that confirm the new version.
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

// readConfiguration parses and validates a configuration in its stored form.
func (c *Core) readConfiguration(text []byte) (*config.Configuration, error) {
	if c.options.StoredConfiguration != nil {
		var err error
		if text, err = c.options.StoredConfiguration(text); err != nil {
			return nil, err
		}
	}
	configuration, err := config.Check(text)
	if err == nil && configuration.Tenants != nil && !c.options.Supported.Has(features.Tenants) {
		// A build that doesn't support tenants would serve calls without an API key.
		return nil, failure.New(failure.NotSupported, "the configuration has tenants, which this build does not support")
	}
	return configuration, err
}

// applyLease extends the router's lease and replaces the router's roles by those in the event. ExtendLease
// ignores a lease on a version that is not in force; the roles are replaced even then.
func (c *Core) applyLease(event Event) {
	c.dispatcher.ExtendLease(event.LeaseEnds, event.Epoch, event.Number)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.roles = event.Roles
	c.roleEnds = event.LeaseEnds
}

// Calls returns the scheduler of opaque calls. A program that serves each call in its own
// goroutine uses the scheduler directly instead of sending events about calls.
func (c *Core) Calls() *scheduler.Scheduler { return c.calls }

// callArrived admits a call and returns its first decision.
func (c *Core) callArrived(event Event) []Decision {
	open, decision := c.calls.Arrive(event.At, event.Call)
	if open != nil {
		c.mutex.Lock()
		c.openCalls[event.Call.ID] = open
		c.mutex.Unlock()
	}
	return []Decision{{Kind: auction.CallDecided, ID: event.Call.ID, Call: &decision}}
}

// callEnded applies the end of a dispatch of a call and returns the call's next decision.
func (c *Core) callEnded(event Event) []Decision {
	c.mutex.Lock()
	open, found := c.openCalls[event.ID]
	c.mutex.Unlock()
	if !found {
		return nil
	}
	decision := c.calls.Ended(event.At, open, *event.Result)
	if !decision.Kind.SendsOrReads() {
		c.mutex.Lock()
		delete(c.openCalls, event.ID)
		c.mutex.Unlock()
	}
	return []Decision{{Kind: auction.CallDecided, ID: event.ID, Call: &decision}}
}

// InForce returns the version of the configuration in force, or zero before the first one.
func (c *Core) InForce() (epoch, number uint64) { return c.dispatcher.InForce() }

// LeaseEnds returns when the router's lease expires, or the zero time before the first lease.
func (c *Core) LeaseEnds() time.Time { return c.dispatcher.LeaseEnds() }

// SetServeWithoutLease sets how long requests are still admitted after the last lease has
// expired, under the configuration in force. With zero, the default, admission ends with the
// lease. Roles always require a lease.
func (c *Core) SetServeWithoutLease(period time.Duration) { c.dispatcher.SetServeWithoutLease(period) }

// ServesUntil returns the time at which admission of requests ends.
func (c *Core) ServesUntil() time.Time { return c.dispatcher.ServesUntil() }

// Enabled returns the enabled feature flags that were read last, or nil before the first read.
func (c *Core) Enabled() FlagList {
	if enabled := c.enabled.Load(); enabled != nil {
		return *enabled
	}
	return nil
}

// Restricted reports whether this build lacks an enabled feature flag, or has not read the
// enabled flags yet. A restricted router writes no records and takes no roles.
func (c *Core) Restricted() bool {
	enabled := c.enabled.Load()
	return enabled == nil || len(c.options.Supported.Missing(*enabled)) > 0
}

// InFlight returns the number of requests that the dispatcher has admitted and that have no final status yet.
// It leaves out opaque calls, which the call scheduler counts; InFlightRequests includes them.
func (c *Core) InFlight() int { return c.dispatcher.InFlight() }

// InFlightRequests returns the number of requests of both kinds in flight: those that InFlight counts, and the
// opaque calls that have not ended. A draining router waits until it is zero, or until its grace period ends.
func (c *Core) InFlightRequests() int { return c.dispatcher.InFlight() + c.calls.InFlight() }

// HasRoles reports whether the last lease assigned any roles to the router.
func (c *Core) HasRoles() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.roles) > 0
}

// Draining reports whether the router is draining. A draining router admits no further requests
// or calls.
func (c *Core) Draining() bool { return c.dispatcher.Draining() }

// Counts returns the counters since the start, by their names in the metrics, and the number
// of requests "in_flight".
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
		// The sum and the maximum, over the warming dispatches, of the age that the list of servers had
		// at the dispatch.
		"warming_list_age_milliseconds":      warming.ListAge.Milliseconds(),
		"most_warming_list_age_milliseconds": warming.MaxListAge.Milliseconds(),
		"warming_late_news":                  warming.LateNotices,
	}
}

// ReadOrders decodes the records of the orders in force, by the name of the server. It skips
// records that can't be decoded or that require a feature flag that this build lacks.
func (c *Core) ReadOrders(records map[string]codec.Record) map[string]Order {
	orders := map[string]Order{}
	for server, record := range records {
		if order, err := codec.DecodeOrder(record, c.options.Supported); err == nil {
			orders[server] = order
		}
	}
	return orders
}
