package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// fault is one kind of fault. The higher its weight, the more often it is drawn.
type fault struct {
	name   string
	weight int
	run    func(w *World)
}

// faults are the faults that the requirements name, except those that need real sockets and
// threads. Each fault runs in a thread of World.outside and may overlap with others. The order
// and the weights of the faults decide which faults a seed draws.
var faults = []fault{
	{"kill a courier", 6, kill(anyRouter, 100, 4000)},
	{"a courier stays away", 5, kill(anyRouter, 8000, 12000)},
	{"the holder of the parts stays away", 3, kill((*World).roleLeaseHolder, 8000, 12000)},
	{"kill an expediter", 6, kill(anyController, 100, 5000)},
	{"kill the primary", 4, kill((*World).primary, 50, 5000)},
	{"power off a machine", 4, func(w *World) { w.powerOffFor(w.anyNode(""), 500, 6000) }},
	{"power fails at a disk's act", 8, failPowerAtDiskOperation},
	{"a disk is lost", 5, loseDisk},
	{"a full disk", 2, fillDisk},
	{"a damaged file", 3, damageFile},
	{"an expediter is stopped in order", 3, func(w *World) { w.stopFor(anyController(w), 200, 3000) }},
	{"the primary hands over while a courier is cut off", 3, handOverWhileRouterIsCut},
	{"freeze a courier", 6, freeze(anyRouter)},
	{"freeze an expediter", 3, freeze(anyController)},
	{"freeze the primary", 4, freeze((*World).primary)},
	{"freeze the holder of the parts", 4, freeze((*World).roleLeaseHolder)},
	{"a wall clock jumps", 3, jumpWallClock},
	{"isolate a machine", 5, func(w *World) { w.isolate(w.anyNode("").name, true, true) }},
	{"isolate the primary", 3, func(w *World) { w.isolate(w.primary().name, true, true) }},
	{"one way", 5, isolateOneWay},
	{"two expediters cut", 4, cutPair},
	{"the core cut from the couriers", 2, cutCoreFromRouters},
	{"bad links", 5, badLinks},
	{"bad links to servers", 5, badServerLinks},
	{"slow dials", 3, slowDials},
	{"a herd of couriers", 1, func(w *World) { w.restartAll(membership.Router) }},
	{"a herd of expediters", 1, func(w *World) { w.restartAll(membership.Controller) }},
	{"all at once", 1, func(w *World) { w.restartAll("") }},
	{"a zone is lost", 2, loseZone},
	{"a server crashes", 5, func(w *World) { w.crashFor(w.anyServer(), 0, 2500) }},
	{"servers replaced at once", 2, replaceServers},
	{"a server goes dark", 3, makeServerUnresponsive},
	{"a server freezes", 2, freezeServer},
	{"a server leaves", 5, leaveServer},
	{"handles lapse", 2, lapseHandles},
	{"slow links between servers", 2, slowServerLink},
	{"an evacuation", 5, evacuateZone},
	{"a race of operators", 3, raceOperators},
	{"a storm", 2, stormOfChanges},
	{"a flood", 2, floodTraffic},
	{"a swing", 2, swingTraffic},
	{"another release", 5, otherRelease},
	{"a courier joins", 2, routerJoins},
	{"the platform is down", 2, stopPlatform},
	{"a core machine is replaced", 2, replaceCore},
	{"seeds are exchanged", 2, exchangeSeeds},
}

// FaultNames returns the names of the faults that a day may draw.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// wait blocks a thread of World.outside for a random time between least and most milliseconds.
func (w *World) wait(least, most int) {
	w.outside.NewCond().Wait(time.Duration(least+w.random.IntN(most-least+1))*time.Millisecond, never)
}

// running reports whether a process runs at the machine, frozen or not.
func (m *machine) running() bool { return m.incarnation != nil && !m.incarnation.ended }

// responsive reports whether a process runs at the machine and is not frozen.
func (m *machine) responsive() bool { return m.running() && !m.incarnation.frozen }

func anyRouter(w *World) *machine { return w.anyNode(membership.Router) }

func anyController(w *World) *machine { return w.anyNode(membership.Controller) }

// nodes returns the machines of a kind that are not gone; an empty kind means all kinds.
func (w *World) nodes(kind membership.NodeKind) []*machine {
	var found []*machine
	for _, m := range w.machines {
		if !m.gone && (kind == "" || m.kind == kind) {
			found = append(found, m)
		}
	}
	return found
}

// anyNode returns a random machine of a kind that is not gone; an empty kind means all kinds.
func (w *World) anyNode(kind membership.NodeKind) *machine {
	found := w.nodes(kind)
	return found[w.random.IntN(len(found))]
}

func (w *World) anyZone() string {
	return w.deployment.Zones[w.random.IntN(len(w.deployment.Zones))]
}

func (w *World) anyServer() string {
	return w.plans[w.random.IntN(len(w.plans))].Name
}

// serversOf returns the names of a zone's servers.
func (w *World) serversOf(zone string) []string {
	var names []string
	for _, plan := range w.plans {
		if plan.Zone == zone {
			names = append(names, plan.Name)
		}
	}
	return names
}

func (w *World) isController(name string) bool {
	m := w.machineNamed(name)
	return m != nil && m.kind == membership.Controller
}

// primary returns the controller that holds the primary's lease, or any controller if none holds
// that lease.
func (w *World) primary() *machine {
	for _, m := range w.nodes(membership.Controller) {
		if m.running() && m.control != nil && m.control.Coordinator().HasLease() {
			return m
		}
	}
	return w.anyNode(membership.Controller)
}

// roleLeaseHolder returns the router that holds the lease for assigning roles to servers, or any
// router if none holds that lease.
func (w *World) roleLeaseHolder() *machine {
	for _, m := range w.nodes(membership.Controller) {
		if !m.running() || m.control == nil {
			continue
		}
		if _, _, state, err := m.control.Read(); err == nil {
			if holder := w.machineNamed(state.Roles.Roles["parts"].Holder); holder != nil && !holder.gone {
				return holder
			}
		}
	}
	return w.anyNode(membership.Router)
}
