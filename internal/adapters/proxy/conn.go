package proxy

import (
	"net"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// trackedConn is one connection to a model server. It records whether any byte of the
// current call may have been written. It accepts no call once it was idle for so long that the
// server may have closed it.
type trackedConn struct {
	net.Conn
	now func() time.Time

	mutex sync.Mutex
	// keepAlive is how long the connection may be idle and still be used; idleSince is when
	// the last call on the connection ended.
	keepAlive time.Duration
	idleSince time.Time
	// closed is set when the connection accepts no further writes; writing is set while a write
	// is in progress. wrote and received report whether bytes were written and whether bytes
	// arrived since the current call began.
	closed   bool
	writing  bool
	wrote    bool
	received bool
}

// begin starts a call and reports whether the connection accepts it. The call is refused if its
// deadline has passed, if the connection was idle for longer than keepAlive, or if the connection is
// closed. No byte of a refused call is ever written.
func (c *trackedConn) begin(deadline time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	if !now.Before(deadline) || (!c.idleSince.IsZero() && now.Sub(c.idleSince) > c.keepAlive) {
		c.closed = true
	}
	c.wrote, c.received = false, false
	return !c.closed
}

// idleTooLong reports whether the connection was idle for longer than keepAlive, so that the server may
// have closed it.
func (c *trackedConn) idleTooLong(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.idleSince) > c.keepAlive
}

// becomeIdle records the end of a call, and how long the connection may be idle before the next call.
func (c *trackedConn) becomeIdle(keepAlive time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleSince, c.keepAlive = c.now(), keepAlive
}

// end closes the connection, so that no further byte is written. It reports whether bytes of
// the call may have been sent, and whether any arrived.
func (c *trackedConn) end() (wrote, received bool) {
	c.mutex.Lock()
	c.closed = true
	wrote, received = c.wrote || c.writing, c.received
	c.mutex.Unlock()
	_ = c.Conn.Close()
	return wrote, received
}

var errConnClosed = failure.New(failure.Unreachable, "the connection accepts no further calls")

// Write writes to the connection, unless the connection was closed before.
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

// Read reads from the connection and records that bytes arrived.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	if read > 0 {
		c.mutex.Lock()
		c.received = true
		c.mutex.Unlock()
	}
	return read, err
}
