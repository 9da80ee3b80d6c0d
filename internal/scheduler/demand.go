package scheduler

import (
	"math"
	"sync"
	"time"
)

// demand is how much a service's servers have to do, as a mean over demandWindow, by the
// reports of all of them.
type demand struct {
	mutex sync.Mutex
	// busy is how many prefill servers had a call when they reported, running how many calls the
	// decode servers had.
	busy       float64
	running    float64
	reportedAt time.Time
	// directTokens is the sum of what this router has decode servers read themselves, older ones
	// counting less; transferFailedAt is when a KV cache could last not be had.
	directTokens     float64
	directAt         time.Time
	transferFailedAt time.Time
}

// demandWindow is the time constant of the means. The value is ours.
const demandWindow = 3 * time.Second

func decay(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(demandWindow))
}

// addDirect counts tokens that a decode server is given to read itself.
func (p *demand) addDirect(now time.Time, tokens int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.directTokens = p.directTokens*decay(now.Sub(p.directAt)) + float64(tokens)
	p.directAt = now
}

// directRate is how many tokens a second decode servers are given to read themselves by this
// router, and whether a transfer failed within transferFailureSpan.
func (p *demand) directRate(now time.Time) (tokens float64, failing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	tokens = p.directTokens * decay(now.Sub(p.directAt)) / demandWindow.Seconds()
	failing = !p.transferFailedAt.IsZero() && now.Sub(p.transferFailedAt) < transferFailureSpan
	return tokens, failing
}

// transferFailed takes that a KV cache transfer failed.
func (p *demand) transferFailed(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.transferFailedAt = now
}

// transferFailureSpan is how long a failed transfer makes others suspect. The value is ours.
const transferFailureSpan = 5 * time.Second

// reported takes how much the prefill and the decode servers of a service had to do.
func (p *demand) reported(now time.Time, busy, running float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	left := decay(now.Sub(p.reportedAt))
	if p.reportedAt.IsZero() {
		left = 0
	}
	p.busy = p.busy*left + busy*(1-left)
	p.running = p.running*left + running*(1-left)
	p.reportedAt = now
}

// now is how many prefill servers are busy and how many calls decode servers run; not known if
// the last report is older than demandWindow.
func (p *demand) now(now time.Time) (busy, running float64, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reportedAt.IsZero() || now.Sub(p.reportedAt) > demandWindow {
		return 0, 0, false
	}
	return p.busy, p.running, true
}
