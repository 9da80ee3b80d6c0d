package lease

import (
	"slices"
	"testing"
	"time"
)

// TestLaggingSeenWithinIgnoresSilentRouters expects a change to wait only for routers that sent a
// request recently, and not for a router that stopped polling, even though its lease is valid.
func TestLaggingSeenWithinIgnoresSilentRouters(t *testing.T) {
	start := time.Unix(1000, 0)
	leases := NewRouterLeases(DefaultTiming(), start)
	leases.Grant(start, "a", 7)
	leases.Grant(start, "b", 7)
	now := start.Add(900 * time.Millisecond)
	leases.Acknowledge(now, "a", 7)
	if seenLagging := leases.LaggingSeenWithin(now, 8, time.Second); !slices.Equal(seenLagging, []string{"a", "b"}) {
		t.Errorf("LaggingSeenWithin when both routers were seen recently: got %v, want [a b]", seenLagging)
	}
	now = now.Add(200 * time.Millisecond)
	if seenLagging := leases.LaggingSeenWithin(now, 8, time.Second); !slices.Equal(seenLagging, []string{"a"}) {
		t.Errorf("LaggingSeenWithin when only router a was seen recently: got %v, want [a]", seenLagging)
	}
	if lagging := leases.Lagging(now, 8, nil); len(lagging) != 2 {
		t.Errorf("Lagging: got %v, want both routers with a valid lease", lagging)
	}
	leases.Acknowledge(now, "a", 8)
	if seenLagging := leases.LaggingSeenWithin(now, 8, time.Second); len(seenLagging) != 0 {
		t.Errorf("LaggingSeenWithin after the acknowledgement of router a: got %v, want none", seenLagging)
	}
	if seen := leases.SeenWithin(now, time.Second); !slices.Equal(seen, []string{"a"}) {
		t.Errorf("SeenWithin one second: got %v, want [a]", seen)
	}
	if seen := leases.SeenWithin(now, time.Minute); len(seen) != 2 {
		t.Errorf("SeenWithin one minute: got %v, want both routers", seen)
	}
}
