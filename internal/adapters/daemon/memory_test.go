package daemon

import (
	"runtime/debug"
	"testing"
)

// TestReduceGCFrequencyRequiresMemoryLimit guards against a growing heap in a process without a memory
// limit.
func TestReduceGCFrequencyRequiresMemoryLimit(t *testing.T) {
	original := debug.SetGCPercent(100)
	t.Cleanup(func() { debug.SetGCPercent(original) })
	for _, row := range []struct{ megabytes, percent int }{{0, 100}, {184, gcPercent}} {
		ReduceGCFrequency(row.megabytes)
		if percent := debug.SetGCPercent(100); percent != row.percent {
			t.Errorf("limit of %d MB: got a garbage collection percentage of %d, want %d", row.megabytes, percent, row.percent)
		}
	}
}
