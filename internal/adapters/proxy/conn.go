package proxy

import (
	"net"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// connection is one connection to a model server. It knows for certain whether anything
// of the present call was written, and takes nothing once its server may have closed
// it for having rested too long.
type conn struct {
	net.Conn
	now func() time.Time

	mutex sync.Mutex
	// rests is how long the server keeps the connection while nothing is said; restedAt
	// is when the last call on it ended.
	rests    time.Duration
	restedAt time.Time
	// shut refuses every further write; writing is a write under way; wrote that
	// something of the present call may have left; heard that something came since.
	shut    bool
	writing bool
	wrote   bool
	heard   bool
}

// begin tells whether the connection can take a call. If not, nothing of it is written.
func (c *conn) begin(ends time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	if !now.Before(ends) || (!c.restedAt.IsZero() && now.Sub(c.restedAt) > c.rests) {
		c.shut = true
	}
	c.wrote, c.heard = false, false
	return !c.shut
}

// rested tells whether the connection rested for as long as its server keeps it.
func (c *conn) rested(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.restedAt) > c.rests
}

// rest notes the end of a call, and how long the server then keeps the connection.
func (c *conn) rest(length time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.restedAt, c.rests = c.now(), length
}

// end closes the connection. After it the connection certainly takes nothing more; it tells
// whether anything of the call may have left, and whether anything came.
func (c *conn) end() (wrote, heard bool) {
	c.mutex.Lock()
	c.shut = true
	wrote, heard = c.wrote || c.writing, c.heard
	c.mutex.Unlock()
	_ = c.Conn.Close()
	return wrote, heard
}

var errShut = failure.New(failure.Unreachable, "the circuit takes no more calls")

// Write sends, unless the connection was shut before.
func (c *conn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	if c.shut {
		c.mutex.Unlock()
		return 0, errShut
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
func (c *conn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	if read > 0 {
		c.mutex.Lock()
		c.heard = true
		c.mutex.Unlock()
	}
	return read, err
}
