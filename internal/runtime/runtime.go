// Package runtime is the port to time and goroutines. The core packages read no clock and start
// no goroutines themselves: a process gives them those of the operating system
// (internal/adapters/osruntime), a simulation a clock that it moves and goroutines that it runs
// one at a time (internal/testbed/simulation), a unit test a time that it sets (runtimetest).
package runtime

import (
	"sync"
	"time"
)

// Runtime gives a component its time and its goroutines.
type Runtime interface {
	// Now returns a monotonic time, for leases, deadlines and timeouts.
	Now() time.Time
	// Wall returns the time of the machine's wall clock, which may jump.
	Wall() time.Time
	// Go calls f in a goroutine of its own.
	Go(f func())
	// Alive reports whether the process goes on. Loops end when it does not.
	Alive() bool
	// NewCond makes a condition that goroutines can wait for.
	NewCond() Cond
}

// Cond lets goroutines wait for a condition that others bring about. Unlike with sync.Cond no
// goroutine holds a mutex while it waits, and each wait has a timeout.
type Cond interface {
	// Wait calls done at first and after each Broadcast, and returns true as soon as done does.
	// It returns false when the timeout passes or the process ends.
	Wait(timeout time.Duration, done func() bool) bool
	// Broadcast wakes all that wait, so that they call done again.
	Broadcast()
}

// Sleep waits for a length of time, or until the process ends.
func Sleep(rt Runtime, length time.Duration) {
	rt.NewCond().Wait(length, func() bool { return false })
}

// Every calls a task again and again until the process ends, one interval after the start of
// the call before, or at once where that call took longer.
func Every(rt Runtime, interval time.Duration, task func()) {
	for rt.Alive() {
		next := rt.Now().Add(interval)
		task()
		if left := next.Sub(rt.Now()); left > 0 {
			Sleep(rt, left)
		}
	}
}

// LockMaker is implemented by runtimes that run one goroutine at a time. A lock that is held
// during a write to a disk is waited for in simulated time, so its waiters must yield to the
// other goroutines, which a sync.Mutex does not tell the runtime.
type LockMaker interface {
	// NewLock makes a lock whose waiters yield.
	NewLock() sync.Locker
}

// NewLock makes a lock that may be held during a write to a disk: the runtime's own where it
// makes locks, or else a sync.Mutex.
func NewLock(rt Runtime) sync.Locker {
	if maker, ok := rt.(LockMaker); ok {
		return maker.NewLock()
	}
	return &sync.Mutex{}
}
