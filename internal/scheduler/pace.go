package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// pace is how many prompt tokens a server of a service reads in a millisecond, as
// learned from how long reads took. It starts from a guess.
type pace struct{ bits atomic.Uint64 }

// The measures of the pace. The values are ours.
const (
	// firstPace is rather too low: what is believed to be read slowly is spread better.
	firstPace  = 30.0
	leastPace  = 2.0
	mostPace   = 1000.0
	paceRise   = 1.03
	paceFall   = 0.985
	readsCost  = 15.0
	tellTokens = 512
)

func (p *pace) tokens() float64 {
	if bits := p.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return firstPace
}

// note takes one read: each moves the pace a little, so that single ones that waited
// or met kept parts count for little.
func (p *pace) note(unread int, took time.Duration) {
	if unread < tellTokens {
		return
	}
	seen := float64(unread) / max(milliseconds(took)-readsCost, 1)
	for {
		bits := p.bits.Load()
		known := firstPace
		if bits != 0 {
			known = math.Float64frombits(bits)
		}
		next := known * paceFall
		if seen > known {
			next = known * paceRise
		}
		next = min(max(next, leastPace), mostPace)
		if p.bits.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

func span(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}
