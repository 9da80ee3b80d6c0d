package scheduler

import (
	"math"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/config"
)

// RoleBalancer decides how many servers of a service read prompts and how many generate answers,
// and orders servers to change their roles. During a change the server does no work, and after it
// some chains have other home servers. An order is therefore given only for a need that was seen
// in several consecutive decisions, and not shortly after another order.
type RoleBalancer struct {
	mutex        sync.Mutex
	services     map[string]*servicePool
	lastDecision time.Time
}

// servicePool is the balancer's state of one service.
type servicePool struct {
	// wantedRole is the role that needs more servers; needSeen is the number of consecutive
	// decisions that saw this need.
	wantedRole string
	needSeen   int
	// orderedAt and lastRole are the time and the role of the last order.
	orderedAt time.Time
	lastRole  string
	// idleSince is when the service became idle; zero if it is not idle.
	idleSince time.Time
}

// Conditions and limits for role changes.
const (
	// decisionInterval is the least time between two decisions. needConfirmations is the number of
	// consecutive decisions that must see a need before an order is given.
	decisionInterval  = 500 * time.Millisecond
	needConfirmations = 3
	// orderInterval is the least time between two orders, reversalInterval between an order
	// and one that reverses it.
	orderInterval    = 3 * time.Second
	reversalInterval = 12 * time.Second
	// Shares of the prefill servers that are busy. Above prefillBusyHigh, more prefill servers
	// are needed, as many as bring the share down to prefillBusyTarget. One can be given up if
	// the busy share of the remaining ones would be below prefillBusyLow.
	prefillBusyTarget = 0.38
	prefillBusyHigh   = 0.5
	prefillBusyLow    = 0.35
	// Shares of the decode servers' slots that are in use. Orders for prefill leave at least as
	// many decode servers as keep the share at slotsTarget. Above slotsHigh, a prefill server that
	// can be given up becomes a decode server.
	slotsTarget = 0.3
	slotsHigh   = 0.5
	// Orders for prefill leave at least reservedDecodeShare of the servers as decode servers, and in
	// a small service at least smallReservedDecode servers, limited to smallReservedDecodeShare of
	// all. Since a role change takes a while, enough decode servers must be left when two of them
	// fail at once. If less than urgentDecodeShare of the servers are decode servers, a prefill
	// server becomes a decode server regardless of the demand.
	reservedDecodeShare      = 0.33
	smallReservedDecode      = 4
	smallReservedDecodeShare = 0.4
	urgentDecodeShare        = 0.3
	// serversPerOrder limits the prefill orders that one decision gives because of the demand: one
	// for every serversPerOrder servers, and at least one. Orders to an idle service have no such limit.
	serversPerOrder = 4
	// orderTimeout is how long a server may take to carry out an order.
	orderTimeout = 20 * time.Second
	// A service is idle while the mean numbers of its busy prefill servers and of its calls at
	// decode servers add up to at most idleCalls. After idleDelay an idle service gets as many
	// prefill servers as the reserved decode servers allow: role changes under traffic lose the KV
	// caches of the servers, and prefill servers are the first to be overloaded, since no prompt is
	// cached when traffic begins.
	idleDelay = 3 * time.Second
	idleCalls = 0.05
	// zoneWeight makes the balance of the zones count more than the servers' load in bestToSwitch.
	zoneWeight = 1000
)

// NewRoleBalancer makes a balancer without history, for a controller that has just begun to lead.
func NewRoleBalancer() *RoleBalancer { return &RoleBalancer{services: map[string]*servicePool{}} }

// Decide returns the orders that are needed now, according to the scheduler's state of the servers.
// It returns none until decisionInterval has passed since the last decision.
func (rb *RoleBalancer) Decide(now time.Time, sched *Scheduler) []codec.Order {
	rb.mutex.Lock()
	defer rb.mutex.Unlock()
	routes := sched.routes.Load()
	if routes == nil || now.Sub(rb.lastDecision) < decisionInterval {
		return nil
	}
	rb.lastDecision = now
	var orders []codec.Order
	for _, name := range routes.serviceNames {
		pool, known := rb.services[name]
		if !known {
			pool = &servicePool{}
			rb.services[name] = pool
		}
		orders = append(orders, pool.decide(now, sched, routes, routes.services[name])...)
	}
	return orders
}

// decide returns the orders for one service.
func (p *servicePool) decide(
	now time.Time, sched *Scheduler, routes *RouteTable, service *config.Service,
) []codec.Order {
	r, stable := rolesOf(now, sched, routes, service.Name)
	if !stable || r.all() < 2 || now.Sub(p.orderedAt) < orderInterval {
		return nil
	}
	// There must be at least one server of each role, regardless of the demand.
	switch {
	case len(r.prefill) == 0:
		return p.order(now, r, change{role: prefill, cause: "no server reads prompts", count: 1})
	case len(r.decode) == 0:
		return p.order(now, r, change{role: decode, cause: "no server makes answers", count: 1})
	}
	busy, running, known := sched.serviceState(service.Name).demand.average(now)
	if !known {
		return nil
	}
	if more := p.idlePrefill(now, r, busy+running); more > 0 {
		const cause = "the service is idle and too few servers read prompts"
		return p.order(now, r, change{role: prefill, cause: cause, count: more})
	}
	slots := float64(service.Engine.Slots)
	if slots == 0 {
		slots = defaultSlots
	}
	needed, urgent := neededChange(r, busy, running, slots)
	if !p.confirmed(now, needed.role, urgent) {
		return nil
	}
	return p.order(now, r, needed)
}

// idlePrefill returns the number of further prefill servers that an idle service gets; zero or less
// means none. It records since when the service is idle.
func (p *servicePool) idlePrefill(now time.Time, r roles, calls float64) int {
	if calls > idleCalls {
		p.idleSince = time.Time{}
		return 0
	}
	if p.idleSince.IsZero() {
		p.idleSince = now
		return 0
	}
	if now.Sub(p.idleSince) < idleDelay {
		return 0
	}
	return r.all() - reservedDecode(r.all()) - len(r.prefill)
}

// confirmed counts a need and reports whether it was seen often enough for an order. An order that
// reverses the last one has to wait for reversalInterval, unless it is urgent.
func (p *servicePool) confirmed(now time.Time, role string, urgent bool) bool {
	if role == "" || role != p.wantedRole {
		p.needSeen, p.wantedRole = 0, role
	}
	if role == "" {
		return false
	}
	p.needSeen++
	if p.needSeen < needConfirmations {
		return false
	}
	reverses := p.lastRole != "" && p.lastRole != role
	return urgent || !reverses || now.Sub(p.orderedAt) >= reversalInterval
}

// order returns the orders of a change. The role that servers are taken from keeps at least one
// server.
func (p *servicePool) order(now time.Time, r roles, c change) []codec.Order {
	p.needSeen, p.wantedRole, p.orderedAt, p.lastRole = 0, "", now, c.role
	var orders []codec.Order
	for range c.count {
		chosen := bestToSwitch(r, c.role)
		orders = append(orders, codec.Order{
			Server:      chosen.server.Name,
			Role:        c.role,
			GracePeriod: orderTimeout,
			Cause:       c.cause,
		})
		r = r.afterMove(chosen, c.role)
		if len(r.donors(c.role)) < 2 {
			break
		}
	}
	return orders
}

// change is a role change: count servers are to take the role, for the reason given by cause.
type change struct {
	role  string
	cause string
	count int
}

// neededChange returns the change that the demand requires; its role is empty if it requires none.
// busy is the number of busy prefill servers, running the number of calls at the decode servers,
// and slots the number of slots of one decode server. urgent reports whether less than
// urgentDecodeShare of the servers are decode servers, for example because some have failed.
func neededChange(r roles, busy, running, slots float64) (needed change, urgent bool) {
	all, prefillCount := r.all(), len(r.prefill)
	minDecode := min(max(1, int(math.Ceil(running/(slotsTarget*slots))), reservedDecode(all)), all-1)
	wantedPrefill := min(max(1, int(math.Ceil(busy/prefillBusyTarget))), all-minDecode)
	decodeFull := running > slotsHigh*slots*float64(len(r.decode))
	urgent = len(r.decode) < int(math.Ceil(float64(all)*urgentDecodeShare))
	switch {
	case prefillCount > 1 && (urgent || decodeFull && busy < prefillBusyLow*float64(prefillCount-1)):
		return change{role: decode, cause: "answers wait while prompts have room", count: 1}, urgent
	case wantedPrefill > prefillCount && busy > prefillBusyHigh*float64(prefillCount):
		count := min(wantedPrefill-prefillCount, max(1, all/serversPerOrder))
		return change{role: prefill, cause: "prompts wait while answers have room", count: count}, urgent
	}
	return change{}, urgent
}

// reservedDecode returns how many of a service's servers remain decode servers whatever the demand
// for prefill; all is the number of its servers.
func reservedDecode(all int) int {
	few := min(smallReservedDecode, int(math.Ceil(float64(all)*smallReservedDecodeShare)))
	return max(few, int(math.Ceil(float64(all)*reservedDecodeShare)))
}

// roles are a service's usable servers by their current role.
type roles struct{ prefill, decode []*backend }

// rolesOf finds the usable servers of a service by role: those that are not warming, not leaving and
// not in an evacuated zone, and whose load reports are not stale. While one of them is changing its
// role, r is empty and stable is false.
func rolesOf(now time.Time, sched *Scheduler, routes *RouteTable, service string) (r roles, stable bool) {
	latest := sched.latestReport.Load()
	for _, b := range sched.snapshot.Load().byService[service] {
		switch {
		case b.warming(now), b.stale(latest):
		case b.server.Leaving || routes.evacuations[b.server.Zone]:
		case b.changingRole():
			return roles{}, false
		case b.prefills():
			r.prefill = append(r.prefill, b)
		case b.decodesOnly():
			r.decode = append(r.decode, b)
		}
	}
	return r, true
}

func (r roles) all() int { return len(r.prefill) + len(r.decode) }

// donors returns the servers that could be ordered to take the role.
func (r roles) donors(role string) []*backend {
	if role == prefill {
		return r.decode
	}
	return r.prefill
}

// afterMove returns the roles after the chosen server has taken the role.
func (r roles) afterMove(chosen *backend, role string) roles {
	isChosen := func(b *backend) bool { return b == chosen }
	next := roles{
		prefill: slices.DeleteFunc(slices.Clone(r.prefill), isChosen),
		decode:  slices.DeleteFunc(slices.Clone(r.decode), isChosen),
	}
	if role == prefill {
		next.prefill = append(next.prefill, chosen)
	} else {
		next.decode = append(next.decode, chosen)
	}
	return next
}

// bestToSwitch returns the best server to be ordered to take a role. For prefill it is in the zone with
// the smallest share of prefill servers, for decode in the zone with the most prefill servers.
// Within the zone it is the server with the fewest calls.
func bestToSwitch(r roles, role string) *backend {
	from := r.donors(role)
	prefillInZone, donorsInZone := map[string]int{}, map[string]int{}
	for _, b := range r.prefill {
		prefillInZone[b.server.Zone]++
	}
	for _, b := range from {
		donorsInZone[b.server.Zone]++
	}
	weight := func(b *backend) float64 {
		prefillCount := prefillInZone[b.server.Zone]
		share := float64(prefillCount) / float64(prefillCount+donorsInZone[b.server.Zone])
		if role == decode {
			share = -float64(prefillCount)
		}
		calls := b.otherCalls() + float64(b.running.Load()+b.prefilling.Load())
		return share*zoneWeight + calls
	}
	best := from[0]
	for _, b := range from[1:] {
		if weight(b) < weight(best) {
			best = b
		}
	}
	return best
}

// Disaggregated reports whether the server list gives any server the role prefill or decode.
func (s *Scheduler) Disaggregated() bool { return s.snapshot.Load().disaggregated }

// Role returns a listed server's current role and whether the server is changing it. listed is
// false for a server that isn't listed or has no role.
func (s *Scheduler) Role(server string) (role string, changing, listed bool) {
	b, found := s.snapshot.Load().byName[server]
	if !found || b.server.Role == "" {
		return "", false, false
	}
	return b.role(), b.changingRole(), true
}
