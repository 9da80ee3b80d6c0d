package scheduler

import (
	"sync"
	"time"
)

// idleConnections are the idle connections to one server that the next calls may use, by when
// each of them is closed.
type idleConnections struct {
	mutex sync.Mutex
	// idle are the times of closing, the connection used last at the end.
	idle []time.Time
}

// maxIdleConnections bounds the connections remembered for one server.
const maxIdleConnections = 16

// available tells whether a call would find an idle connection.
func (c *idleConnections) available(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.idle) > 0 && now.Before(c.idle[len(c.idle)-1])
}

// take uses the connection that was returned last. One that is closed by now is closed
// with all that were returned before it.
func (c *idleConnections) take(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last := len(c.idle) - 1
	switch {
	case last < 0:
	case now.Before(c.idle[last]):
		c.idle = c.idle[:last]
	default:
		c.idle = c.idle[:0]
	}
}

// give returns a connection that stays open for so long.
func (c *idleConnections) give(now time.Time, keeps time.Duration) {
	if keeps <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle) >= maxIdleConnections {
		c.idle = append(c.idle[:0], c.idle[1:]...)
	}
	c.idle = append(c.idle, now.Add(keeps))
}
