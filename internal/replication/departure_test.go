package replication

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// tickInterval is the time between two ticks of a controller.
const tickInterval = 150 * time.Millisecond

// coreShape holds the number of machines of a core, the number of their zones, and the number of
// losses that the core tolerates.
type coreShape struct{ machines, zones, tolerated int }

var coreShapes = []coreShape{{3, 3, 1}, {6, 3, 2}, {8, 4, 2}}

// role is the role of a machine in the core.
type role string

const (
	primaryRole role = "primary"
	backupRole  role = "backup"
	witnessRole role = "witness only"
)

// newFaultFreeCluster returns a complete core with an acknowledged write. Its only faults are those
// that the test causes.
func newFaultFreeCluster(t *testing.T, shape coreShape, seed uint64, catchUp time.Duration) *cluster {
	t.Helper()
	c := newClusterOf(t, seed, shape.machines, shape.zones, shape.tolerated)
	c.catchUp = catchUp
	for _, m := range c.machines {
		m.coordinator.SetTiming(TimingFor(catchUp))
	}
	if !c.heal(20 * time.Second) {
		c.fail("no core was formed")
	}
	c.noFaults.Store(true)
	c.run(time.Second, nil)
	return c
}

// run advances the time by length: in each step every machine that is up ticks, the primary writes,
// and the invariants are checked. It ends early, and returns true, when done returns true.
func (c *cluster) run(length time.Duration, done func() bool) bool {
	for ends := c.clock().Add(length); c.clock().Before(ends); {
		c.advance(tickInterval)
		for _, m := range c.machines {
			if m.up.Load() && !m.frozen {
				m.coordinator.Tick()
				c.check()
				c.write(m)
				c.check()
			}
		}
		if done != nil && done() {
			return true
		}
	}
	return false
}

// roleOf returns the present role of a machine in the core, or an empty string.
func (c *cluster) roleOf(m *machine) role {
	leader := c.leader()
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

// inRole returns a machine with the given role, or nil.
func (c *cluster) inRole(wanted role) *machine {
	for _, m := range c.machines {
		if c.roleOf(m) == wanted {
			return m
		}
	}
	return nil
}

// victims returns the machines to lose: as many as losses are tolerated, those with the given role
// first.
func (c *cluster) victims(wanted role) []*machine {
	var victims []*machine
	for _, next := range []role{wanted, backupRole, witnessRole, primaryRole} {
		for _, m := range c.machines {
			if len(victims) < c.tolerated && c.roleOf(m) == next && !slices.Contains(victims, m) {
				victims = append(victims, m)
			}
		}
	}
	return victims
}

// remove removes a machine for good, with its disk.
func (c *cluster) remove(lost *machine) {
	c.crash(lost)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var left []*machine
	for _, other := range c.machines {
		if other != lost {
			left = append(left, other)
		}
	}
	c.machines = left
}

// join starts a blank machine at a new address in a zone.
func (c *cluster) join(zone string) *machine {
	c.joined++
	added := &machine{
		address:     "n" + strconv.Itoa(c.joined),
		zone:        zone,
		witnessDisk: newMemoryStorage(),
		replicaDisk: newMemoryStorage(),
	}
	c.mutex.Lock()
	c.machines = append(append([]*machine{}, c.machines...), added)
	c.mutex.Unlock()
	c.joinOnly = true
	c.seeds = nil
	for _, m := range c.machines[:3] {
		c.seeds = append(c.seeds, m.address)
	}
	c.start(added)
	return added
}

// upToDateReplicas counts the machines that are up, in sync by the newest membership, and have
// every acknowledged write.
func (c *cluster) upToDateReplicas() int {
	var membership Membership
	for _, m := range c.machines {
		if known := m.witness.Membership(); m.up.Load() && known.Epoch > membership.Epoch {
			membership = known
		}
	}
	count := 0
	for _, m := range c.machines {
		if m.up.Load() && membership.InSync(m.witness.Replica().Identity) &&
			revisionIn(m.store.LocalReplica().Sections()[ConfigurationSection].Content) >= c.acknowledgedRevision {
			count++
		}
	}
	return count
}

// TestLeavingControllerHandsOverBeforeItStops stops a controller of each role gracefully while a
// blank machine is available to replace it, as in a planned replacement. Until the controller is
// ready to stop, every acknowledged write must be on one more replica than losses are tolerated. Then
// the controller's disk and as many others as losses are tolerated are lost at once, and the core must
// become complete again.
func TestLeavingControllerHandsOverBeforeItStops(t *testing.T) {
	const timeout = 6500 * time.Millisecond
	for _, shape := range coreShapes {
		for _, leaves := range []role{primaryRole, backupRole, witnessRole} {
			for _, lost := range []role{primaryRole, backupRole, witnessRole} {
				t.Run(fmt.Sprintf("%d disks/%s leaves/%s lost", shape.machines, leaves, lost), func(t *testing.T) {
					c := newFaultFreeCluster(t, shape, 3, DefaultCatchUp)
					leaver := c.inRole(leaves)
					c.join(leaver.zone)
					c.run(time.Second, nil)
					if leaver = c.inRole(leaves); leaver == nil {
						t.Skip("no machine has the role")
					}
					began := c.clock()
					leaver.coordinator.Leave()
					ready := c.run(timeout, func() bool {
						if replicas := c.upToDateReplicas(); replicas < shape.tolerated+1 {
							c.fail("%v after it began to leave, only %d replicas have every acknowledged write", c.clock().Sub(began), replicas)
						}
						return leaver.coordinator.ReadyToStop()
					})
					if !ready {
						c.fail("%s is not ready to stop: %+v", leaver.address, leaver.coordinator.Membership())
					}
					c.logf("%s is ready to stop after %v", leaver.address, c.clock().Sub(began))
					c.remove(leaver)
					for _, second := range c.victims(lost) {
						c.remove(second)
						c.join(second.zone)
					}
					if !c.run(12*time.Second, func() bool { return c.leader() != nil && c.completeLeader() != nil }) {
						c.fail("no complete core after the second loss")
					}
				})
			}
		}
	}
}

// TestLeavingBackupIsReplacedByTheThirdController stops the backup of a core of three when there is no
// new machine: the third controller must become the backup within a second, and writes must still be
// acknowledged after the old backup has stopped.
func TestLeavingBackupIsReplacedByTheThirdController(t *testing.T) {
	c := newFaultFreeCluster(t, coreShapes[0], 4, DefaultCatchUp)
	leaver := c.inRole(backupRole)
	began := c.clock()
	leaver.coordinator.Leave()
	if !c.run(3*time.Second, func() bool {
		return !c.leader().coordinator.Membership().InSync(leaver.witness.Replica().Identity)
	}) {
		c.fail("the leaving backup is not replaced")
	}
	if took := c.clock().Sub(began); took > time.Second {
		c.fail("the leaving backup was replaced after %v, want 1s at most", took)
	}
	acknowledgedWrites := c.acknowledgedWrites
	c.crash(leaver)
	c.run(time.Second, nil)
	if c.acknowledgedWrites < acknowledgedWrites+3 {
		c.fail("got %d writes after the old backup stopped, want 3 at least", c.acknowledgedWrites-acknowledgedWrites)
	}
}

// TestLeavingControllerWithTheLastReplicaLeadsAgain removes the successor right after the leaving
// primary has handed over to it. The leaving controller then has the only replica, so it
// must become a candidate although it is leaving.
func TestLeavingControllerWithTheLastReplicaLeadsAgain(t *testing.T) {
	c := newFaultFreeCluster(t, coreShapes[0], 5, DefaultCatchUp)
	leaver := c.leader()
	successor := c.inRole(backupRole)
	leaver.coordinator.Leave()
	leaver.coordinator.Tick()
	if leaver.store.Leading() {
		c.fail("the primary did not hand over at once")
	}
	c.remove(successor)
	if !c.run(6*time.Second, func() bool { return c.leader() != nil }) {
		c.fail("no machine leads, although the leaving controller has every acknowledged write")
	}
	c.check()
}

// lossKind is how a machine is lost, and how it returns or is replaced.
type lossKind string

const (
	killed   lossKind = "kill"
	wiped    lossKind = "wipe"
	replaced lossKind = "replace"
)

// lose loses a machine and starts it or its replacement. It returns the time of this start.
func (c *cluster) lose(lost *machine, kind lossKind) time.Time {
	switch kind {
	case killed:
		c.crash(lost)
		c.run(600*time.Millisecond, nil)
		c.start(lost)
	case wiped:
		c.crash(lost)
		lost.witnessDisk, lost.replicaDisk = newMemoryStorage(), newMemoryStorage()
		c.run(900*time.Millisecond, nil)
		c.joinOnly = true
		c.start(lost)
	case replaced:
		c.remove(lost)
		c.run(tickInterval, nil)
		c.join(lost.zone)
	}
	return c.clock()
}

// TestSecondLossIsToleratedAfterTheCatchUp loses as many machines as the core tolerates, in each role and
// in each way, and as many again once the catch-up time has passed. It tries several catch-up times. No
// acknowledged write may be lost, and a primary must lead after each loss.
func TestSecondLossIsToleratedAfterTheCatchUp(t *testing.T) {
	roles := []role{primaryRole, backupRole, witnessRole}
	for _, shape := range coreShapes {
		for _, catchUp := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%d disks/catch-up %v", shape.machines, catchUp), func(t *testing.T) {
				for _, firstKind := range []lossKind{killed, wiped, replaced} {
					for position, first := range roles {
						for _, second := range roles {
							c := newFaultFreeCluster(t, shape, uint64(10+position), catchUp)
							for _, lost := range c.victims(first) {
								c.lose(lost, firstKind)
							}
							c.run(catchUp, nil)
							if c.leader() == nil {
								c.fail("after the loss of the %s (%s): no machine leads %v later", first, firstKind, catchUp)
							}
							for _, lost := range c.victims(second) {
								c.remove(lost)
							}
							if !c.run(8*time.Second, func() bool { return c.leader() != nil }) {
								c.fail("after the loss of the %s (%s), then of the %s: no machine leads", first, firstKind, second)
							}
						}
					}
				}
			})
		}
	}
}
