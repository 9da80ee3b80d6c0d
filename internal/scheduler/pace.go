package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// pace is how many prompt tokens a server of a service reads in a millisecond, as
// learned from how long reads took. It starts from a guess.
type prefillRate struct{ bits atomic.Uint64 }

// The measures of the pace. The values are ours.
const (
	// initialPrefillRate is rather too low: what is believed to be read slowly is spread better.
	initialPrefillRate = 30.0
	minPrefillRate     = 2.0
	maxPrefillRate     = 1000.0
	prefillRateRise    = 1.03
	prefillRateFall    = 0.985
	prefillOverhead    = 15.0
	minSampleTokens    = 512
)

func (p *prefillRate) tokensPerMillisecond() float64 {
	if bits := p.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return initialPrefillRate
}

// note takes one read: each moves the pace a little, so that single ones that waited
// or met kept parts count for little.
func (p *prefillRate) observe(unread int, took time.Duration) {
	if unread < minSampleTokens {
		return
	}
	seen := float64(unread) / max(milliseconds(took)-prefillOverhead, 1)
	for {
		bits := p.bits.Load()
		known := initialPrefillRate
		if bits != 0 {
			known = math.Float64frombits(bits)
		}
		next := known * prefillRateFall
		if seen > known {
			next = known * prefillRateRise
		}
		next = min(max(next, minPrefillRate), maxPrefillRate)
		if p.bits.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

func span(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}
