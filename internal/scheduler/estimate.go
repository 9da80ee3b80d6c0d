package scheduler

import (
	"math"
	"sync/atomic"
	"time"
)

// The estimators in this file learn from the latencies of dispatches. All of them are safe for
// concurrent use, and the zero value starts from a default estimate.

// prefillRate estimates how many prompt tokens a server of a service prefills per millisecond.
type prefillRate struct{ bits atomic.Uint64 }

// Parameters of the prefill rate estimate. Rates are in tokens per millisecond.
const (
	// initialPrefillRate is a low estimate on purpose: the lower the rate, the more the load is
	// spread over the servers.
	initialPrefillRate = 30.0
	minPrefillRate     = 2.0
	maxPrefillRate     = 1000.0
	// prefillRateRise and prefillRateFall are the factors by which one sample changes the rate.
	prefillRateRise = 1.03
	prefillRateFall = 0.985
	// prefillOverhead is the part of a prefill's duration that doesn't depend on the number of
	// tokens, in milliseconds.
	prefillOverhead = 15.0
	minSampleTokens = 512
)

func (p *prefillRate) tokensPerMillisecond() float64 {
	if bits := p.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return initialPrefillRate
}

// observe updates the rate from one prefill. Each sample moves the rate by one step, so that a
// single prefill that had to wait or found its prefix cached has little effect. Prompts shorter
// than minSampleTokens are ignored.
func (p *prefillRate) observe(uncached int, took time.Duration) {
	if uncached < minSampleTokens {
		return
	}
	sample := float64(uncached) / max(milliseconds(took)-prefillOverhead, 1)
	for {
		bits := p.bits.Load()
		current := initialPrefillRate
		if bits != 0 {
			current = math.Float64frombits(bits)
		}
		next := current * prefillRateFall
		if sample > current {
			next = current * prefillRateRise
		}
		next = min(max(next, minPrefillRate), maxPrefillRate)
		if p.bits.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

// firstEventLatency estimates the median time from the start of a service's runs to their first
// event, in milliseconds.
type firstEventLatency struct{ bits atomic.Uint64 }

// Parameters of the median estimate, in milliseconds.
const (
	firstEventInitial = 20.0
	firstEventStep    = 4.0
	firstEventMax     = 500.0
)

func (f *firstEventLatency) median() float64 {
	if bits := f.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return firstEventInitial
}

func (f *firstEventLatency) observe(milliseconds float64) {
	for {
		bits := f.bits.Load()
		current := firstEventInitial
		if bits != 0 {
			current = math.Float64frombits(bits)
		}
		next := current - firstEventStep
		if milliseconds > current {
			next = current + firstEventStep
		}
		if f.bits.CompareAndSwap(bits, math.Float64bits(min(max(next, firstEventStep), firstEventMax))) {
			return
		}
	}
}

// meanDuration is the exponentially weighted moving mean of the durations of a service's runs. Each
// new duration has the weight 1/32.
type meanDuration struct{ nanoseconds atomic.Int64 }

// initialMeanDuration is the estimate before any run has ended.
const initialMeanDuration = 500 * time.Millisecond

func (m *meanDuration) mean() time.Duration {
	if known := m.nanoseconds.Load(); known > 0 {
		return time.Duration(known)
	}
	return initialMeanDuration
}

func (m *meanDuration) observe(took time.Duration) {
	for {
		stored := m.nanoseconds.Load()
		current := stored
		if current <= 0 {
			current = int64(initialMeanDuration)
		}
		next := max(current+(int64(took)-current)/32, 1)
		if m.nanoseconds.CompareAndSwap(stored, next) {
			return
		}
	}
}

// latencyRatio estimates the ratio of a server's actual latencies to the expected ones. Samples are
// limited to the range from 1 to maxLatencyRatio. Without new samples the estimate decays to 1 with
// the half-life latencyHalfLife.
type latencyRatio struct {
	latest atomic.Pointer[latencyEstimate]
}

// latencyEstimate is the estimated ratio at one time.
type latencyEstimate struct {
	ratio float64
	at    time.Time
}

// Parameters of the ratio estimate.
const (
	maxLatencyRatio  = 8.0
	latencySmoothing = 0.2
	latencyHalfLife  = 3 * time.Second
)

func (r *latencyRatio) ratio(now time.Time) float64 {
	if latest := r.latest.Load(); latest != nil {
		return latest.decayedRatio(now)
	}
	return 1
}

func (e *latencyEstimate) decayedRatio(now time.Time) float64 {
	age := max(0, now.Sub(e.at))
	return 1 + (e.ratio-1)*math.Exp2(-float64(age)/float64(latencyHalfLife))
}

func (r *latencyRatio) observe(now time.Time, ratio float64) {
	sample := min(max(ratio, 1), maxLatencyRatio)
	for {
		latest := r.latest.Load()
		current := 1.0
		if latest != nil {
			current = latest.decayedRatio(now)
		} else if sample == 1 {
			return
		}
		if r.latest.CompareAndSwap(latest, &latencyEstimate{ratio: current + latencySmoothing*(sample-current), at: now}) {
			return
		}
	}
}

// transferDelay estimates by how many milliseconds KV cache transfers to or from a server exceed
// their expected duration. Without new samples the estimate decays to 0 with the half-life
// delayHalfLife.
type transferDelay struct{ latest atomic.Pointer[delayEstimate] }

// delayEstimate is the estimated delay at one time.
type delayEstimate struct {
	milliseconds float64
	at           time.Time
}

// Parameters of the delay estimate.
const (
	delaySmoothing = 0.3
	delayHalfLife  = 3 * time.Second
	// maxDelay bounds a sample, in milliseconds.
	maxDelay = 3000.0
)

func (d *transferDelay) expected(now time.Time) float64 {
	latest := d.latest.Load()
	if latest == nil {
		return 0
	}
	return latest.milliseconds * math.Exp2(-float64(max(0, now.Sub(latest.at)))/float64(delayHalfLife))
}

func (d *transferDelay) observe(now time.Time, milliseconds float64) {
	sample := min(max(milliseconds, 0), maxDelay)
	for {
		latest := d.latest.Load()
		if latest == nil && sample == 0 {
			return
		}
		current := d.expected(now)
		if d.latest.CompareAndSwap(latest, &delayEstimate{milliseconds: current + delaySmoothing*(sample-current), at: now}) {
			return
		}
	}
}

// expectedTransferDelay returns the expected delay of a transfer between two servers, in milliseconds.
// A delay is attributed to both servers though either may have caused it. A transfer is expected
// to be slow only if both servers have delays, hence the geometric mean.
func expectedTransferDelay(now time.Time, prefillServer, decodeServer *backend) float64 {
	if prefillServer == nil || decodeServer == nil {
		return 0
	}
	return math.Sqrt(prefillServer.transferDelay.expected(now) * decodeServer.transferDelay.expected(now))
}

// milliseconds converts a duration to milliseconds, the unit of costs and latencies.
func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// fromMilliseconds converts a cost or latency in milliseconds to a duration.
func fromMilliseconds(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}
