package scheduler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// Window follows the calls of one courier. Its methods may be called from several
// threads; fed from one, the same events give the same decisions.
type Window struct {
	options  Options
	costs    costs
	program  atomic.Pointer[Program]
	board    atomic.Pointer[board]
	routers  atomic.Int64
	draining atomic.Bool
	inFlight atomic.Int64
	// tells is whether the conduct tells when answers begin.
	tells atomic.Bool
	// returned are districts that came back since the last call, or none.
	returned atomic.Pointer[returned]
	// reported is when the latest report was made.
	reported atomic.Int64

	// asks is whether counts are asked for before reads, outbox what keepers are to know.
	asks   atomic.Bool
	outbox outbox
	// failures are for the others to know.
	failures failures

	// mutex guards what replaces the board and the ledgers' map.
	mutex         sync.Mutex
	serviceStates atomic.Pointer[map[string]*serviceState]
}

// serviceState is what the window keeps for one service.
type serviceState struct {
	retries retryBudget
	pace    pace
	runs    meanDuration
	begin   begin
	// pressure is what the parts of its servers go by.
	pressure pressure
}

// unknownCouriers is how many couriers are taken to share the servers while nobody
// said how many there are.
const unknownRouters = 100

// New makes a window that knows nothing yet.
func New(options Options) *Window {
	window := &Window{options: options.checked(), costs: standardCosts()}
	first := newBoard()
	first.router = nameKey(options.Router)
	window.board.Store(first)
	window.serviceStates.Store(&map[string]*serviceState{})
	return window
}

// SetProgram puts a later version in force; an older one, or the same, is left aside
// and the answer is false.
func (window *Window) SetProgram(program *Program) bool {
	for {
		current := window.program.Load()
		if program == nil || !program.later(current) {
			return false
		}
		window.returning(current, program)
		if window.program.CompareAndSwap(current, program) {
			return true
		}
	}
}

// InForce is the version of the configuration in force, as epoch and number.
func (window *Window) InForce() (epoch, number uint64) {
	if program := window.program.Load(); program != nil {
		return program.epoch, program.number
	}
	return 0, 0
}

// Limits bound what a caller may send, by the configuration in force.
func (window *Window) Limits() config.Limits {
	if program := window.program.Load(); program != nil {
		return program.limits
	}
	return config.Limits{}
}

// SetServers takes the list of servers.
func (window *Window) SetServers(now time.Time, servers []membership.Server) {
	window.mutex.Lock()
	defer window.mutex.Unlock()
	window.board.Store(window.board.Load().next(now, servers))
}

// SetLoads takes what the servers reported of themselves.
func (window *Window) SetLoads(now time.Time, loads []Load) {
	board := window.board.Load()
	var services []string
	for _, load := range loads {
		backend, found := board.byName[load.Server]
		if !found {
			continue
		}
		backend.hear(now, load)
		if at := now.Add(-load.Age).UnixNano(); at > window.reported.Load() {
			window.reported.Store(at)
		}
		if service := backend.server.Service; service != "" && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	for _, service := range services {
		busy, running := board.pressed(now, service)
		window.serviceState(service).pressure.reported(now, busy, running)
	}
}

// SetOrders takes the parts that servers were ordered to take: one that is to take
// another begins nothing until that is done, and no call is sent to it.
func (window *Window) SetOrders(now time.Time, parts map[string]string) {
	board := window.board.Load()
	for _, backend := range board.all {
		part, found := parts[backend.server.Name]
		if known := backend.due.Load(); !found || known != nil && *known == part {
			continue
		}
		backend.dueUntil.Store(now.Add(orderShows).UnixNano())
		backend.due.Store(&part)
	}
}

// orderShows is how long it may take until an order shows in what is reported of its
// server. The value is ours.
const orderShows = 4 * time.Second

// SetRouters tells how many couriers share the servers.
func (window *Window) SetRouters(count int) { window.routers.Store(int64(count)) }

func (window *Window) routerCount() int {
	if count := window.routers.Load(); count > 0 {
		return int(count)
	}
	return unknownRouters
}

// Drain lets no further calls in.
func (window *Window) Drain() { window.draining.Store(true) }

// InFlight counts the calls that have not ended.
func (window *Window) InFlight() int { return int(window.inFlight.Load()) }

// serviceState is the service's; it is made once.
func (window *Window) serviceState(service string) *serviceState {
	if found, known := (*window.serviceStates.Load())[service]; known {
		return found
	}
	window.mutex.Lock()
	defer window.mutex.Unlock()
	current := *window.serviceStates.Load()
	if found, known := current[service]; known {
		return found
	}
	next := make(map[string]*serviceState, len(current)+1)
	for name, known := range current {
		next[name] = known
	}
	made := &serviceState{}
	next[service] = made
	window.serviceStates.Store(&next)
	return made
}
