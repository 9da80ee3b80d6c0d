package replication

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// tickPause is the time between two ticks of a process.
const tickPause = 150 * time.Millisecond

// coreShape is a core's number of machines, their districts and the losses to be borne.
type coreShape struct{ machines, zones, borne int }

var coreShapes = []coreShape{{3, 3, 1}, {6, 3, 2}, {8, 4, 2}}

// role is what a machine is to the core.
type role string

const (
	primaryRole role = "primary"
	backupRole  role = "backup"
	witnessRole role = "witness only"
)

// calmWorld is a core that is whole, with an acknowledged write, whose machines do nothing
// but what the test has them do.
func calmWorld(t *testing.T, shape coreShape, seed uint64, catchUp time.Duration) *world {
	t.Helper()
	world := newWorldOf(t, seed, shape.machines, shape.zones, shape.borne)
	world.catchUp = catchUp
	for _, machine := range world.machines {
		machine.steward.SetTiming(TimingFor(catchUp))
	}
	if !world.heal(20 * time.Second) {
		world.fail("no core was formed")
	}
	world.calm = true
	world.run(time.Second, nil)
	return world
}

// run lets time pass: every machine that is up ticks, the primary writes, and the rules are
// held after each step. It ends early when over says so.
func (w *world) run(length time.Duration, over func() bool) bool {
	for ends := w.clock().Add(length); w.clock().Before(ends); {
		w.advance(tickPause)
		for _, machine := range w.machines {
			if machine.up.Load() && !machine.frozen {
				machine.steward.Tick()
				w.check()
				w.write(machine)
				w.check()
			}
		}
		if over != nil && over() {
			return true
		}
	}
	return false
}

// roleOf is what a machine is to the core now, if it is anything.
func (w *world) roleOf(machine *machine) role {
	leader := w.leader()
	if leader == nil || !machine.up.Load() {
		return ""
	}
	membership, identity := leader.steward.Membership(), machine.keeper.Replica().Identity
	switch {
	case machine == leader:
		return primaryRole
	case membership.InSync(identity):
		return backupRole
	case membership.Keeps(identity):
		return witnessRole
	}
	return ""
}

// inRole finds a machine by what it is to the core, if there is one.
func (w *world) inRole(wanted role) *machine {
	for _, machine := range w.machines {
		if w.roleOf(machine) == wanted {
			return machine
		}
	}
	return nil
}

// victims are as many machines as losses are borne, those of one role first.
func (w *world) victims(wanted role) []*machine {
	var victims []*machine
	for _, found := range []role{wanted, backupRole, witnessRole, primaryRole} {
		for _, machine := range w.machines {
			if len(victims) < w.borne && w.roleOf(machine) == found && !slices.Contains(victims, machine) {
				victims = append(victims, machine)
			}
		}
	}
	return victims
}

// gone takes a machine away for good, with its disk.
func (w *world) gone(lost *machine) {
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

// join starts an empty machine at a new address, in a district.
func (w *world) join(zone string) *machine {
	w.offered++
	added := &machine{address: "n" + strconv.Itoa(w.offered), zone: zone, keeping: newMemoryStorage(), copies: newMemoryStorage()}
	w.mutex.Lock()
	w.machines = append(append([]*machine{}, w.machines...), added)
	w.mutex.Unlock()
	w.formed = true
	w.seeds = nil
	for _, machine := range w.machines[:3] {
		w.seeds = append(w.seeds, machine.address)
	}
	w.start(added)
	return added
}

// copiesOfTheNewest counts the machines that are up, count as copies, and hold every
// acknowledged write.
func (w *world) copiesOfTheNewest() int {
	var membership Membership
	for _, machine := range w.machines {
		if known := machine.keeper.Membership(); machine.up.Load() && known.Epoch > membership.Epoch {
			membership = known
		}
	}
	count := 0
	for _, machine := range w.machines {
		if machine.up.Load() && membership.InSync(machine.keeper.Replica().Identity) && revisionIn(machine.store.Copy().Sections()[ConfigurationSection].Content) >= w.accepted {
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
	const patience = 6500 * time.Millisecond
	for _, shape := range coreShapes {
		for _, leaves := range []role{primaryRole, backupRole, witnessRole} {
			for _, lost := range []role{primaryRole, backupRole, witnessRole} {
				t.Run(fmt.Sprintf("%d disks/%s leaves/%s lost", shape.machines, leaves, lost), func(t *testing.T) {
					world := calmWorld(t, shape, 3, DefaultCatchUp)
					leaver := world.inRole(leaves)
					world.join(leaver.zone)
					world.run(time.Second, nil)
					if leaver = world.inRole(leaves); leaver == nil {
						t.Skip("nobody has the role")
					}
					began := world.clock()
					leaver.steward.Leave()
					released := world.run(patience, func() bool {
						if copies := world.copiesOfTheNewest(); copies < shape.borne+1 {
							world.fail("%v after it began to leave %d disks have every acknowledged write", world.clock().Sub(began), copies)
						}
						return leaver.steward.Released()
					})
					if !released {
						world.fail("%s is not released: %+v", leaver.address, leaver.steward.Membership())
					}
					world.say("%s is released after %v", leaver.address, world.clock().Sub(began))
					world.gone(leaver)
					for _, second := range world.victims(lost) {
						world.gone(second)
						world.join(second.zone)
					}
					if !world.run(12*time.Second, func() bool { return world.leader() != nil && world.whole() != nil }) {
						world.fail("no core after the second loss")
					}
				})
			}
		}
	}
}

// TestABackupThatLeavesAloneIsReplacedByTheThird stops the backup of three, without any
// newcomer: the third has its copy before it ends, and no write is refused.
func TestABackupThatLeavesAloneIsReplacedByTheThird(t *testing.T) {
	world := calmWorld(t, coreShapes[0], 4, DefaultCatchUp)
	leaver := world.inRole(backupRole)
	began := world.clock()
	leaver.steward.Leave()
	if !world.run(3*time.Second, func() bool { return !world.leader().steward.Membership().InSync(leaver.keeper.Replica().Identity) }) {
		world.fail("the backup that leaves is not replaced")
	}
	if took := world.clock().Sub(began); took > time.Second {
		world.fail("the backup that leaves was replaced after %v", took)
	}
	answered := world.answered
	world.crash(leaver)
	world.run(time.Second, nil)
	if world.answered < answered+3 {
		world.fail("writes stood still when the old backup ended: %d of them", world.answered-answered)
	}
}

// TestWhoLeavesAsTheLastCopyLeadsAgain ends the successor at the moment at which the primary
// that leaves has handed over to it: the leaver's copy is the only one left, and it must
// not stay out for being about to end.
func TestWhoLeavesAsTheLastCopyLeadsAgain(t *testing.T) {
	world := calmWorld(t, coreShapes[0], 5, DefaultCatchUp)
	leaver := world.leader()
	successor := world.inRole(backupRole)
	leaver.steward.Leave()
	leaver.steward.Tick()
	if leaver.store.Leading() {
		world.fail("the primary did not hand over at once")
	}
	world.gone(successor)
	if !world.run(6*time.Second, func() bool { return world.leader() != nil }) {
		world.fail("nobody leads, though the leaver has everything")
	}
	world.check()
}

// lossKind is how a machine is lost, and how it or its successor comes.
type lossKind string

const (
	killed   lossKind = "kill"
	wiped    lossKind = "wipe"
	exchange lossKind = "replace"
)

// lose loses a machine and gives the time of its return, or of its successor's start.
func (w *world) lose(lost *machine, kind lossKind) time.Time {
	switch kind {
	case killed:
		w.crash(lost)
		w.run(600*time.Millisecond, nil)
		w.start(lost)
	case wiped:
		w.crash(lost)
		lost.keeping, lost.copies = newMemoryStorage(), newMemoryStorage()
		w.run(900*time.Millisecond, nil)
		w.formed = true
		w.start(lost)
	case exchange:
		w.gone(lost)
		w.run(tickPause, nil)
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
							world := calmWorld(t, shape, uint64(10+position), catchUp)
							for _, lost := range world.victims(first) {
								world.lose(lost, firstKind)
							}
							world.run(catchUp, nil)
							if world.leader() == nil {
								world.fail("%s %s: nobody leads %v later", first, firstKind, catchUp)
							}
							for _, lost := range world.victims(second) {
								world.gone(lost)
							}
							if !world.run(8*time.Second, func() bool { return world.leader() != nil }) {
								world.fail("%s %s, then %s lost: nobody leads", first, firstKind, second)
							}
						}
					}
				}
			})
		}
	}
}
