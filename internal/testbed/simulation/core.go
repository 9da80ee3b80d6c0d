package simulation

import (
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/membership"
)

// CoreLayouts are the cores that are rehearsed by themselves, with a few routers: one
// that bears one loss, and two that bear two machines or one zone.
//
// leavePatience is how long a controller that is stopped may hand over.
const leavePatience = 3 * time.Second

func CoreLayouts() map[string]Layout {
	layout := func(controllers, borne int, zones ...string) Layout {
		return Layout{Zones: [][]string{zones}, Routers: 4, Controllers: controllers, BorneLosses: borne, Routes: 20}
	}
	return map[string]Layout{
		"three in three zones": layout(3, 1, "one", "two", "three"),
		"six in three zones":   layout(6, 2, "one", "two", "three"),
		"eight in four zones":  layout(8, 2, "one", "two", "three", "four"),
	}
}

// CoreTrial is what a core went through.
type CoreTrial struct {
	// Took is the longest time without an acknowledged change, counted from the trouble,
	// or from when everything came back that the trouble took at once.
	Took time.Duration
	// Lost are acknowledged changes that were not read back.
	Lost []string
	// TwoPrimaries counts the moments at which two controllers led.
	TwoPrimaries int
	// Restored tells whether the core became whole again.
	Restored bool
}

// Failed tells whether something happened that must not.
func (c CoreTrial) Failed() bool {
	return c.Took < 0 || len(c.Lost) > 0 || c.TwoPrimaries > 0 || !c.Restored
}

// coreFault is one trouble of a core; it tells from when on the next change counts.
type coreFault struct {
	name string
	// losses is from how many borne losses on the trouble is to be borne.
	losses int
	run    func(world *World) (from time.Duration)
}

func coreFaults() []coreFault {
	return []coreFault{
		{"a disk is wiped, the others lose their power", 1, func(world *World) time.Duration { return world.wipeAmidPowerLoss(1) }},
		{"the primary's disk is wiped", 1, func(world *World) time.Duration {
			primary := world.primary()
			world.wipe(primary)
			return world.back(primary, 200, 1500)
		}},
		{"a new machine first, then the old one in order", 1, func(world *World) time.Duration {
			old := world.anyNode(membership.Controller)
			world.join(old)
			world.run(world.now + 3*time.Second)
			return world.leaveForGood(old)
		}},
		{"a new machine for the primary, first", 1, func(world *World) time.Duration {
			old := world.primary()
			world.join(old)
			world.run(world.now + 3*time.Second)
			return world.leaveForGood(old)
		}},
		{"a new machine in the place of one that is gone", 1, func(world *World) time.Duration { return world.replaceGone(world.anyNode(membership.Controller)) }},
		{"a new machine in the place of the first seed", 1, func(world *World) time.Duration {
			return world.replaceGone(world.machineNamed("expediter-1"))
		}},
		{"a new machine in the primary's place", 1, func(world *World) time.Duration { return world.replaceGone(world.primary()) }},
		{"the primary is heard by nobody", 1, func(world *World) time.Duration {
			world.oneWay(world.primary(), false)
			return world.now
		}},
		{"the primary hears nobody", 1, func(world *World) time.Duration {
			world.oneWay(world.primary(), true)
			return world.now
		}},
		{"a new machine while the primary is heard by nobody", 1, func(world *World) time.Duration { return world.replaceAmidOneWay(false) }},
		{"a new machine while the primary hears nobody", 1, func(world *World) time.Duration { return world.replaceAmidOneWay(true) }},
		{"the primary's disk hangs", 1, func(world *World) time.Duration { return world.hang(world.primary()) }},
		{"the backup's disk hangs", 1, func(world *World) time.Duration { return world.hang(world.backup()) }},
		{"the primary's disk is slow", 1, func(world *World) time.Duration { return world.slowDisk(world.primary()) }},
		{"the backup's disk is slow", 1, func(world *World) time.Duration { return world.slowDisk(world.backup()) }},
		{"all processes are killed at once", 1, func(world *World) time.Duration {
			var k []*machine
			for _, m := range world.nodes(membership.Controller) {
				world.kill(m)
				k = append(k, m)
			}
			world.run(world.now + time.Duration(100+world.random.IntN(900))*time.Millisecond)
			for _, changes := range k {
				world.start(changes)
			}
			return world.now
		}},
		{"all power is lost", 1, func(world *World) time.Duration { return world.wipeAmidPowerLoss(0) }},
		{"the primary is killed and another stopped in order", 1, func(world *World) time.Duration {
			primary := world.primary()
			from := world.now
			world.kill(primary)
			var others []*machine
			for _, controller := range world.nodes(membership.Controller) {
				if controller != primary {
					others = append(others, controller)
				}
			}
			other := others[world.random.IntN(len(others))]
			world.outside.Go(func() { world.stopFor(other, 200, 1000) })
			world.outside.Go(func() {
				world.wait(200, 1000)
				world.start(primary)
			})
			return from
		}},
		{"the primary is frozen", 1, func(world *World) time.Duration {
			primary := world.primary()
			from := world.now
			primary.incarnation.freeze()
			world.outside.Go(func() {
				world.wait(500, 5000)
				if primary.incarnation.frozen {
					primary.incarnation.wake()
				}
			})
			return from
		}},
		{"two disks are wiped, the others go on", 2, func(world *World) time.Duration {
			from := world.now
			for _, lost := range world.anyTwo() {
				world.wipe(lost)
				world.outside.Go(func() {
					world.wait(200, 6000)
					world.start(lost)
				})
			}
			return from
		}},
		{"two disks are wiped, the others lose their power", 2, func(world *World) time.Duration { return world.wipeAmidPowerLoss(2) }},
		{"the primary's disk is wiped, then another's during the repair", 2, func(world *World) time.Duration {
			primary := world.primary()
			world.wipe(primary)
			world.run(world.now + time.Duration(world.random.IntN(4000))*time.Millisecond)
			second := world.primary()
			if world.random.IntN(2) == 0 {
				second = world.anyNode(membership.Controller)
			}
			if second != primary {
				world.wipe(second)
			}
			world.outside.Go(func() {
				world.wait(500, 6000)
				world.start(primary)
				world.start(second)
			})
			return world.now
		}},
		{"a zone loses its power", 2, func(world *World) time.Duration { return world.loseCoreZone(false) }},
		{"a zone is lost for good", 2, func(world *World) time.Duration { return world.loseCoreZone(true) }},
		{"a zone is cut off", 2, func(world *World) time.Duration {
			zone := world.primary().zone
			from := world.now
			world.outside.Go(func() {
				world.cutFor(func(from, to string) bool {
					here, there := world.machineNamed(from), world.machineNamed(to)
					return here != nil && there != nil && (here.zone == zone) != (there.zone == zone)
				})
			})
			return from
		}},
	}
}

// CoreFaultNames names the troubles that a core of so many borne losses is to bear.
func CoreFaultNames(losses int) []string {
	var names []string
	for _, problem := range coreFaults() {
		if problem.losses <= losses {
			names = append(names, problem.name)
		}
	}
	return names
}

// RunCoreTrial lets a core form, brings the trouble about right after an acknowledged change,
// and tells how it went.
func (w *World) RunCoreTrial(problem string) CoreTrial {
	w.diskSync = time.Duration(2+3*w.random.IntN(2)) * time.Millisecond
	w.settings.AcknowledgeWait, w.settings.FormOnce = time.Second, true
	for _, m := range w.machines {
		if m.disk != nil {
			m.disk.sync = w.diskSync
		}
		w.outside.Go(func() {
			w.wait(0, 400)
			w.start(m)
		})
	}
	w.outside.Go(func() { w.watchPrimaries(time.Hour) })
	trial := CoreTrial{Took: -1}
	w.run(w.now + 500*time.Millisecond)
	if w.changed(w.now, w.configuration()) < 0 || w.since(w.now, w.coreComplete) < 0 {
		return trial
	}
	w.settings.JoinOnly = true
	changes := &trackedChanges{world: w}
	for range 3 + w.random.IntN(3) {
		changes.next(w.now)
		w.run(w.now + time.Duration(w.random.IntN(700))*time.Millisecond)
		w.since(w.now, w.coreComplete)
	}
	changes.next(w.now)
	for _, known := range coreFaults() {
		if known.name == problem {
			w.tracef("trouble: %s", problem)
			trial.Took = changes.longest(known.run(w))
		}
	}
	w.tracef("acknowledged after %s", trial.Took)
	// Everything comes back, and the core is to be whole by itself.
	w.repairAll()
	trial.Restored = w.since(w.now, w.coreComplete) >= 0
	for range 2 {
		changes.next(w.now)
	}
	trial.Lost, trial.TwoPrimaries = changes.lost(), w.twoPrimaries
	return trial
}

// marks are changes that each leave something in the configuration by which it is known
// later that they are there.
type trackedChanges struct {
	world        *World
	acknowledged []string
	requested    int
}

// gapWatch is for how long after a trouble changes are asked for.
const gapWatch = 6 * time.Second

// longest has changes made for some time after the moment and tells the longest time
// without an acknowledged one.
func (m *trackedChanges) longest(from time.Duration) time.Duration {
	longest, latest := time.Duration(0), from
	for ends := from + gapWatch; latest < ends; {
		if m.next(m.world.now) < 0 {
			return -1
		}
		now := m.world.now
		longest, latest = max(longest, now-latest), now
		m.world.run(now + 150*time.Millisecond)
	}
	return longest
}

// next asks for changes, a new one every tenth of a second, until one is acknowledged,
// and tells how long that took.
func (m *trackedChanges) next(from time.Duration) time.Duration {
	world, over := m.world, false
	world.outside.Go(func() {
		for ends := world.now + incidentPatience; world.now < ends && !over; world.wait(100, 100) {
			m.requested++
			change := "mark-" + strconv.Itoa(m.requested)
			world.outside.Go(func() {
				edit := controlplane.Edit{Change: change, Digest: change, Apply: func(text []byte) ([]byte, error) { return config.Evacuate(text, change, "rehearsal") }}
				if world.editSomewhere(edit) {
					over = true
					m.acknowledged = append(m.acknowledged, change)
				}
			})
		}
	})
	return world.since(from, func() bool { return over })
}

// editSomewhere has every controller that leads carry a change out.
func (w *World) editSomewhere(edit controlplane.Edit) bool {
	for _, m := range w.nodes(membership.Controller) {
		if m.incarnation == nil || m.incarnation.ended || m.control == nil || !m.control.Coordinator().HasLease() {
			continue
		}
		control := m.control
		_, err := w.outside.ask(m.name, operatorPatience, func(*incarnation) (any, error) { return control.Edit(edit) })
		if err == nil {
			return true
		}
	}
	return false
}

// lost reads the configuration back and names the acknowledged changes that it lacks.
func (m *trackedChanges) lost() []string {
	var text []byte
	read := false
	m.world.outside.Go(func() {
		for ends := m.world.now + incidentPatience; m.world.now < ends && !read; m.world.wait(100, 100) {
			var found configurationRead
			found, read = m.world.readConfiguration(false)
			text = found.text
		}
	})
	m.world.since(m.world.now, func() bool { return read })
	var lost []string
	for _, change := range m.acknowledged {
		if !strings.Contains(string(text), `"`+change+`"`) {
			lost = append(lost, change)
		}
	}
	return lost
}

// wipe takes a machine's power and disk.
func (w *World) wipe(m *machine) {
	w.tracef("%s loses its disk", m.name)
	w.powerOff(m.name)
	m.disk = newDisk(w)
}

func (w *World) back(m *machine, least, most int) time.Duration {
	from := w.now
	w.outside.Go(func() {
		w.wait(least, most)
		w.start(m)
	})
	return from
}

// wipeAmidPowerLoss wipes some disks while all machines of the core lose their power;
// those with their disks come back a second later, the wiped ones with them or later.
func (w *World) wipeAmidPowerLoss(wiped int) time.Duration {
	machines := w.nodes(membership.Controller)
	w.random.Shuffle(len(machines), func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	if wiped > 0 && w.random.IntN(2) == 0 {
		// The one that answered last is among them.
		primary := w.primary()
		for position := range machines {
			if machines[position] == primary {
				machines[0], machines[position] = machines[position], machines[0]
			}
		}
	}
	for position, m := range machines {
		if position < wiped {
			w.wipe(m)
		} else {
			w.powerOff(m.name)
		}
	}
	w.run(w.now + time.Second)
	late := w.random.IntN(2) * 5000
	for position, changes := range machines {
		if position < wiped && late > 0 {
			w.back(changes, 0, late)
		} else {
			w.start(changes)
		}
	}
	return w.now
}

// join adds an empty machine beside another, at a new address.
func (w *World) join(old *machine) *machine {
	number := strconv.Itoa(len(w.machines) + 1)
	var seeds []string
	for _, other := range w.nodes(membership.Controller) {
		if other != old && len(seeds) < 3 {
			seeds = append(seeds, other.address)
		}
	}
	added := w.addMachine(membership.Controller, "expediter-"+number, "10.0.2."+number+":1", old.zone, append(seeds, old.address)[:3])
	w.start(added)
	return added
}

// leaveForGood stops a controller in order and takes it away.
func (w *World) leaveForGood(old *machine) time.Duration {
	from := w.now
	control, stopping := old.control, old.incarnation
	w.outside.Go(func() {
		left := false
		stopping.Go(func() {
			control.Leave(leavePatience)
			left = true
		})
		for range 20 {
			w.wait(100, 100)
			if left {
				break
			}
		}
		w.powerOff(old.name)
		old.gone = true
	})
	return from
}

// replaceGone takes a machine away and puts an empty one at a new address in its place.
func (w *World) replaceGone(old *machine) time.Duration {
	from := w.now
	w.powerOff(old.name)
	old.gone = true
	w.outside.Go(func() {
		w.wait(0, 2000)
		w.join(old)
	})
	return from
}

// oneWay cuts a machine off in one direction for some seconds, and tells by what it
// gives whether that is over.
func (w *World) oneWay(m *machine, inwards bool) (over func() bool) {
	e := false
	w.outside.Go(func() {
		w.isolate(m.name, inwards, !inwards)
		e = true
	})
	return func() bool { return e }
}

// replaceAmidOneWay replaces a machine while the primary is cut off one way. Those are
// two losses: a core that bears one is waited for until the cut is over.
func (w *World) replaceAmidOneWay(inwards bool) time.Duration {
	old := w.backup()
	over := w.oneWay(w.primary(), inwards)
	from := w.replaceGone(old)
	if w.borneLosses() == 1 {
		w.since(w.now, over)
		return w.now
	}
	return from
}

// hang lets no sync of a disk end for 3.5 s.
func (w *World) hang(m *machine) time.Duration {
	m.disk.hangs = w.now + 3500*time.Millisecond
	return w.now
}

// slowDisk makes a disk 25 to 30 times as slow.
func (w *World) slowDisk(m *machine) time.Duration {
	m.disk.slow = 25 + w.random.IntN(6)
	return w.now
}

func (w *World) anyTwo() []*machine {
	machines := w.nodes(membership.Controller)
	w.random.Shuffle(len(machines), func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	return machines[:2]
}

// loseCoreZone takes a zone's machines, and for good their disks with them.
func (w *World) loseCoreZone(disks bool) time.Duration {
	zone := w.layout.zones()[w.random.IntN(len(w.layout.zones()))]
	if w.random.IntN(2) == 0 {
		zone = w.primary().zone
	}
	from := w.now
	for _, m := range w.nodes(membership.Controller) {
		if m.zone != zone {
			continue
		}
		if disks {
			w.wipe(m)
		} else {
			w.powerOff(m.name)
		}
		w.back(m, 4000, 6000)
	}
	return from
}
