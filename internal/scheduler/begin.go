package scheduler

import (
	"math"
	"sync/atomic"
)

// begin is how long runs of a service take from their start to their first event, in
// milliseconds, as their median.
type begin struct{ bits atomic.Uint64 }

// The measures of the beginning. The values are ours.
const (
	firstBegin = 20.0
	beginStep  = 4.0
	mostBegin  = 500.0
)

func (b *begin) milliseconds() float64 {
	if bits := b.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return firstBegin
}

func (b *begin) note(milliseconds float64) {
	for {
		bits := b.bits.Load()
		known := firstBegin
		if bits != 0 {
			known = math.Float64frombits(bits)
		}
		next := known - beginStep
		if milliseconds > known {
			next = known + beginStep
		}
		if b.bits.CompareAndSwap(bits, math.Float64bits(min(max(next, beginStep), mostBegin))) {
			return
		}
	}
}
