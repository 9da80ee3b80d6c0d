//go:build !race

package simulation

import (
	"testing"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// TestCallsInVirtualTime lets days with all faults pass over fleets that serve opaque
// calls as well, by the platform's ways and by the product's own: no call that may run
// once runs twice, no promise is broken, no stream lacks a chunk, and service returns
// after the closing fault.
func TestCallsInVirtualTime(t *testing.T) {
	first, count := seeds(t, 10)
	tempted := map[string]int{}
	for seed := first; seed < first+count; seed++ {
		w := New(fleet.Sahil(), seed)
		ways := Settings{Calls: true}
		if seed%2 == 0 {
			ways = PlatformSettings()
			ways.Calls = true
		}
		w.SetSettings(ways)
		result := w.Run(DefaultDay())
		calls := result.Calls
		t.Logf("seed %d: %d sent, %d complete, %d refused, %d failed, %d broken, %d runs, last %d of %d", seed,
			calls.Sent, calls.Complete, calls.Refused, calls.Failed, calls.Broken, calls.Runs, calls.Returned,
			calls.Last)
		for _, violation := range calls.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		// By the platform's ways a change does not wait for who is out of touch: that
		// rule of the product's own is judged by its own ways.
		if seed%2 == 1 && result.Failed() || !result.Restored || result.TwoPrimaries > 0 {
			t.Errorf("seed %d, whole %v\n%s", seed, result.Restored, result.Verdict)
		}
		if calls.Complete < calls.Sent/2 || calls.Returned < calls.Last/2 {
			t.Errorf("seed %d: only %d of %d calls were complete, of the last %d of %d", seed, calls.Complete,
				calls.Sent, calls.Returned, calls.Last)
		}
		for what, times := range result.Encounters {
			tempted[what] += times
		}
	}
	for _, what := range []string{"a call's memory that could not be had", "a call's answer lost after the work", "a stream of a call that went on elsewhere",
		"a call that began and broke before its first event"} {
		if tempted[what] == 0 && count >= 10 {
			t.Errorf("never occurred: %s", what)
		}
	}
}
