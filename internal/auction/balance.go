package auction

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/membership"
)

// Balancer decides which servers take which part. It changes one server at a
// time, only after the same need was seen several times, rests after each
// change, and keeps at least one server of each part.
type Balancer struct {
	consecutive  map[Part]int
	lastChange   time.Time
	lastDecision time.Time
	fixed        bool
}

// The balance's measures. The values are ours.
const (
	balanceInterval  = 500 * time.Millisecond
	balanceCooldown  = 6 * time.Second
	balanceThreshold = 3
	// heavy is a prefill backlog or a share of decode slots that asks for more
	// servers; light is one that can spare some.
	highBacklog = 600 * time.Millisecond
	lowBacklog  = 200 * time.Millisecond
	highSlotUse = 0.70
	lowSlotUse  = 0.45
	// drainTimeout is how long a server may finish what it runs.
	drainTimeout = 20 * time.Second
)

// NewBalancer starts without memory. A fixed one changes no part that a server
// has, save that there must be one of each, for comparison.
func NewBalancer(fixed bool) *Balancer { return &Balancer{consecutive: map[Part]int{}, fixed: fixed} }

// Due tells whether enough time has passed since Decide was asked last for it to look
// at the servers again.
func (b *Balancer) Due(now time.Time) bool { return now.Sub(b.lastDecision) >= balanceInterval }

// Decide gives the orders that are needed now. Evacuated and leaving servers
// count for nothing; a leaving one is told to drain.
func (b *Balancer) Decide(now time.Time, servers []membership.Server, loads map[string]Load, currentOrders map[string]codec.Order, evacuated func(string) bool) []codec.Order {
	if !b.Due(now) {
		return nil
	}
	b.lastDecision = now
	var orders []codec.Order
	var prefill, decode, vacant []membership.Server
	part := func(server membership.Server) Part {
		if order, found := currentOrders[server.Name]; found {
			return Part(order.Part)
		}
		return NoPart
	}
	ordered := append([]membership.Server(nil), servers...)
	sort.Slice(ordered, func(left, right int) bool { return ordered[left].Name < ordered[right].Name })
	for _, server := range ordered {
		load, reported := loads[server.Name]
		switch {
		case server.Leaving || (reported && load.Leaving):
			if reported && part(server) != Drain {
				orders = append(orders, codec.Order{Server: server.Name, Part: string(Drain), Patience: drainTimeout, Cause: "the platform takes the server away"})
			}
		case !reported:
		case part(server) == Prefill:
			if !evacuated(server.Zone) {
				prefill = append(prefill, server)
			}
		case part(server) == Decode:
			if !evacuated(server.Zone) {
				decode = append(decode, server)
			}
		default:
			vacant = append(vacant, server)
		}
	}
	give := func(server membership.Server, to Part, cause string) {
		orders = append(orders, codec.Order{Server: server.Name, Part: string(to), Patience: drainTimeout, Cause: cause})
	}
	// Servers without a part come first: two of five read prompts, each
	// zone in turn.
	sort.SliceStable(vacant, func(left, right int) bool {
		return membership.Weight("first part", vacant[left].Name) > membership.Weight("first part", vacant[right].Name)
	})
	prefills, decodes := len(prefill), len(decode)
	inZone := map[string]int{}
	for _, server := range prefill {
		inZone[server.Zone]++
	}
	for len(vacant) > 0 {
		if prefills*3 < decodes*2 || prefills == 0 {
			sort.SliceStable(vacant, func(left, right int) bool {
				return inZone[vacant[left].Zone] < inZone[vacant[right].Zone]
			})
			give(vacant[0], Prefill, "a server without a part")
			inZone[vacant[0].Zone]++
			prefills++
		} else {
			give(vacant[0], Decode, "a server without a part")
			decodes++
		}
		vacant = vacant[1:]
	}
	if len(orders) > 0 {
		b.lastChange = now
		return orders
	}
	// The floor: one of each, whatever the pressure.
	if len(prefill) == 0 && len(decode) > 1 {
		give(leastLoadedServer(decode, loads), Prefill, "no server reads prompts")
	} else if len(decode) == 0 && len(prefill) > 1 {
		give(leastLoadedServer(prefill, loads), Decode, "no server answers")
	}
	if len(orders) > 0 {
		b.lastChange = now
		return orders
	}
	if len(prefill) == 0 || len(decode) == 0 || b.fixed {
		return nil
	}
	backlog, slots := pressures(prefill, decode, loads)
	needPrefill := backlog > highBacklog && slots < highSlotUse && len(decode) > 1
	needDecode := slots > highSlotUse && backlog < highBacklog && len(prefill) > 1
	needPrefill = needPrefill && (slots < lowSlotUse || backlog > 2*highBacklog)
	needDecode = needDecode && (backlog < lowBacklog || slots > 0.9)
	b.count(Prefill, needPrefill)
	b.count(Decode, needDecode)
	if now.Sub(b.lastChange) < balanceCooldown {
		return nil
	}
	switch {
	case b.consecutive[Prefill] >= balanceThreshold:
		give(leastLoadedServer(decode, loads), Prefill, "prompts wait while answers have room")
	case b.consecutive[Decode] >= balanceThreshold:
		give(leastLoadedServer(prefill, loads), Decode, "answers wait while prompts have room")
	}
	if len(orders) > 0 {
		b.lastChange = now
		b.consecutive = map[Part]int{}
	}
	return orders
}

func (b *Balancer) count(part Part, needed bool) {
	if needed {
		b.consecutive[part]++
	} else {
		b.consecutive[part] = 0
	}
}

// pressures are the mean backlog of prompts and the share of slots in use.
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
