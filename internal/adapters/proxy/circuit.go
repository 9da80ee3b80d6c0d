package proxy

import (
	"net"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// circuit is one connection to a model server. It knows for certain whether anything
// of the present call was written, and takes nothing once its server may have closed
// it for having rested too long.
type conn struct {
	net.Conn
	now func() time.Time

	mutex sync.Mutex
	// rests is how long the server keeps the circuit while nothing is said; restedAt
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

// begin tells whether the circuit can take a call. If not, nothing of it is written.
func (connection *conn) begin(ends time.Time) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	now := connection.now()
	if !now.Before(ends) || (!connection.restedAt.IsZero() && now.Sub(connection.restedAt) > connection.rests) {
		connection.shut = true
	}
	connection.wrote, connection.heard = false, false
	return !connection.shut
}

// rested tells whether the circuit rested for as long as its server keeps it.
func (connection *conn) rested(now time.Time) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return now.Sub(connection.restedAt) > connection.rests
}

// rest notes the end of a call, and how long the server then keeps the circuit.
func (connection *conn) rest(length time.Duration) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.restedAt, connection.rests = connection.now(), length
}

// end closes the circuit. After it the circuit certainly takes nothing more; it tells
// whether anything of the call may have left, and whether anything came.
func (connection *conn) end() (wrote, heard bool) {
	connection.mutex.Lock()
	connection.shut = true
	wrote, heard = connection.wrote || connection.writing, connection.heard
	connection.mutex.Unlock()
	_ = connection.Conn.Close()
	return wrote, heard
}

var errShut = failure.New(failure.Unreachable, "the circuit takes no more calls")

// Write sends, unless the circuit was shut before.
func (connection *conn) Write(content []byte) (int, error) {
	connection.mutex.Lock()
	if connection.shut {
		connection.mutex.Unlock()
		return 0, errShut
	}
	connection.writing = true
	connection.mutex.Unlock()
	written, err := connection.Conn.Write(content)
	connection.mutex.Lock()
	connection.writing = false
	connection.wrote = connection.wrote || written > 0
	connection.mutex.Unlock()
	return written, err
}

// Read receives.
func (connection *conn) Read(buffer []byte) (int, error) {
	read, err := connection.Conn.Read(buffer)
	if read > 0 {
		connection.mutex.Lock()
		connection.heard = true
		connection.mutex.Unlock()
	}
	return read, err
}
