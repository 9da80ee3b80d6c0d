package scheduler

import (
	"math"
	"sync"
	"time"
)

// pressure is how much a service's servers have to do, as a mean over the last
// seconds, by the reports of all of them.
type demand struct {
	mutex sync.Mutex
	// busy is how many readers had a call when they reported, running how many calls
	// the runners had.
	busy       float64
	running    float64
	reportedAt time.Time
	// direct is the sum of what this router has runners read themselves, older ones
	// counting less, lapsed when memory that was read for a run could not be had.
	directTokens     float64
	directAt         time.Time
	transferFailedAt time.Time
}

// demandWindow is how far back the pressure reaches. The value is ours.
const demandWindow = 3 * time.Second

func decay(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(demandWindow))
}

// addDirect counts tokens that a runner is given to read itself.
func (p *demand) addDirect(now time.Time, tokens int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.directTokens = p.directTokens*decay(now.Sub(p.directAt)) + float64(tokens)
	p.directAt = now
}

// directly is how many tokens a second runners are given to read themselves by this
// router, and whether a hand-over failed a while ago.
func (p *demand) directRate(now time.Time) (tokens float64, lapsing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.directTokens * decay(now.Sub(p.directAt)) / demandWindow.Seconds(), !p.transferFailedAt.IsZero() && now.Sub(p.transferFailedAt) < transferFailureSpan
}

// lapse notes that a hand-over failed.
func (p *demand) transferFailed(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.transferFailedAt = now
}

// transferFailureSpan is how long a failed hand-over makes others suspect. The value is ours.
const transferFailureSpan = 5 * time.Second

// reported takes how much the readers and the runners of a service had to do.
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

// now is the demand: how many readers are kept busy and how many calls run.
func (p *demand) now(now time.Time) (busy, running float64, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reportedAt.IsZero() || now.Sub(p.reportedAt) > demandWindow {
		return 0, 0, false
	}
	return p.busy, p.running, true
}
