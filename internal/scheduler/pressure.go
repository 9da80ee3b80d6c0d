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
	// direct is the sum of what this courier has runners read themselves, older ones
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
func (pressure *pressure) readDirectly(now time.Time, tokens int) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	pressure.direct = pressure.direct*faded(now.Sub(pressure.directSent)) + float64(tokens)
	pressure.directSent = now
}

// directly is how many tokens a second runners are given to read themselves by this
// courier, and whether a hand-over failed a while ago.
func (pressure *pressure) directly(now time.Time) (tokens float64, lapsing bool) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	return pressure.direct * faded(now.Sub(pressure.directSent)) / pressureSpan.Seconds(), !pressure.lapsed.IsZero() && now.Sub(pressure.lapsed) < lapseSpan
}

// lapse notes that a hand-over failed.
func (pressure *pressure) lapse(now time.Time) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	pressure.lapsed = now
}

// lapseSpan is how long a failed hand-over makes others suspect. The value is ours.
const lapseSpan = 5 * time.Second

// reported takes how much the readers and the runners of a service had to do.
func (pressure *pressure) reported(now time.Time, busy, running float64) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	left := faded(now.Sub(pressure.heard))
	if pressure.heard.IsZero() {
		left = 0
	}
	pressure.busy = pressure.busy*left + busy*(1-left)
	pressure.running = pressure.running*left + running*(1-left)
	pressure.heard = now
}

// now is the demand: how many readers are kept busy and how many calls run.
func (pressure *pressure) now(now time.Time) (busy, running float64, known bool) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	if pressure.heard.IsZero() || now.Sub(pressure.heard) > pressureSpan {
		return 0, 0, false
	}
	return pressure.busy, pressure.running, true
}
