package proxy

import (
	"net"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// trackedConn is one connection to a model server. It knows for certain whether anything
// of the present call was written, and takes nothing once its server may have closed
// it for having rested too long.
type trackedConn struct {
	net.Conn
	now func() time.Time

	mutex sync.Mutex
	// rests is how long the server keeps the connection while nothing is said; idleSince
	// is when the last call on it ended.
	keepAlive time.Duration
	idleSince time.Time
	// closed refuses every further write; writing is a write in flight; wrote that
	// something of the present call may have left; received that something came since.
	closed   bool
	writing  bool
	wrote    bool
	received bool
}

// begin tells whether the connection can take a call. If not, nothing of it is written.
func (c *trackedConn) begin(ends time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	if !now.Before(ends) || (!c.idleSince.IsZero() && now.Sub(c.idleSince) > c.keepAlive) {
		c.closed = true
	}
	c.wrote, c.received = false, false
	return !c.closed
}

// idleTooLong tells whether the server may have closed the connection as idle.
func (c *trackedConn) idleTooLong(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.idleSince) > c.keepAlive
}

// becomeIdle records the end of a call, and how long the server then keeps the connection.
func (c *trackedConn) becomeIdle(keepAlive time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleSince, c.keepAlive = c.now(), keepAlive
}

// end closes the connection. After it the connection certainly takes nothing more; it tells
// whether anything of the call may have left, and whether anything came.
func (c *trackedConn) end() (wrote, received bool) {
	c.mutex.Lock()
	c.closed = true
	wrote, received = c.wrote || c.writing, c.received
	c.mutex.Unlock()
	_ = c.Conn.Close()
	return wrote, received
}

var errConnClosed = failure.New(failure.Unreachable, "the connection takes no more calls")

// Write sends, unless the connection was shut before.
func (c *trackedConn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return 0, errConnClosed
	}
	c.writing = true
	c.mutex.Unlock()
	written, err := c.Conn.Write(content)
	c.mutex.Lock()
	c.writing = false
	c.wrote = c.wrote || written > 0
	c.mutex.Unlock()
	return written, err
}

// Read receives.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	if read > 0 {
		c.mutex.Lock()
		c.received = true
		c.mutex.Unlock()
	}
	return read, err
}
