package scheduler

import (
	"math"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/config"
)

// RoleBalancer decides how many servers of a service read prompts and how many make answers.
// An order costs the server's work for a while and moves the homes of some chains, so
// that it is given only for a need that was seen several times, and then rested upon.
type RoleBalancer struct {
	mutex        sync.Mutex
	services     map[string]*servicePool
	lastDecision time.Time
}

type servicePool struct {
	needSeen   int
	wantedRole string
	orderedAt  time.Time
	lastRole   string
	// idle is since when the servers have nothing to do.
	idleSince time.Time
}

// The measures of the pools. The values are ours.
const (
	decisionInterval  = 500 * time.Millisecond
	needConfirmations = 3
	orderInterval     = 3 * time.Second
	// reversalInterval is the rest before an order that takes the last one back.
	reversalInterval = 12 * time.Second
	// prefillBusyHigh is the part of the readers at which more are wanted, prefillBusyTarget the
	// part that is busy when there are enough, prefillBusyLow what must be left of it when
	// one reader less does the same.
	prefillBusyTarget = 0.38
	prefillBusyHigh   = 0.5
	prefillBusyLow    = 0.35
	// slotsTarget is the part of the runners' slots that may be used, slotsHigh the
	// part at which a reader is taken back for them.
	slotsTarget = 0.3
	slotsHigh   = 0.5
	// reservedDecodeShare is the part of the servers that no order takes from making answers, and
	// reservedDecodeFew how many of them in a small service, where it is under reservedDecodeFewShare of all: two
	// servers that go dark must leave enough of them, since the parts are late to follow.
	// Below urgentDecodeShare, whatever the pressure, a reader makes answers again.
	reservedDecodeShare    = 0.33
	reservedDecodeFew      = 4
	reservedDecodeFewShare = 0.4
	urgentDecodeShare      = 0.3
	// serversPerOrder is how many servers there are for each order given at once.
	serversPerOrder = 4
	orderTimeout    = 20 * time.Second
	// A service that has been idle for idleDelay, all but idle calls, gets as many readers as
	// orders may make: parts that change under traffic cost the memory of what moves, and
	// reading is what fills up first, since nothing is kept at the start.
	idleDelay = 3 * time.Second
	idleCalls = 0.05
)

// NewRoleBalancer starts without memory.
func NewRoleBalancer() *RoleBalancer { return &RoleBalancer{services: map[string]*servicePool{}} }

// Decide gives the orders that are needed now, by what the window knows of its servers.
func (p *RoleBalancer) Decide(now time.Time, sched *Scheduler) []codec.Order {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	program := sched.routes.Load()
	if program == nil || now.Sub(p.lastDecision) < decisionInterval {
		return nil
	}
	p.lastDecision = now
	var orders []codec.Order
	for _, name := range program.serviceNames {
		found, known := p.services[name]
		if !known {
			found = &servicePool{}
			p.services[name] = found
		}
		orders = append(orders, found.decide(now, sched, program, program.services[name])...)
	}
	return orders
}

func (p *servicePool) decide(now time.Time, sched *Scheduler, program *RouteTable, service *config.Service) []codec.Order {
	var prefillServers, decodeServers []*backend
	r := sched.latestReport.Load()
	for _, b := range sched.snapshot.Load().byService[service.Name] {
		switch {
		case b.warming(now), b.stale(r):
		case b.server.Leaving || program.evacuations[b.server.Zone]:
		case b.changingRole():
			return nil
		case b.prefills():
			prefillServers = append(prefillServers, b)
		case b.decodesOnly():
			decodeServers = append(decodeServers, b)
		}
	}
	if len(prefillServers)+len(decodeServers) < 2 {
		return nil
	}
	give := func(from []*backend, part, cause string, count int) []codec.Order {
		p.needSeen, p.wantedRole, p.orderedAt, p.lastRole = 0, "", now, part
		var orders []codec.Order
		for range count {
			chosen := lightest(from, prefillServers, part)
			orders = append(orders, codec.Order{Server: chosen.server.Name, Part: part, Patience: orderTimeout, Cause: cause})
			if from, prefillServers, decodeServers = moved(chosen, part, prefillServers, decodeServers); len(from) < 2 {
				break
			}
		}
		return orders
	}
	// The floor: one of each, whatever the pressure.
	switch {
	case now.Sub(p.orderedAt) < orderInterval:
		return nil
	case len(prefillServers) == 0:
		return give(decodeServers, prefill, "no server reads prompts", 1)
	case len(decodeServers) == 0:
		return give(prefillServers, decode, "no server makes answers", 1)
	}
	s := sched.serviceState(service.Name)
	busy, running, known := s.demand.now(now)
	if !known {
		return nil
	}
	all := len(prefillServers) + len(decodeServers)
	if busy+running > idleCalls {
		p.idleSince = time.Time{}
	} else if p.idleSince.IsZero() {
		p.idleSince = now
	} else if even := all - reservedDecode(all); now.Sub(p.idleSince) >= idleDelay && len(prefillServers) < even {
		return give(decodeServers, prefill, "the service is idle and too few servers read prompts", even-len(prefillServers))
	}
	slots := float64(service.Engine.Slots)
	if slots == 0 {
		slots = defaultSlots
	}
	leastDecodeServers := min(max(1, int(math.Ceil(running/(slotsTarget*slots))), reservedDecode(all)), all-1)
	wanted := min(max(1, int(math.Ceil(busy/prefillBusyTarget))), all-leastDecodeServers)
	pressed := running > slotsHigh*slots*float64(len(decodeServers))
	// Runners went away and those that are left are few: that can't wait.
	urgent := len(decodeServers) < int(math.Ceil(float64(all)*urgentDecodeShare))
	part := ""
	switch {
	case len(prefillServers) > 1 && (urgent || pressed && busy < prefillBusyLow*float64(len(prefillServers)-1)):
		part = decode
	case wanted > len(prefillServers) && busy > prefillBusyHigh*float64(len(prefillServers)):
		part = prefill
	}
	if part == "" || part != p.wantedRole {
		p.needSeen, p.wantedRole = 0, part
	}
	if part == "" {
		return nil
	}
	p.needSeen++
	if p.needSeen < needConfirmations || !urgent && p.lastRole != "" && p.lastRole != part && now.Sub(p.orderedAt) < reversalInterval {
		return nil
	}
	if part == prefill {
		return give(decodeServers, prefill, "prompts wait while answers have room", min(wanted-len(prefillServers), max(1, all/serversPerOrder)))
	}
	return give(prefillServers, decode, "answers wait while prompts have room", 1)
}

// reservedDecode is how many of so many servers no order takes from making answers.
func reservedDecode(all int) int {
	few := min(reservedDecodeFew, int(math.Ceil(float64(all)*reservedDecodeFewShare)))
	return max(few, int(math.Ceil(float64(all)*reservedDecodeShare)))
}

// lightest is the server that is best given the part: in the zone that has the
// fewest with it for its size, with the least to do.
func lightest(from, prefillServers []*backend, part string) *backend {
	in, all := map[string]int{}, map[string]int{}
	for _, b := range prefillServers {
		in[b.server.Zone]++
	}
	for _, b := range from {
		all[b.server.Zone]++
	}
	weight := func(b *backend) float64 {
		s := float64(in[b.server.Zone]) / float64(in[b.server.Zone]+all[b.server.Zone])
		if part == decode {
			s = -float64(in[b.server.Zone])
		}
		work := b.otherCalls() + float64(b.running.Load()+b.prefilling.Load())
		return s*zoneWeight + work
	}
	best := from[0]
	for _, b := range from[1:] {
		if weight(b) < weight(best) {
			best = b
		}
	}
	return best
}

const zoneWeight = 1000

// moved is the two pools with a server given the part; from is the pool that it left.
func moved(chosen *backend, part string, prefillServers, decodeServers []*backend) (from, nextPrefillServers, nextDecodeServers []*backend) {
	without := func(p []*backend) []*backend {
		var left []*backend
		for _, b := range p {
			if b != chosen {
				left = append(left, b)
			}
		}
		return left
	}
	if part == prefill {
		nextPrefillServers, nextDecodeServers = append(without(prefillServers), chosen), without(decodeServers)
		return nextDecodeServers, nextPrefillServers, nextDecodeServers
	}
	nextPrefillServers, nextDecodeServers = without(prefillServers), append(without(decodeServers), chosen)
	return nextPrefillServers, nextPrefillServers, nextDecodeServers
}

// Disaggregated tells whether the list says of servers what part they have.
func (s *Scheduler) Disaggregated() bool { return s.snapshot.Load().disaggregated }

// Role is what a listed server does, and whether it changes that now. Listed is false
// for a server that isn't listed or has no part.
func (s *Scheduler) Role(server string) (part string, changing, listed bool) {
	b, found := s.snapshot.Load().byName[server]
	if !found || b.server.Part == "" {
		return "", false, false
	}
	return b.role(), b.changingRole(), true
}
