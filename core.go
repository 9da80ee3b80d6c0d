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

// Core is one courier's deterministic core. Apply may be called from several
// threads; fed from one, the same events give the same decisions.
type Core struct {
	options  Options
	market   *auction.Market
	desk     *auction.Desk
	balance  *auction.Balance
	calls    *scheduler.Window
	pools    *scheduler.Pools
	enabled  atomic.Pointer[FlagList]
	rejected atomic.Int64

	mutex     sync.Mutex
	roles     []Role
	roleEnds  time.Time
	orders    map[string]Order
	evacuated *config.Configuration
	commanded map[string]time.Time
	announced map[string]uint64
	nextTurn  time.Time
	tickets   map[string]*scheduler.Ticket
}

// New makes a core.
func New(options Options) *Core {
	if options.MostRequests <= 0 {
		options.MostRequests = DefaultMostRequests
	}
	market := auction.NewMarket(options.Router, options.Zone, options.LeastLoaded)
	return &Core{options: options, market: market, desk: auction.NewDesk(market, options.Zone, options.MostRequests),
		calls: scheduler.New(scheduler.Options{Router: options.Router, Zone: options.Zone, FurtherTries: options.FurtherTries}), pools: scheduler.NewPools(), tickets: map[string]*scheduler.Ticket{},
		balance: auction.NewBalance(options.FixedParts), orders: map[string]Order{}, evacuated: config.Empty(), commanded: map[string]time.Time{}, announced: map[string]uint64{}}
}

// Apply takes one event and returns what is to be done now.
func (core *Core) Apply(event Event) []Decision {
	switch event.Kind {
	case auction.Ticked:
		return append(core.desk.Tick(event.At), core.dutiful(event.At)...)
	case auction.ServersListed:
		core.market.List(event.Servers)
		core.calls.SetServers(event.At, event.Servers)
	case auction.LoadReported:
		if event.Load != nil {
			core.market.Report(event.At, *event.Load)
		}
	case auction.ConfigurationReceived:
		core.applyConfiguration(event)
	case auction.ConfigurationLent:
		core.applyConfiguration(event)
		core.desk.ServeFrom(event.At)
	case auction.HoldRenewed:
		core.applyHold(event)
	case auction.FlagsRead:
		enabled := event.Enabled
		core.enabled.Store(&enabled)
		core.desk.SetPassOn(core.Restricted())
	case auction.OrdersRead:
		core.mutex.Lock()
		core.orders = event.Orders
		core.mutex.Unlock()
		parts := make(map[string]string, len(event.Orders))
		for server, order := range event.Orders {
			parts[server] = order.Part
		}
		core.calls.SetOrders(event.At, parts)
	case auction.LoadsReported:
		core.calls.SetLoads(event.At, event.Loads)
	case auction.CallArrived:
		if event.Call != nil {
			return core.callArrived(event)
		}
	case auction.CallEnded:
		if event.Result != nil {
			return core.callEnded(event)
		}
	case auction.RequestArrived:
		if event.Request != nil {
			return core.desk.Arrive(event.At, event.Request)
		}
	case auction.ClaimAnswered:
		return core.desk.Claimed(event.At, event.ID, event.Outcome, event.Detail)
	case auction.PrefillAnswered:
		return core.desk.Prefilled(event.At, event.ID, event.Run, event.Outcome, event.Handle)
	case auction.ChunkReceived:
		return core.desk.Chunk(event.At, event.ID, event.Run, event.Chunk, event.Text)
	case auction.DecodeEnded:
		return core.desk.Decoded(event.At, event.ID, event.Run, event.Outcome, event.Chunk)
	case auction.ClientLeft:
		return core.desk.Leave(event.At, event.ID)
	case auction.RoutersCounted:
		core.market.SetRouters(int(event.Number))
		core.calls.SetRouters(int(event.Number))
	case auction.DrainStarted:
		core.desk.Drain()
		core.calls.Drain()
	}
	return nil
}

func (core *Core) applyConfiguration(event Event) {
	configuration, err := config.Check(event.Configuration)
	if err != nil {
		// A configuration is checked before it is accepted; one that this build
		// can't read leaves the courier without a hold for it.
		core.rejected.Add(1)
		return
	}
	core.calls.SetProgram(scheduler.Compile(configuration, event.Epoch, event.Number))
	if core.desk.SetProgram(auction.Compile(configuration, event.Epoch, event.Number)) {
		core.mutex.Lock()
		core.evacuated = configuration
		core.mutex.Unlock()
	}
}

func (core *Core) applyHold(event Event) {
	core.desk.Renew(event.HoldEnds, event.Epoch, event.Number)
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.roles = event.Roles
	core.roleEnds = event.HoldEnds
}

// Calls is the part of the core that follows opaque calls. A program that serves each
// call in a thread of its own asks it directly; it needs no call events then.
func (core *Core) Calls() *scheduler.Window { return core.calls }

func (core *Core) callArrived(event Event) []Decision {
	ticket, decision := core.calls.Arrive(event.At, event.Call)
	if ticket != nil {
		core.mutex.Lock()
		core.tickets[event.Call.ID] = ticket
		core.mutex.Unlock()
	}
	return []Decision{{Kind: auction.CallDecided, ID: event.Call.ID, Call: &decision}}
}

func (core *Core) callEnded(event Event) []Decision {
	core.mutex.Lock()
	ticket, found := core.tickets[event.ID]
	core.mutex.Unlock()
	if !found {
		return nil
	}
	decision := core.calls.Ended(event.At, ticket, *event.Result)
	if decision.Kind != scheduler.Read && decision.Kind != scheduler.Run {
		core.mutex.Lock()
		delete(core.tickets, event.ID)
		core.mutex.Unlock()
	}
	return []Decision{{Kind: auction.CallDecided, ID: event.ID, Call: &decision}}
}

// InForce is the version of the configuration in force, as epoch and number.
func (core *Core) InForce() (epoch, number uint64) { return core.desk.InForce() }

// HoldEnds is when the courier's hold runs out.
func (core *Core) HoldEnds() time.Time { return core.desk.HoldEnds() }

// SetServeWithoutHold chooses how long the courier goes on letting in after its last
// hold, with its last configuration. Duties always need a hold.
func (core *Core) SetServeWithoutHold(length time.Duration) { core.desk.SetServeWithoutHold(length) }

// ServesUntil is until when the courier lets in.
func (core *Core) ServesUntil() time.Time { return core.desk.ServesUntil() }

// Enabled is the enabled set that the core has read.
func (core *Core) Enabled() FlagList {
	if enabled := core.enabled.Load(); enabled != nil {
		return *enabled
	}
	return nil
}

// Restricted tells whether the node lacks an enabled flag, or has not read the
// enabled set yet: it then writes no records and takes no duties.
func (core *Core) Restricted() bool {
	enabled := core.enabled.Load()
	return enabled == nil || len(core.options.Supported.Lacks(*enabled)) > 0
}

// InFlight counts the inquiries that have no final line yet.
func (core *Core) InFlight() int { return core.desk.InFlight() }

// InFlightRequests counts the requests of both kinds, inquiries and opaque calls, that
// have not ended.
func (core *Core) InFlightRequests() int { return core.desk.InFlight() + core.calls.InFlight() }

// Dutiful tells whether the courier has duties.
func (core *Core) Dutiful() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return len(core.roles) > 0
}

// Draining tells whether the core lets nothing in any more.
func (core *Core) Draining() bool { return core.desk.Draining() }

// Counts tells what the core has done, by name, for metrics.
func (core *Core) Counts() map[string]int64 {
	counters := core.desk.Counters()
	first, extra := core.desk.Budget().Counts()
	return map[string]int64{"arrived": counters.Arrived.Load(), "complete": counters.Complete.Load(),
		"refused": counters.Refused.Load(), "failed": counters.Failed.Load(), "unknown": counters.Unknown.Load(),
		"first_dispatches": int64(first), "extra_tries": int64(extra), "in_flight": int64(core.desk.InFlight()),
		"unreadable_configurations": core.rejected.Load()}
}

// dutiful does what the held duties ask for: the parts duty decides orders,
// and each server's key lets its holder carry them out.
func (core *Core) dutiful(now time.Time) []Decision {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !now.Before(core.roleEnds) || now.Before(core.nextTurn) || len(core.roles) == 0 {
		return nil
	}
	core.nextTurn = now.Add(100 * time.Millisecond)
	servers := core.market.Listing()
	var decisions []Decision
	for _, role := range core.roles {
		if role.Key == lease.PartsKey {
			if orders := core.balanced(now); len(orders) > 0 {
				decisions = append(decisions, Decision{Kind: auction.GiveOrders, Role: role, Orders: orders, NotAfter: core.roleEnds})
			}
			continue
		}
		name, isServer := strings.CutPrefix(role.Key, lease.ServerKey(""))
		order, ordered := core.orders[name]
		if part, changing, listed := core.calls.Part(name); isServer && ordered && listed {
			// A listed part needs an order only when it is another one: orders have a
			// price. What was ordered shows in the reports a while later.
			if changing || part == order.Part || now.Sub(core.commanded[name]) < commandShows {
				continue
			}
			decisions = append(decisions, core.commandFor(now, name, role, order, servers)...)
			continue
		}
		load, reported := core.market.Load(now, name)
		if !isServer || !ordered || !reported || now.Sub(core.commanded[name]) < time.Second {
			continue
		}
		// A new holder commands once in any case: the server learns the fence,
		// and refuses what an older holder may still send after a long sleep.
		if string(load.Part) == order.Part && core.announced[name] == role.FencingToken {
			continue
		}
		decisions = append(decisions, core.commandFor(now, name, role, order, servers)...)
	}
	sort.SliceStable(decisions, func(left, right int) bool { return decisions[left].Server < decisions[right].Server })
	return decisions
}

// commandShows is how long it may take until an order that a server took shows in what
// is reported of it. The value is ours.
const commandShows = 3 * time.Second

func (core *Core) commandFor(now time.Time, name string, role Role, order Order, servers []Server) []Decision {
	for _, server := range servers {
		if server.Name == name {
			core.commanded[name], core.announced[name] = now, role.FencingToken
			return []Decision{{Kind: auction.Command, Server: name, Address: server.Address, Role: role,
				Part: auction.Part(order.Part), Order: &order, NotAfter: core.roleEnds}}
		}
	}
	return nil
}

// balanced are the orders that the parts duty gives now: by the work of calls where the
// list says what servers do, by the market's reports otherwise.
func (core *Core) balanced(now time.Time) []Order {
	if !core.calls.Divided() {
		if !core.balance.Due(now) {
			return nil
		}
		servers, loads := core.market.Loads(now)
		return core.balance.Decide(now, servers, loads, core.orders, core.evacuated.Evacuated)
	}
	if core.options.FixedParts {
		return nil
	}
	return core.pools.Decide(now, core.calls)
}

// ReadOrders decodes the standing orders' records with the core's own list.
func (core *Core) ReadOrders(records map[string]codec.Record) map[string]Order {
	orders := map[string]Order{}
	for server, record := range records {
		if order, err := codec.ReadOrder(record, core.options.Supported); err == nil {
			orders[server] = order
		}
	}
	return orders
}
