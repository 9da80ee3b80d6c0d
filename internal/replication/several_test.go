package replication

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// twoLossShapes lists the cores of the tests for two losses: six machines in three zones, and eight
// in four.
var twoLossShapes = []struct{ machines, zones int }{{6, 3}, {8, 4}}

// simulatedSeeds returns the number of random seeds to run: SEAMLOOM_SEEDS if it is set, else the
// default.
func simulatedSeeds(defaultSeeds uint64) uint64 {
	if seeds, err := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); err == nil {
		return seeds
	}
	return defaultSeeds
}

// randomMachine returns a random machine.
func (c *cluster) randomMachine() *machine { return c.machines[c.random.IntN(len(c.machines))] }

// wipe crashes a machine, replaces its disk by a blank one, and returns true. If the core has already
// lost as many disks as it tolerates since it last recovered, wipe does nothing and returns false.
func (c *cluster) wipe(m *machine) bool {
	if c.recovered() {
		c.lossesLeft = c.tolerated
		c.lostSpares = nil
	}
	if c.lossesLeft == 0 {
		return false
	}
	c.recordLoss(m)
	c.mutex.Lock()
	m.up.Store(false)
	c.mutex.Unlock()
	m.witnessDisk = newMemoryStorage()
	c.logf("%s loses its disk", m.address)
	return true
}

// recovered reports whether the core is complete and its primary has noticed the loss of all spares.
// A core is complete without its spares, but a primary that has not noticed the loss of one may still
// make it a witness in place of a machine that does not respond. The loss counts until then.
func (c *cluster) recovered() bool {
	leader := c.completeLeader()
	if leader == nil {
		return false
	}
	for _, identity := range c.lostSpares {
		if _, alive := leader.coordinator.alive(identity, responseFreshness); alive {
			return false
		}
	}
	return true
}

// recordLoss counts the loss of a machine's disk. The machine is a spare if the newest membership does
// not name it.
func (c *cluster) recordLoss(lost *machine) {
	c.lossesLeft--
	c.wiped++
	newest := lost.witness.Membership()
	for _, m := range c.machines {
		if membership := m.witness.Membership(); membership.Epoch > newest.Epoch {
			newest = membership
		}
	}
	identity := lost.witness.Replica().Identity
	if !newest.HasVoter(identity) && !newest.InSync(identity) {
		c.lostSpares = append(c.lostSpares, identity)
	}
}

// injectMultiLossFault may inject one of the faults that only a core that tolerates several losses
// survives, in addition to the faults of step.
func (c *cluster) injectMultiLossFault() {
	switch c.random.IntN(60) {
	case 0:
		// Two disks are lost at once, right after the last acknowledgement.
		c.wipe(c.randomMachine())
		c.wipe(c.randomMachine())
	case 1:
		c.wipe(c.randomMachine())
	case 2:
		// A zone loses its power, and in half of the cases its disks.
		zone := c.randomMachine().zone
		disksLost := c.random.IntN(2) == 0
		for _, m := range c.machines {
			if m.zone == zone && m.up.Load() {
				if !disksLost || !c.wipe(m) {
					c.crash(m)
				}
			}
		}
	case 3:
		c.restartEverything(c.random.IntN(3))
	case 4:
		// A zone is cut off, in one direction or both.
		cutZone := c.randomMachine().zone
		direction := c.random.IntN(3)
		c.mutex.Lock()
		for _, from := range c.machines {
			for _, to := range c.machines {
				if from.zone == cutZone && to.zone != cutZone && direction != 1 {
					c.cutLinks[from.address+">"+to.address] = true
				}
				if from.zone != cutZone && to.zone == cutZone && direction != 0 {
					c.cutLinks[from.address+">"+to.address] = true
				}
			}
		}
		c.mutex.Unlock()
		c.logf("%s is cut off", cutZone)
	case 5:
		c.replace()
	}
}

// restartEverything wipes some disks, crashes all machines and starts them again.
func (c *cluster) restartEverything(wiped int) {
	for range wiped {
		c.wipe(c.randomMachine())
	}
	for _, m := range c.machines {
		if m.up.Load() {
			c.crash(m)
		}
	}
	c.advance(time.Duration(200+c.random.IntN(800)) * time.Millisecond)
	for _, m := range c.machines {
		c.start(m)
	}
}

// replace replaces a machine by a blank one at a new address, and sets other seed addresses on all
// machines.
func (c *cluster) replace() {
	position := c.random.IntN(len(c.machines))
	old := c.machines[position]
	if !c.wipe(old) {
		return
	}
	c.joined++
	added := &machine{
		address:     "n" + strconv.Itoa(c.joined),
		zone:        old.zone,
		witnessDisk: newMemoryStorage(),
		replicaDisk: newMemoryStorage(),
	}
	c.mutex.Lock()
	c.machines = append(append([]*machine{}, c.machines...), added)
	c.machines = append(c.machines[:position:position], c.machines[position+1:]...)
	c.mutex.Unlock()
	c.seeds, c.joinOnly = nil, true
	for _, m := range c.machines[c.random.IntN(len(c.machines)-3):][:3] {
		c.seeds = append(c.seeds, m.address)
	}
	for _, m := range c.machines {
		if m != added {
			m.coordinator.SetSeeds(c.seeds)
		}
	}
	c.logf("%s is replaced by %s, seeds %v", old.address, added.address, c.seeds)
	c.start(added)
}

// seedGroups is the number of groups into which the random seeds are divided. The groups run in
// parallel.
const seedGroups = 4

// TestTwoLossesAtOnce injects faults into cores that tolerate two losses: lost disks (two at once, or
// one while the other is being replaced), zones that are lost or cut off, power losses of all
// machines, replaced machines, and all faults that the cores of three machines get.
func TestTwoLossesAtOnce(t *testing.T) {
	for _, shape := range twoLossShapes {
		for group := range uint64(seedGroups) {
			t.Run(strconv.Itoa(shape.machines)+"/"+strconv.FormatUint(group, 10), func(t *testing.T) {
				t.Parallel()
				acknowledgedWrites, wiped := 0, 0
				for seed := group; seed < simulatedSeeds(24); seed += seedGroups {
					c := newClusterOf(t, seed, shape.machines, shape.zones, 2)
					c.runWithLosses(seed)
					acknowledgedWrites, wiped = acknowledgedWrites+c.acknowledgedWrites, wiped+c.wiped
				}
				t.Logf("%d writes were acknowledged, disks were lost %d times", acknowledgedWrites, wiped)
			})
		}
	}
}

// runWithLosses runs 400 steps with random faults. The core must become complete again whenever the
// faults end.
func (c *cluster) runWithLosses(seed uint64) {
	for step := range 400 {
		if step%40 == 0 && !c.heal(30*time.Second) {
			c.fail("seed %d: the core did not become complete", seed)
		}
		c.step()
		c.injectMultiLossFault()
		c.check()
	}
	if !c.heal(30 * time.Second) {
		c.fail("seed %d: the core is not complete again", seed)
	}
}

// TestLossesOfSparesCountUntilThePrimaryNotices wipes two spares of a core that tolerates two losses:
// no third disk may be lost until the primary has noticed both, after which the core must survive two
// more.
func TestLossesOfSparesCountUntilThePrimaryNotices(t *testing.T) {
	c := newClusterOf(t, 1, 8, 4, 2)
	c.noFaults.Store(true)
	if !c.heal(30 * time.Second) {
		t.Fatal("no core was formed")
	}
	var members, spares []*machine
	membership := c.completeLeader().coordinator.Membership()
	for _, m := range c.machines {
		identity := m.witness.Replica().Identity
		if membership.HasVoter(identity) || membership.InSync(identity) {
			members = append(members, m)
		} else {
			spares = append(spares, m)
		}
	}
	if !c.wipe(spares[0]) || !c.wipe(spares[1]) {
		t.Fatal("got less than two losses of a complete core, want two")
	}
	if c.wipe(members[0]) {
		t.Fatal("got a third loss before the primary has noticed the others, want two losses")
	}
	for range 10 {
		c.tick(100 * time.Millisecond)
	}
	if !c.wipe(members[0]) || !c.wipe(members[1]) {
		t.Fatal("got less than two losses after the primary has noticed the first two, want two")
	}
	if !c.heal(30 * time.Second) {
		t.Fatal("the core is not complete again after two more losses")
	}
}

// acknowledge submits changes until the primary acknowledges one, and returns the primary.
func (c *cluster) acknowledge() *machine {
	before := c.acknowledgedWrites
	for range 100 {
		if leader := c.completeLeader(); leader != nil {
			c.write(leader)
			if c.acknowledgedWrites > before {
				return leader
			}
		}
		c.tick(100 * time.Millisecond)
	}
	c.fail("no change was acknowledged")
	return nil
}

// tick advances the time and ticks all running machines.
func (c *cluster) tick(length time.Duration) {
	c.wipeLostDisks()
	c.advance(length)
	for _, m := range c.machines {
		if m.up.Load() && !m.frozen {
			m.coordinator.Tick()
			c.check()
		}
	}
}

// machinePairs returns the positions of every pair of machines.
func (c *cluster) machinePairs() [][]int {
	var pairs [][]int
	for first := range c.machines {
		for second := range first {
			pairs = append(pairs, []int{second, first})
		}
	}
	return pairs
}

// TestEveryPairOfDisksLost wipes each pair of disks right after an acknowledgement, while the other
// machines keep running or crash, too. Some pairs are the two machines of a zone. The core must become
// complete again with the acknowledged change.
func TestEveryPairOfDisksLost(t *testing.T) {
	for _, shape := range twoLossShapes {
		for seed := range simulatedSeeds(2) {
			for _, othersCrash := range []bool{false, true} {
				for _, pair := range newClusterOf(t, seed, shape.machines, shape.zones, 2).machinePairs() {
					c := newClusterOf(t, seed, shape.machines, shape.zones, 2)
					c.noFaults.Store(true)
					if !c.heal(15 * time.Second) {
						c.fail("no core was formed")
					}
					for range 2 + seed%5 {
						c.acknowledge()
					}
					for _, position := range pair {
						if !c.wipe(c.machines[position]) {
							c.fail("the core was not complete before the loss")
						}
					}
					for _, m := range c.machines {
						if m.up.Load() && othersCrash {
							c.crash(m)
						}
					}
					c.advance(time.Second)
					for range 200 {
						// The wiped machines return later than the others.
						for _, m := range c.machines {
							if !m.up.Load() && !containsMachine(c.machines, pair, m) {
								c.start(m)
							}
						}
						c.tick(100 * time.Millisecond)
						if c.leader() != nil {
							break
						}
					}
					if c.leader() == nil {
						c.fail("no machine leads after the loss of machines %v (the others crashed: %v)", pair, othersCrash)
					}
					if !c.heal(30 * time.Second) {
						c.fail("the core is not complete again after the loss of machines %v (the others crashed: %v)", pair, othersCrash)
					}
					c.acknowledge()
				}
			}
		}
	}
}

// leader returns the machine that has the lease, or nil.
func (c *cluster) leader() *machine {
	for _, m := range c.machines {
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

// TestCoreToleratingOneLossFailsAfterTwo shows that TestEveryPairOfDisksLost can fail: a core that
// tolerates one loss does not survive two.
func TestCoreToleratingOneLossFailsAfterTwo(t *testing.T) {
	c := newClusterOf(t, 1, 6, 3, 1)
	c.noFaults.Store(true)
	if !c.heal(15 * time.Second) {
		c.fail("no core was formed")
	}
	leader := c.acknowledge()
	backup := leader.coordinator.Membership().Backup.Identity
	for _, m := range c.machines {
		if m == leader || m.witness.Replica().Identity == backup {
			c.crash(m)
			m.witnessDisk = newMemoryStorage()
		}
	}
	for range 100 {
		c.tick(100 * time.Millisecond)
	}
	if c.leader() != nil {
		c.fail("a machine leads without any replica in sync")
	}
}

// TestSecondLossInTheMiddleOfATakeover loses the primary's disk right after an acknowledgement, and
// then the successor's disk, once the successor has been granted its epoch and sends its first
// snapshot. The third replica must still count as in sync.
func TestSecondLossInTheMiddleOfATakeover(t *testing.T) {
	for _, shape := range twoLossShapes {
		c := newClusterOf(t, 1, shape.machines, shape.zones, 2)
		c.noFaults.Store(true)
		if !c.heal(15 * time.Second) {
			c.fail("no core was formed")
		}
		leader := c.acknowledge()
		c.wipe(leader)
		// Snapshots are installed by several goroutines at once.
		var successorLost atomic.Bool
		c.mutex.Lock()
		c.beforeInstall = func(from string) {
			if m, store := c.machineAt(from); m != nil && store.Leading() && successorLost.CompareAndSwap(false, true) {
				c.crashNow(m, true)
			}
		}
		c.mutex.Unlock()
		for range 100 {
			c.tick(100 * time.Millisecond)
		}
		if !successorLost.Load() || c.leader() == nil {
			c.fail("no machine leads, or the successor was not crashed (crashed: %v)", successorLost.Load())
		}
		if !c.heal(30 * time.Second) {
			c.fail("the core is not complete again")
		}
		c.acknowledge()
	}
}
