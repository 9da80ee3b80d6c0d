package replication

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// severalShapes are the shapes that bear two losses: six disks in three zones,
// and eight in four.
var severalShapes = []struct{ machines, zones int }{{6, 3}, {8, 4}}

func simulatedSeeds(usual uint64) uint64 {
	if seeds, err := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); err == nil {
		return seeds
	}
	return usual
}

// pick gives a machine by chance.
func (w *cluster) randomMachine() *machine { return w.machines[w.random.IntN(len(w.machines))] }

// wipe takes a machine's disk while it loses its power, as often as may be since the
// core was whole.
func (w *cluster) wipe(m *machine) bool {
	if w.completeLeader() != nil {
		w.lossesLeft = w.tolerated
	}
	if w.lossesLeft == 0 {
		return false
	}
	w.lossesLeft--
	w.wiped++
	w.mutex.Lock()
	m.up.Store(false)
	w.mutex.Unlock()
	m.witnessDisk = newMemoryStorage()
	w.logf("%s loses its disk", m.address)
	return true
}

// severalFault is a fault beside those of step.
func (w *cluster) severalFault() {
	switch w.random.IntN(60) {
	case 0:
		// Two disks at once, right after whatever was answered last.
		w.wipe(w.randomMachine())
		w.wipe(w.randomMachine())
	case 1:
		w.wipe(w.randomMachine())
	case 2:
		// A zone loses its power, and at times its disks.
		zone := w.randomMachine().zone
		lost := w.random.IntN(2) == 0
		for _, m := range w.machines {
			if m.zone == zone && m.up.Load() {
				if !lost || !w.wipe(m) {
					w.crash(m)
				}
			}
		}
	case 3:
		w.restartEverything(w.random.IntN(3))
	case 4:
		// A zone is cut off, one way or both.
		cutZone := w.randomMachine().zone
		way := w.random.IntN(3)
		w.mutex.Lock()
		for _, from := range w.machines {
			for _, to := range w.machines {
				if from.zone == cutZone && to.zone != cutZone && way != 1 {
					w.cut[from.address+">"+to.address] = true
				}
				if from.zone != cutZone && to.zone == cutZone && way != 0 {
					w.cut[from.address+">"+to.address] = true
				}
			}
		}
		w.mutex.Unlock()
		w.logf("%s is cut off", cutZone)
	case 5:
		w.replace()
	}
}

// everything takes all power, and some disks with it, and gives it back.
func (w *cluster) restartEverything(wiped int) {
	for range wiped {
		w.wipe(w.randomMachine())
	}
	for _, m := range w.machines {
		if m.up.Load() {
			w.crash(m)
		}
	}
	w.advance(time.Duration(200+w.random.IntN(800)) * time.Millisecond)
	for _, ma := range w.machines {
		w.start(ma)
	}
}

// replace puts an empty machine at a new address in a machine's place, and names
// other seeds to all.
func (w *cluster) replace() {
	position := w.random.IntN(len(w.machines))
	old := w.machines[position]
	if !w.wipe(old) {
		return
	}
	w.joined++
	added := &machine{address: "n" + strconv.Itoa(w.joined), zone: old.zone, witnessDisk: newMemoryStorage(), copyDisk: newMemoryStorage()}
	w.mutex.Lock()
	w.machines = append(append([]*machine{}, w.machines...), added)
	w.machines = append(w.machines[:position:position], w.machines[position+1:]...)
	w.mutex.Unlock()
	w.seeds, w.formed = nil, true
	for _, m := range w.machines[w.random.IntN(len(w.machines)-3):][:3] {
		w.seeds = append(w.seeds, m.address)
	}
	for _, ma := range w.machines {
		if ma != added {
			ma.coordinator.SetSeeds(w.seeds)
		}
	}
	w.logf("%s gives way to %s, seeds %v", old.address, added.address, w.seeds)
	w.start(added)
}

// shares are in how many parts the seeds are run side by side.
const shares = 4

// TestTwoLossesAtOnce drives cores that bear two losses through lost disks, two at
// once or one while the other is being made good, lost and cut zones, power lost
// everywhere, exchanged machines, and all faults of the smaller core.
func TestTwoLossesAtOnce(t *testing.T) {
	for _, shape := range severalShapes {
		for share := range uint64(shares) {
			t.Run(strconv.Itoa(shape.machines)+"/"+strconv.FormatUint(share, 10), func(t *testing.T) {
				t.Parallel()
				answered, wiped := 0, 0
				for seed := share; seed < simulatedSeeds(24); seed += shares {
					w := newClusterOf(t, seed, shape.machines, shape.zones, 2)
					w.bearLosses(seed)
					answered, wiped = answered+w.answered, wiped+w.wiped
				}
				t.Logf("%d writes were accepted, disks were lost %d times", answered, wiped)
			})
		}
	}
}

// bearLosses is one seed's life of a core.
func (w *cluster) bearLosses(seed uint64) {
	for step := range 400 {
		if step%40 == 0 && !w.heal(30*time.Second) {
			w.fail("seed %d: the core is not whole", seed)
		}
		w.step()
		w.severalFault()
		w.check()
	}
	if !w.heal(30 * time.Second) {
		w.fail("seed %d: the core is not whole again", seed)
	}
}

// acknowledge has the primary answer one more change.
func (w *cluster) acknowledge() *machine {
	before := w.answered
	for range 100 {
		if leader := w.completeLeader(); leader != nil {
			w.write(leader)
			if w.answered > before {
				return leader
			}
		}
		w.tick(100 * time.Millisecond)
	}
	w.fail("no change is answered")
	return nil
}

// tick lets time pass, and all who run do what is due.
func (w *cluster) tick(length time.Duration) {
	w.wipeLostDisks()
	w.advance(length)
	for _, m := range w.machines {
		if m.up.Load() && !m.frozen {
			m.coordinator.Tick()
			w.check()
		}
	}
}

// losses lists every set of machines that may be lost at once: any two, or one
// zone.
func (w *cluster) losses() [][]int {
	var sets [][]int
	for first := range w.machines {
		for second := range first {
			sets = append(sets, []int{second, first})
		}
	}
	return sets
}

// TestEveryPairOfDisksLost wipes every two disks right after an answer, while the
// others go on or lose their power, too, and wants the answered change and a core
// that is whole again; likewise every zone, whose two machines are such a pair.
func TestEveryPairOfDisksLost(t *testing.T) {
	for _, shape := range severalShapes {
		for seed := range simulatedSeeds(2) {
			for _, others := range []bool{false, true} {
				for _, pair := range newClusterOf(t, seed, shape.machines, shape.zones, 2).losses() {
					w := newClusterOf(t, seed, shape.machines, shape.zones, 2)
					w.noFaults = true
					if !w.heal(15 * time.Second) {
						w.fail("no core was formed")
					}
					for range 2 + seed%5 {
						w.acknowledge()
					}
					for _, position := range pair {
						if !w.wipe(w.machines[position]) {
							w.fail("the core was not whole")
						}
					}
					for _, m := range w.machines {
						if m.up.Load() && others {
							w.crash(m)
						}
					}
					w.advance(time.Second)
					for range 200 {
						// The wiped come back later than the others.
						for _, ma := range w.machines {
							if !ma.up.Load() && !containsMachine(w.machines, pair, ma) {
								w.start(ma)
							}
						}
						w.tick(100 * time.Millisecond)
						if w.leader() != nil {
							break
						}
					}
					if w.leader() == nil {
						w.fail("nobody leads after the loss of %v, others %v", pair, others)
					}
					if !w.heal(30 * time.Second) {
						w.fail("the core is not whole again after the loss of %v, others %v", pair, others)
					}
					w.acknowledge()
				}
			}
		}
	}
}

// leader is who may answer now.
func (w *cluster) leader() *machine {
	for _, m := range w.machines {
		if m.up.Load() && !m.frozen && m.coordinator.HasLease() {
			return m
		}
	}
	return nil
}

func containsMachine(machines []*machine, positions []int, wanted *machine) bool {
	for _, position := range positions {
		if machines[position] == wanted {
			return true
		}
	}
	return false
}

// TestPairOfDisksIsLostByAPair shows that the test above can fail: a core that bears
// one loss does not bear two.
func TestPairOfDisksIsLostByAPair(t *testing.T) {
	w := newClusterOf(t, 1, 6, 3, 1)
	w.noFaults = true
	if !w.heal(15 * time.Second) {
		w.fail("no core was formed")
	}
	leader := w.acknowledge()
	backup := leader.coordinator.Membership().Backup.Identity
	for _, m := range w.machines {
		if m == leader || m.witness.Replica().Identity == backup {
			w.crash(m)
			m.witnessDisk = newMemoryStorage()
		}
	}
	for range 100 {
		w.tick(100 * time.Millisecond)
	}
	if w.leader() != nil {
		w.fail("somebody leads without the copies")
	}
}

// TestSecondLossInTheMiddleOfATakeover loses the primary's disk right after an answer,
// and the successor's when it has been granted the epoch and before it has brought
// anybody its copy: the third copy must still count as in sync.
func TestSecondLossInTheMiddleOfATakeover(t *testing.T) {
	for _, shape := range severalShapes {
		w := newClusterOf(t, 1, shape.machines, shape.zones, 2)
		w.noFaults = true
		if !w.heal(15 * time.Second) {
			w.fail("no core was formed")
		}
		leader := w.acknowledge()
		w.wipe(leader)
		// InSyncReplicas are brought by several threads at once.
		var ended atomic.Bool
		w.installs = func(from string) {
			for _, m := range w.machines {
				if m.address == from && m.store.Leading() && ended.CompareAndSwap(false, true) {
					w.crashNow(m, true)
				}
			}
		}
		for range 100 {
			w.tick(100 * time.Millisecond)
		}
		if !ended.Load() || w.leader() == nil {
			w.fail("ended in the middle %v, and nobody leads", ended.Load())
		}
		if !w.heal(30 * time.Second) {
			w.fail("the core is not whole again")
		}
		w.acknowledge()
	}
}
