package lease

import (
	"slices"
	"testing"
	"time"
)

// TestLaggingSeenWithinCountsOnlyWhoIsHeard wants a change to wait for those who asked a moment
// ago, and no longer for one that has gone silent, though its lease runs.
func TestLaggingSeenWithinCountsOnlyWhoIsHeard(t *testing.T) {
	start := time.Unix(1000, 0)
	leases := NewRouterLeases(DefaultTiming(), start)
	leases.Grant(start, "a", 7)
	leases.Grant(start, "b", 7)
	now := start.Add(900 * time.Millisecond)
	leases.Acknowledge(now, "a", 7)
	if behind := leases.LaggingSeenWithin(now, 8, time.Second); !slices.Equal(behind, []string{"a", "b"}) {
		t.Errorf("behind: %v", behind)
	}
	now = now.Add(200 * time.Millisecond)
	if behind := leases.LaggingSeenWithin(now, 8, time.Second); !slices.Equal(behind, []string{"a"}) {
		t.Errorf("behind: %v", behind)
	}
	if lagging := leases.Lagging(now, 8, nil); len(lagging) != 2 {
		t.Errorf("a lease that runs is not waited for: %v", lagging)
	}
	leases.Acknowledge(now, "a", 8)
	if behind := leases.LaggingSeenWithin(now, 8, time.Second); len(behind) != 0 {
		t.Errorf("behind: %v", behind)
	}
	if heard := leases.SeenWithin(now, time.Second); !slices.Equal(heard, []string{"a"}) {
		t.Errorf("heard: %v", heard)
	}
	if heard := leases.SeenWithin(now, time.Minute); len(heard) != 2 {
		t.Errorf("heard: %v", heard)
	}
}
