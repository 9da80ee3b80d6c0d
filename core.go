package seamloom

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/scheduler"
)

// Core is one router's deterministic core. Apply may be called from several
// threads; fed from one, the same events give the same decisions.
type Core struct {
	options    Options
	market     *auction.Market
	dispatcher *auction.Dispatcher
	balancer   *auction.Balancer
	calls      *scheduler.Scheduler
	pools      *scheduler.RoleBalancer
	enabled    atomic.Pointer[FlagList]
	rejected   atomic.Int64

	mutex          sync.Mutex
	roles          []Role
	roleEnds       time.Time
	orders         map[string]Order
	configuration  *config.Configuration
	commandedAt    map[string]time.Time
	announcedToken map[string]uint64
	nextRoleTick   time.Time
	openCalls      map[string]*scheduler.CallState
}

// New makes a core.
func New(options Options) *Core {
	if options.MaxRequests <= 0 {
		options.MaxRequests = DefaultMaxRequests
	}
	market := auction.NewMarket(options.Router, options.Zone, options.LeastLoaded)
	return &Core{options: options, market: market, dispatcher: auction.NewDispatcher(market, options.Zone, options.MaxRequests),
		calls: scheduler.New(scheduler.Options{Router: options.Router, Zone: options.Zone, Retries: options.Retries}), pools: scheduler.NewRoleBalancer(), openCalls: map[string]*scheduler.CallState{},
		balancer: auction.NewBalancer(options.FixedParts), orders: map[string]Order{}, configuration: config.Empty(), commandedAt: map[string]time.Time{}, announcedToken: map[string]uint64{}}
}

// Apply takes one event and returns what is to be done now.
func (c *Core) Apply(event Event) []Decision {
	switch event.Kind {
	case auction.Ticked:
		return append(c.dispatcher.Tick(event.At), c.roleDecisions(event.At)...)
	case auction.ServersListed:
		c.market.List(event.Servers)
		c.calls.SetServers(event.At, event.Servers)
	case auction.LoadReported:
		if event.Load != nil {
			c.market.Report(event.At, *event.Load)
		}
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
		c.mutex.Lock()
		c.orders = event.Orders
		c.mutex.Unlock()
		parts := make(map[string]string, len(event.Orders))
		for server, order := range event.Orders {
			parts[server] = order.Part
		}
		c.calls.SetRoleOrders(event.At, parts)
	case auction.LoadsReported:
		c.calls.SetLoads(event.At, event.Loads)
	case auction.CallArrived:
		if event.Call != nil {
			return c.callArrived(event)
		}
	case auction.CallEnded:
		if event.Result != nil {
			return c.callEnded(event)
		}
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
	case auction.RoutersCounted:
		c.market.SetRouters(int(event.Number))
		c.calls.SetRouterCount(int(event.Number))
	case auction.DrainStarted:
		c.dispatcher.Drain()
		c.calls.Drain()
	}
	return nil
}

func (c *Core) applyConfiguration(event Event) {
	configuration, err := config.Check(event.Configuration)
	if err != nil {
		// A configuration is checked before it is accepted; one that this build
		// can't read leaves the router without a hold for it.
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

func (c *Core) applyLease(event Event) {
	c.dispatcher.Renew(event.LeaseEnds, event.Epoch, event.Number)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.roles = event.Roles
	c.roleEnds = event.LeaseEnds
}

// Calls is the part of the core that follows opaque calls. A program that serves each
// call in a thread of its own asks it directly; it needs no call events then.
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

// InForce is the version of the configuration in force, as epoch and number.
func (c *Core) InForce() (epoch, number uint64) { return c.dispatcher.InForce() }

// LeaseEnds is when the router's hold runs out.
func (c *Core) LeaseEnds() time.Time { return c.dispatcher.LeaseEnds() }

// SetServeWithoutLease chooses how long the router goes on letting in after its last
// hold, with its last configuration. Duties always need a hold.
func (c *Core) SetServeWithoutLease(length time.Duration) { c.dispatcher.SetServeWithoutLease(length) }

// ServesUntil is until when the router admits.
func (c *Core) ServesUntil() time.Time { return c.dispatcher.ServesUntil() }

// Enabled is the enabled set that the core has read.
func (c *Core) Enabled() FlagList {
	if enabled := c.enabled.Load(); enabled != nil {
		return *enabled
	}
	return nil
}

// Restricted tells whether the node lacks an enabled flag, or has not read the
// enabled set yet: it then writes no records and takes no duties.
func (c *Core) Restricted() bool {
	enabled := c.enabled.Load()
	return enabled == nil || len(c.options.Supported.Lacks(*enabled)) > 0
}

// InFlight counts the requests that have no final line yet.
func (c *Core) InFlight() int { return c.dispatcher.InFlight() }

// InFlightRequests counts the requests of both kinds, requests and opaque calls, that
// have not ended.
func (c *Core) InFlightRequests() int { return c.dispatcher.InFlight() + c.calls.InFlight() }

// HasRoles tells whether the router has duties.
func (c *Core) HasRoles() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.roles) > 0
}

// Draining tells whether the core lets nothing in any more.
func (c *Core) Draining() bool { return c.dispatcher.Draining() }

// Counts tells what the core has done, by name, for metrics.
func (c *Core) Counts() map[string]int64 {
	counters := c.dispatcher.Counters()
	first, extra := c.dispatcher.Budget().Counts()
	return map[string]int64{"arrived": counters.Arrived.Load(), "complete": counters.Complete.Load(),
		"refused": counters.Refused.Load(), "failed": counters.Failed.Load(), "unknown": counters.Unknown.Load(),
		"first_dispatches": int64(first), "extra_tries": int64(extra), "in_flight": int64(c.dispatcher.InFlight()),
		"unreadable_configurations": c.rejected.Load()}
}

// dutiful does what the held duties ask for: the parts duty decides orders,
// and each server's key lets its holder carry them out.
func (c *Core) roleDecisions(now time.Time) []Decision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !now.Before(c.roleEnds) || now.Before(c.nextRoleTick) || len(c.roles) == 0 {
		return nil
	}
	c.nextRoleTick = now.Add(100 * time.Millisecond)
	servers := c.market.Listing()
	var decisions []Decision
	for _, role := range c.roles {
		if role.Key == lease.PartsKey {
			if orders := c.dueOrders(now); len(orders) > 0 {
				decisions = append(decisions, Decision{Kind: auction.SubmitOrders, Role: role, Orders: orders, NotAfter: c.roleEnds})
			}
			continue
		}
		name, isServer := strings.CutPrefix(role.Key, lease.ServerKey(""))
		order, ordered := c.orders[name]
		if part, changing, listed := c.calls.Role(name); isServer && ordered && listed {
			// A listed part needs an order only when it is another one: orders have a
			// price. What was ordered shows in the reports a while later.
			if changing || part == order.Part || now.Sub(c.commandedAt[name]) < commandVisibleWithin {
				continue
			}
			decisions = append(decisions, c.commandFor(now, name, role, order, servers)...)
			continue
		}
		load, reported := c.market.Load(now, name)
		if !isServer || !ordered || !reported || now.Sub(c.commandedAt[name]) < time.Second {
			continue
		}
		// A new holder commands once in any case: the server learns the fence,
		// and refuses what an older holder may still send after a long sleep.
		if string(load.Part) == order.Part && c.announcedToken[name] == role.FencingToken {
			continue
		}
		decisions = append(decisions, c.commandFor(now, name, role, order, servers)...)
	}
	sort.SliceStable(decisions, func(left, right int) bool { return decisions[left].Server < decisions[right].Server })
	return decisions
}

// commandVisibleWithin is how long it may take until an order that a server took shows in what
// is reported of it. The value is ours.
const commandVisibleWithin = 3 * time.Second

func (c *Core) commandFor(now time.Time, name string, role Role, order Order, servers []Server) []Decision {
	for _, server := range servers {
		if server.Name == name {
			c.commandedAt[name], c.announcedToken[name] = now, role.FencingToken
			return []Decision{{Kind: auction.CommandServer, Server: name, Address: server.Address, Role: role,
				Part: auction.Part(order.Part), Order: &order, NotAfter: c.roleEnds}}
		}
	}
	return nil
}

// balanced are the orders that the parts duty gives now: by the work of calls where the
// list says what servers do, by the market's reports otherwise.
func (c *Core) dueOrders(now time.Time) []Order {
	if !c.calls.Disaggregated() {
		if !c.balancer.Due(now) {
			return nil
		}
		servers, loads := c.market.Loads(now)
		return c.balancer.Decide(now, servers, loads, c.orders, c.configuration.Evacuated)
	}
	if c.options.FixedParts {
		return nil
	}
	return c.pools.Decide(now, c.calls)
}

// ReadOrders decodes the standing orders' records with the core's own list.
func (c *Core) ReadOrders(records map[string]codec.Record) map[string]Order {
	orders := map[string]Order{}
	for server, record := range records {
		if order, err := codec.DecodeOrder(record, c.options.Supported); err == nil {
			orders[server] = order
		}
	}
	return orders
}
