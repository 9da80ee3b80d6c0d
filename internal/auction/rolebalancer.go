package auction

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/membership"
)

// RoleBalancer assigns roles to servers that have none, and changes roles according to the load. To
// avoid flapping, a change because of the load affects one server at a time. It is ordered only after
// balanceThreshold consecutive checks found the same need, and not before balanceCooldown has passed
// since the last orders. RoleBalancer keeps at least one server in each role.
type RoleBalancer struct {
	// consecutive counts the consecutive checks in which a role needed one more server.
	consecutive map[ServerRole]int
	// orderedAt is when orders were last given, for any cause; lastDecision is when Decide last
	// checked the servers.
	orderedAt    time.Time
	lastDecision time.Time
	// fixed disables role changes because of the load.
	fixed bool
}

const (
	// balanceInterval is the minimum time between two checks.
	balanceInterval = 500 * time.Millisecond
	// balanceCooldown is the minimum time between orders, for any cause, and a later role change
	// because of the load.
	balanceCooldown = 6 * time.Second
	// balanceThreshold is the number of consecutive checks that must find the same need before a
	// role is changed.
	balanceThreshold = 3
	// The prefill role needs another server if its backlog is above highBacklog, and the decode
	// role if its share of busy slots is above highSlotUse. The other role can spare a server if
	// its own value is below lowBacklog or lowSlotUse.
	highBacklog = 600 * time.Millisecond
	lowBacklog  = 200 * time.Millisecond
	highSlotUse = 0.70
	lowSlotUse  = 0.45
	// drainTimeout is how long a server may take to finish its work in flight.
	drainTimeout = 20 * time.Second
)

// NewRoleBalancer returns a balancer. If fixed is set, the balancer changes no roles by load and
// only keeps at least one server in each role; this is a baseline for comparison.
func NewRoleBalancer(fixed bool) *RoleBalancer {
	return &RoleBalancer{consecutive: map[ServerRole]int{}, fixed: fixed}
}

// Due reports whether balanceInterval has passed since the last check by Decide.
func (b *RoleBalancer) Due(now time.Time) bool { return now.Sub(b.lastDecision) >= balanceInterval }

// Decide returns the orders that are needed now. Servers that are leaving or in an evacuated
// zone do not count towards a role; a leaving server is ordered to drain.
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
	pools, orders := groupByRole(servers, loads, currentOrders, evacuated)
	orders = append(orders, pools.assignRoles()...)
	if len(orders) == 0 {
		orders = pools.restoreMinimum(loads)
	}
	if len(orders) > 0 {
		b.orderedAt = now
		return orders
	}
	if len(pools.prefill) == 0 || len(pools.decode) == 0 || b.fixed {
		return nil
	}
	b.countNeeds(pools, loads)
	if now.Sub(b.orderedAt) < balanceCooldown {
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
	b.orderedAt = now
	b.consecutive = map[ServerRole]int{}
	return orders
}

// countNeeds updates the counts of consecutive checks in which a role needed a server that the
// other role can spare. If the backlog is above twice highBacklog, it is enough that the share of
// busy slots is below highSlotUse; if that share is above 0.9, it is enough that the backlog is below
// highBacklog.
func (b *RoleBalancer) countNeeds(pools *serverPools, loads map[string]Load) {
	backlog, slotUse := backlogAndSlotUse(pools.prefill, pools.decode, loads)
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

// serverPools holds the servers that report their load, grouped by the role in their current order.
type serverPools struct {
	prefill []membership.Server
	decode  []membership.Server
	// unassigned servers have no order to prefill or decode; they may be in evacuated zones.
	unassigned []membership.Server
}

// groupByRole groups servers by role, and returns orders to drain for those that are leaving.
func groupByRole(
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
		role := ServerRole(currentOrders[server.Name].Role)
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
			pools.unassigned = append(pools.unassigned, server)
		}
	}
	return pools, orders
}

// assignRoles returns an order for each server without a role, so that two of five servers
// are prefill servers, spread evenly over the zones.
func (p *serverPools) assignRoles() []codec.Order {
	var orders []codec.Order
	unassigned := p.unassigned
	sort.SliceStable(unassigned, func(i, j int) bool {
		return membership.Weight("first part", unassigned[i].Name) > membership.Weight("first part", unassigned[j].Name)
	})
	prefills, decodes := len(p.prefill), len(p.decode)
	inZone := map[string]int{}
	for _, server := range p.prefill {
		inZone[server.Zone]++
	}
	for ; len(unassigned) > 0; unassigned = unassigned[1:] {
		if prefills*3 >= decodes*2 && prefills > 0 {
			orders = append(orders, newOrder(unassigned[0], Decode, "a server without a part"))
			decodes++
			continue
		}
		sort.SliceStable(unassigned, func(i, j int) bool { return inZone[unassigned[i].Zone] < inZone[unassigned[j].Zone] })
		orders = append(orders, newOrder(unassigned[0], Prefill, "a server without a part"))
		inZone[unassigned[0].Zone]++
		prefills++
	}
	return orders
}

// restoreMinimum returns an order that gives a role without servers to one server of the other
// role, regardless of the load.
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
	return codec.Order{Server: server.Name, Role: string(role), GracePeriod: drainTimeout, Cause: cause}
}

// backlogAndSlotUse returns the mean time that the prefill servers need for their queues,
// and the share of the decode servers' slots that are busy.
func backlogAndSlotUse(prefill, decode []membership.Server, loads map[string]Load) (time.Duration, float64) {
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

// leastLoadedServer returns the server with the least work, because a change of its role interrupts
// the least work. A decode in progress or a waiting prefill counts as much as 1000 queued tokens.
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
