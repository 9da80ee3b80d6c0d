package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// slowness is how much longer a server takes than was expected, for a while: 1 is as
// long.
type slowness struct{ known atomic.Pointer[slow] }

type slow struct {
	factor float64
	at     time.Time
}

// The measures of slowness. The values are ours.
const (
	mostSlow            = 8.0
	slowSmooth          = 0.2
	slowHalfIncarnation = 3 * time.Second
)

func (s *slowness) factor(now time.Time) float64 {
	if known := s.known.Load(); known != nil {
		return known.now(now)
	}
	return 1
}

func (s *slow) now(now time.Time) float64 {
	age := max(0, now.Sub(s.at))
	return 1 + (s.factor-1)*math.Exp2(-float64(age)/float64(slowHalfIncarnation))
}

func (s *slowness) note(now time.Time, ratio float64) {
	seen := min(max(ratio, 1), mostSlow)
	for {
		known := s.known.Load()
		factor := 1.0
		if known != nil {
			factor = known.now(now)
		} else if seen == 1 {
			return
		}
		if s.known.CompareAndSwap(known, &slow{factor: factor + slowSmooth*(seen-factor), at: now}) {
			return
		}
	}
}
