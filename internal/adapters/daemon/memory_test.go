package daemon

import (
	"runtime/debug"
	"testing"
)

// TestCollectorRunsSeldomOnlyUnderAMemoryLimit wants the heap of a process without a limit not to grow.
func TestCollectorRunsSeldomOnlyUnderAMemoryLimit(t *testing.T) {
	original := debug.SetGCPercent(100)
	t.Cleanup(func() { debug.SetGCPercent(original) })
	for _, row := range []struct{ megabytes, percent int }{{0, 100}, {184, collectorPercent}} {
		CollectSeldom(row.megabytes)
		if percent := debug.SetGCPercent(100); percent != row.percent {
			t.Errorf("%d MB: %d percent, not %d", row.megabytes, percent, row.percent)
		}
	}
}
