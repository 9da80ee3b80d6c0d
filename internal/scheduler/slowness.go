package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// slowness is how much longer a server takes than was expected, for a while: 1 is as
// long.
type latencyRatio struct{ known atomic.Pointer[latencySample] }

type latencySample struct {
	factor float64
	at     time.Time
}

// The measures of slowness. The values are ours.
const (
	maxLatencyRatio  = 8.0
	latencySmoothing = 0.2
	latencyHalfLife  = 3 * time.Second
)

func (s *latencyRatio) factor(now time.Time) float64 {
	if known := s.known.Load(); known != nil {
		return known.now(now)
	}
	return 1
}

func (s *latencySample) now(now time.Time) float64 {
	age := max(0, now.Sub(s.at))
	return 1 + (s.factor-1)*math.Exp2(-float64(age)/float64(latencyHalfLife))
}

func (s *latencyRatio) observe(now time.Time, ratio float64) {
	seen := min(max(ratio, 1), maxLatencyRatio)
	for {
		known := s.known.Load()
		factor := 1.0
		if known != nil {
			factor = known.now(now)
		} else if seen == 1 {
			return
		}
		if s.known.CompareAndSwap(known, &latencySample{factor: factor + latencySmoothing*(seen-factor), at: now}) {
			return
		}
	}
}
