package scheduler

import (
	"sync"
	"time"
)

// rateLimit lets a few calls a second through to a cold server: one at most in hand, and
// none at the start.
type rateLimit struct {
	mutex sync.Mutex
	level float64
	at    time.Time
}

// ready tells whether a call may go now, at a rate a second; take counts it.
func (rateLimit *rateLimit) ready(now time.Time, rate float64) bool {
	rateLimit.mutex.Lock()
	defer rateLimit.mutex.Unlock()
	rateLimit.fill(now, rate)
	return rateLimit.level >= 1
}

func (rateLimit *rateLimit) take(now time.Time, rate float64) bool {
	rateLimit.mutex.Lock()
	defer rateLimit.mutex.Unlock()
	rateLimit.fill(now, rate)
	if rateLimit.level < 1 {
		return false
	}
	rateLimit.level--
	return true
}

func (rateLimit *rateLimit) fill(now time.Time, rate float64) {
	switch {
	case rateLimit.at.IsZero():
		rateLimit.at = now
	case now.After(rateLimit.at):
		rateLimit.level = min(1, rateLimit.level+now.Sub(rateLimit.at).Seconds()*rate)
		rateLimit.at = now
	}
}
