package scheduler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// Options say for which router a scheduler decides, and what binds all routers together.
type Options struct {
	// Router is the node's name; Zone is the one whose servers it prefers.
	Router string
	Zone   string
	// Retries bounds what all routers send beyond the first dispatch of each call, service by
	// service. Fields that are zero or less get those of DefaultRetryAllowance.
	Retries RetryAllowance
}

func (o Options) checked() Options {
	standard := DefaultRetryAllowance()
	if o.Retries.Ratio <= 0 {
		o.Retries.Ratio = standard.Ratio
	}
	if o.Retries.Slack <= 0 {
		o.Retries.Slack = standard.Slack
	}
	if o.Retries.Window <= 0 {
		o.Retries.Window = standard.Window
	}
	return o
}

// Scheduler decides about the calls of one router. Its methods may be called from several
// threads; fed from one, the same events give the same decisions.
type Scheduler struct {
	options  Options
	weights  weights
	routes   atomic.Pointer[RouteTable]
	snapshot atomic.Pointer[snapshot]
	routers  atomic.Int64
	// routerList is the recorded routers; nil until they are known.
	routerList atomic.Pointer[routerList]
	draining   atomic.Bool
	inFlight   atomic.Int64
	// reportsFirstEvents is whether Began was ever called.
	reportsFirstEvents atomic.Bool
	// returnedZones are zones that came back since the last cycle; nil if none did.
	returnedZones atomic.Pointer[returnedZones]
	// latestReport is when the latest load report was made, in Unix nanoseconds.
	latestReport atomic.Int64

	// queriesBacklog is whether backlog counts are asked for before prefills, outbox what their
	// owners are still to be sent.
	queriesBacklog atomic.Bool
	outbox         outbox
	warmingCounts  warmingCounts
	// failures are to be reported to the other routers.
	failures failures

	// mutex serializes the replacement of snapshot and serviceStates; both are read without it.
	mutex         sync.Mutex
	serviceStates atomic.Pointer[map[string]*serviceState]
}

// serviceState is what the scheduler knows of one service.
type serviceState struct {
	retries     retryBudget
	prefillRate prefillRate
	runDuration meanDuration
	firstEvent  firstEventLatency
	// demand is what the roles of the service's servers go by.
	demand demand
}

// unknownRouters is how many routers are taken to share the servers until SetRouterCount says.
const unknownRouters = 100

// New makes a scheduler that knows no configuration and no servers yet: it refuses every call
// with NotReady.
func New(options Options) *Scheduler {
	s := &Scheduler{options: options.checked(), weights: defaultWeights()}
	first := newSnapshot()
	first.router = nameKey(options.Router)
	s.snapshot.Store(first)
	s.serviceStates.Store(&map[string]*serviceState{})
	return s
}

// SetRouteTable puts a later version in force; it returns false and does nothing for an older
// one or the same.
func (s *Scheduler) SetRouteTable(routes *RouteTable) bool {
	for {
		current := s.routes.Load()
		if routes == nil || !routes.later(current) {
			return false
		}
		s.noteReturnedZones(current, routes)
		if s.routes.CompareAndSwap(current, routes) {
			return true
		}
	}
}

// ConfigVersion is the version of the configuration in force, as epoch and number.
func (s *Scheduler) ConfigVersion() (epoch, number uint64) {
	if routes := s.routes.Load(); routes != nil {
		return routes.epoch, routes.number
	}
	return 0, 0
}

// Limits bound what a caller may send, by the configuration in force.
func (s *Scheduler) Limits() config.Limits {
	if routes := s.routes.Load(); routes != nil {
		return routes.limits
	}
	return config.Limits{}
}

// SetServers takes the list of servers.
func (s *Scheduler) SetServers(now time.Time, servers []membership.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.snapshot.Load()
	for _, server := range servers {
		if known, found := current.byName[server.Name]; found && known.server.Address == server.Address {
			s.learnWarming(now, known, server.Warming)
		}
	}
	s.snapshot.Store(current.next(now, servers))
}

// SetLoads takes load reports of servers; those of servers that aren't listed are left out.
func (s *Scheduler) SetLoads(now time.Time, loads []Load) {
	snap := s.snapshot.Load()
	var services []string
	for _, load := range loads {
		b, found := snap.byName[load.Server]
		if !found {
			continue
		}
		b.takeReport(now, load)
		if at := now.Add(-load.Age).UnixNano(); at > s.latestReport.Load() {
			s.latestReport.Store(at)
		}
		if service := b.server.Service; service != "" && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	for _, service := range services {
		busy, running := snap.demand(now, service)
		s.serviceState(service).demand.reported(now, busy, running)
	}
}

// SetRoleOrders takes the roles that servers were ordered to take: one that is to take another
// begins nothing until that is done, and no call is sent to it.
func (s *Scheduler) SetRoleOrders(now time.Time, parts map[string]string) {
	snap := s.snapshot.Load()
	for _, b := range snap.all {
		part, found := parts[b.server.Name]
		if known := b.orderedRole.Load(); !found || known != nil && *known == part {
			continue
		}
		b.orderedRoleUntil.Store(now.Add(orderVisibleWithin).UnixNano())
		b.orderedRole.Store(&part)
	}
}

// orderVisibleWithin is how long it may take until an order shows in what is reported of its
// server. The value is ours.
const orderVisibleWithin = 4 * time.Second

// SetRouterCount tells how many routers share the servers.
func (s *Scheduler) SetRouterCount(count int) { s.routers.Store(int64(count)) }

func (s *Scheduler) routerCount() int {
	if count := s.routers.Load(); count > 0 {
		return int(count)
	}
	return unknownRouters
}

// budgetShares is by how many routers the slack of retries is divided. Those that the primary does
// not hear still spend theirs, so that the recorded ones count too.
func (s *Scheduler) budgetShares() int { return max(s.routerCount(), s.RecordedRouters()) }

// Drain lets no further calls in.
func (s *Scheduler) Drain() { s.draining.Store(true) }

// Draining tells whether no further calls are let in.
func (s *Scheduler) Draining() bool { return s.draining.Load() }

// InFlight counts the calls that have not ended.
func (s *Scheduler) InFlight() int { return int(s.inFlight.Load()) }

// serviceState is the service's; it is made once.
func (s *Scheduler) serviceState(service string) *serviceState {
	if found, known := (*s.serviceStates.Load())[service]; known {
		return found
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := *s.serviceStates.Load()
	if found, known := current[service]; known {
		return found
	}
	next := make(map[string]*serviceState, len(current)+1)
	for name, known := range current {
		next[name] = known
	}
	made := &serviceState{}
	next[service] = made
	s.serviceStates.Store(&next)
	return made
}
