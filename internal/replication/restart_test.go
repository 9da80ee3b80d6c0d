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
func (w *world) restartAll() {
	for _, machine := range w.machines {
		if machine.up.Load() {
			w.crash(machine)
		}
	}
	w.advance(time.Duration(w.random.IntN(1200)) * time.Millisecond)
	for _, position := range w.random.Perm(len(w.machines)) {
		machine := w.machines[position]
		w.start(machine)
		w.advance(time.Duration(w.random.IntN(300)) * time.Millisecond)
		for _, other := range w.machines {
			if other.up.Load() && !other.frozen {
				other.steward.Tick()
				w.check()
			}
		}
	}
}

// TestPrimaryLeadsAgainSoonAfterAllRestarted ends all processes at once, as a loss of
// power does. The hold that the primary had is of use to nobody else, and its own next
// life may have it at once.
func TestPrimaryLeadsAgainSoonAfterAllRestarted(t *testing.T) {
	world := newWorld(t, 7)
	if !world.heal(10 * time.Second) {
		world.fail("no core was formed")
	}
	world.calm = true
	leader := world.whole()
	world.write(leader)
	for _, machine := range world.machines {
		world.crash(machine)
	}
	world.advance(400 * time.Millisecond)
	for _, machine := range world.machines {
		world.start(machine)
	}
	begun := world.clock()
	for world.whole() == nil {
		for _, machine := range world.machines {
			machine.steward.Tick()
			world.check()
		}
		if world.clock().Sub(begun) > 500*time.Millisecond {
			world.fail("no pair leads %v after all have started", world.clock().Sub(begun))
		}
		world.advance(100 * time.Millisecond)
	}
	if world.whole() != leader {
		world.fail("another machine leads")
	}
}

// TestOtherCopyWaitsForTheHoldAfterAllRestarted leaves the primary out, which may have
// kept running for all that the others know.
func TestOtherCopyWaitsForTheHoldAfterAllRestarted(t *testing.T) {
	world := newWorld(t, 8)
	if !world.heal(10 * time.Second) {
		world.fail("no core was formed")
	}
	leader := world.whole()
	var others []*machine
	for _, machine := range world.machines {
		if machine != leader {
			world.crash(machine)
			world.start(machine)
			others = append(others, machine)
		}
		world.cut[leader.address+">"+machine.address], world.cut[machine.address+">"+leader.address] = true, true
	}
	begun := world.clock()
	for {
		for _, machine := range others {
			machine.steward.Tick()
			world.check()
			if !machine.steward.Holds() {
				continue
			}
			if after := world.clock().Sub(begun); after < PrimaryHold {
				world.fail("%s leads %v after it started", machine.address, after)
			}
			return
		}
		if world.clock().Sub(begun) > 2*PrimaryHold {
			world.fail("nobody leads")
		}
		world.advance(100 * time.Millisecond)
	}
}

// TestKeeperConfirmsOnlyTheMembershipOnItsDisk wants a keeper that was away when a charter
// was granted to take it down first: after a restart its disk is all that tells whom it
// held still for.
func TestKeeperConfirmsOnlyTheMembershipOnItsDisk(t *testing.T) {
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
	if promise := witness.Confirm(now, 5, "b"); promise.Granted || promise.Refusal != failure.Behind {
		t.Errorf("a hold under an unknown charter: %+v", promise)
	}
	next := Membership{Epoch: 5, Primary: replicas[1], Witnesses: replicas}
	if promise, err := witness.Accept(now, next); err != nil || !promise.Granted {
		t.Fatalf("%+v, %v", promise, err)
	}
	if promise := witness.Confirm(now, 5, "b"); !promise.Granted {
		t.Errorf("no hold: %+v", promise)
	}
	again, _, err := OpenWitness(now.Add(time.Second), storage, Replica{Address: "c"}, "other")
	if err != nil || again.Holder() != "b" {
		t.Fatalf("it holds still for %q, %v", again.Holder(), err)
	}
	if promise, err := again.Prepare(now.Add(time.Second), 6, "a"); err != nil || promise.Refusal != failure.HoldActive {
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
		world := newWorld(t, 1_000_000+seed)
		if !world.heal(10 * time.Second) {
			world.fail("seed %d: no core was formed", seed)
		}
		for range 12 {
			for range 10 + world.random.IntN(40) {
				world.step()
			}
			world.restartAll()
		}
		if !world.heal(20 * time.Second) {
			world.fail("seed %d: the core is not whole again", seed)
		}
		answered += world.answered
	}
	t.Logf("%d writes were accepted in %d worlds", answered, seeds)
	if answered < 500 {
		t.Fatalf("only %d writes were accepted in all worlds: the test shows nothing", answered)
	}
}

// TestKeeperThatPromisedMoreIsTakenInAgain has each keeper in turn promise an epoch that
// nobody used, while the others are a quorum without it and answer sooner.
func TestKeeperThatPromisedMoreIsTakenInAgain(t *testing.T) {
	for number := range 3 {
		world := newWorld(t, 9)
		if !world.heal(10 * time.Second) {
			world.fail("no core was formed")
		}
		world.calm = true
		leader, ahead := world.whole(), world.machines[number]
		if err := ahead.keeper.Learn(leader.steward.Membership().Epoch + 20); err != nil {
			t.Fatal(err)
		}
		takenIn := func() bool {
			membership := leader.steward.Membership()
			return membership.Epoch > 20 && ahead.keeper.Membership().Epoch == membership.Epoch && leader.steward.Holds()
		}
		for begun := world.clock(); !takenIn(); world.advance(100 * time.Millisecond) {
			for _, machine := range world.machines {
				machine.steward.Tick()
				world.check()
			}
			if world.clock().Sub(begun) > 5*time.Second {
				world.fail("the charter is %+v, that of %s %+v", leader.steward.Membership(), ahead.address, ahead.keeper.Membership())
			}
		}
	}
}
