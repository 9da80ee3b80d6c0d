package simulation

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// fault is one thing that fails, with how often it is drawn.
type fault struct {
	name   string
	weight int
	run    func(world *World)
}

// faults are those of the brief, as far as they are not a matter of real
// sockets and threads. Each runs in a thread of the outside and may overlap with
// others.
func faults() []fault {
	return []fault{
		{"kill a courier", 6, func(world *World) { world.killFor(world.anyNode(membership.Router), 100, 4000) }},
		{"a courier stays away", 5, func(world *World) { world.killFor(world.anyNode(membership.Router), 8000, 12000) }},
		{"the holder of the parts stays away", 3, func(world *World) { world.killFor(world.partsHolder(), 8000, 12000) }},
		{"kill an expediter", 6, func(world *World) { world.killFor(world.anyNode(membership.Controller), 100, 5000) }},
		{"kill the primary", 4, func(world *World) { world.killFor(world.primary(), 50, 5000) }},
		{"power off a machine", 4, func(world *World) { world.powerOffFor(world.anyNode(""), 500, 6000) }},
		{"power fails at a disk's act", 8, powerFails},
		{"a disk is lost", 5, loseDisk},
		{"a full disk", 2, func(world *World) {
			m := world.anyNode(membership.Controller)
			m.disk.full = true
			world.wait(500, 4000)
			m.disk.full = false
		}},
		{"a damaged file", 3, func(world *World) {
			ma := world.anyNode(membership.Controller)
			ma.disk.damage = 1 + world.random.IntN(2)
			world.killFor(ma, 100, 500)
		}},
		{"an expediter is stopped in order", 3, func(world *World) { world.stopFor(world.anyNode(membership.Controller), 200, 3000) }},
		{"the primary hands over while a courier is cut off", 3, func(world *World) {
			name := world.anyNode(membership.Router).name
			world.outside.Go(func() { world.isolate(name, true, true) })
			world.wait(50, 400)
			world.stopFor(world.primary(), 200, 3000)
		}},
		{"freeze a courier", 6, func(world *World) { world.freezeFor(world.anyNode(membership.Router)) }},
		{"freeze an expediter", 3, func(world *World) { world.freezeFor(world.anyNode(membership.Controller)) }},
		{"freeze the primary", 4, func(world *World) { world.freezeFor(world.primary()) }},
		{"freeze the holder of the parts", 4, func(world *World) { world.freezeFor(world.partsHolder()) }},
		{"a wall clock jumps", 3, func(world *World) {
			if mc := world.anyNode(""); mc.incarnation != nil {
				mc.incarnation.jump = time.Duration(world.random.IntN(14400)-7200) * time.Second
			}
		}},
		{"isolate a machine", 5, func(world *World) { world.isolate(world.anyNode("").name, true, true) }},
		{"isolate the primary", 3, func(world *World) { world.isolate(world.primary().name, true, true) }},
		{"one way", 5, func(world *World) {
			inwards := world.random.IntN(2) == 0
			world.isolate(world.anyNode(membership.Controller).name, inwards, !inwards)
		}},
		{"two expediters cut", 4, cutPair},
		{"the core cut from the couriers", 2, func(world *World) {
			world.cutFor(func(from, to string) bool {
				return world.isController(from) != world.isController(to) && from != "outside" && to != "outside"
			})
		}},
		{"bad links", 5, badLinks},
		{"bad links to servers", 5, badServerLinks},
		{"slow dials", 3, func(world *World) {
			world.slowDials = 0.2
			world.wait(2000, 5000)
			world.slowDials = 0
		}},
		{"a herd of couriers", 1, func(world *World) { world.herd(membership.Router) }},
		{"a herd of expediters", 1, func(world *World) { world.herd(membership.Controller) }},
		{"all at once", 1, func(world *World) { world.herd("") }},
		{"a zone is lost", 2, loseZone},
		{"a server crashes", 5, func(world *World) { world.crashFor(world.anyServer(), 0, 2500) }},
		{"servers replaced at once", 2, func(world *World) {
			for range 3 {
				name := world.anyServer()
				world.outside.Go(func() { world.crashFor(name, 0, 300) })
			}
		}},
		{"a server goes dark", 3, func(world *World) {
			top := world.servers[world.anyServer()].top
			top.SetDark(true)
			world.wait(1000, 5000)
			top.SetDark(false)
		}},
		{"a server freezes", 2, func(world *World) {
			i := world.servers[world.anyServer()].incarnation
			i.freeze()
			world.wait(500, 4000)
			i.wake()
		}},
		{"a server leaves", 5, leaveServer},
		{"handles lapse", 2, func(world *World) {
			top := world.servers[world.anyServer()].top
			top.SetHandleLifetime(time.Microsecond)
			world.wait(1000, 4000)
			top.SetHandleLifetime(5 * time.Second)
		}},
		{"slow links between servers", 2, func(world *World) {
			top := world.servers[world.anyServer()].top
			top.SlowLink(40)
			world.wait(1000, 5000)
			top.SlowLink(1)
		}},
		{"an evacuation", 5, func(world *World) {
			world.evacuate(world.anyZone(), time.Duration(2000+world.random.IntN(7000))*time.Millisecond)
		}},
		{"a race of operators", 3, func(world *World) {
			for range 3 {
				world.nextRevision(2 + world.random.IntN(3))
			}
		}},
		{"a storm", 2, func(world *World) {
			for range 12 {
				world.outside.Go(func() { world.evacuate("nowhere-"+world.nonce(), 10*time.Millisecond) })
				world.nextRevision(1)
			}
		}},
		{"a flood", 2, func(world *World) {
			long, short := world.long, world.short
			world.long, world.short = long*5, short*5
			world.wait(1000, 3000)
			world.long, world.short = long, short
		}},
		{"a swing", 2, func(world *World) {
			long, short := world.long, world.short
			world.long, world.short = long*1.8, short*0.3
			world.wait(2000, 4000)
			world.long, world.short = long*0.2, short*2
			world.wait(2000, 4000)
			world.long, world.short = long, short
		}},
		{"another release", 5, otherRelease},
		{"a courier joins", 2, routerJoins},
		{"the platform is down", 2, func(world *World) {
			world.platform.down = true
			world.wait(1000, 6000)
			world.platform.down = false
		}},
		{"a core machine is replaced", 2, replaceCore},
		{"seeds are exchanged", 2, exchangeSeeds},
	}
}

// wait lets an outside thread wait for a drawn length.
func (w *World) wait(least, most int) {
	w.outside.NewCond().Wait(time.Duration(least+w.random.IntN(most-least+1))*time.Millisecond, never)
}

func (w *World) anyZone() string {
	return w.deployment.Zones[w.random.IntN(len(w.deployment.Zones))]
}

func (w *World) nodes(kind membership.NodeKind) []*machine {
	var found []*machine
	for _, m := range w.machines {
		if !m.gone && (kind == "" || m.kind == kind) {
			found = append(found, m)
		}
	}
	return found
}

func (w *World) anyNode(kind membership.NodeKind) *machine {
	found := w.nodes(kind)
	return found[w.random.IntN(len(found))]
}

func (w *World) anyServer() string {
	return w.plans[w.random.IntN(len(w.plans))].Name
}

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

// primary is the controller that holds, or any.
func (w *World) primary() *machine {
	for _, m := range w.nodes(membership.Controller) {
		if m.incarnation != nil && !m.incarnation.ended && m.control != nil && m.control.Coordinator().HasLease() {
			return m
		}
	}
	return w.anyNode(membership.Controller)
}

// holder is the router that decides the parts, or any.
func (w *World) partsHolder() *machine {
	for _, m := range w.nodes(membership.Controller) {
		if m.incarnation == nil || m.incarnation.ended || m.control == nil {
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

func (w *World) killFor(m *machine, least, most int) {
	w.kill(m)
	w.wait(least, most)
	w.start(m)
}

// stopFor stops a controller as its operator does: it hands over first.
func (w *World) stopFor(m *machine, least, most int) {
	if m.incarnation == nil || m.incarnation.ended || m.control == nil {
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

// powerFails has the power fail before one of the disk's next acts.
func powerFails(world *World) {
	m := world.anyNode(membership.Controller)
	m.disk.powerFailsIn = 1 + world.random.IntN(12)
	world.wait(2000, 5000)
	m.disk.powerFailsIn = 0
	world.wait(200, 2000)
	world.start(m)
}

// whole tells whether a primary with a backup leads and every keeper is the
// disk that runs at its address, so that one more disk may be lost.
func (w *World) coreComplete() bool {
	for _, ma := range w.nodes(membership.Controller) {
		if ma.incarnation == nil || ma.incarnation.ended || ma.incarnation.frozen || ma.control == nil || !ma.control.Coordinator().HasLease() {
			continue
		}
		m := ma.control.Coordinator().Membership()
		losses := max(w.borneLosses(), 1)
		if len(m.Backups()) != losses || len(m.Incoming) > 0 || len(m.Witnesses) != 2*losses+1 {
			return false
		}
		for _, seat := range append(m.Backups(), m.Witnesses...) {
			there := w.machineNamed(w.nameAt(seat.Address))
			if there == nil || there.incarnation == nil || there.incarnation.ended || there.incarnation.frozen || there.control == nil ||
				there.control.Witness().Replica().Identity != seat.Identity || m.HasVoter(seat.Identity) && there.control.Witness().Membership().Epoch != m.Epoch {
				return false
			}
		}
		return true
	}
	return false
}

// loseDisk takes a machine's whole disk while the core is whole: one disk may be
// lost, and the next only when that is made good.
func loseDisk(world *World) {
	if !world.coreComplete() {
		return
	}
	m := world.anyNode(membership.Controller)
	if world.random.IntN(2) == 0 {
		m = world.primary()
		world.nextRevision(1)
		if !world.coreComplete() {
			return
		}
	}
	world.tracef("%s loses its disk", m.name)
	world.encounter("a disk lost")
	world.kill(m)
	m.disk = newDisk(world)
	world.wait(50, 2000)
	world.start(m)
}

func (w *World) freezeFor(m *machine) {
	if m.incarnation == nil || m.incarnation.ended || m.incarnation.frozen {
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
		// Long enough for a duty to have been given to another.
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

// cutFor cuts links for a while.
func (w *World) cutFor(chosen func(from, to string) bool) {
	var names []string
	for _, m := range w.machines {
		names = append(names, m.name)
	}
	var cut []*link
	for _, from := range names {
		for _, to := range names {
			if from != to && chosen(from, to) {
				cut = append(cut, w.link(from, to))
			}
		}
	}
	for _, l := range cut {
		l.cut = true
	}
	w.wait(300, 8000)
	for _, li := range cut {
		li.cut = false
	}
}

func (w *World) isolate(name string, inwards, outwards bool) {
	w.tracef("%s is cut off, inwards %v, outwards %v", name, inwards, outwards)
	w.cutFor(func(from, to string) bool { return (inwards && to == name) || (outwards && from == name) })
}

func cutPair(world *World) {
	found := world.nodes(membership.Controller)
	first := world.random.IntN(len(found))
	left, right := found[first].name, found[(first+1)%len(found)].name
	oneWay := world.random.IntN(3) == 0
	world.tracef("%s and %s are cut from each other, one way %v", left, right, oneWay)
	world.cutFor(func(from, to string) bool {
		return (from == left && to == right) || (!oneWay && from == right && to == left)
	})
}

func (w *World) spoil(links []*link, length time.Duration, act func(l *link)) {
	for _, li := range links {
		act(li)
	}
	w.outside.NewCond().Wait(length, never)
	for _, ln := range links {
		ln.delay, ln.loss, ln.duplicate = 0, 0, 0
	}
}

// badLinks delays, duplicates and loses what nodes say to each other.
func badLinks(world *World) {
	var links []*link
	for _, from := range world.machines {
		for _, to := range world.machines {
			if from != to && world.random.IntN(3) == 0 {
				links = append(links, world.link(from.name, to.name))
			}
		}
	}
	world.spoil(links, time.Duration(1000+world.random.IntN(5000))*time.Millisecond, func(l *link) {
		l.delay = time.Duration(world.random.IntN(150)) * time.Millisecond
		l.duplicate, l.loss = 0.15, 0.04
	})
}

// badServerLinks does so between routers and servers, and loses answers after
// the work.
func badServerLinks(world *World) {
	var links []*link
	for _, m := range world.nodes(membership.Router) {
		for _, plan := range world.plans {
			if world.random.IntN(3) == 0 {
				links = append(links, world.link(m.name, plan.Name), world.link(plan.Name, m.name))
			}
		}
	}
	world.loseAnswers = 0.1
	world.spoil(links, time.Duration(1000+world.random.IntN(5000))*time.Millisecond, func(l *link) {
		l.delay = time.Duration(world.random.IntN(60)) * time.Millisecond
		l.duplicate, l.loss = 0.1, 0.03
	})
	world.loseAnswers = 0
}

func (w *World) herd(kind membership.NodeKind) {
	w.tracef("a herd is killed: %s", kind)
	var k []*machine
	for _, m := range w.nodes(kind) {
		if m.incarnation != nil && !m.incarnation.ended {
			w.kill(m)
			k = append(k, m)
		}
	}
	w.wait(100, 1000)
	for _, ma := range k {
		w.start(ma)
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

// crashFor crashes a server and puts a cold one in its place.
func (w *World) crashFor(name string, least, most int) {
	if w.servers[name].incarnation.ended {
		return
	}
	if w.servers[name].top.Active() > 0 {
		w.encounter("answers under way at a server's crash")
	}
	w.tracef("%s crashes", name)
	w.crashServer(name)
	w.wait(least, most)
	w.startServer(w.servers[name].plan)
}

// leaveServer shows a server leaving: in the list, by its absence, or in its
// load report; then another comes in its place.
func leaveServer(world *World) {
	name := world.anyServer()
	s := world.servers[name]
	if s.incarnation.ended {
		return
	}
	way := world.random.IntN(3)
	for way < 2 && world.platform.down {
		// What the platform does not show can't be heeded.
		world.wait(100, 100)
	}
	if world.servers[name] != s || s.incarnation.ended {
		return
	}
	listed := world.platform.servers[name]
	world.Events.Append(fleet.Entry{Kind: fleet.ServerLeaving, Server: name})
	if s.top.Active() > 0 {
		world.encounter("answers under way at a leaving server")
	}
	switch way {
	case 0:
		listed.Leaving = true
		world.platform.servers[name] = listed
	case 1:
		delete(world.platform.servers, name)
	default:
		s.top.SetLeaving(true)
	}
	world.tracef("%s leaves", name)
	world.wait(4500, 8000)
	if world.servers[name] == s {
		world.crashFor(name, 0, 1000)
	}
}

// otherRelease restarts a node as the release that it is not, until the last
// part of the day, in which all become the newest.
func otherRelease(world *World) {
	m := world.anyNode("")
	if m.incarnation == nil || m.incarnation.ended {
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
	added := world.addMachine(membership.Router, "courier-"+number, "10.0.1."+number+":1", world.anyZone(), world.machines[0].seeds)
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
		if m.incarnation == nil || m.incarnation.ended {
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

// FaultNames lists the faults that a day may draw.
func FaultNames() []string {
	var names []string
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return names
}
