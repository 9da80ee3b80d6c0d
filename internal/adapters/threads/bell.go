package threads

import (
	"context"
	"sync"
	"time"
)

// bell wakes everybody who waits for it.
type bell struct {
	lifetime context.Context
	mutex    sync.Mutex
	next     chan struct{}
}

func (bell *bell) rung() <-chan struct{} {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	return bell.next
}

// Ring wakes all who wait.
func (bell *bell) Ring() {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	close(bell.next)
	bell.next = make(chan struct{})
}

// Wait waits until over is true, the patience ends or the process does.
func (bell *bell) Wait(patience time.Duration, over func() bool) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		// The next ring is taken before the look, so that none is missed.
		rung := bell.rung()
		if over() {
			return true
		}
		select {
		case <-rung:
		case <-timer.C:
			return over()
		case <-bell.lifetime.Done():
			return false
		}
	}
}
