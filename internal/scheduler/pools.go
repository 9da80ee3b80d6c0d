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

// Disaggregated tells whether the list says of servers what part they have.
func (w *Scheduler) Disaggregated() bool { return w.snapshot.Load().disaggregated }

// Role is what a listed server does, and whether it changes that now. Listed is false
// for a server that isn't listed or has no part.
func (w *Scheduler) Role(server string) (part string, changing, listed bool) {
	b, found := w.snapshot.Load().byName[server]
	if !found || b.server.Part == "" {
		return "", false, false
	}
	return b.role(), b.changingRole(), true
}

// Decide gives the orders that are needed now, by what the window knows of its servers.
func (p *RoleBalancer) Decide(now time.Time, window *Scheduler) []codec.Order {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	program := window.routes.Load()
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
		orders = append(orders, found.decide(now, window, program, program.services[name])...)
	}
	return orders
}

func (p *servicePool) decide(now time.Time, window *Scheduler, program *RouteTable, service *config.Service) []codec.Order {
	var readers, runners []*backend
	r := window.latestReport.Load()
	for _, b := range window.snapshot.Load().byService[service.Name] {
		switch {
		case b.warming(now), b.stale(r):
		case b.server.Leaving || program.evacuations[b.server.Zone]:
		case b.changingRole():
			return nil
		case b.prefills():
			readers = append(readers, b)
		case b.decodesOnly():
			runners = append(runners, b)
		}
	}
	if len(readers)+len(runners) < 2 {
		return nil
	}
	give := func(from []*backend, part, cause string, count int) []codec.Order {
		p.needSeen, p.wantedRole, p.orderedAt, p.lastRole = 0, "", now, part
		var orders []codec.Order
		for range count {
			chosen := lightest(from, readers, part)
			orders = append(orders, codec.Order{Server: chosen.server.Name, Part: part, Patience: orderTimeout, Cause: cause})
			if from, readers, runners = moved(chosen, part, readers, runners); len(from) < 2 {
				break
			}
		}
		return orders
	}
	// The floor: one of each, whatever the pressure.
	switch {
	case now.Sub(p.orderedAt) < orderInterval:
		return nil
	case len(readers) == 0:
		return give(runners, prefill, "no server reads prompts", 1)
	case len(runners) == 0:
		return give(readers, decode, "no server makes answers", 1)
	}
	s := window.serviceState(service.Name)
	busy, running, known := s.demand.now(now)
	if !known {
		return nil
	}
	all := len(readers) + len(runners)
	if busy+running > idleCalls {
		p.idleSince = time.Time{}
	} else if p.idleSince.IsZero() {
		p.idleSince = now
	} else if even := all - reservedDecode(all); now.Sub(p.idleSince) >= idleDelay && len(readers) < even {
		return give(runners, prefill, "the service is idle and too few servers read prompts", even-len(readers))
	}
	slots := float64(service.Engine.Slots)
	if slots == 0 {
		slots = defaultSlots
	}
	leastRunners := min(max(1, int(math.Ceil(running/(slotsTarget*slots))), reservedDecode(all)), all-1)
	wanted := min(max(1, int(math.Ceil(busy/prefillBusyTarget))), all-leastRunners)
	pressed := running > slotsHigh*slots*float64(len(runners))
	// Runners went away and those that are left are few: that can't wait.
	urgent := len(runners) < int(math.Ceil(float64(all)*urgentDecodeShare))
	part := ""
	switch {
	case len(readers) > 1 && (urgent || pressed && busy < prefillBusyLow*float64(len(readers)-1)):
		part = decode
	case wanted > len(readers) && busy > prefillBusyHigh*float64(len(readers)):
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
		return give(runners, prefill, "prompts wait while answers have room", min(wanted-len(readers), max(1, all/serversPerOrder)))
	}
	return give(readers, decode, "answers wait while prompts have room", 1)
}

// reservedDecode is how many of so many servers no order takes from making answers.
func reservedDecode(all int) int {
	few := min(reservedDecodeFew, int(math.Ceil(float64(all)*reservedDecodeFewShare)))
	return max(few, int(math.Ceil(float64(all)*reservedDecodeShare)))
}

// lightest is the server that is best given the part: in the zone that has the
// fewest with it for its size, with the least to do.
func lightest(from, readers []*backend, part string) *backend {
	in, all := map[string]int{}, map[string]int{}
	for _, b := range readers {
		in[b.server.Zone]++
	}
	for _, ba := range from {
		all[ba.server.Zone]++
	}
	weight := func(bc *backend) float64 {
		s := float64(in[bc.server.Zone]) / float64(in[bc.server.Zone]+all[bc.server.Zone])
		if part == decode {
			s = -float64(in[bc.server.Zone])
		}
		work := bc.otherCalls() + float64(bc.running.Load()+bc.prefilling.Load())
		return s*zoneWeight + work
	}
	best := from[0]
	for _, bck := range from[1:] {
		if weight(bck) < weight(best) {
			best = bck
		}
	}
	return best
}

const zoneWeight = 1000

// moved is the two pools with a server given the part; from is the pool that it left.
func moved(chosen *backend, part string, readers, runners []*backend) (from, nextReaders, nextRunners []*backend) {
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
		nextReaders, nextRunners = append(without(readers), chosen), without(runners)
		return nextRunners, nextReaders, nextRunners
	}
	nextReaders, nextRunners = without(readers), append(without(runners), chosen)
	return nextReaders, nextReaders, nextRunners
}
