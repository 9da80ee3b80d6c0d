package lease

import (
	"testing"
	"time"
)

// TestSuccessorWaitsPastTheOldLease lets a holder vanish and wants the next one
// to be named only three seconds after everything the old one may still do.
func TestSuccessorWaitsPastTheOldLease(t *testing.T) {
	timing := DefaultTiming()
	start := time.Unix(1000, 0)
	keys := NewRoleLeases(timing)
	wanted := []string{ServerKey("stove-1")}
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	grants := keys.Assignments(start, wanted, nil, live)
	if len(grants) != 1 {
		t.Fatalf("grants: %v", grants)
	}
	role := grants[0]
	role.FencingToken = 1
	recorded := map[string]Role{role.Key: role}
	renewed := start.Add(time.Second)
	if mine := keys.Renew(renewed, role.Holder, recorded, live); len(mine) != 1 {
		t.Fatalf("the holder was not renewed: %v", mine)
	}
	delete(live, role.Holder)
	free := renewed.Add(timing.Lease + 3*time.Second)
	if early := keys.Assignments(free, wanted, recorded, live); len(early) != 0 {
		t.Errorf("a successor was named within three seconds of the old lease: %v", early)
	}
	if late := keys.Assignments(free.Add(time.Second), wanted, recorded, live); len(late) != 1 || late[0].Holder == role.Holder {
		t.Errorf("no successor was named: %v", late)
	}
	// A new primary knows nothing of renewals and waits from its own start.
	again := NewRoleLeases(timing)
	again.Assignments(free, wanted, recorded, live)
	if early := again.Assignments(free.Add(timing.Lease+3*time.Second), wanted, recorded, live); len(early) != 0 {
		t.Errorf("a new primary cut the old one's lease short: %v", early)
	}
}

// TestRoleIsNotReassignedBeforeItsLeaseEnds wants a role that was assigned to stay with its
// holder until the lease that the holder may take has ended.
func TestRoleIsNotReassignedBeforeItsLeaseEnds(t *testing.T) {
	timing := DefaultTiming()
	keys := NewRoleLeases(timing)
	now := time.Unix(1000, 0)
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	grants := keys.Assignments(now, []string{PartsKey}, nil, live)
	recorded := map[string]Role{PartsKey: {Key: PartsKey, Holder: grants[0].Holder, FencingToken: 1}}
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		if again := keys.Assignments(now, []string{PartsKey}, recorded, live); len(again) != 0 {
			t.Fatalf("given again: %v", again)
		}
	}
	if late := keys.Assignments(now.Add(timing.Lease+timing.Drift+timing.Cooldown), []string{PartsKey}, recorded, live); len(late) != 1 {
		t.Errorf("a role that nobody took is lost: %v", late)
	}
}

// TestLaggingHonoursTheOldPrimarysLeases wants a change to wait for routers
// that only the old primary has spoken with.
func TestLaggingHonoursTheOldPrimarysLeases(t *testing.T) {
	start := time.Unix(1000, 0)
	leases := NewRouterLeases(DefaultTiming(), start)
	recorded := []string{"a", "b", "c"}
	now := start.Add(time.Second)
	leases.Grant(now, "a", 7)
	leases.Grant(now, "b", 6)
	if lagging := leases.Lagging(now, 7, recorded); len(lagging) != 2 || lagging[0] != "b" || lagging[1] != "c" {
		t.Errorf("lagging: %v", lagging)
	}
	leases.Acknowledge(now, "b", 7)
	leases.Acknowledge(now, "c", 5)
	if lagging := leases.Lagging(now, 7, recorded); len(lagging) != 1 || lagging[0] != "c" {
		t.Errorf("lagging: %v", lagging)
	}
	if lagging := leases.Lagging(start.Add(5*time.Second), 7, recorded); len(lagging) != 0 {
		t.Errorf("a lease that ended is still waited for: %v", lagging)
	}
}

// TestHolderIsNotRenewedOnceItsRoleIsReassigned brings the old holder back between
// the choice of the next one and its record: it must not send commands any more.
func TestHolderIsNotRenewedOnceItsRoleIsReassigned(t *testing.T) {
	timing := DefaultTiming()
	keys := NewRoleLeases(timing)
	noon := time.Unix(1000, 0)
	key := ServerKey("stove-1")
	recorded := map[string]Role{key: {Key: key, Holder: "courier-1", FencingToken: 4}}
	both := map[string]time.Duration{"courier-1": time.Minute}
	if len(keys.Renew(noon, "courier-1", recorded, both)) != 1 {
		t.Fatal("the holder was not renewed at first")
	}
	late := noon.Add(timing.Lease + timing.Drift + timing.Cooldown)
	if grants := keys.Assignments(late, []string{key}, recorded, map[string]time.Duration{"courier-2": time.Minute}); len(grants) != 1 {
		t.Fatalf("the key was not given to the next: %v", grants)
	}
	// Nobody has been live for MinUptime, so nobody else is preferred to the holder.
	both = map[string]time.Duration{"courier-1": time.Second, "courier-2": time.Second}
	for name := range both {
		if renewed := keys.Renew(late.Add(time.Second), name, recorded, both); len(renewed) != 0 {
			t.Errorf("%s may send commands while the role is being reassigned: %v", name, renewed)
		}
	}
	if again := keys.Assignments(late.Add(2*time.Second), []string{key}, recorded, both); len(again) != 1 {
		t.Errorf("an assignment that got lost is not made again: %v", again)
	}
}
