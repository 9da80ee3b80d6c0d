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
func (threads *Runtime) Now() time.Time { return threads.clock.Now() }

// Wall is the machine's wall clock.
func (threads *Runtime) Wall() time.Time { return threads.clock.Wall() }

// Alive tells whether the process goes on.
func (threads *Runtime) Alive() bool { return threads.lifetime.Err() == nil }

// Go starts a thread.
func (threads *Runtime) Go(act func()) { go act() }

// NewCond makes a bell.
func (threads *Runtime) NewCond() runtime.Cond {
	return &cond{lifetime: threads.lifetime, next: make(chan struct{})}
}
