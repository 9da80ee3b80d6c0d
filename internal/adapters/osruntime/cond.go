package osruntime

import (
	"context"
	"sync"
	"time"
)

// cond implements runtime.Cond with a channel that each Broadcast closes and replaces.
type cond struct {
	lifetime context.Context
	mutex    sync.Mutex
	next     chan struct{}
}

// nextBroadcast returns the channel that the next Broadcast closes.
func (c *cond) nextBroadcast() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.next
}

// Broadcast wakes all goroutines that are blocked in Wait.
func (c *cond) Broadcast() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.next)
	c.next = make(chan struct{})
}

// Wait blocks until done returns true, the timeout passes or the process ends, and reports whether done
// returned true. It calls done at the start, after each Broadcast and when the timeout passes.
func (c *cond) Wait(timeout time.Duration, done func() bool) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		// nextBroadcast is called before done, so that a Broadcast between the two calls is not missed.
		broadcast := c.nextBroadcast()
		if done() {
			return true
		}
		select {
		case <-broadcast:
		case <-timer.C:
			return done()
		case <-c.lifetime.Done():
			return false
		}
	}
}
