package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// lossMoment is the moment of a takeover at which the new primary's machine loses its disk.
type lossMoment string

const (
	beforeInstallation lossMoment = "as it sends its first snapshot"
	afterTakeover      lossMoment = "after the tick in which it took over"
	afterNextTick      lossMoment = "after its next tick"
	afterSecondTick    lossMoment = "after its second tick"
)

var lossMoments = []lossMoment{beforeInstallation, afterTakeover, afterNextTick, afterSecondTick}

// unacknowledgedWrite says which disks have the write that was in flight when all machines stopped.
type unacknowledgedWrite string

const (
	nowhere       unacknowledgedWrite = "no write in flight"
	onPrimaryOnly unacknowledgedWrite = "a write in flight on the primary"
	onBackupOnly  unacknowledgedWrite = "a write in flight on the backup"
)

// writeInFlight syncs the next revision on the disk of the primary or of its backup, and neither
// commits nor acknowledges it.
func (c *cluster) writeInFlight(leader, backup *machine, where unacknowledgedWrite) {
	if where == nowhere {
		return
	}
	c.submittedRevision++
	c.submitRevision(leader, c.submittedRevision, func(Version, error) {})
	batch, found := leader.store.NextBatch()
	if !found {
		c.fail("no batch in flight")
	}
	target := leader
	if where == onBackupOnly {
		target = backup
	}
	if err := target.store.LocalReplica().Write(batch); err != nil {
		c.fail("the write in flight: %v", err)
	}
}

// roles returns the primary of a complete core, its backup, and the third machine.
func (c *cluster) roles() (leader, backup, third *machine) {
	leader = c.completeLeader()
	for _, m := range c.machines {
		switch {
		case m == leader:
		case m.witness.Replica().Identity == leader.coordinator.Membership().Backup.Identity:
			backup = m
		default:
			third = m
		}
	}
	return leader, backup, third
}

// awaitTakeover ticks the running machines until one of them leads or, for beforeInstallation, until
// one has been stopped as it sent its first snapshot. It returns that machine.
func (c *cluster) awaitTakeover(moment lossMoment) *machine {
	for range 100 {
		c.advance(50 * time.Millisecond)
		for _, m := range c.machines {
			if !m.up.Load() {
				continue
			}
			m.coordinator.Tick()
			c.check()
			if !m.up.Load() || moment != beforeInstallation && m.store.Leading() {
				return m
			}
		}
	}
	c.fail("no machine took over")
	return nil
}

// loseNewPrimary stops the machine that takes over at the given moment, and replaces its disk by a
// blank one.
func (c *cluster) loseNewPrimary(moment lossMoment) *machine {
	if moment == beforeInstallation {
		c.mutex.Lock()
		c.beforeInstall = func(from string) {
			if m, store := c.machineAt(from); m != nil && m.up.Load() && store.Leading() {
				c.crash(m)
			}
		}
		c.mutex.Unlock()
	}
	successor := c.awaitTakeover(moment)
	c.mutex.Lock()
	c.beforeInstall = nil
	c.mutex.Unlock()
	ticks := map[lossMoment]int{afterNextTick: 1, afterSecondTick: 2}[moment]
	for range ticks {
		c.tick(50 * time.Millisecond)
	}
	if successor.up.Load() {
		c.crash(successor)
	}
	c.calls.wait()
	successor.witnessDisk, successor.replicaDisk = newMemoryStorage(), newMemoryStorage()
	c.logf("%s loses its disk", successor.address)
	return successor
}

// playTakeoverWithLostDisk stops all machines of a core with an acknowledged write, starts those of the
// given positions (0 is the primary, 1 the backup, 2 the third machine), loses the disk of the one that
// takes over, and starts the others. The core must then show what was acknowledged, and acknowledge more.
func playTakeoverWithLostDisk(t *testing.T, first []int, moment lossMoment, write unacknowledgedWrite, blankFirst bool) {
	c := newCluster(t, 11)
	c.noFaults.Store(true)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	c.acknowledge()
	leader, backup, third := c.roles()
	byRole := []*machine{leader, backup, third}
	c.writeInFlight(leader, backup, write)
	for _, m := range c.machines {
		c.crash(m)
	}
	c.advance(250 * time.Millisecond)
	for _, role := range first {
		c.start(byRole[role])
	}
	successor := c.loseNewPrimary(moment)
	late := slices.DeleteFunc(slices.Clone(byRole), func(m *machine) bool { return m == successor || m.up.Load() })
	if blankFirst {
		late = append([]*machine{successor}, late...)
	} else {
		late = append(late, successor)
	}
	for _, m := range late {
		c.start(m)
		for range 10 {
			c.tick(50 * time.Millisecond)
		}
	}
	if !c.heal(12 * time.Second) {
		c.fail("no primary with a backup leads 12 s after all machines are back")
	}
	c.check()
	c.acknowledge()
}

// TestAcknowledgedWritesSurviveALostDiskDuringATakeover guards against an acknowledged configuration
// that is gone with one disk: a new primary dropped the other intact replica before it had a backup.
func TestAcknowledgedWritesSurviveALostDiskDuringATakeover(t *testing.T) {
	for _, first := range [][]int{{0, 1}, {1, 0}, {0, 2}, {2, 0}, {1, 2}, {0, 1, 2}, {2, 1, 0}} {
		for _, moment := range lossMoments {
			for _, write := range []unacknowledgedWrite{nowhere, onPrimaryOnly, onBackupOnly} {
				for _, blankFirst := range []bool{false, true} {
					t.Run(fmt.Sprintf("%v return, lost %s, %s, blank machine first %v", first, moment, write, blankFirst), func(t *testing.T) {
						playTakeoverWithLostDisk(t, first, moment, write, blankFirst)
					})
				}
			}
		}
	}
}

// TestOldPrimaryStaysInSyncAfterATransfer guards against the same loss after a transfer of leadership:
// the successor's disk is lost before the successor has a backup, and the old primary must lead again.
func TestOldPrimaryStaysInSyncAfterATransfer(t *testing.T) {
	for _, moment := range lossMoments {
		t.Run(string(moment), func(t *testing.T) {
			c := newCluster(t, 12)
			c.noFaults.Store(true)
			if !c.heal(10 * time.Second) {
				c.fail("no core was formed")
			}
			leader := c.acknowledge()
			if !leader.coordinator.transferLeadership(leader.coordinator.Membership()) || leader.store.Leading() {
				c.fail("the primary did not transfer its leadership")
			}
			successor := c.loseNewPrimary(moment)
			for range 40 {
				c.tick(50 * time.Millisecond)
			}
			c.start(successor)
			if !c.heal(12 * time.Second) {
				c.fail("no primary with a backup leads 12 s after all machines are back")
			}
			c.acknowledge()
		})
	}
}

// TestNewPrimaryShowsNothingBeforeABackupHasIt guards against a state that is shown and then gone with
// one disk: the primary returns alone with a write that was never acknowledged, and may show it only
// once it is on a second disk.
func TestNewPrimaryShowsNothingBeforeABackupHasIt(t *testing.T) {
	c := newCluster(t, 13)
	c.noFaults.Store(true)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	c.acknowledge()
	leader, backup, third := c.roles()
	c.writeInFlight(leader, backup, onPrimaryOnly)
	for _, m := range c.machines {
		c.crash(m)
	}
	c.advance(250 * time.Millisecond)
	third.replicaDisk.failing = true
	c.start(third)
	c.start(leader)
	for range 100 {
		c.tick(50 * time.Millisecond)
		if leader.store.View() != nil {
			c.fail("the new primary shows a state that only its disk has")
		}
	}
	if !leader.store.Leading() {
		c.fail("the old primary does not lead again")
	}
	third.replicaDisk.mutex.Lock()
	third.replicaDisk.failing = false
	third.replicaDisk.mutex.Unlock()
	if !c.heal(12 * time.Second) {
		c.fail("no primary with a backup leads 12 s after the disk recovered")
	}
	c.acknowledge()
}

// loseDiskDuringInstallation stops a primary that sends a snapshot, with the loss of its disk, at one in
// three of the installations that follow.
func (c *cluster) loseDiskDuringInstallation() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.beforeInstall = func(from string) {
		if m, store := c.machineAt(from); m != nil && m.up.Load() && store.Leading() && c.random.IntN(3) == 0 {
			c.crashNow(m, true)
		}
	}
}

// restartAllAndLoseOneDisk kills all machines of a complete core at once, starts them again in random
// order, and loses the disk of one of them: the new primary's during an installation, or any at a random
// moment of the returns.
func (c *cluster) restartAllAndLoseOneDisk() {
	c.lossesLeft, c.lostSpares = c.tolerated, nil
	if c.random.IntN(2) == 0 {
		c.loseDiskDuringInstallation()
	}
	for _, m := range c.machines {
		c.crash(m)
	}
	c.advance(time.Duration(c.random.IntN(1200)) * time.Millisecond)
	lossAt, pending := c.random.IntN(40), c.random.Perm(len(c.machines))
	for i := range 60 {
		if len(pending) > 0 && c.random.IntN(4) == 0 {
			if m := c.machines[pending[0]]; !m.up.Load() {
				c.start(m)
			}
			pending = pending[1:]
		}
		if i == lossAt {
			lost := c.randomMachine()
			if c.wipe(lost) {
				pending = append(pending, slices.Index(c.machines, lost))
			}
		}
		c.tick(time.Duration(10+c.random.IntN(60)) * time.Millisecond)
		if leader := c.leader(); leader != nil {
			c.write(leader)
			c.check()
		}
	}
	c.mutex.Lock()
	c.beforeInstall = nil
	c.mutex.Unlock()
}

// TestAcceptedWritesSurviveWhenAllRestartAndOneDiskIsLost combines the faults of step with kills of all
// machines at once, of which one loses its disk while they return: the core must become complete again and
// show every write that was acknowledged or shown.
func TestAcceptedWritesSurviveWhenAllRestartAndOneDiskIsLost(t *testing.T) {
	acknowledgedWrites := 0
	for seed := range simulatedSeeds(60) {
		c := newCluster(t, 2_000_000+seed)
		for round := range 8 {
			if !c.heal(20 * time.Second) {
				c.fail("seed %d: the core is not complete in round %d", seed, round)
			}
			c.restartAllAndLoseOneDisk()
			if !c.heal(20 * time.Second) {
				c.fail("seed %d: the core is not complete after the restart of round %d", seed, round)
			}
			for range 10 + c.random.IntN(40) {
				c.step()
			}
		}
		acknowledgedWrites += c.acknowledgedWrites
	}
	t.Logf("%d writes were acknowledged", acknowledgedWrites)
	if acknowledgedWrites < 1000 {
		t.Fatalf("got %d acknowledged writes, want 1000 at least for a meaningful test", acknowledgedWrites)
	}
}
