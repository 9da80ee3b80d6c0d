package scheduler

import (
	"sync/atomic"
	"time"
)

// meanDuration is how long runs of a service last, as a moving mean.
type meanDuration struct{ nanoseconds atomic.Int64 }

// firstLasting is the guess before any run ended.
const firstMean = 500 * time.Millisecond

func (m *meanDuration) mean() time.Duration {
	if known := m.nanoseconds.Load(); known > 0 {
		return time.Duration(known)
	}
	return firstMean
}

func (m *meanDuration) observe(took time.Duration) {
	for {
		stored := m.nanoseconds.Load()
		known := stored
		if known <= 0 {
			known = int64(firstMean)
		}
		next := max(known+(int64(took)-known)/32, 1)
		if m.nanoseconds.CompareAndSwap(stored, next) {
			return
		}
	}
}
