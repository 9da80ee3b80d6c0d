package scheduler

import (
	"math"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/config"
)

// RoleBalancer decides how many servers of a service read prompts and how many make answers.
// An order costs the server's work for a while and moves the homes of some chains, so one is
// given only for a need that was seen several times, and no other for a while after it.
type RoleBalancer struct {
	mutex        sync.Mutex
	services     map[string]*servicePool
	lastDecision time.Time
}

// servicePool is what the balancer remembers of one service.
type servicePool struct {
	// wantedRole is the role that more servers need, needSeen how many times in a row that
	// was so.
	wantedRole string
	needSeen   int
	// orderedAt and lastRole are of the last order.
	orderedAt time.Time
	lastRole  string
	// idleSince is since when the servers have had nothing to do; zero while they have.
	idleSince time.Time
}

// When and how far the roles are changed. The values are ours.
const (
	// decisionInterval is between two decisions, needConfirmations how many decisions in a
	// row must see a need.
	decisionInterval  = 500 * time.Millisecond
	needConfirmations = 3
	// orderInterval is the least time between two orders, reversalInterval between an order
	// and one that takes it back.
	orderInterval    = 3 * time.Second
	reversalInterval = 12 * time.Second
	// Parts of the prefill servers that are busy: at prefillBusyHigh more of them are wanted,
	// as many as bring it down to prefillBusyTarget; one is given up if the rest would be
	// below prefillBusyLow.
	prefillBusyTarget = 0.38
	prefillBusyHigh   = 0.5
	prefillBusyLow    = 0.35
	// Parts of the decode servers' slots that are used: slotsTarget may be, at slotsHigh a
	// prefill server is taken back for them.
	slotsTarget = 0.3
	slotsHigh   = 0.5
	// reservedDecodeShare is the part of the servers that no order takes from making
	// answers, reservedDecodeFew how many of them in a small service, where that is under
	// reservedDecodeFewShare of all: two servers that fail at once must leave enough of them,
	// since roles change late. Below urgentDecodeShare a prefill server makes answers again,
	// whatever the demand.
	reservedDecodeShare    = 0.33
	reservedDecodeFew      = 4
	reservedDecodeFewShare = 0.4
	urgentDecodeShare      = 0.3
	// serversPerOrder is how many servers there are for each order given at once.
	serversPerOrder = 4
	// orderTimeout is how long a server may take to carry an order out.
	orderTimeout = 20 * time.Second
	// A service that has had no more than idleCalls for idleDelay gets as many prefill
	// servers as orders may make: roles that change under traffic cost the KV caches that
	// move, and prefill fills up first, since nothing is cached at the start.
	idleDelay = 3 * time.Second
	idleCalls = 0.05
	// zoneWeight sets the zones' balance above the servers' work in lightest.
	zoneWeight = 1000
)

// NewRoleBalancer makes a balancer that remembers nothing; a new leader's starts so.
func NewRoleBalancer() *RoleBalancer { return &RoleBalancer{services: map[string]*servicePool{}} }

// Decide gives the orders that are needed now, by what the scheduler knows of its servers. It
// gives none before the next decisionInterval.
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
		service, known := rb.services[name]
		if !known {
			service = &servicePool{}
			rb.services[name] = service
		}
		orders = append(orders, service.decide(now, sched, routes, routes.services[name])...)
	}
	return orders
}

// decide gives the orders for one service.
func (p *servicePool) decide(
	now time.Time, sched *Scheduler, routes *RouteTable, service *config.Service,
) []codec.Order {
	r, stable := rolesOf(now, sched, routes, service.Name)
	if !stable || r.all() < 2 || now.Sub(p.orderedAt) < orderInterval {
		return nil
	}
	// At least one of each, whatever the demand.
	switch {
	case len(r.prefill) == 0:
		return p.order(now, r, change{role: prefill, cause: "no server reads prompts", count: 1})
	case len(r.decode) == 0:
		return p.order(now, r, change{role: decode, cause: "no server makes answers", count: 1})
	}
	busy, running, known := sched.serviceState(service.Name).demand.now(now)
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
	needed, urgent := need(r, busy, running, slots)
	if !p.confirmed(now, needed.role, urgent) {
		return nil
	}
	return p.order(now, r, needed)
}

// idlePrefill is how many more prefill servers an idle service gets, zero or less if none. It
// notes since when the service is idle.
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

// confirmed counts a need and tells whether it was seen often enough to be ordered. One that
// takes the last order back waits longer, unless it is urgent.
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

// order words the orders of a change; the pool that gives servers keeps one.
func (p *servicePool) order(now time.Time, r roles, c change) []codec.Order {
	p.needSeen, p.wantedRole, p.orderedAt, p.lastRole = 0, "", now, c.role
	var orders []codec.Order
	for range c.count {
		chosen := lightest(r, c.role)
		orders = append(orders, codec.Order{
			Server:   chosen.server.Name,
			Part:     c.role,
			Patience: orderTimeout,
			Cause:    c.cause,
		})
		r = r.moved(chosen, c.role)
		if len(r.giving(c.role)) < 2 {
			break
		}
	}
	return orders
}

// change is a role that so many servers are to take, and why.
type change struct {
	role  string
	cause string
	count int
}

// need is the change that the demand calls for; its role is empty if none. busy is how many
// prefill servers are busy, running how many calls the decode servers have, slots how many one
// of them may have. urgent tells that decode servers went and too few are left.
func need(r roles, busy, running, slots float64) (needed change, urgent bool) {
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

// reservedDecode is how many of so many servers no order takes from making answers.
func reservedDecode(all int) int {
	few := min(reservedDecodeFew, int(math.Ceil(float64(all)*reservedDecodeFewShare)))
	return max(few, int(math.Ceil(float64(all)*reservedDecodeShare)))
}

// roles are a service's usable servers by what they do now.
type roles struct{ prefill, decode []*backend }

// rolesOf finds the roles of a service's servers; settled is false while one of them changes
// its role.
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

// giving is the pool that servers leave to take a role.
func (r roles) giving(role string) []*backend {
	if role == prefill {
		return r.decode
	}
	return r.prefill
}

// moved is the roles after a server took one.
func (r roles) moved(chosen *backend, role string) roles {
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

// lightest is the server that is best given a role: in the zone that has the smallest share
// of prefill servers, or the most of them if one is given up, with the least to do.
func lightest(r roles, role string) *backend {
	from := r.giving(role)
	prefillInZone, givingInZone := map[string]int{}, map[string]int{}
	for _, b := range r.prefill {
		prefillInZone[b.server.Zone]++
	}
	for _, b := range from {
		givingInZone[b.server.Zone]++
	}
	weight := func(b *backend) float64 {
		prefillCount := prefillInZone[b.server.Zone]
		share := float64(prefillCount) / float64(prefillCount+givingInZone[b.server.Zone])
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

// Disaggregated tells whether the list gives any server a role of prefill or decode.
func (s *Scheduler) Disaggregated() bool { return s.snapshot.Load().disaggregated }

// Role is what a listed server does, and whether it changes that now. Listed is false for a
// server that isn't listed or has no role.
func (s *Scheduler) Role(server string) (role string, changing, listed bool) {
	b, found := s.snapshot.Load().byName[server]
	if !found || b.server.Part == "" {
		return "", false, false
	}
	return b.role(), b.changingRole(), true
}
