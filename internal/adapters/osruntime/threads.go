// Package threads gives the core packages real threads and a real clock.
package osruntime

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Runtime are those of one process, for as long as it lives.
type Runtime struct {
	clock    *Clock
	lifetime context.Context
}

// New makes the threads of a process.
func New(lifetime context.Context, clock *Clock) *Runtime {
	return &Runtime{clock: clock, lifetime: lifetime}
}

// Now is the clock's time.
func (r *Runtime) Now() time.Time { return r.clock.Now() }

// Wall is the machine's wall clock.
func (r *Runtime) Wall() time.Time { return r.clock.Wall() }

// Alive tells whether the process goes on.
func (r *Runtime) Alive() bool { return r.lifetime.Err() == nil }

// Go starts a thread.
func (r *Runtime) Go(act func()) { go act() }

// NewCond makes a bell.
func (r *Runtime) NewCond() runtime.Cond {
	return &cond{lifetime: r.lifetime, next: make(chan struct{})}
}
