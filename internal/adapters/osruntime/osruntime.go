// Package osruntime implements the port of package runtime for a real process: with the
// machine's clocks, goroutines, and conditions that end with the process's context.
package osruntime

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Runtime is the runtime of one process, until its context ends.
type Runtime struct {
	clock    *Clock
	lifetime context.Context
}

// New returns the runtime of a process that ends with the context.
func New(lifetime context.Context, clock *Clock) *Runtime {
	return &Runtime{clock: clock, lifetime: lifetime}
}

// Now returns the clock's monotonic time.
func (r *Runtime) Now() time.Time { return r.clock.Now() }

// Wall returns the time of the machine's wall clock.
func (r *Runtime) Wall() time.Time { return r.clock.Wall() }

// Alive reports whether the context has not ended.
func (r *Runtime) Alive() bool { return r.lifetime.Err() == nil }

// Go starts a goroutine.
func (r *Runtime) Go(f func()) { go f() }

// NewCond makes a condition whose waits end with the process.
func (r *Runtime) NewCond() runtime.Cond {
	return &cond{lifetime: r.lifetime, next: make(chan struct{})}
}
