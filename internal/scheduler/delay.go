package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// delay is how much longer than expected the moves of memory took that a server had a
// part in, in milliseconds, for a while.
type delay struct{ known atomic.Pointer[delayed] }

type delayed struct {
	milliseconds float64
	at           time.Time
}

// The measures of delays. The values are ours.
const (
	delaySmooth          = 0.3
	delayHalfIncarnation = 3 * time.Second
	mostDelay            = 3000.0
)

func (d *delay) now(now time.Time) float64 {
	known := d.known.Load()
	if known == nil {
		return 0
	}
	return known.milliseconds * math.Exp2(-float64(max(0, now.Sub(known.at)))/float64(delayHalfIncarnation))
}

func (d *delay) note(now time.Time, milliseconds float64) {
	seen := min(max(milliseconds, 0), mostDelay)
	for {
		known := d.known.Load()
		if known == nil && seen == 0 {
			return
		}
		before := d.now(now)
		if d.known.CompareAndSwap(known, &delayed{milliseconds: before + delaySmooth*(seen-before), at: now}) {
			return
		}
	}
}

// between is the delay that is expected of a move: one of the two servers makes it, and
// only moves between slow ones are slow each time.
func between(now time.Time, reader, runner *backend) float64 {
	if reader == nil || runner == nil {
		return 0
	}
	return math.Sqrt(reader.moves.now(now) * runner.moves.now(now))
}
