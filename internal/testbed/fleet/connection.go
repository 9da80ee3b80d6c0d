package fleet

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Connection is a call that is in progress at a stand-in server. Either side may close it.
type Connection struct {
	cond   runtime.Cond
	mutex  sync.Mutex
	closed bool
}

// NewConnection returns an open connection.
func NewConnection(rt runtime.Runtime) *Connection { return &Connection{cond: rt.NewCond()} }

// Close marks the connection as closed and wakes the work that waits on it.
func (c *Connection) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cond.Broadcast()
}

// Closed reports whether the connection is closed.
func (c *Connection) Closed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// Wait waits for a length of time or until the connection is closed. It returns false if the
// connection is closed.
func (c *Connection) Wait(length time.Duration) bool {
	c.cond.Wait(length, c.Closed)
	return !c.Closed()
}
