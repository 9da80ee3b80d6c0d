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
func (r *rateLimit) ready(now time.Time, rate float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now, rate)
	return r.level >= 1
}

func (r *rateLimit) take(now time.Time, rate float64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fill(now, rate)
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}

func (r *rateLimit) fill(now time.Time, rate float64) {
	switch {
	case r.at.IsZero():
		r.at = now
	case now.After(r.at):
		r.level = min(1, r.level+now.Sub(r.at).Seconds()*rate)
		r.at = now
	}
}
