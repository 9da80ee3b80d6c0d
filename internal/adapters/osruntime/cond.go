package osruntime

import (
	"context"
	"sync"
	"time"
)

// cond is a condition over a channel that each Broadcast closes and replaces.
type cond struct {
	lifetime context.Context
	mutex    sync.Mutex
	next     chan struct{}
}

func (c *cond) nextBroadcast() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.next
}

// Broadcast wakes all that wait.
func (c *cond) Broadcast() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.next)
	c.next = make(chan struct{})
}

// Wait waits until done returns true, the timeout passes or the process ends.
func (c *cond) Wait(timeout time.Duration, done func() bool) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		// The channel is taken before the condition is checked, so that no Broadcast is missed.
		closed := c.nextBroadcast()
		if done() {
			return true
		}
		select {
		case <-closed:
		case <-timer.C:
			return done()
		case <-c.lifetime.Done():
			return false
		}
	}
}
