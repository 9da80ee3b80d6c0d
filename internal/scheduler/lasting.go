package scheduler

import (
	"sync/atomic"
	"time"
)

// lasting is how long runs of a service last, as a moving mean.
type lasting struct{ nanoseconds atomic.Int64 }

// firstLasting is the guess before any run ended.
const firstLasting = 500 * time.Millisecond

func (lasting *lasting) mean() time.Duration {
	if known := lasting.nanoseconds.Load(); known > 0 {
		return time.Duration(known)
	}
	return firstLasting
}

func (lasting *lasting) note(took time.Duration) {
	for {
		stored := lasting.nanoseconds.Load()
		known := stored
		if known <= 0 {
			known = int64(firstLasting)
		}
		next := max(known+(int64(took)-known)/32, 1)
		if lasting.nanoseconds.CompareAndSwap(stored, next) {
			return
		}
	}
}
