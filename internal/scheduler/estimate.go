package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// The estimators here learn from how long dispatches took. Each may be read and fed from
// several threads; the zero value starts from a guess.

// prefillRate estimates how many prompt tokens a server of a service reads in a millisecond.
type prefillRate struct{ bits atomic.Uint64 }

// How the rate is learned, in tokens a millisecond. The values are ours.
const (
	// initialPrefillRate is rather too low: what counts as read slowly is spread better.
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

// observe takes one prefill. Each moves the rate by a step, so that a single one that waited or
// met a cached prefix counts for little; short prompts, below minSampleTokens, say nothing.
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

// firstEventLatency estimates the median of how many milliseconds runs of a service take from
// their start to their first event.
type firstEventLatency struct{ bits atomic.Uint64 }

// How the median is learned, in milliseconds. The values are ours.
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

// meanDuration is the moving mean of how long runs of a service last.
type meanDuration struct{ nanoseconds atomic.Int64 }

// firstMean is the guess before any run ended. The value is ours.
const firstMean = 500 * time.Millisecond

func (m *meanDuration) mean() time.Duration {
	if known := m.nanoseconds.Load(); known > 0 {
		return time.Duration(known)
	}
	return firstMean
}

func (m *meanDuration) observe(took time.Duration) {
	for {
		stored := m.nanoseconds.Load()
		known := stored
		if known <= 0 {
			known = int64(firstMean)
		}
		next := max(known+(int64(took)-known)/32, 1)
		if m.nanoseconds.CompareAndSwap(stored, next) {
			return
		}
	}
}

// latencyRatio is how many times what was expected a server takes: 1 is as expected. It decays
// to 1 with latencyHalfLife.
type latencyRatio struct{ known atomic.Pointer[latencySample] }

type latencySample struct {
	factor float64
	at     time.Time
}

// How the ratio is learned. The values are ours.
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

// transferDelay is how many milliseconds longer than expected a server's KV cache transfers
// took, to it or from it. It decays to 0 with delayHalfLife.
type transferDelay struct{ known atomic.Pointer[delaySample] }

type delaySample struct {
	milliseconds float64
	at           time.Time
}

// How the delay is learned. The values are ours.
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

// expectedTransferDelay is the delay to expect of a transfer: either server may be the cause,
// and only transfers between two slow ones are slow each time, hence the geometric mean.
func expectedTransferDelay(now time.Time, prefillServer, decodeServer *backend) float64 {
	if prefillServer == nil || decodeServer == nil {
		return 0
	}
	return math.Sqrt(prefillServer.transferDelay.now(now) * decodeServer.transferDelay.now(now))
}

// milliseconds turns a duration into the unit of costs and latencies, span turns it back.
func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

func span(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}
