package auction

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/membership"
)

// RoleBalancer decides which server takes which role. It changes one server at a time, only
// after the same need was seen several times in a row, waits after each change, and keeps
// at least one server of each role.
type RoleBalancer struct {
	// consecutive counts how often in a row a role needed one server more.
	consecutive  map[ServerRole]int
	lastChange   time.Time
	lastDecision time.Time
	fixed        bool
}

// The values are ours.
const (
	balanceInterval  = 500 * time.Millisecond
	balanceCooldown  = 6 * time.Second
	balanceThreshold = 3
	// A prefill backlog or a share of busy decode slots that is high asks for more
	// servers; one that is low can spare some.
	highBacklog = 600 * time.Millisecond
	lowBacklog  = 200 * time.Millisecond
	highSlotUse = 0.70
	lowSlotUse  = 0.45
	// drainTimeout is how long a server may finish what it runs.
	drainTimeout = 20 * time.Second
)

// NewRoleBalancer makes a balancer that has seen nothing yet. A fixed one changes no role that
// a server has, save that there must be one of each, for comparison.
func NewRoleBalancer(fixed bool) *RoleBalancer {
	return &RoleBalancer{consecutive: map[ServerRole]int{}, fixed: fixed}
}

// Due tells whether enough time has passed since the last Decide for another one to look at
// the servers.
func (b *RoleBalancer) Due(now time.Time) bool { return now.Sub(b.lastDecision) >= balanceInterval }

// Decide returns the orders that are needed now. Evacuated and leaving servers do not
// count; a leaving one is told to drain.
func (b *RoleBalancer) Decide(
	now time.Time,
	servers []membership.Server,
	loads map[string]Load,
	currentOrders map[string]codec.Order,
	evacuated func(string) bool,
) []codec.Order {
	if !b.Due(now) {
		return nil
	}
	b.lastDecision = now
	pools, orders := poolsOf(servers, loads, currentOrders, evacuated)
	orders = append(orders, pools.assignVacant()...)
	if len(orders) == 0 {
		orders = pools.restoreMinimum(loads)
	}
	if len(orders) > 0 {
		b.lastChange = now
		return orders
	}
	if len(pools.prefill) == 0 || len(pools.decode) == 0 || b.fixed {
		return nil
	}
	b.countNeeds(pools, loads)
	if now.Sub(b.lastChange) < balanceCooldown {
		return nil
	}
	switch {
	case b.consecutive[Prefill] >= balanceThreshold:
		server := leastLoadedServer(pools.decode, loads)
		orders = append(orders, newOrder(server, Prefill, "prompts wait while answers have room"))
	case b.consecutive[Decode] >= balanceThreshold:
		server := leastLoadedServer(pools.prefill, loads)
		orders = append(orders, newOrder(server, Decode, "answers wait while prompts have room"))
	default:
		return nil
	}
	b.lastChange = now
	b.consecutive = map[ServerRole]int{}
	return orders
}

// countNeeds counts how often in a row each role needed a server that the other can spare.
func (b *RoleBalancer) countNeeds(pools *serverPools, loads map[string]Load) {
	backlog, slotUse := pressures(pools.prefill, pools.decode, loads)
	needPrefill := backlog > highBacklog && slotUse < highSlotUse && len(pools.decode) > 1
	needDecode := slotUse > highSlotUse && backlog < highBacklog && len(pools.prefill) > 1
	b.count(Prefill, needPrefill && (slotUse < lowSlotUse || backlog > 2*highBacklog))
	b.count(Decode, needDecode && (backlog < lowBacklog || slotUse > 0.9))
}

func (b *RoleBalancer) count(role ServerRole, needed bool) {
	if needed {
		b.consecutive[role]++
	} else {
		b.consecutive[role] = 0
	}
}

// serverPools are the servers that report, by the role that they are ordered to take.
type serverPools struct {
	prefill []membership.Server
	decode  []membership.Server
	vacant  []membership.Server
}

// poolsOf sorts servers into pools, and orders those that leave to drain.
func poolsOf(
	servers []membership.Server,
	loads map[string]Load,
	currentOrders map[string]codec.Order,
	evacuated func(string) bool,
) (*serverPools, []codec.Order) {
	pools := &serverPools{}
	var orders []codec.Order
	sorted := append([]membership.Server(nil), servers...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	for _, server := range sorted {
		load, reported := loads[server.Name]
		role := ServerRole(currentOrders[server.Name].Part)
		switch {
		case server.Leaving || (reported && load.Leaving):
			if reported && role != Drain {
				orders = append(orders, newOrder(server, Drain, "the platform takes the server away"))
			}
		case !reported:
		case role == Prefill:
			if !evacuated(server.Zone) {
				pools.prefill = append(pools.prefill, server)
			}
		case role == Decode:
			if !evacuated(server.Zone) {
				pools.decode = append(pools.decode, server)
			}
		default:
			pools.vacant = append(pools.vacant, server)
		}
	}
	return pools, orders
}

// assignVacant gives a role to each server without one: two of five are prefill servers,
// from each zone in turn.
func (p *serverPools) assignVacant() []codec.Order {
	var orders []codec.Order
	vacant := p.vacant
	sort.SliceStable(vacant, func(i, j int) bool {
		return membership.Weight("first part", vacant[i].Name) > membership.Weight("first part", vacant[j].Name)
	})
	prefills, decodes := len(p.prefill), len(p.decode)
	inZone := map[string]int{}
	for _, server := range p.prefill {
		inZone[server.Zone]++
	}
	for ; len(vacant) > 0; vacant = vacant[1:] {
		if prefills*3 >= decodes*2 && prefills > 0 {
			orders = append(orders, newOrder(vacant[0], Decode, "a server without a part"))
			decodes++
			continue
		}
		sort.SliceStable(vacant, func(i, j int) bool { return inZone[vacant[i].Zone] < inZone[vacant[j].Zone] })
		orders = append(orders, newOrder(vacant[0], Prefill, "a server without a part"))
		inZone[vacant[0].Zone]++
		prefills++
	}
	return orders
}

// restoreMinimum has one server of each role, whatever the load.
func (p *serverPools) restoreMinimum(loads map[string]Load) []codec.Order {
	switch {
	case len(p.prefill) == 0 && len(p.decode) > 1:
		return []codec.Order{newOrder(leastLoadedServer(p.decode, loads), Prefill, "no server reads prompts")}
	case len(p.decode) == 0 && len(p.prefill) > 1:
		return []codec.Order{newOrder(leastLoadedServer(p.prefill, loads), Decode, "no server answers")}
	}
	return nil
}

func newOrder(server membership.Server, role ServerRole, cause string) codec.Order {
	return codec.Order{Server: server.Name, Part: string(role), Patience: drainTimeout, Cause: cause}
}

// pressures are the mean time to read the waiting prompts and the share of busy slots.
func pressures(prefill, decode []membership.Server, loads map[string]Load) (time.Duration, float64) {
	var backlog time.Duration
	for _, server := range prefill {
		backlog += seconds(loads[server.Name].PrefillQueueTokens, loads[server.Name].PrefillRate)
	}
	active, slots := 0, 0
	for _, server := range decode {
		active += loads[server.Name].DecodeActive
		slots += loads[server.Name].DecodeSlots
	}
	return backlog / time.Duration(len(prefill)), float64(active) / float64(max(slots, 1))
}

// leastLoadedServer is the server that loses least by a change of its role.
func leastLoadedServer(servers []membership.Server, loads map[string]Load) membership.Server {
	best := servers[0]
	loadOf := func(server membership.Server) int {
		load := loads[server.Name]
		return load.PrefillQueueTokens + 1000*(load.DecodeActive+load.PrefillWaiting)
	}
	for _, server := range servers[1:] {
		if loadOf(server) < loadOf(best) {
			best = server
		}
	}
	return best
}
