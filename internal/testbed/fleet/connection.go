package fleet

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Connection is one call under way at a stand-in: it may be closed by either side.
type Connection struct {
	cond   runtime.Cond
	mutex  sync.Mutex
	closed bool
}

// NewConnection opens a connection.
func NewConnection(rt runtime.Runtime) *Connection { return &Connection{cond: rt.NewCond()} }

// Close ends what is done for the connection.
func (c *Connection) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cond.Broadcast()
}

// Closed tells whether the connection is closed.
func (c *Connection) Closed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// Wait lets work take its time; false means that the connection was closed.
func (c *Connection) Wait(length time.Duration) bool {
	c.cond.Wait(length, c.Closed)
	return !c.Closed()
}
