package scheduler

import (
	"math"
	"sync"
	"time"
)

// pressure is how much a service's servers have to do, as a mean over the last
// seconds, by the reports of all of them.
type pressure struct {
	mutex sync.Mutex
	// busy is how many readers had a call when they reported, running how many calls
	// the runners had.
	busy    float64
	running float64
	heard   time.Time
	// direct is the sum of what this router has runners read themselves, older ones
	// counting less, lapsed when memory that was read for a run could not be had.
	direct     float64
	directSent time.Time
	lapsed     time.Time
}

// pressureSpan is how far back the pressure reaches. The value is ours.
const pressureSpan = 3 * time.Second

func faded(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(pressureSpan))
}

// readDirectly counts tokens that a runner is given to read itself.
func (p *pressure) readDirectly(now time.Time, tokens int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.direct = p.direct*faded(now.Sub(p.directSent)) + float64(tokens)
	p.directSent = now
}

// directly is how many tokens a second runners are given to read themselves by this
// router, and whether a hand-over failed a while ago.
func (p *pressure) directly(now time.Time) (tokens float64, lapsing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.direct * faded(now.Sub(p.directSent)) / pressureSpan.Seconds(), !p.lapsed.IsZero() && now.Sub(p.lapsed) < lapseSpan
}

// lapse notes that a hand-over failed.
func (p *pressure) lapse(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lapsed = now
}

// lapseSpan is how long a failed hand-over makes others suspect. The value is ours.
const lapseSpan = 5 * time.Second

// reported takes how much the readers and the runners of a service had to do.
func (p *pressure) reported(now time.Time, busy, running float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	left := faded(now.Sub(p.heard))
	if p.heard.IsZero() {
		left = 0
	}
	p.busy = p.busy*left + busy*(1-left)
	p.running = p.running*left + running*(1-left)
	p.heard = now
}

// now is the demand: how many readers are kept busy and how many calls run.
func (p *pressure) now(now time.Time) (busy, running float64, known bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.heard.IsZero() || now.Sub(p.heard) > pressureSpan {
		return 0, 0, false
	}
	return p.busy, p.running, true
}
