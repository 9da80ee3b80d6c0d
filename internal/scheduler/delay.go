package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// delay is how much longer than expected the moves of memory took that a server had a
// part in, in milliseconds, for a while.
type transferDelay struct{ known atomic.Pointer[delaySample] }

type delaySample struct {
	milliseconds float64
	at           time.Time
}

// The measures of delays. The values are ours.
const (
	delaySmoothing = 0.3
	delayHalfLife  = 3 * time.Second
	maxDelay       = 3000.0
)

func (d *transferDelay) now(now time.Time) float64 {
	known := d.known.Load()
	if known == nil {
		return 0
	}
	return known.milliseconds * math.Exp2(-float64(max(0, now.Sub(known.at)))/float64(delayHalfLife))
}

func (d *transferDelay) observe(now time.Time, milliseconds float64) {
	seen := min(max(milliseconds, 0), maxDelay)
	for {
		known := d.known.Load()
		if known == nil && seen == 0 {
			return
		}
		before := d.now(now)
		if d.known.CompareAndSwap(known, &delaySample{milliseconds: before + delaySmoothing*(seen-before), at: now}) {
			return
		}
	}
}

// between is the delay that is expected of a move: one of the two servers makes it, and
// only moves between slow ones are slow each time.
func expectedTransferDelay(now time.Time, prefillServer, decodeServer *backend) float64 {
	if prefillServer == nil || decodeServer == nil {
		return 0
	}
	return math.Sqrt(prefillServer.transferDelay.now(now) * decodeServer.transferDelay.now(now))
}
