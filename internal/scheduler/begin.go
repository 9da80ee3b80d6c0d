package scheduler

import (
	"math"
	"sync/atomic"
)

// begin is how long runs of a service take from their start to their first event, in
// milliseconds, as their median.
type firstEventLatency struct{ bits atomic.Uint64 }

// The measures of the beginning. The values are ours.
const (
	firstEventInitial = 20.0
	firstEventStep    = 4.0
	firstEventMax     = 500.0
)

func (b *firstEventLatency) milliseconds() float64 {
	if bits := b.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return firstEventInitial
}

func (b *firstEventLatency) observe(milliseconds float64) {
	for {
		bits := b.bits.Load()
		known := firstEventInitial
		if bits != 0 {
			known = math.Float64frombits(bits)
		}
		next := known - firstEventStep
		if milliseconds > known {
			next = known + firstEventStep
		}
		if b.bits.CompareAndSwap(bits, math.Float64bits(min(max(next, firstEventStep), firstEventMax))) {
			return
		}
	}
}
