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

func (c *cond) rung() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.next
}

// Broadcast wakes all who wait.
func (c *cond) Broadcast() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.next)
	c.next = make(chan struct{})
}

// Wait waits until over is true, the patience ends or the process does.
func (c *cond) Wait(patience time.Duration, over func() bool) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		// The next ring is taken before the look, so that none is missed.
		rung := c.rung()
		if over() {
			return true
		}
		select {
		case <-rung:
		case <-timer.C:
			return over()
		case <-c.lifetime.Done():
			return false
		}
	}
}
