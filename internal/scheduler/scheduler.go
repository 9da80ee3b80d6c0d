package scheduler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// Options are the parameters of a scheduler.
type Options struct {
	// Router is the node name of the router that the scheduler decides for; Zone is the zone whose
	// servers the scheduler prefers.
	Router string
	Zone   string
	// Retries bounds the retries of all routers together, separately for each service. Fields that
	// are not positive get the values of DefaultRetryAllowance.
	Retries RetryAllowance
}

// checked returns the options with defaults for the fields that are not set.
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

// Scheduler makes the decisions for the calls of one router. It is safe for concurrent use. If all
// events come from one goroutine, the same events give the same decisions.
type Scheduler struct {
	options  Options
	weights  weights
	routes   atomic.Pointer[RouteTable]
	snapshot atomic.Pointer[snapshot]
	routers  atomic.Int64
	// routerList holds the recorded routers; nil until they are known.
	routerList atomic.Pointer[routerList]
	draining   atomic.Bool
	inFlight   atomic.Int64
	// reportsFirstEvents is set once Began was called.
	reportsFirstEvents atomic.Bool
	// returnedZones are the zones whose evacuation ended since the last cycle; nil if there are
	// none.
	returnedZones atomic.Pointer[returnedZones]
	// latestReport is when the latest load report was made, in Unix nanoseconds.
	latestReport atomic.Int64

	// queriesBacklog is set if backlog counts are queried before prefills. outbox holds the changes
	// that have not been sent to the owners of the counts yet.
	queriesBacklog atomic.Bool
	outbox         outbox
	warmingCounts  warmingCounts
	// failures are the failed servers that have not been reported yet.
	failures failures

	// mutex serializes the replacement of snapshot and serviceStates; both are read without it.
	mutex         sync.Mutex
	serviceStates atomic.Pointer[map[string]*serviceState]
}

// serviceState is the scheduler's state of one service.
type serviceState struct {
	retries     retryBudget
	prefillRate prefillRate
	runDuration meanDuration
	firstEvent  firstEventLatency
	// demand is the load from which RoleBalancer decides the roles of the service's servers.
	demand demand
}

// unknownRouters is the number of routers that the scheduler assumes until SetRouterCount is called.
const unknownRouters = 100

// New makes a scheduler without a configuration and without servers: it refuses every call with
// NotReady.
func New(options Options) *Scheduler {
	s := &Scheduler{options: options.checked(), weights: defaultWeights()}
	first := newSnapshot()
	first.router = nameKey(options.Router)
	s.snapshot.Store(first)
	s.serviceStates.Store(&map[string]*serviceState{})
	return s
}

// SetRouteTable puts a later version of the configuration in force. It returns false and does
// nothing if the version is the current one or an older one.
func (s *Scheduler) SetRouteTable(routes *RouteTable) bool {
	for {
		current := s.routes.Load()
		if routes == nil || !routes.later(current) {
			return false
		}
		s.recordReturnedZones(current, routes)
		if s.routes.CompareAndSwap(current, routes) {
			return true
		}
	}
}

// ConfigVersion returns the version of the configuration in force, as epoch and number.
func (s *Scheduler) ConfigVersion() (epoch, number uint64) {
	if routes := s.routes.Load(); routes != nil {
		return routes.epoch, routes.number
	}
	return 0, 0
}

// Limits returns the request limits of the configuration in force; zero if no configuration is in force.
func (s *Scheduler) Limits() config.Limits {
	if routes := s.routes.Load(); routes != nil {
		return routes.limits
	}
	return config.Limits{}
}

// SetServers replaces the list of servers.
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

// SetLoads applies load reports of servers. Reports of servers that aren't listed are ignored.
func (s *Scheduler) SetLoads(now time.Time, loads []Load) {
	snap := s.snapshot.Load()
	var services []string
	for _, load := range loads {
		b, found := snap.byName[load.Server]
		if !found {
			continue
		}
		b.applyReport(now, load)
		if at := now.Add(-load.Age).UnixNano(); at > s.latestReport.Load() {
			s.latestReport.Store(at)
		}
		if service := b.server.Service; service != "" && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	for _, service := range services {
		busy, running := snap.demand(now, service)
		s.serviceState(service).demand.observe(now, busy, running)
	}
}

// SetRoleOrders sets the roles that servers were ordered to take, by server name. A server that is
// ordered to change its role begins no work until the change is done, so no call is sent to it.
func (s *Scheduler) SetRoleOrders(now time.Time, orders map[string]string) {
	snap := s.snapshot.Load()
	for _, b := range snap.all {
		role, found := orders[b.server.Name]
		if known := b.orderedRole.Load(); !found || known != nil && *known == role {
			continue
		}
		b.orderedRoleUntil.Store(now.Add(orderVisibleWithin).UnixNano())
		b.orderedRole.Store(&role)
	}
}

// orderVisibleWithin is how long it may take until load reports show that a server carries out an
// order.
const orderVisibleWithin = 4 * time.Second

// SetRouterCount sets how many routers share the servers.
func (s *Scheduler) SetRouterCount(count int) { s.routers.Store(int64(count)) }

// routerCount returns the number of routers that share the servers, or unknownRouters.
func (s *Scheduler) routerCount() int {
	if count := s.routers.Load(); count > 0 {
		return int(count)
	}
	return unknownRouters
}

// budgetShares returns the number of routers among which the slack of the retry allowance is divided.
// A router that the primary controller can't reach still uses its share, so the recorded routers
// count as well.
func (s *Scheduler) budgetShares() int { return max(s.routerCount(), s.RecordedRouters()) }

// Drain makes the scheduler refuse all further calls.
func (s *Scheduler) Drain() { s.draining.Store(true) }

// Draining reports whether the scheduler refuses all further calls.
func (s *Scheduler) Draining() bool { return s.draining.Load() }

// InFlight returns the number of calls that have not ended.
func (s *Scheduler) InFlight() int { return int(s.inFlight.Load()) }

// serviceState returns the state of a service, which is created at its first use.
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
	created := &serviceState{}
	next[service] = created
	s.serviceStates.Store(&next)
	return created
}
