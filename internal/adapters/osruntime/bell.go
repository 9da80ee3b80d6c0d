package osruntime

import (
	"context"
	"sync"
	"time"
)

// bell wakes everybody who waits for it.
type cond struct {
	lifetime context.Context
	mutex    sync.Mutex
	next     chan struct{}
}

func (bell *cond) rung() <-chan struct{} {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	return bell.next
}

// Broadcast wakes all who wait.
func (bell *cond) Broadcast() {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	close(bell.next)
	bell.next = make(chan struct{})
}

// Wait waits until over is true, the patience ends or the process does.
func (bell *cond) Wait(patience time.Duration, over func() bool) bool {
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
