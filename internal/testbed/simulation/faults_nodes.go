package simulation

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// kill returns the fault that ends a chosen node's process and starts another one after a
// random time between least and most milliseconds.
func kill(chosen func(w *World) *machine, least, most int) func(w *World) {
	return func(w *World) { w.killFor(chosen(w), least, most) }
}

// freeze returns the fault that pauses a chosen node's process.
func freeze(chosen func(w *World) *machine) func(w *World) {
	return func(w *World) { w.freezeFor(chosen(w)) }
}

// handOverWhileRouterIsCut shuts the primary down gracefully while a router is cut off.
func handOverWhileRouterIsCut(w *World) {
	name := anyRouter(w).name
	w.outside.Go(func() { w.isolate(name, true, true) })
	w.wait(50, 400)
	w.stopFor(w.primary(), 200, 3000)
}

// jumpWallClock sets a node's wall clock up to two hours back or forward; its monotonic
// clock is unaffected.
func jumpWallClock(w *World) {
	if m := w.anyNode(""); m.incarnation != nil {
		m.incarnation.jump = time.Duration(w.random.IntN(14400)-7200) * time.Second
	}
}

// killFor kills a machine's process and starts another one after a random time between least and
// most milliseconds.
func (w *World) killFor(m *machine, least, most int) {
	w.kill(m)
	w.wait(least, most)
	w.start(m)
}

// leaveTimeout is how long a controller that shuts down may take to hand over.
const leaveTimeout = 3 * time.Second

// stopFor shuts a controller down gracefully, as an operator does: the controller hands over first.
// Later stopFor starts the controller again.
func (w *World) stopFor(m *machine, least, most int) {
	if !m.running() || m.control == nil {
		return
	}
	stopping, control := m.incarnation, m.control
	if control.Coordinator().HasLease() {
		w.encounter("a primary handed over its leadership")
	}
	w.tracef("%s is stopped", m.name)
	left := false
	stopping.Go(func() {
		control.Leave(leaveTimeout)
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

// loseOneWhileForming takes one machine away while the first core forms: the machine's power fails
// at one of the first operations of its disk, or the machine loses its disk.
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
	for len(m.disk.durable) == 0 {
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

// freezeFor freezes a machine's process for some time and records when it is woken.
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
		// Long enough for the node's roles to be reassigned.
		w.wait(7000, 13000)
	}
	if !frozen.ended {
		if m.router != nil && m.router.Core().InFlight() > 0 && frozen.Now().After(m.router.Core().LeaseEnds()) {
			w.encounter("a frozen router resumed with requests in flight and an expired lease")
		}
		if m.control != nil && m.control.Store().Leading() {
			w.encounter("a frozen primary resumed")
		}
		w.tracef("%s wakes", m.name)
		frozen.wake()
	}
}

// restartAll kills all running nodes of a kind and starts them again 0.1 to 1 s later. An empty
// kind means all nodes.
func (w *World) restartAll(kind membership.NodeKind) {
	w.tracef("all running nodes are killed, kind %q", kind)
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

// loseZone powers off the machines and crashes the servers of a zone for four to seven seconds.
func loseZone(world *World) {
	zone := world.anyZone()
	world.tracef("zone %s is lost", zone)
	for _, m := range world.nodes("") {
		if m.zone == zone {
			world.outside.Go(func() { world.powerOffFor(m, 4000, 7000) })
		}
	}
	for _, name := range world.serversOf(zone) {
		world.outside.Go(func() { world.crashFor(name, 4000, 7000) })
	}
}

// otherRelease restarts a node of the newest release with the older one, and the other way
// round. Once the time of faults is over, it restarts nodes with the newest only.
func otherRelease(world *World) {
	m := world.anyNode("")
	if !m.running() {
		return
	}
	if len(m.withheld) == 0 && !world.faultsOver {
		m.withheld = features.List{features.BackupList, features.OrderGracePeriod, features.PairPrice}
		world.encounter("a node restarted as an older release")
	} else {
		m.withheld = nil
		world.encounter("a node restarted as a newer release")
	}
	if world.anyWithheld() && !world.seenKeys["flag/"+string(features.PairPrice)] {
		world.encounter("a member stopped while flags wait for an older member")
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

// routerJoins adds a router, in one case of three with an older release.
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

// replaceCore replaces a controller's machine by an empty one at a new address.
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
	world.tracef("%s is replaced by expediter-%s", old.name, number)
	world.encounter("a core machine replaced")
	world.powerOff(old.name)
	old.gone = true
	added := world.addMachine(membership.Controller, "expediter-"+number, "10.0.2."+number+":1", old.zone, seeds)
	world.start(added)
}

// exchangeSeeds gives every node new seeds. A running node gets them without a restart.
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
