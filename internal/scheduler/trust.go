package scheduler

import (
	"sync/atomic"
	"time"
)

// trust keeps a courier from a server that failed it, for longer with each failure in
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

func (trust *trust) fail(now time.Time) {
	failures := trust.failures.Add(1)
	shun := min(firstShun<<min(failures-1, 10), longestShun)
	trust.until.Store(now.Add(shun).UnixNano())
}

// failOften counts a failure that may well be another's fault: only several in a row
// make the server doubted.
func (trust *trust) failOften(now time.Time) {
	if trust.failures.Add(1) >= oftenEnough {
		trust.until.Store(now.Add(firstShun).UnixNano())
	}
}

func (trust *trust) succeed(now time.Time) {
	trust.succeeded.Store(now.UnixNano())
	if trust.failures.Load() != 0 {
		trust.failures.Store(0)
		trust.until.Store(0)
	}
}

// doubted tells whether a call is better sent elsewhere.
func (trust *trust) doubted(now time.Time, underWay int64) bool {
	if trust.failures.Load() == 0 {
		return false
	}
	return now.UnixNano() < trust.until.Load() || underWay > 0
}
