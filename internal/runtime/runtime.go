// Package runtime is the interface through which the core packages use time and goroutines. They never
// read a clock or start a goroutine directly, so that the implementation can be replaced: a process uses
// the operating system's clock (internal/adapters/osruntime), a simulation advances its own clock and runs
// one goroutine at a time (internal/testbed/simulation), and a unit test sets the time (runtimetest).
package runtime

import (
	"sync"
	"time"
)

// Runtime provides time and goroutines to a component.
type Runtime interface {
	// Now returns a monotonic time, for leases, deadlines and timeouts.
	Now() time.Time
	// Wall returns the time of the machine's wall clock, which may jump.
	Wall() time.Time
	// Go calls f in a goroutine of its own.
	Go(f func())
	// Alive reports whether the process is still running. Loops end once it returns false.
	Alive() bool
	// NewCond returns a condition that goroutines can wait for.
	NewCond() Cond
}

// Cond lets goroutines wait for a condition that other goroutines make true. Unlike with sync.Cond,
// the caller of Wait holds no mutex, and each wait has a timeout.
type Cond interface {
	// Wait calls done at the start and after each Broadcast, and returns true as soon as
	// done returns true. It returns false when the timeout passes or the process ends.
	Wait(timeout time.Duration, done func() bool) bool
	// Broadcast wakes all waiting goroutines, which then call done again.
	Broadcast()
}

// Sleep waits until the given duration has passed or the process ends.
func Sleep(rt Runtime, length time.Duration) {
	rt.NewCond().Wait(length, func() bool { return false })
}

// Every calls a task repeatedly until the process ends. Each call starts one interval after the start
// of the previous call, or immediately if the previous call took longer than the interval.
func Every(rt Runtime, interval time.Duration, task func()) {
	for rt.Alive() {
		next := rt.Now().Add(interval)
		task()
		if left := next.Sub(rt.Now()); left > 0 {
			Sleep(rt, left)
		}
	}
}

// LockMaker is implemented by runtimes that run one goroutine at a time. A goroutine that waits for a
// lock while the lock's owner writes to a disk must yield to the other goroutines, because the write
// takes simulated time. A sync.Mutex would block without the runtime's knowledge.
type LockMaker interface {
	// NewLock returns a lock whose waiters yield to other goroutines.
	NewLock() sync.Locker
}

// NewLock returns a lock that may be held during a write to a disk: the runtime's own lock if the runtime
// is a LockMaker, or else a sync.Mutex.
func NewLock(rt Runtime) sync.Locker {
	if maker, ok := rt.(LockMaker); ok {
		return maker.NewLock()
	}
	return &sync.Mutex{}
}
