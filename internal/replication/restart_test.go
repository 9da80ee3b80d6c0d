package replication

import (
	"os"
	"strconv"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// restartAll ends every machine at the same moment and starts them again, in any
// order and with some time between.
func (w *cluster) restartAll() {
	for _, m := range w.machines {
		if m.up.Load() {
			w.crash(m)
		}
	}
	w.advance(time.Duration(w.random.IntN(1200)) * time.Millisecond)
	for _, position := range w.random.Perm(len(w.machines)) {
		ma := w.machines[position]
		w.start(ma)
		w.advance(time.Duration(w.random.IntN(300)) * time.Millisecond)
		for _, other := range w.machines {
			if other.up.Load() && !other.frozen {
				other.coordinator.Tick()
				w.check()
			}
		}
	}
}

// TestPrimaryLeadsAgainSoonAfterAllRestarted ends all processes at once, as a loss of
// power does. The lease that the primary had is of use to nobody else, and its own next
// life may have it at once.
func TestPrimaryLeadsAgainSoonAfterAllRestarted(t *testing.T) {
	w := newCluster(t, 7)
	if !w.heal(10 * time.Second) {
		w.fail("no core was formed")
	}
	w.noFaults = true
	leader := w.completeLeader()
	w.write(leader)
	for _, m := range w.machines {
		w.crash(m)
	}
	w.advance(400 * time.Millisecond)
	for _, ma := range w.machines {
		w.start(ma)
	}
	begun := w.clock()
	for w.completeLeader() == nil {
		for _, mc := range w.machines {
			mc.coordinator.Tick()
			w.check()
		}
		if w.clock().Sub(begun) > 500*time.Millisecond {
			w.fail("no pair leads %v after all have started", w.clock().Sub(begun))
		}
		w.advance(100 * time.Millisecond)
	}
	if w.completeLeader() != leader {
		w.fail("another machine leads")
	}
}

// TestOtherCopyWaitsForTheLeaseAfterAllRestarted leaves the primary out, which may have
// kept running for all that the others know.
func TestOtherCopyWaitsForTheLeaseAfterAllRestarted(t *testing.T) {
	w := newCluster(t, 8)
	if !w.heal(10 * time.Second) {
		w.fail("no core was formed")
	}
	leader := w.completeLeader()
	var others []*machine
	for _, m := range w.machines {
		if m != leader {
			w.crash(m)
			w.start(m)
			others = append(others, m)
		}
		w.cut[leader.address+">"+m.address], w.cut[m.address+">"+leader.address] = true, true
	}
	begun := w.clock()
	for {
		for _, ma := range others {
			ma.coordinator.Tick()
			w.check()
			if !ma.coordinator.HasLease() {
				continue
			}
			if after := w.clock().Sub(begun); after < PrimaryLease {
				w.fail("%s leads %v after it started", ma.address, after)
			}
			return
		}
		if w.clock().Sub(begun) > 2*PrimaryLease {
			w.fail("nobody leads")
		}
		w.advance(100 * time.Millisecond)
	}
}

// TestWitnessRenewsOnlyTheMembershipOnItsDisk wants a witness that was away when a membership
// was granted to take it down first: after a restart its disk is all that tells whom it
// held still for.
func TestWitnessRenewsOnlyTheMembershipOnItsDisk(t *testing.T) {
	now := time.Unix(1000, 0)
	storage := newMemoryStorage()
	witness, _, err := OpenWitness(now, storage, Replica{Address: "c"}, "c")
	if err != nil {
		t.Fatal(err)
	}
	replicas := []Replica{{Identity: "a"}, {Identity: "b"}, witness.Replica()}
	old := Membership{Epoch: 4, Primary: replicas[0], Backup: replicas[1], Witnesses: replicas}
	if promise, err := witness.Accept(now, old); err != nil || !promise.Granted {
		t.Fatalf("%+v, %v", promise, err)
	}
	if promise := witness.RenewLease(now, 5, "b"); promise.Granted || promise.Refusal != failure.Behind {
		t.Errorf("a hold under an unknown charter: %+v", promise)
	}
	next := Membership{Epoch: 5, Primary: replicas[1], Witnesses: replicas}
	if promise, err := witness.Accept(now, next); err != nil || !promise.Granted {
		t.Fatalf("%+v, %v", promise, err)
	}
	if vote := witness.RenewLease(now, 5, "b"); !vote.Granted {
		t.Errorf("no hold: %+v", vote)
	}
	again, _, err := OpenWitness(now.Add(time.Second), storage, Replica{Address: "c"}, "other")
	if err != nil || again.LeaseHolder() != "b" {
		t.Fatalf("it holds still for %q, %v", again.LeaseHolder(), err)
	}
	if promise, err := again.Prepare(now.Add(time.Second), 6, "a"); err != nil || promise.Refusal != failure.LeaseActive {
		t.Errorf("another candidate: %+v, %v", promise, err)
	}
	if promise, err := again.Prepare(now.Add(time.Second), 6, "b"); err != nil || !promise.Granted {
		t.Errorf("the one that it holds still for: %+v, %v", promise, err)
	}
}

// TestAcceptedWritesSurviveWhenAllRestart mixes the simulated trouble with restarts of
// all machines at once, and holds both rules after every step.
func TestAcceptedWritesSurviveWhenAllRestart(t *testing.T) {
	seeds := uint64(40)
	if asked, err := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); err == nil {
		seeds = asked
	}
	answered := 0
	for seed := range seeds {
		w := newCluster(t, 1_000_000+seed)
		if !w.heal(10 * time.Second) {
			w.fail("seed %d: no core was formed", seed)
		}
		for range 12 {
			for range 10 + w.random.IntN(40) {
				w.step()
			}
			w.restartAll()
		}
		if !w.heal(20 * time.Second) {
			w.fail("seed %d: the core is not whole again", seed)
		}
		answered += w.answered
	}
	t.Logf("%d writes were accepted in %d worlds", answered, seeds)
	if answered < 500 {
		t.Fatalf("only %d writes were accepted in all worlds: the test shows nothing", answered)
	}
}

// TestWitnessThatPromisedMoreIsReadmitted has each witness in turn promise an epoch that
// nobody used, while the others are a quorum without it and answer sooner.
func TestWitnessThatPromisedMoreIsReadmitted(t *testing.T) {
	for number := range 3 {
		w := newCluster(t, 9)
		if !w.heal(10 * time.Second) {
			w.fail("no core was formed")
		}
		w.noFaults = true
		leader, ahead := w.completeLeader(), w.machines[number]
		if err := ahead.witness.ObserveEpoch(leader.coordinator.Membership().Epoch + 20); err != nil {
			t.Fatal(err)
		}
		takenIn := func() bool {
			membership := leader.coordinator.Membership()
			return membership.Epoch > 20 && ahead.witness.Membership().Epoch == membership.Epoch && leader.coordinator.HasLease()
		}
		for begun := w.clock(); !takenIn(); w.advance(100 * time.Millisecond) {
			for _, m := range w.machines {
				m.coordinator.Tick()
				w.check()
			}
			if w.clock().Sub(begun) > 5*time.Second {
				w.fail("the charter is %+v, that of %s %+v", leader.coordinator.Membership(), ahead.address, ahead.witness.Membership())
			}
		}
	}
}
