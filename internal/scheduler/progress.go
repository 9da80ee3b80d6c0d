package scheduler

import (
	"sync/atomic"
	"time"
)

// progress tells how long a server has brought about none of the things that this
// courier waits for there.
type progress struct {
	pending atomic.Int64
	since   atomic.Int64
}

// wait counts one thing more that is waited for.
func (progress *progress) wait(now time.Time) {
	if progress.pending.Add(1) == 1 {
		progress.since.Store(now.UnixNano())
	}
}

// come counts one that came: the server moves.
func (progress *progress) come(now time.Time) {
	progress.pending.Add(-1)
	progress.since.Store(now.UnixNano())
}

// leave counts one that is waited for no longer without having come.
func (progress *progress) leave() { progress.pending.Add(-1) }

// stuck is how long nothing came, in milliseconds.
func (progress *progress) stuck(now time.Time) float64 {
	if progress.pending.Load() <= 0 {
		return 0
	}
	return max(0, milliseconds(time.Duration(now.UnixNano()-progress.since.Load())))
}
