package replication

import (
	"os"
	"strconv"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// restartAll stops all machines at the same time and starts them again in random order, with some
// time in between.
func (c *cluster) restartAll() {
	for _, m := range c.machines {
		if m.up.Load() {
			c.crash(m)
		}
	}
	c.advance(time.Duration(c.random.IntN(1200)) * time.Millisecond)
	for _, position := range c.random.Perm(len(c.machines)) {
		m := c.machines[position]
		c.start(m)
		c.advance(time.Duration(c.random.IntN(300)) * time.Millisecond)
		for _, other := range c.machines {
			if other.up.Load() && !other.frozen {
				other.coordinator.Tick()
				c.check()
			}
		}
	}
}

// TestPrimaryLeadsAgainSoonAfterAllRestarted stops all processes at once, as a power loss does. Only
// the old primary can have had a lease, so its restarted process may get a new lease at once.
func TestPrimaryLeadsAgainSoonAfterAllRestarted(t *testing.T) {
	c := newCluster(t, 7)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	c.noFaults.Store(true)
	leader := c.completeLeader()
	c.write(leader)
	for _, m := range c.machines {
		c.crash(m)
	}
	c.advance(400 * time.Millisecond)
	for _, m := range c.machines {
		c.start(m)
	}
	began := c.clock()
	for c.completeLeader() == nil {
		for _, m := range c.machines {
			m.coordinator.Tick()
			c.check()
		}
		if c.clock().Sub(began) > 500*time.Millisecond {
			c.fail("no primary with a backup leads %v after all have started", c.clock().Sub(began))
		}
		c.advance(100 * time.Millisecond)
	}
	if c.completeLeader() != leader {
		c.fail("got another primary than before the restart")
	}
}

// TestOtherReplicaWaitsForTheLeaseAfterAllRestarted restarts all controllers but the primary, whose
// links are cut. The others can't know whether it still runs: they must wait until its lease has
// ended.
func TestOtherReplicaWaitsForTheLeaseAfterAllRestarted(t *testing.T) {
	c := newCluster(t, 8)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	leader := c.completeLeader()
	var others []*machine
	for _, m := range c.machines {
		if m != leader {
			c.crash(m)
			c.start(m)
			others = append(others, m)
		}
		c.cutLinks[leader.address+">"+m.address], c.cutLinks[m.address+">"+leader.address] = true, true
	}
	began := c.clock()
	for {
		for _, m := range others {
			m.coordinator.Tick()
			c.check()
			if !m.coordinator.HasLease() {
				continue
			}
			if after := c.clock().Sub(began); after < PrimaryLease {
				c.fail("%s leads %v after it started, before the old lease has ended", m.address, after)
			}
			return
		}
		if c.clock().Sub(began) > 2*PrimaryLease {
			c.fail("no machine leads")
		}
		c.advance(100 * time.Millisecond)
	}
}

// TestWitnessRenewsOnlyTheMembershipOnItsDisk checks that a witness that missed the grant of a
// membership accepts that membership before it renews the primary's lease. Otherwise the witness would
// not know after a restart to whom it had granted a lease, because it learns this only from its disk.
func TestWitnessRenewsOnlyTheMembershipOnItsDisk(t *testing.T) {
	now := time.Unix(1000, 0)
	storage := newMemoryStorage()
	witness, _, err := OpenWitness(now, storage, Replica{Address: "c"}, "c")
	if err != nil {
		t.Fatal(err)
	}
	replicas := []Replica{{Identity: "a"}, {Identity: "b"}, witness.Replica()}
	old := Membership{Epoch: 4, Primary: replicas[0], Backup: replicas[1], Witnesses: replicas}
	if response, err := witness.Accept(now, old); err != nil || !response.Granted {
		t.Fatalf("Accept: got %+v, %v, want granted", response, err)
	}
	if response := witness.RenewLease(now, 5, "b"); response.Granted || response.Refusal != failure.Behind {
		t.Errorf("renewal under an unknown membership: got %+v, want Behind", response)
	}
	next := Membership{Epoch: 5, Primary: replicas[1], Witnesses: replicas}
	if response, err := witness.Accept(now, next); err != nil || !response.Granted {
		t.Fatalf("Accept: got %+v, %v, want granted", response, err)
	}
	if vote := witness.RenewLease(now, 5, "b"); !vote.Granted {
		t.Errorf("renewal under the accepted membership: got %+v, want granted", vote)
	}
	reopened, _, err := OpenWitness(now.Add(time.Second), storage, Replica{Address: "c"}, "other")
	if err != nil || reopened.LeaseHolder() != "b" {
		t.Fatalf("after the restart: got lease holder %q, error %v, want b", reopened.LeaseHolder(), err)
	}
	if response, err := reopened.Prepare(now.Add(time.Second), 6, "a"); err != nil || response.Refusal != failure.LeaseActive {
		t.Errorf("another candidate: got %+v, %v, want LeaseActive", response, err)
	}
	if response, err := reopened.Prepare(now.Add(time.Second), 6, "b"); err != nil || !response.Granted {
		t.Errorf("the lease holder as candidate: got %+v, %v, want granted", response, err)
	}
}

// TestAcceptedWritesSurviveWhenAllRestart combines the faults of step with restarts of all machines
// at once, and checks both invariants of check after every step.
func TestAcceptedWritesSurviveWhenAllRestart(t *testing.T) {
	seeds := uint64(40)
	if configured, err := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); err == nil {
		seeds = configured
	}
	acknowledgedWrites := 0
	for seed := range seeds {
		c := newCluster(t, 1_000_000+seed)
		if !c.heal(10 * time.Second) {
			c.fail("seed %d: no core was formed", seed)
		}
		for range 12 {
			for range 10 + c.random.IntN(40) {
				c.step()
			}
			c.restartAll()
		}
		if !c.heal(20 * time.Second) {
			c.fail("seed %d: the core is not complete again", seed)
		}
		acknowledgedWrites += c.acknowledgedWrites
	}
	t.Logf("%d writes were acknowledged with %d seeds", acknowledgedWrites, seeds)
	if acknowledgedWrites < 500 {
		t.Fatalf("got %d acknowledged writes with all seeds, want 500 at least for a meaningful test", acknowledgedWrites)
	}
}

// TestWitnessWithHigherPromiseIsReadmitted makes each witness in turn promise an epoch that is
// never granted, while the other two are a quorum without it and respond sooner: the primary must
// propose its membership again under a higher epoch.
func TestWitnessWithHigherPromiseIsReadmitted(t *testing.T) {
	for number := range 3 {
		c := newCluster(t, 9)
		if !c.heal(10 * time.Second) {
			c.fail("no core was formed")
		}
		c.noFaults.Store(true)
		leader, ahead := c.completeLeader(), c.machines[number]
		if err := ahead.witness.ObserveEpoch(leader.coordinator.Membership().Epoch + 20); err != nil {
			t.Fatal(err)
		}
		readmitted := func() bool {
			membership := leader.coordinator.Membership()
			return membership.Epoch > 20 && ahead.witness.Membership().Epoch == membership.Epoch && leader.coordinator.HasLease()
		}
		for began := c.clock(); !readmitted(); c.advance(100 * time.Millisecond) {
			for _, m := range c.machines {
				m.coordinator.Tick()
				c.check()
			}
			if c.clock().Sub(began) > 5*time.Second {
				c.fail("got membership %+v, on %s %+v, want the same one above epoch 20",
					leader.coordinator.Membership(), ahead.address, ahead.witness.Membership())
			}
		}
	}
}
