// Package osruntime implements package runtime's interfaces for a real process: with the machine's
// clocks, with goroutines, and with condition variables whose waits end when the process ends.
package osruntime

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Runtime implements runtime.Runtime for one process, which lives until its context ends.
type Runtime struct {
	clock    *Clock
	lifetime context.Context
}

// New returns the runtime of a process that ends when the context lifetime ends.
func New(lifetime context.Context, clock *Clock) *Runtime {
	return &Runtime{clock: clock, lifetime: lifetime}
}

// Now returns the clock's monotonic time.
func (r *Runtime) Now() time.Time { return r.clock.Now() }

// Wall returns the time of the machine's wall clock.
func (r *Runtime) Wall() time.Time { return r.clock.Wall() }

// Alive reports whether the process is still running, that is, its context has not ended.
func (r *Runtime) Alive() bool { return r.lifetime.Err() == nil }

// Go runs f in a new goroutine.
func (r *Runtime) Go(f func()) { go f() }

// NewCond returns a condition variable whose waits end when the process ends.
func (r *Runtime) NewCond() runtime.Cond {
	return &cond{lifetime: r.lifetime, next: make(chan struct{})}
}
