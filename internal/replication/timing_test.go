package replication

import (
	"testing"
	"time"
)

// TestTimingFollowsCatchUp checks for several catch-up times, the shortest 2 s, that a core is
// repaired within the catch-up time with the wanted margin, and that no time-out is longer than its
// default.
func TestTimingFollowsCatchUp(t *testing.T) {
	defaults := TimingFor(0)
	if defaults.CatchUpLimit != DefaultCatchUp || defaults.Lease != PrimaryLease {
		t.Errorf("got defaults %+v, want DefaultCatchUp and PrimaryLease", defaults)
	}
	for _, row := range []struct {
		catchUp, margin time.Duration
	}{
		{2 * time.Second, 0},
		{3 * time.Second, 400 * time.Millisecond},
		{4 * time.Second, 900 * time.Millisecond},
		{8 * time.Second, 4 * time.Second},
	} {
		timing := TimingFor(row.catchUp)
		if timing.Margin() < row.margin {
			t.Errorf("%v: got repair time %v, margin %v, want a margin of %v at least",
				row.catchUp, timing.RepairTime(), timing.Margin(), row.margin)
		}
		if timing.Lease > defaults.Lease || timing.HeartbeatInterval > defaults.HeartbeatInterval || timing.WitnessTimeout > maxWitnessTimeout {
			t.Errorf("%v: got %+v, want no time-out above the default", row.catchUp, timing)
		}
		if timing.Lease < 4*timing.HeartbeatInterval || timing.Lease <= 2*leaseDrift {
			t.Errorf("%v: got lease %v, renewal interval %v, want four intervals in a lease, and more than twice the drift",
				row.catchUp, timing.Lease, timing.HeartbeatInterval)
		}
	}
}

// TestPrimaryLeaseIsNoLongerThanWitnessLeases shortens the leases of the witnesses but not that of
// the primary, as different settings on the controllers would: the primary's own lease must not
// outlast those of its witnesses.
func TestPrimaryLeaseIsNoLongerThanWitnessLeases(t *testing.T) {
	c := newFaultFreeCluster(t, coreShapes[0], 6, DefaultCatchUp)
	leader := c.leader()
	short := TimingFor(2 * time.Second)
	for _, m := range c.machines {
		if m != leader {
			m.witness.SetLease(short.Lease)
		}
	}
	leader.coordinator.Tick()
	c.advance(short.Lease)
	if !leader.coordinator.HasLease() {
		return
	}
	// The primary's lease may have been granted before the witnesses' leases were shortened.
	c.run(time.Second, nil)
	c.advance(short.Lease)
	if leader.coordinator.HasLease() {
		c.fail("the primary's lease outlasts the leases of its witnesses")
	}
}
