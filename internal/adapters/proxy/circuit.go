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
type circuit struct {
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
func (circuit *circuit) begin(ends time.Time) bool {
	circuit.mutex.Lock()
	defer circuit.mutex.Unlock()
	now := circuit.now()
	if !now.Before(ends) || (!circuit.restedAt.IsZero() && now.Sub(circuit.restedAt) > circuit.rests) {
		circuit.shut = true
	}
	circuit.wrote, circuit.heard = false, false
	return !circuit.shut
}

// rested tells whether the circuit rested for as long as its server keeps it.
func (circuit *circuit) rested(now time.Time) bool {
	circuit.mutex.Lock()
	defer circuit.mutex.Unlock()
	return now.Sub(circuit.restedAt) > circuit.rests
}

// rest notes the end of a call, and how long the server then keeps the circuit.
func (circuit *circuit) rest(length time.Duration) {
	circuit.mutex.Lock()
	defer circuit.mutex.Unlock()
	circuit.restedAt, circuit.rests = circuit.now(), length
}

// end closes the circuit. After it the circuit certainly takes nothing more; it tells
// whether anything of the call may have left, and whether anything came.
func (circuit *circuit) end() (wrote, heard bool) {
	circuit.mutex.Lock()
	circuit.shut = true
	wrote, heard = circuit.wrote || circuit.writing, circuit.heard
	circuit.mutex.Unlock()
	_ = circuit.Conn.Close()
	return wrote, heard
}

var errShut = failure.New(failure.Unreachable, "the circuit takes no more calls")

// Write sends, unless the circuit was shut before.
func (circuit *circuit) Write(content []byte) (int, error) {
	circuit.mutex.Lock()
	if circuit.shut {
		circuit.mutex.Unlock()
		return 0, errShut
	}
	circuit.writing = true
	circuit.mutex.Unlock()
	written, err := circuit.Conn.Write(content)
	circuit.mutex.Lock()
	circuit.writing = false
	circuit.wrote = circuit.wrote || written > 0
	circuit.mutex.Unlock()
	return written, err
}

// Read receives.
func (circuit *circuit) Read(buffer []byte) (int, error) {
	read, err := circuit.Conn.Read(buffer)
	if read > 0 {
		circuit.mutex.Lock()
		circuit.heard = true
		circuit.mutex.Unlock()
	}
	return read, err
}
