package replication

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// tickInterval is the time between two ticks of a process.
const tickInterval = 150 * time.Millisecond

// coreShape is a core's number of machines, their zones and the losses to be borne.
type coreShape struct{ machines, zones, tolerated int }

var coreShapes = []coreShape{{3, 3, 1}, {6, 3, 2}, {8, 4, 2}}

// role is what a machine is to the core.
type role string

const (
	primaryRole role = "primary"
	backupRole  role = "backup"
	witnessRole role = "witness only"
)

// newCalmCluster is a core that is whole, with an acknowledged write, whose machines do nothing
// but what the test has them do.
func newCalmCluster(t *testing.T, shape coreShape, seed uint64, catchUp time.Duration) *cluster {
	t.Helper()
	w := newClusterOf(t, seed, shape.machines, shape.zones, shape.tolerated)
	w.catchUp = catchUp
	for _, m := range w.machines {
		m.coordinator.SetTiming(TimingFor(catchUp))
	}
	if !w.heal(20 * time.Second) {
		w.fail("no core was formed")
	}
	w.noFaults = true
	w.run(time.Second, nil)
	return w
}

// run lets time pass: every machine that is up ticks, the primary writes, and the rules are
// held after each step. It ends early when over says so.
func (w *cluster) run(length time.Duration, done func() bool) bool {
	for ends := w.clock().Add(length); w.clock().Before(ends); {
		w.advance(tickInterval)
		for _, m := range w.machines {
			if m.up.Load() && !m.frozen {
				m.coordinator.Tick()
				w.check()
				w.write(m)
				w.check()
			}
		}
		if done != nil && done() {
			return true
		}
	}
	return false
}

// roleOf is what a machine is to the core now, if it is anything.
func (w *cluster) roleOf(m *machine) role {
	leader := w.leader()
	if leader == nil || !m.up.Load() {
		return ""
	}
	membership, identity := leader.coordinator.Membership(), m.witness.Replica().Identity
	switch {
	case m == leader:
		return primaryRole
	case membership.InSync(identity):
		return backupRole
	case membership.HasVoter(identity):
		return witnessRole
	}
	return ""
}

// inRole finds a machine by what it is to the core, if there is one.
func (w *cluster) inRole(wanted role) *machine {
	for _, m := range w.machines {
		if w.roleOf(m) == wanted {
			return m
		}
	}
	return nil
}

// victims are as many machines as losses are borne, those of one role first.
func (w *cluster) victims(wanted role) []*machine {
	var victims []*machine
	for _, found := range []role{wanted, backupRole, witnessRole, primaryRole} {
		for _, m := range w.machines {
			if len(victims) < w.tolerated && w.roleOf(m) == found && !slices.Contains(victims, m) {
				victims = append(victims, m)
			}
		}
	}
	return victims
}

// gone takes a machine away for good, with its disk.
func (w *cluster) remove(lost *machine) {
	w.crash(lost)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var left []*machine
	for _, other := range w.machines {
		if other != lost {
			left = append(left, other)
		}
	}
	w.machines = left
}

// join starts an empty machine at a new address, in a zone.
func (w *cluster) join(zone string) *machine {
	w.joined++
	added := &machine{address: "n" + strconv.Itoa(w.joined), zone: zone, witnessDisk: newMemoryStorage(), copyDisk: newMemoryStorage()}
	w.mutex.Lock()
	w.machines = append(append([]*machine{}, w.machines...), added)
	w.mutex.Unlock()
	w.formed = true
	w.seeds = nil
	for _, m := range w.machines[:3] {
		w.seeds = append(w.seeds, m.address)
	}
	w.start(added)
	return added
}

// copiesOfTheNewest counts the machines that are up, count as copies, and hold every
// acknowledged write.
func (w *cluster) copiesOfTheNewest() int {
	var membership Membership
	for _, m := range w.machines {
		if known := m.witness.Membership(); m.up.Load() && known.Epoch > membership.Epoch {
			membership = known
		}
	}
	count := 0
	for _, ma := range w.machines {
		if ma.up.Load() && membership.InSync(ma.witness.Replica().Identity) && revisionIn(ma.store.LocalReplica().Sections()[ConfigurationSection].Content) >= w.accepted {
			count++
		}
	}
	return count
}

// TestWhoLeavesHandsOverBeforeItEnds stops each kind of member in order, with an empty
// machine beside it that takes its place, as a planned replacement does. Until it is
// released every acknowledged write is on as many disks as losses are borne, and one more;
// after that its disk and as many others as are borne go, at once.
func TestWhoLeavesHandsOverBeforeItEnds(t *testing.T) {
	const timeout = 6500 * time.Millisecond
	for _, shape := range coreShapes {
		for _, leaves := range []role{primaryRole, backupRole, witnessRole} {
			for _, lost := range []role{primaryRole, backupRole, witnessRole} {
				t.Run(fmt.Sprintf("%d disks/%s leaves/%s lost", shape.machines, leaves, lost), func(t *testing.T) {
					w := newCalmCluster(t, shape, 3, DefaultCatchUp)
					leaver := w.inRole(leaves)
					w.join(leaver.zone)
					w.run(time.Second, nil)
					if leaver = w.inRole(leaves); leaver == nil {
						t.Skip("nobody has the role")
					}
					began := w.clock()
					leaver.coordinator.Leave()
					ready := w.run(timeout, func() bool {
						if copies := w.copiesOfTheNewest(); copies < shape.tolerated+1 {
							w.fail("%v after it began to leave %d disks have every acknowledged write", w.clock().Sub(began), copies)
						}
						return leaver.coordinator.ReadyToStop()
					})
					if !ready {
						w.fail("%s is not released: %+v", leaver.address, leaver.coordinator.Membership())
					}
					w.logf("%s is released after %v", leaver.address, w.clock().Sub(began))
					w.remove(leaver)
					for _, second := range w.victims(lost) {
						w.remove(second)
						w.join(second.zone)
					}
					if !w.run(12*time.Second, func() bool { return w.leader() != nil && w.completeLeader() != nil }) {
						w.fail("no core after the second loss")
					}
				})
			}
		}
	}
}

// TestABackupThatLeavesAloneIsReplacedByTheThird stops the backup of three, without any
// newcomer: the third has its copy before it ends, and no write is refused.
func TestABackupThatLeavesAloneIsReplacedByTheThird(t *testing.T) {
	w := newCalmCluster(t, coreShapes[0], 4, DefaultCatchUp)
	leaver := w.inRole(backupRole)
	began := w.clock()
	leaver.coordinator.Leave()
	if !w.run(3*time.Second, func() bool { return !w.leader().coordinator.Membership().InSync(leaver.witness.Replica().Identity) }) {
		w.fail("the backup that leaves is not replaced")
	}
	if took := w.clock().Sub(began); took > time.Second {
		w.fail("the backup that leaves was replaced after %v", took)
	}
	answered := w.answered
	w.crash(leaver)
	w.run(time.Second, nil)
	if w.answered < answered+3 {
		w.fail("writes stood still when the old backup ended: %d of them", w.answered-answered)
	}
}

// TestWhoLeavesAsTheLastCopyLeadsAgain ends the successor at the moment at which the primary
// that leaves has handed over to it: the leaver's copy is the only one left, and it must
// not stay out for being about to end.
func TestWhoLeavesAsTheLastCopyLeadsAgain(t *testing.T) {
	w := newCalmCluster(t, coreShapes[0], 5, DefaultCatchUp)
	leaver := w.leader()
	successor := w.inRole(backupRole)
	leaver.coordinator.Leave()
	leaver.coordinator.Tick()
	if leaver.store.Leading() {
		w.fail("the primary did not hand over at once")
	}
	w.remove(successor)
	if !w.run(6*time.Second, func() bool { return w.leader() != nil }) {
		w.fail("nobody leads, though the leaver has everything")
	}
	w.check()
}

// lossKind is how a machine is lost, and how it or its successor comes.
type lossKind string

const (
	killed   lossKind = "kill"
	wiped    lossKind = "wipe"
	exchange lossKind = "replace"
)

// lose loses a machine and gives the time of its return, or of its successor's start.
func (w *cluster) lose(lost *machine, kind lossKind) time.Time {
	switch kind {
	case killed:
		w.crash(lost)
		w.run(600*time.Millisecond, nil)
		w.start(lost)
	case wiped:
		w.crash(lost)
		lost.witnessDisk, lost.copyDisk = newMemoryStorage(), newMemoryStorage()
		w.run(900*time.Millisecond, nil)
		w.formed = true
		w.start(lost)
	case exchange:
		w.remove(lost)
		w.run(tickInterval, nil)
		w.join(lost.zone)
	}
	return w.clock()
}

// TestSecondLossMayComeAfterTheCatchUp loses any machine in any way, and another one as soon
// as the bound allows it, under several bounds: nothing acknowledged is lost, a majority
// is left, and the core is whole again.
func TestSecondLossMayComeAfterTheCatchUp(t *testing.T) {
	roles := []role{primaryRole, backupRole, witnessRole}
	for _, shape := range coreShapes {
		for _, catchUp := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%d disks/catch-up %v", shape.machines, catchUp), func(t *testing.T) {
				for _, firstKind := range []lossKind{killed, wiped, exchange} {
					for position, first := range roles {
						for _, second := range roles {
							w := newCalmCluster(t, shape, uint64(10+position), catchUp)
							for _, lost := range w.victims(first) {
								w.lose(lost, firstKind)
							}
							w.run(catchUp, nil)
							if w.leader() == nil {
								w.fail("%s %s: nobody leads %v later", first, firstKind, catchUp)
							}
							for _, lost := range w.victims(second) {
								w.remove(lost)
							}
							if !w.run(8*time.Second, func() bool { return w.leader() != nil }) {
								w.fail("%s %s, then %s lost: nobody leads", first, firstKind, second)
							}
						}
					}
				}
			})
		}
	}
}
