package simulation

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Layout is a fleet of several regions, whose control alone is rehearsed: servers are
// listed and neither report nor work.
type Layout struct {
	// Zones are the zones of each region.
	Zones [][]string
	// Between is how long a message takes from one region to another, beside what it
	// takes within one.
	Between time.Duration
	Routers int
	Servers int
	// Controllers are the machines set aside for control; the first three are seeds and
	// lie in three regions, if there are so many.
	Controllers int
	BorneLosses int
	// Routes is how many routes the configuration has.
	Routes int
}

// FutureLayout is the fleet of two years from now.
func FutureLayout() Layout {
	return Layout{
		Zones:       [][]string{{"east-1", "east-2", "east-3"}, {"west-1", "west-2", "west-3"}, {"north-1", "north-2", "north-3"}, {"south-1", "south-2"}},
		Between:     20 * time.Millisecond,
		Routers:     324,
		Servers:     1100,
		Controllers: 6,
		BorneLosses: 1,
		Routes:      300,
	}
}

// zones are all zones, one of each region in turn.
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

// region is the number of a zone's region, or -1.
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

// NewLaidOut lays out a fleet of several regions.
func NewLaidOut(layout Layout, seed uint64) *World {
	zones := layout.zones()
	world := New(fleet.Deployment{Name: "regions", Zones: zones, Long: fleet.Sahil().Long, Short: fleet.Sahil().Short}, seed)
	world.layout = &layout
	// The deployment without routers has three controllers; the layout's are others.
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

// far is how much longer a message takes between two machines than within a region.
func (w *World) far(from, to string) time.Duration {
	if w.layout == nil {
		return 0
	}
	here, there := w.machineNamed(from), w.machineNamed(to)
	if here == nil || there == nil || w.layout.region(here.zone) == w.layout.region(there.zone) {
		return 0
	}
	return w.layout.Between
}

func (w *World) borneLosses() int {
	if w.layout == nil {
		return 0
	}
	return w.layout.BorneLosses
}

// listControllers are the nodes that the controllers of a laid-out fleet are told of;
// routers are told of none.
func (w *World) listControllers() []membership.Node {
	var nodes []membership.Node
	for _, node := range w.listNodes() {
		if node.Kind == membership.Controller {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Traffic is what went over the RPC client.
type Traffic struct {
	Messages int
	Bytes    int
}

func (w *World) countTraffic(path string, bytes int) {
	count := w.traffic[path]
	w.traffic[path] = Traffic{count.Messages + 1, count.Bytes + bytes}
}

// sum is all traffic so far.
func (w *World) sum() Traffic {
	var all Traffic
	for _, count := range w.traffic {
		all.Messages += count.Messages
		all.Bytes += count.Bytes
	}
	return all
}
