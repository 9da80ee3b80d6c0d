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

// NewConnection opens a circuit.
func NewConnection(rt runtime.Runtime) *Connection { return &Connection{cond: rt.NewCond()} }

// Close ends what is done for the circuit.
func (connection *Connection) Close() {
	connection.mutex.Lock()
	connection.closed = true
	connection.mutex.Unlock()
	connection.cond.Broadcast()
}

// Closed tells whether the circuit is closed.
func (connection *Connection) Closed() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.closed
}

// Pause lets work take its time; false means that the circuit was closed.
func (connection *Connection) Pause(length time.Duration) bool {
	connection.cond.Wait(length, connection.Closed)
	return !connection.Closed()
}
