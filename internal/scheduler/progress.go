package scheduler

import (
	"sync/atomic"
	"time"
)

// progress tells how long a server has brought about none of the things that this
// router waits for there.
type progress struct {
	pending atomic.Int64
	since   atomic.Int64
}

// wait counts one thing more that is waited for.
func (p *progress) start(now time.Time) {
	if p.pending.Add(1) == 1 {
		p.since.Store(now.UnixNano())
	}
}

// come counts one that came: the server moves.
func (p *progress) done(now time.Time) {
	p.pending.Add(-1)
	p.since.Store(now.UnixNano())
}

// leave counts one that is waited for no longer without having come.
func (p *progress) cancel() { p.pending.Add(-1) }

// stuck is how long nothing came, in milliseconds.
func (p *progress) stalledFor(now time.Time) float64 {
	if p.pending.Load() <= 0 {
		return 0
	}
	return max(0, milliseconds(time.Duration(now.UnixNano()-p.since.Load())))
}
