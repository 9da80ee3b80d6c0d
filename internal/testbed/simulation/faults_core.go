package simulation

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// coreFault is one kind of fault of a core.
type coreFault struct {
	name string
	// losses is the smallest number of tolerated losses with which a core must survive the fault.
	losses int
	// run injects the fault and returns the time from which the wait for the next acknowledged
	// change counts.
	run func(w *World) (from time.Duration)
}

// coreFaults are the faults that a core must survive without an operator: each leaves at
// least one replica of every acknowledged change.
var coreFaults = []coreFault{
	{"a disk is wiped, the others lose their power", 1, wipeAmidPowerLoss(1)},
	{"the primary's disk is wiped", 1, wipePrimary},
	{"a new machine first, then the old one in order", 1, joinThenLeave(anyController)},
	{"a new machine for the primary, first", 1, joinThenLeave((*World).primary)},
	{"a new machine in the place of one that is gone", 1, removeAndReplace(anyController)},
	{"a new machine in the place of the first seed", 1, removeAndReplace(func(w *World) *machine { return w.machineNamed("expediter-1") })},
	{"a new machine in the primary's place", 1, removeAndReplace((*World).primary)},
	{"the primary is heard by nobody", 1, cutPrimaryOneWay(false)},
	{"the primary hears nobody", 1, cutPrimaryOneWay(true)},
	{"a new machine while the primary is heard by nobody", 1, replaceAmidOneWay(false)},
	{"a new machine while the primary hears nobody", 1, replaceAmidOneWay(true)},
	{"the primary's disk hangs", 1, hangDisk((*World).primary)},
	{"the backup's disk hangs", 1, hangDisk((*World).backup)},
	{"the primary's disk is slow", 1, slowDisk((*World).primary)},
	{"the backup's disk is slow", 1, slowDisk((*World).backup)},
	{"all processes are killed at once", 1, killEntireCore},
	{"all power is lost", 1, wipeAmidPowerLoss(0)},
	{"the primary is killed and another stopped in order", 1, killPrimaryAndStopAnother},
	{"the primary is frozen", 1, freezePrimary},
	{"two disks are wiped, the others go on", 2, wipeTwo},
	{"two disks are wiped, the others lose their power", 2, wipeAmidPowerLoss(2)},
	{"the primary's disk is wiped, then another's during the repair", 2, wipePrimaryThenAnother},
	{"a zone loses its power", 2, loseCoreZone(false)},
	{"a zone is lost for good", 2, loseCoreZone(true)},
	{"a zone is cut off", 2, cutPrimarysZone},
}

// CoreFaultNames returns the names of the faults that a core must survive if it tolerates the
// given number of losses.
func CoreFaultNames(losses int) []string { return faultNames(coreFaults, losses) }

// faultNames returns the names of the faults that a core must survive if it tolerates the given
// number of losses.
func faultNames(faults []coreFault, losses int) []string {
	var names []string
	for _, known := range faults {
		if known.losses <= losses {
			names = append(names, known.name)
		}
	}
	return names
}

// wipePrimary wipes the primary's disk and starts the machine again within 1.5 s.
func wipePrimary(w *World) time.Duration {
	primary := w.primary()
	w.wipeMachine(primary)
	return w.startLater(primary, 200, 1500)
}

// joinThenLeave adds an empty machine beside a chosen one and, three seconds later, shuts
// the chosen one down gracefully.
func joinThenLeave(chosen func(w *World) *machine) func(w *World) time.Duration {
	return func(w *World) time.Duration {
		old := chosen(w)
		w.addEmptyMachine(old)
		w.run(w.now + 3*time.Second)
		return w.leaveForGood(old)
	}
}

// removeAndReplace returns the fault that removes a chosen machine and later adds an empty one.
func removeAndReplace(chosen func(w *World) *machine) func(w *World) time.Duration {
	return func(w *World) time.Duration { return w.removeAndReplace(chosen(w)) }
}

// cutPrimaryOneWay returns the fault that cuts the primary off in one direction.
func cutPrimaryOneWay(inwards bool) func(w *World) time.Duration {
	return func(w *World) time.Duration {
		w.cutOneWay(w.primary(), inwards)
		return w.now
	}
}

// hangDisk makes every sync of a disk hang for 3.5 s.
func hangDisk(chosen func(w *World) *machine) func(w *World) time.Duration {
	return func(w *World) time.Duration {
		chosen(w).disk.hangsUntil = w.now + 3500*time.Millisecond
		return w.now
	}
}

// slowDisk makes a disk 25 to 30 times as slow as usual.
func slowDisk(chosen func(w *World) *machine) func(w *World) time.Duration {
	return func(w *World) time.Duration {
		chosen(w).disk.slowFactor = 25 + w.random.IntN(6)
		return w.now
	}
}

// killEntireCore kills all controllers at once and starts them again 0.1 to 1 s later.
func killEntireCore(w *World) time.Duration {
	controllers := w.nodes(membership.Controller)
	for _, m := range controllers {
		w.kill(m)
	}
	w.run(w.now + time.Duration(100+w.random.IntN(900))*time.Millisecond)
	for _, m := range controllers {
		w.start(m)
	}
	return w.now
}

// killPrimaryAndStopAnother kills the primary and shuts another controller down gracefully.
func killPrimaryAndStopAnother(w *World) time.Duration {
	primary := w.primary()
	from := w.now
	w.kill(primary)
	var others []*machine
	for _, m := range w.nodes(membership.Controller) {
		if m != primary {
			others = append(others, m)
		}
	}
	other := others[w.random.IntN(len(others))]
	w.outside.Go(func() { w.stopFor(other, 200, 1000) })
	w.outside.Go(func() {
		w.wait(200, 1000)
		w.start(primary)
	})
	return from
}

// freezePrimary freezes the primary's process for 0.5 to 5 s.
func freezePrimary(w *World) time.Duration {
	primary := w.primary()
	from := w.now
	primary.incarnation.freeze()
	w.outside.Go(func() {
		w.wait(500, 5000)
		if primary.incarnation.frozen {
			primary.incarnation.wake()
		}
	})
	return from
}

// wipeTwo wipes the disks of two random controllers and starts each machine again within 6 s.
func wipeTwo(w *World) time.Duration {
	from := w.now
	for _, m := range w.anyTwo() {
		w.wipeMachine(m)
		w.outside.Go(func() {
			w.wait(200, 6000)
			w.start(m)
		})
	}
	return from
}

// wipePrimaryThenAnother wipes the primary's disk and, within four seconds, the disk of its
// successor or of any controller.
func wipePrimaryThenAnother(w *World) time.Duration {
	primary := w.primary()
	w.wipeMachine(primary)
	w.run(w.now + time.Duration(w.random.IntN(4000))*time.Millisecond)
	second := w.primary()
	if w.random.IntN(2) == 0 {
		second = anyController(w)
	}
	if second != primary {
		w.wipeMachine(second)
	}
	w.outside.Go(func() {
		w.wait(500, 6000)
		w.start(primary)
		w.start(second)
	})
	return w.now
}

// cutPrimarysZone cuts the links between the primary's zone and the other zones.
func cutPrimarysZone(w *World) time.Duration {
	zone := w.primary().zone
	from := w.now
	w.outside.Go(func() {
		w.cutFor(func(from, to string) bool {
			source, target := w.machineNamed(from), w.machineNamed(to)
			return source != nil && target != nil && (source.zone == zone) != (target.zone == zone)
		})
	})
	return from
}

// wipeAmidPowerLoss wipes some disks while all machines of the core lose their power. The
// machines with intact disks return a second later, the wiped ones at the same time or later.
func wipeAmidPowerLoss(wiped int) func(w *World) time.Duration {
	return func(w *World) time.Duration {
		machines := w.nodes(membership.Controller)
		w.random.Shuffle(len(machines),
			func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
		if wiped > 0 && w.random.IntN(2) == 0 {
			// The primary is among the wiped machines.
			primary := w.primary()
			for position := range machines {
				if machines[position] == primary {
					machines[0], machines[position] = machines[position], machines[0]
				}
			}
		}
		for position, m := range machines {
			if position < wiped {
				w.wipeMachine(m)
			} else {
				w.powerOff(m.name)
			}
		}
		w.run(w.now + time.Second)
		late := w.random.IntN(2) * 5000
		for position, m := range machines {
			if position < wiped && late > 0 {
				w.startLater(m, 0, late)
			} else {
				w.start(m)
			}
		}
		return w.now
	}
}

// replaceAmidOneWay replaces a machine while the primary is cut off in one direction. The core
// loses two machines at the same time, so if it tolerates only one loss, the wait for changes
// begins after the cut has ended.
func replaceAmidOneWay(inwards bool) func(w *World) time.Duration {
	return func(w *World) time.Duration {
		old := w.backup()
		ended := w.cutOneWay(w.primary(), inwards)
		from := w.removeAndReplace(old)
		if w.toleratedLosses() == 1 {
			w.timeUntil(w.now, ended)
			return w.now
		}
		return from
	}
}

// loseCoreZone powers a zone's machines off, and wipes their disks if wipe is set.
func loseCoreZone(wipe bool) func(w *World) time.Duration {
	return func(w *World) time.Duration {
		zone := w.layout.zones()[w.random.IntN(len(w.layout.zones()))]
		if w.random.IntN(2) == 0 {
			zone = w.primary().zone
		}
		from := w.now
		for _, m := range w.nodes(membership.Controller) {
			if m.zone != zone {
				continue
			}
			if wipe {
				w.wipeMachine(m)
			} else {
				w.powerOff(m.name)
			}
			w.startLater(m, 4000, 6000)
		}
		return from
	}
}

// wipeMachine powers a machine off and replaces its disk by an empty one.
func (w *World) wipeMachine(m *machine) {
	w.tracef("%s loses its disk", m.name)
	w.powerOff(m.name)
	m.disk = newDisk(w)
}

// startLater starts a machine after a random time between least and most milliseconds. It returns
// the present time.
func (w *World) startLater(m *machine, least, most int) time.Duration {
	from := w.now
	w.outside.Go(func() {
		w.wait(least, most)
		w.start(m)
	})
	return from
}

// addEmptyMachine adds an empty machine in the zone of another, at a new address.
func (w *World) addEmptyMachine(old *machine) *machine {
	number := strconv.Itoa(len(w.machines) + 1)
	var seeds []string
	for _, other := range w.nodes(membership.Controller) {
		if other != old && len(seeds) < 3 {
			seeds = append(seeds, other.address)
		}
	}
	added := w.addMachine(membership.Controller, "expediter-"+number, "10.0.2."+number+":1", old.zone,
		append(seeds, old.address)[:3])
	w.start(added)
	return added
}

// leaveForGood shuts a controller down gracefully and removes its machine.
func (w *World) leaveForGood(old *machine) time.Duration {
	from := w.now
	control, stopping := old.control, old.incarnation
	w.outside.Go(func() {
		left := false
		stopping.Go(func() {
			control.Leave(leaveTimeout)
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

// removeAndReplace removes a machine and later adds an empty one in the same zone, at a new
// address.
func (w *World) removeAndReplace(old *machine) time.Duration {
	from := w.now
	w.powerOff(old.name)
	old.gone = true
	w.outside.Go(func() {
		w.wait(0, 2000)
		w.addEmptyMachine(old)
	})
	return from
}

// cutOneWay cuts a machine off in one direction for some seconds. The function that it returns
// reports whether the cut has ended.
func (w *World) cutOneWay(m *machine, inwards bool) (ended func() bool) {
	done := false
	w.outside.Go(func() {
		w.isolate(m.name, inwards, !inwards)
		done = true
	})
	return func() bool { return done }
}

// anyTwo returns two random controllers.
func (w *World) anyTwo() []*machine {
	machines := w.nodes(membership.Controller)
	w.random.Shuffle(len(machines),
		func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	return machines[:2]
}
