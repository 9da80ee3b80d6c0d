package replication

import (
	"testing"
	"time"
)

// TestTimingFollowsTheBound wants every bound from 2 s on to leave a margin, and no wait to
// be longer than the default's.
func TestTimingFollowsTheBound(t *testing.T) {
	usual := TimingFor(0)
	if usual.CatchUp != DefaultCatchUp || usual.Lease != PrimaryLease {
		t.Errorf("the default is %+v", usual)
	}
	for _, row := range []struct {
		bound, margin time.Duration
	}{{2 * time.Second, 0}, {3 * time.Second, 400 * time.Millisecond}, {4 * time.Second, 900 * time.Millisecond}, {8 * time.Second, 4 * time.Second}} {
		timing := TimingFor(row.bound)
		if timing.Margin() < row.margin {
			t.Errorf("%v: repaired after %v, a margin of %v", row.bound, timing.RepairTime(), timing.Margin())
		}
		if timing.Lease > usual.Lease || timing.HeartbeatInterval > usual.HeartbeatInterval || timing.WitnessTimeout > maxWitnessTimeout {
			t.Errorf("%v: %+v", row.bound, timing)
		}
		if timing.Lease < 4*timing.HeartbeatInterval || timing.Lease <= 2*leaseDrift {
			t.Errorf("%v: a lease of %v is renewed each %v", row.bound, timing.Lease, timing.HeartbeatInterval)
		}
	}
}

// TestPrimarysLeaseIsNoLongerThanItsWitnesses gives the primary a longer lease than its
// witnesses, as settings that differ would.
func TestPrimarysLeaseIsNoLongerThanItsWitnesses(t *testing.T) {
	w := newCalmCluster(t, coreShapes[0], 6, DefaultCatchUp)
	leader := w.leader()
	short := TimingFor(2 * time.Second)
	for _, m := range w.machines {
		if m != leader {
			m.witness.SetLease(short.Lease)
		}
	}
	leader.coordinator.Tick()
	w.advance(short.Lease)
	if !leader.coordinator.HasLease() {
		return
	}
	// What it holds was given before the witnesses' leases were shortened, at most.
	w.run(time.Second, nil)
	w.advance(short.Lease)
	if leader.coordinator.HasLease() {
		w.fail("the primary holds for longer than its witnesses hold still")
	}
}
