package lease

import (
	"slices"
	"testing"
	"time"
)

// TestBehindCountsOnlyWhoIsHeard wants a change to wait for those who asked a moment
// ago, and no longer for one that has gone silent, though its hold runs.
func TestBehindCountsOnlyWhoIsHeard(t *testing.T) {
	start := time.Unix(1000, 0)
	holds := NewGrants(DefaultTerms(), start)
	holds.Grant(start, "a", 7)
	holds.Grant(start, "b", 7)
	now := start.Add(900 * time.Millisecond)
	holds.Note(now, "a", 7)
	if behind := holds.Behind(now, 8, time.Second); !slices.Equal(behind, []string{"a", "b"}) {
		t.Errorf("behind: %v", behind)
	}
	now = now.Add(200 * time.Millisecond)
	if behind := holds.Behind(now, 8, time.Second); !slices.Equal(behind, []string{"a"}) {
		t.Errorf("behind: %v", behind)
	}
	if lagging := holds.Lagging(now, 8, nil); len(lagging) != 2 {
		t.Errorf("a hold that runs is not waited for: %v", lagging)
	}
	holds.Note(now, "a", 8)
	if behind := holds.Behind(now, 8, time.Second); len(behind) != 0 {
		t.Errorf("behind: %v", behind)
	}
	if heard := holds.HeardWithin(now, time.Second); !slices.Equal(heard, []string{"a"}) {
		t.Errorf("heard: %v", heard)
	}
	if heard := holds.HeardWithin(now, time.Minute); len(heard) != 2 {
		t.Errorf("heard: %v", heard)
	}
}
