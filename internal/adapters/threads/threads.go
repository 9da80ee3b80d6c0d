// Package threads gives the core packages real threads and a real clock.
package threads

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/lease"
)

// Threads are those of one process, for as long as it lives.
type Threads struct {
	clock    *wallclock.Clock
	lifetime context.Context
}

// New makes the threads of a process.
func New(lifetime context.Context, clock *wallclock.Clock) *Threads {
	return &Threads{clock: clock, lifetime: lifetime}
}

// Now is the clock's time.
func (threads *Threads) Now() time.Time { return threads.clock.Now() }

// Wall is the machine's wall clock.
func (threads *Threads) Wall() time.Time { return threads.clock.Wall() }

// Alive tells whether the process goes on.
func (threads *Threads) Alive() bool { return threads.lifetime.Err() == nil }

// Go starts a thread.
func (threads *Threads) Go(act func()) { go act() }

// NewBell makes a bell.
func (threads *Threads) NewBell() lease.Bell {
	return &bell{lifetime: threads.lifetime, next: make(chan struct{})}
}
