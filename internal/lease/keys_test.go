package lease

import (
	"testing"
	"time"
)

// TestSuccessorWaitsPastTheOldLease lets a holder vanish and wants the next one
// to be named only three seconds after everything the old one may still do.
func TestSuccessorWaitsPastTheOldLease(t *testing.T) {
	terms := DefaultTerms()
	start := time.Unix(1000, 0)
	keys := NewKeys(terms)
	wanted := []string{ServerKey("stove-1")}
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	grants := keys.Vacant(start, wanted, nil, live)
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
	free := renewed.Add(terms.Lease + 3*time.Second)
	if early := keys.Vacant(free, wanted, recorded, live); len(early) != 0 {
		t.Errorf("a successor was named within three seconds of the old hold: %v", early)
	}
	if late := keys.Vacant(free.Add(time.Second), wanted, recorded, live); len(late) != 1 || late[0].Holder == role.Holder {
		t.Errorf("no successor was named: %v", late)
	}
	// A new primary knows nothing of renewals and waits from its own start.
	again := NewKeys(terms)
	again.Vacant(free, wanted, recorded, live)
	if early := again.Vacant(free.Add(terms.Lease+3*time.Second), wanted, recorded, live); len(early) != 0 {
		t.Errorf("a new primary cut the old one's hold short: %v", early)
	}
}

// TestGrantIsNotRepeatedBeforeItsHolderHasAsked: a key that was given lies with
// its holder until the hold that it might take has run out.
func TestGrantIsNotRepeatedBeforeItsHolderHasAsked(t *testing.T) {
	terms := DefaultTerms()
	keys := NewKeys(terms)
	now := time.Unix(1000, 0)
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	grants := keys.Vacant(now, []string{PartsKey}, nil, live)
	recorded := map[string]Role{PartsKey: {Key: PartsKey, Holder: grants[0].Holder, FencingToken: 1}}
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		if again := keys.Vacant(now, []string{PartsKey}, recorded, live); len(again) != 0 {
			t.Fatalf("given again: %v", again)
		}
	}
	if late := keys.Vacant(now.Add(terms.Lease+terms.Drift+terms.Rest), []string{PartsKey}, recorded, live); len(late) != 1 {
		t.Errorf("a key that nobody took is lost: %v", late)
	}
}

// TestLaggingHonoursTheOldPrimarysHolds wants a change to wait for routers
// that only the old primary has spoken with.
func TestLaggingHonoursTheOldPrimarysHolds(t *testing.T) {
	start := time.Unix(1000, 0)
	holds := NewGrants(DefaultTerms(), start)
	recorded := []string{"a", "b", "c"}
	now := start.Add(time.Second)
	holds.Grant(now, "a", 7)
	holds.Grant(now, "b", 6)
	if lagging := holds.Lagging(now, 7, recorded); len(lagging) != 2 || lagging[0] != "b" || lagging[1] != "c" {
		t.Errorf("lagging: %v", lagging)
	}
	holds.Note(now, "b", 7)
	holds.Note(now, "c", 5)
	if lagging := holds.Lagging(now, 7, recorded); len(lagging) != 1 || lagging[0] != "c" {
		t.Errorf("lagging: %v", lagging)
	}
	if lagging := holds.Lagging(start.Add(5*time.Second), 7, recorded); len(lagging) != 0 {
		t.Errorf("a hold that ran out is still waited for: %v", lagging)
	}
}

// TestHolderIsNotRenewedOnceItsKeyIsGivenAway brings the old holder back between
// the choice of the next one and its record: it must not command any more.
func TestHolderIsNotRenewedOnceItsKeyIsGivenAway(t *testing.T) {
	terms := DefaultTerms()
	keys := NewKeys(terms)
	noon := time.Unix(1000, 0)
	key := ServerKey("stove-1")
	recorded := map[string]Role{key: {Key: key, Holder: "courier-1", FencingToken: 4}}
	both := map[string]time.Duration{"courier-1": time.Minute}
	if len(keys.Renew(noon, "courier-1", recorded, both)) != 1 {
		t.Fatal("the holder was not renewed at first")
	}
	late := noon.Add(terms.Lease + terms.Drift + terms.Rest)
	if grants := keys.Vacant(late, []string{key}, recorded, map[string]time.Duration{"courier-2": time.Minute}); len(grants) != 1 {
		t.Fatalf("the key was not given to the next: %v", grants)
	}
	// Nobody has been live for long: whoever holds may go on, as far as settling
	// goes.
	both = map[string]time.Duration{"courier-1": time.Second, "courier-2": time.Second}
	for name := range both {
		if renewed := keys.Renew(late.Add(time.Second), name, recorded, both); len(renewed) != 0 {
			t.Errorf("%s may command while the key is on its way: %v", name, renewed)
		}
	}
	if again := keys.Vacant(late.Add(2*time.Second), []string{key}, recorded, both); len(again) != 1 {
		t.Errorf("a grant that got lost is not made again: %v", again)
	}
}
