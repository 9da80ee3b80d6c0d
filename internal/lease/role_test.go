package lease

import (
	"testing"
	"time"
)

// TestSuccessorWaitsPastTheOldLease removes the holder of a role and expects a successor to be
// assigned only more than three seconds after the old holder's lease has ended.
func TestSuccessorWaitsPastTheOldLease(t *testing.T) {
	timing := DefaultTiming()
	start := time.Unix(1000, 0)
	roles := NewRoleLeases(timing)
	wanted := []string{ServerKey("stove-1")}
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	assignments := roles.Assignments(start, wanted, nil, live)
	if len(assignments) != 1 {
		t.Fatalf("assignments of a role without a holder: got %v, want one", assignments)
	}
	role := assignments[0]
	role.FencingToken = 1
	recorded := map[string]Role{role.Key: role}
	renewed := start.Add(time.Second)
	if renewals := roles.Renew(renewed, role.Holder, recorded, live); len(renewals) != 1 {
		t.Fatalf("roles renewed for the holder: got %v, want one", renewals)
	}
	delete(live, role.Holder)
	tooEarly := renewed.Add(timing.Lease + 3*time.Second)
	if early := roles.Assignments(tooEarly, wanted, recorded, live); len(early) != 0 {
		t.Errorf("a successor was assigned within three seconds after the old lease: %v", early)
	}
	if late := roles.Assignments(tooEarly.Add(time.Second), wanted, recorded, live); len(late) != 1 || late[0].Holder == role.Holder {
		t.Errorf("assignments after the cool-down: got %v, want one with another holder", late)
	}
	// A new primary does not know the renewals and counts from when it first sees the record.
	newPrimary := NewRoleLeases(timing)
	newPrimary.Assignments(tooEarly, wanted, recorded, live)
	if early := newPrimary.Assignments(tooEarly.Add(timing.Lease+3*time.Second), wanted, recorded, live); len(early) != 0 {
		t.Errorf("a new primary reassigned a role whose old lease may still be valid: %v", early)
	}
}

// TestRoleIsNotReassignedBeforeItsLeaseEnds expects an assigned role that was never renewed to
// stay with its holder until a lease that the holder may have obtained has ended.
func TestRoleIsNotReassignedBeforeItsLeaseEnds(t *testing.T) {
	timing := DefaultTiming()
	roles := NewRoleLeases(timing)
	now := time.Unix(1000, 0)
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	assignments := roles.Assignments(now, []string{ServerRolesKey}, nil, live)
	recorded := map[string]Role{ServerRolesKey: {Key: ServerRolesKey, Holder: assignments[0].Holder, FencingToken: 1}}
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		if again := roles.Assignments(now, []string{ServerRolesKey}, recorded, live); len(again) != 0 {
			t.Fatalf("the role was reassigned before the lease ended: %v", again)
		}
	}
	now = now.Add(timing.Lease + timing.Drift + timing.Cooldown)
	if late := roles.Assignments(now, []string{ServerRolesKey}, recorded, live); len(late) != 1 {
		t.Errorf("assignments of a role that was never renewed, after its lease: got %v, want one", late)
	}
}

// TestLaggingHonoursTheOldPrimarysLeases expects a change to wait for routers that may have a
// lease of the old primary and have not polled the new primary.
func TestLaggingHonoursTheOldPrimarysLeases(t *testing.T) {
	start := time.Unix(1000, 0)
	leases := NewRouterLeases(DefaultTiming(), start)
	recorded := []string{"a", "b", "c"}
	now := start.Add(time.Second)
	leases.Grant(now, "a", 7)
	leases.Grant(now, "b", 6)
	if lagging := leases.Lagging(now, 7, recorded); len(lagging) != 2 || lagging[0] != "b" || lagging[1] != "c" {
		t.Errorf("routers that lag behind configuration 7: got %v, want [b c]", lagging)
	}
	leases.Acknowledge(now, "b", 7)
	leases.Acknowledge(now, "c", 5)
	if lagging := leases.Lagging(now, 7, recorded); len(lagging) != 1 || lagging[0] != "c" {
		t.Errorf("routers that lag behind configuration 7 after acknowledgements: got %v, want [c]", lagging)
	}
	if lagging := leases.Lagging(start.Add(5*time.Second), 7, recorded); len(lagging) != 0 {
		t.Errorf("routers that lag behind configuration 7 after all leases ended: got %v, want none", lagging)
	}
}

// TestHolderIsNotRenewedOnceItsRoleIsReassigned lets the old holder poll again after the next
// holder is selected and before the next holder is recorded. The old holder's lease must not be
// renewed: two routers would send commands under the role.
func TestHolderIsNotRenewedOnceItsRoleIsReassigned(t *testing.T) {
	timing := DefaultTiming()
	roles := NewRoleLeases(timing)
	start := time.Unix(1000, 0)
	key := ServerKey("stove-1")
	recorded := map[string]Role{key: {Key: key, Holder: "courier-1", FencingToken: 4}}
	live := map[string]time.Duration{"courier-1": time.Minute}
	if len(roles.Renew(start, "courier-1", recorded, live)) != 1 {
		t.Fatal("the holder was not renewed before its role was reassigned")
	}
	late := start.Add(timing.Lease + timing.Drift + timing.Cooldown)
	if assignments := roles.Assignments(late, []string{key}, recorded,
		map[string]time.Duration{"courier-2": time.Minute}); len(assignments) != 1 {
		t.Fatalf("assignments after the cool-down: got %v, want one", assignments)
	}
	// No router has been live for MinUptime, so no other router is preferred to the holder.
	live = map[string]time.Duration{"courier-1": time.Second, "courier-2": time.Second}
	for name := range live {
		if renewed := roles.Renew(late.Add(time.Second), name, recorded, live); len(renewed) != 0 {
			t.Errorf("%s was renewed while the role is being reassigned: %v", name, renewed)
		}
	}
	if again := roles.Assignments(late.Add(2*time.Second), []string{key}, recorded, live); len(again) != 1 {
		t.Errorf("assignments after the first was not recorded: got %v, want one", again)
	}
}
