package scheduler

import (
	"sync/atomic"
	"time"
)

// trust keeps a router from a server that failed it, for longer with each failure in
// a row, and lets it try one call at a time before it trusts the server again.
type trust struct {
	failures atomic.Int64
	until    atomic.Int64
	// succeeded is when a call last went well.
	succeeded atomic.Int64
}

// The measures of trust. The values are ours.
const (
	firstShun   = 250 * time.Millisecond
	longestShun = 4 * time.Second
	oftenEnough = 4
)

func (t *trust) fail(now time.Time) {
	f := t.failures.Add(1)
	shun := min(firstShun<<min(f-1, 10), longestShun)
	t.until.Store(now.Add(shun).UnixNano())
}

// failOften counts a failure that may well be another's fault: only several in a row
// make the server doubted.
func (t *trust) failOften(now time.Time) {
	if t.failures.Add(1) >= oftenEnough {
		t.until.Store(now.Add(firstShun).UnixNano())
	}
}

func (t *trust) succeed(now time.Time) {
	t.succeeded.Store(now.UnixNano())
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.until.Store(0)
	}
}

// doubted tells whether a call is better sent elsewhere.
func (t *trust) doubted(now time.Time, underWay int64) bool {
	if t.failures.Load() == 0 {
		return false
	}
	return now.UnixNano() < t.until.Load() || underWay > 0
}
