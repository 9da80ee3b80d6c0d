package simulation

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// kill is the fault that ends a chosen node's process and starts another after a
// drawn number of milliseconds.
func kill(chosen func(w *World) *machine, least, most int) func(w *World) {
	return func(w *World) { w.killFor(chosen(w), least, most) }
}

// freeze is the fault that stops a chosen node's process without ending it.
func freeze(chosen func(w *World) *machine) func(w *World) {
	return func(w *World) { w.freezeFor(chosen(w)) }
}

// handOverWhileRouterIsCut stops the primary in order while a router can't hear of it.
func handOverWhileRouterIsCut(w *World) {
	name := anyRouter(w).name
	w.outside.Go(func() { w.isolate(name, true, true) })
	w.wait(50, 400)
	w.stopFor(w.primary(), 200, 3000)
}

// jumpWallClock sets a node's wall clock up to two hours back or forth; its steady
// clock goes on.
func jumpWallClock(w *World) {
	if m := w.anyNode(""); m.incarnation != nil {
		m.incarnation.jump = time.Duration(w.random.IntN(14400)-7200) * time.Second
	}
}

func (w *World) killFor(m *machine, least, most int) {
	w.kill(m)
	w.wait(least, most)
	w.start(m)
}

// leavePatience is how long a controller that is stopped may hand over.
const leavePatience = 3 * time.Second

// stopFor stops a controller as its operator does: it hands over first.
func (w *World) stopFor(m *machine, least, most int) {
	if !m.running() || m.control == nil {
		return
	}
	stopping, control := m.incarnation, m.control
	if control.Coordinator().HasLease() {
		w.encounter("a primary handed over")
	}
	w.tracef("%s is stopped", m.name)
	left := false
	stopping.Go(func() {
		control.Leave(leavePatience)
		left = true
	})
	for range 30 {
		w.wait(100, 100)
		if left || stopping.ended {
			break
		}
	}
	if m.incarnation == stopping {
		w.killFor(m, least, most)
	}
}

func (w *World) powerOffFor(m *machine, least, most int) {
	w.tracef("%s loses its power", m.name)
	w.powerOff(m.name)
	w.wait(least, most)
	w.start(m)
}

// loseOneWhileForming takes one machine away within the first moments of a core:
// its power fails at one of its disk's first acts, or its whole disk is lost.
func (w *World) loseOneWhileForming() {
	m := w.anyNode(membership.Controller)
	if w.random.IntN(2) == 0 {
		m.disk.powerFailsIn = 1 + w.random.IntN(14)
		w.wait(1000, 6000)
		m.disk.powerFailsIn = 0
		w.encounter("the power fails while the first core forms")
		w.start(m)
		return
	}
	for len(m.disk.names) == 0 {
		w.wait(0, 20)
	}
	w.wait(0, 1500)
	w.tracef("%s loses its disk", m.name)
	w.encounter("a disk lost while the first core forms")
	w.kill(m)
	m.disk = newDisk(w)
	w.wait(0, 1500)
	w.start(m)
}

func (w *World) freezeFor(m *machine) {
	if !m.responsive() {
		return
	}
	w.tracef("%s freezes", m.name)
	frozen, since := m.incarnation, w.now
	frozen.freeze()
	defer func() {
		w.Events.Append(fleet.Entry{Kind: fleet.NodeWoken, Router: m.name, Took: w.now - since})
	}()
	if w.random.IntN(2) == 0 {
		w.wait(300, 5000)
	} else {
		// Long enough for a role to have been given to another.
		w.wait(7000, 13000)
	}
	if !frozen.ended {
		if m.router != nil && m.router.Core().InFlight() > 0 && frozen.Now().After(m.router.Core().LeaseEnds()) {
			w.encounter("a courier woken with inquiries under way, its hold over")
		}
		if m.control != nil && m.control.Store().Leading() {
			w.encounter("a primary woken")
		}
		w.tracef("%s wakes", m.name)
		frozen.wake()
	}
}

func (w *World) herd(kind membership.NodeKind) {
	w.tracef("a herd is killed: %s", kind)
	var processes []*machine
	for _, m := range w.nodes(kind) {
		if m.running() {
			w.kill(m)
			processes = append(processes, m)
		}
	}
	w.wait(100, 1000)
	for _, m := range processes {
		w.start(m)
	}
}

func loseZone(world *World) {
	zone := world.anyZone()
	world.tracef("the zone %s is lost", zone)
	for _, m := range world.nodes("") {
		if m.zone == zone {
			world.outside.Go(func() { world.powerOffFor(m, 4000, 7000) })
		}
	}
	for _, name := range world.serversOf(zone) {
		world.outside.Go(func() { world.crashFor(name, 4000, 7000) })
	}
}

// otherRelease restarts a node as the release that it is not, until the last
// part of the day, in which all become the newest.
func otherRelease(world *World) {
	m := world.anyNode("")
	if !m.running() {
		return
	}
	if len(m.withheld) == 0 && !world.faultsOver {
		m.withheld = features.List{features.BackupList, features.OrderPatience, features.PairPrice}
		world.encounter("a node restarted as an older release")
	} else {
		m.withheld = nil
		world.encounter("a node restarted as a newer release")
	}
	if world.anyWithheld() && !world.seenKeys["flag/"+string(features.PairPrice)] {
		world.encounter("a member stopped while flags wait for an older one")
	}
	world.kill(m)
	world.wait(200, 8000)
	world.start(m)
}

func (w *World) anyWithheld() bool {
	for _, m := range w.nodes("") {
		if len(m.withheld) > 0 {
			return true
		}
	}
	return false
}

// routerJoins adds a router, of the older release at times.
func routerJoins(world *World) {
	if len(world.nodes(membership.Router)) > world.deployment.Routers+2 {
		return
	}
	number := strconv.Itoa(len(world.machines) + 1)
	added := world.addMachine(membership.Router, "courier-"+number, "10.0.1."+number+":1", world.anyZone(),
		world.machines[0].seeds)
	if world.random.IntN(3) == 0 {
		added.withheld = features.List{features.PairPrice}
	}
	world.start(added)
}

// replaceCore puts an empty machine at a new address in the place of one.
func replaceCore(world *World) {
	if !world.coreComplete() {
		return
	}
	old := world.anyNode(membership.Controller)
	var seeds []string
	for _, other := range world.nodes("") {
		if other != old && len(seeds) < 3 {
			seeds = append(seeds, other.address)
		}
	}
	number := strconv.Itoa(len(world.machines) + 1)
	world.tracef("%s gives way to expediter-%s", old.name, number)
	world.encounter("a core machine replaced")
	world.powerOff(old.name)
	old.gone = true
	added := world.addMachine(membership.Controller, "expediter-"+number, "10.0.2."+number+":1", old.zone, seeds)
	world.start(added)
}

// exchangeSeeds gives running nodes other seeds.
func exchangeSeeds(world *World) {
	for _, m := range world.nodes("") {
		var seeds []string
		for range 2 {
			seeds = append(seeds, world.anyNode(membership.Router).address)
		}
		seeds = append(seeds, world.anyNode(membership.Controller).address)
		m.seeds = seeds
		if !m.running() {
			continue
		}
		if m.router != nil {
			m.router.SetSeeds(seeds)
		}
		if m.control != nil {
			m.control.SetSeeds(seeds)
		}
	}
}
