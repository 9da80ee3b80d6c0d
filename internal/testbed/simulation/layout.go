package simulation

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Layout describes a fleet of several regions of which only the control plane is simulated:
// the servers are listed, but send no load reports and do no work.
type Layout struct {
	// Zones are the zones of each region.
	Zones [][]string
	// Between is the latency from one region to another, in addition to the latency within
	// a region.
	Between time.Duration
	Routers int
	Servers int
	// Controllers is the number of machines for controllers. The first three are seeds; if there
	// are at least three regions, each seed is in a different region.
	Controllers int
	// ToleratedLosses is the number of lost machines that the core tolerates.
	ToleratedLosses int
	// Routes is the number of routes in the configuration.
	Routes int
}

// FutureLayout returns the fleet that is expected in two years.
func FutureLayout() Layout {
	return Layout{
		Zones: [][]string{
			{"east-1", "east-2", "east-3"},
			{"west-1", "west-2", "west-3"},
			{"north-1", "north-2", "north-3"},
			{"south-1", "south-2"},
		},
		Between:         20 * time.Millisecond,
		Routers:         324,
		Servers:         1100,
		Controllers:     6,
		ToleratedLosses: 1,
		Routes:          300,
	}
}

// zones returns all zones: the first zone of each region, then the second zone of each, and so on.
func (l Layout) zones() []string {
	var zones []string
	for position := 0; ; position++ {
		before := len(zones)
		for _, region := range l.Zones {
			if position < len(region) {
				zones = append(zones, region[position])
			}
		}
		if len(zones) == before {
			return zones
		}
	}
}

// region returns the number of a zone's region, or -1 if no region has the zone.
func (l Layout) region(zone string) int {
	for number, region := range l.Zones {
		for _, name := range region {
			if name == zone {
				return number
			}
		}
	}
	return -1
}

// NewLaidOut returns the world of a fleet of several regions.
func NewLaidOut(layout Layout, seed uint64) *World {
	zones := layout.zones()
	world := New(fleet.Deployment{Name: "regions", Zones: zones, Long: fleet.Sahil().Long, Short: fleet.Sahil().Short}, seed)
	world.layout = &layout
	// New adds three controllers even for a deployment without routers; the controllers of the
	// layout replace them.
	world.machines, world.byAddress = nil, map[string]string{}
	var seeds []string
	for position := range min(3, layout.Controllers) {
		seeds = append(seeds, "10.0.0."+strconv.Itoa(position+1)+":1")
	}
	for position := range layout.Controllers {
		world.addMachine(membership.Controller, "expediter-"+strconv.Itoa(position+1),
			"10.0.0."+strconv.Itoa(position+1)+":1", zones[position%len(zones)], seeds)
	}
	for position := range layout.Routers {
		address := "10.2." + strconv.Itoa(position/250) + "." + strconv.Itoa(position%250+1) + ":1"
		world.addMachine(membership.Router, "courier-"+strconv.Itoa(position+1), address, zones[position%len(zones)], seeds)
	}
	for position := range layout.Servers {
		name := "stove-" + strconv.Itoa(position+1)
		world.platform.servers[name] = membership.Server{
			Name:    name,
			Address: "10.3." + strconv.Itoa(position/250) + "." + strconv.Itoa(position%250+1) + ":1",
			Zone:    zones[position%len(zones)],
		}
	}
	return world
}

// regionDelay returns the additional latency between two machines in different regions.
func (w *World) regionDelay(from, to string) time.Duration {
	if w.layout == nil {
		return 0
	}
	source, target := w.machineNamed(from), w.machineNamed(to)
	if source == nil || target == nil || w.layout.region(source.zone) == w.layout.region(target.zone) {
		return 0
	}
	return w.layout.Between
}

// toleratedLosses returns the number of lost machines that the core of a Layout tolerates, or 0 without
// a Layout.
func (w *World) toleratedLosses() int {
	if w.layout == nil {
		return 0
	}
	return w.layout.ToleratedLosses
}

// listControllers returns the nodes that the platform lists to the controllers of a fleet
// with a Layout. To routers, the platform lists no nodes.
func (w *World) listControllers() []membership.Node {
	var nodes []membership.Node
	for _, node := range w.listNodes() {
		if node.Kind == membership.Controller {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Traffic counts the calls between nodes that arrive: Messages is the number of calls, and Bytes is the
// total size of the calls and their responses.
type Traffic struct {
	Messages int
	Bytes    int
}

// countTraffic counts a call and its response under the call's path.
func (w *World) countTraffic(path string, bytes int) {
	count := w.traffic[path]
	w.traffic[path] = Traffic{count.Messages + 1, count.Bytes + bytes}
}

// totalTraffic returns all traffic so far.
func (w *World) totalTraffic() Traffic {
	var all Traffic
	for _, count := range w.traffic {
		all.Messages += count.Messages
		all.Bytes += count.Bytes
	}
	return all
}
