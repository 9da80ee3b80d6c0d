package scheduler

import (
	"sync"
	"time"
)

// drops lets a few calls a second through to a cold server: one at most in hand, and
// none at the start.
type drops struct {
	mutex sync.Mutex
	level float64
	at    time.Time
}

// ready tells whether a call may go now, at a rate a second; take counts it.
func (drops *drops) ready(now time.Time, rate float64) bool {
	drops.mutex.Lock()
	defer drops.mutex.Unlock()
	drops.fill(now, rate)
	return drops.level >= 1
}

func (drops *drops) take(now time.Time, rate float64) bool {
	drops.mutex.Lock()
	defer drops.mutex.Unlock()
	drops.fill(now, rate)
	if drops.level < 1 {
		return false
	}
	drops.level--
	return true
}

func (drops *drops) fill(now time.Time, rate float64) {
	switch {
	case drops.at.IsZero():
		drops.at = now
	case now.After(drops.at):
		drops.level = min(1, drops.level+now.Sub(drops.at).Seconds()*rate)
		drops.at = now
	}
}
