package scheduler

import (
	"sync"
	"time"
)

// idleConnections models the idle connections to one server that the next calls may use. Each
// connection is represented by the time at which it will be closed.
type idleConnections struct {
	mutex sync.Mutex
	// idle holds the closing times, that of the most recently used connection last.
	idle []time.Time
}

// maxIdleConnections bounds the connections in the model of one server.
const maxIdleConnections = 16

// available reports whether a call would find an idle connection.
func (c *idleConnections) available(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.idle) > 0 && now.Before(c.idle[len(c.idle)-1])
}

// take removes the most recently used connection. If that connection has been closed by now, all
// others are considered closed, too, and are removed.
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

// putBack adds a connection that stays open for keepAlive. The connection is closed, and not
// added, if keepAlive is zero.
func (c *idleConnections) putBack(now time.Time, keepAlive time.Duration) {
	if keepAlive <= 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle) >= maxIdleConnections {
		c.idle = append(c.idle[:0], c.idle[1:]...)
	}
	c.idle = append(c.idle, now.Add(keepAlive))
}
