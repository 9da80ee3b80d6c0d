package fleet

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Circuit is one call under way at a stand-in: it may be closed by either side.
type Circuit struct {
	bell   runtime.Cond
	mutex  sync.Mutex
	closed bool
}

// NewCircuit opens a circuit.
func NewCircuit(turns runtime.Runtime) *Circuit { return &Circuit{bell: turns.NewCond()} }

// Close ends what is done for the circuit.
func (circuit *Circuit) Close() {
	circuit.mutex.Lock()
	circuit.closed = true
	circuit.mutex.Unlock()
	circuit.bell.Broadcast()
}

// Closed tells whether the circuit is closed.
func (circuit *Circuit) Closed() bool {
	circuit.mutex.Lock()
	defer circuit.mutex.Unlock()
	return circuit.closed
}

// Pause lets work take its time; false means that the circuit was closed.
func (circuit *Circuit) Pause(length time.Duration) bool {
	circuit.bell.Wait(length, circuit.Closed)
	return !circuit.Closed()
}
