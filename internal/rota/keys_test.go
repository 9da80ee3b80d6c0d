package rota

import (
	"testing"
	"time"
)

// TestSuccessorWaitsPastTheOldHold lets a holder vanish and wants the next one
// to be named only three seconds after everything the old one may still do.
func TestSuccessorWaitsPastTheOldHold(test *testing.T) {
	terms := DefaultTerms()
	start := time.Unix(1000, 0)
	keys := NewKeys(terms)
	wanted := []string{ServerKey("stove-1")}
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	grants := keys.Vacant(start, wanted, nil, live)
	if len(grants) != 1 {
		test.Fatalf("grants: %v", grants)
	}
	duty := grants[0]
	duty.Fence = 1
	recorded := map[string]Duty{duty.Key: duty}
	renewed := start.Add(time.Second)
	if mine := keys.Renew(renewed, duty.Holder, recorded, live); len(mine) != 1 {
		test.Fatalf("the holder was not renewed: %v", mine)
	}
	delete(live, duty.Holder)
	free := renewed.Add(terms.Hold + 3*time.Second)
	if early := keys.Vacant(free, wanted, recorded, live); len(early) != 0 {
		test.Errorf("a successor was named within three seconds of the old hold: %v", early)
	}
	if late := keys.Vacant(free.Add(time.Second), wanted, recorded, live); len(late) != 1 || late[0].Holder == duty.Holder {
		test.Errorf("no successor was named: %v", late)
	}
	// A new primary knows nothing of renewals and waits from its own start.
	again := NewKeys(terms)
	again.Vacant(free, wanted, recorded, live)
	if early := again.Vacant(free.Add(terms.Hold+3*time.Second), wanted, recorded, live); len(early) != 0 {
		test.Errorf("a new primary cut the old one's hold short: %v", early)
	}
}

// TestGrantIsNotRepeatedBeforeItsHolderHasAsked: a key that was given lies with
// its holder until the hold that it might take has run out.
func TestGrantIsNotRepeatedBeforeItsHolderHasAsked(test *testing.T) {
	terms := DefaultTerms()
	keys := NewKeys(terms)
	now := time.Unix(1000, 0)
	live := map[string]time.Duration{"a": time.Minute, "b": time.Minute}
	grants := keys.Vacant(now, []string{PartsKey}, nil, live)
	recorded := map[string]Duty{PartsKey: {Key: PartsKey, Holder: grants[0].Holder, Fence: 1}}
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		if again := keys.Vacant(now, []string{PartsKey}, recorded, live); len(again) != 0 {
			test.Fatalf("given again: %v", again)
		}
	}
	if late := keys.Vacant(now.Add(terms.Hold+terms.Drift+terms.Rest), []string{PartsKey}, recorded, live); len(late) != 1 {
		test.Errorf("a key that nobody took is lost: %v", late)
	}
}

// TestLaggingHonoursTheOldPrimarysHolds wants a change to wait for couriers
// that only the old primary has spoken with.
func TestLaggingHonoursTheOldPrimarysHolds(test *testing.T) {
	start := time.Unix(1000, 0)
	holds := NewHolds(DefaultTerms(), start)
	recorded := []string{"a", "b", "c"}
	now := start.Add(time.Second)
	holds.Grant(now, "a", 7)
	holds.Grant(now, "b", 6)
	if lagging := holds.Lagging(now, 7, recorded); len(lagging) != 2 || lagging[0] != "b" || lagging[1] != "c" {
		test.Errorf("lagging: %v", lagging)
	}
	holds.Note(now, "b", 7)
	holds.Note(now, "c", 5)
	if lagging := holds.Lagging(now, 7, recorded); len(lagging) != 1 || lagging[0] != "c" {
		test.Errorf("lagging: %v", lagging)
	}
	if lagging := holds.Lagging(start.Add(5*time.Second), 7, recorded); len(lagging) != 0 {
		test.Errorf("a hold that ran out is still waited for: %v", lagging)
	}
}
