// Package runtimetest has runtimes for unit tests, whose time stands still or is set by the
// test. Goroutines and conditions come from the runtime that they embed, if there is one.
package runtimetest

import (
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Noon is the moment at which the time of tests begins.
var Noon = time.Unix(2_000_000, 0)

// AtNoon returns the moment that is so long after Noon.
func AtNoon(length time.Duration) time.Time { return Noon.Add(length) }

// Fixed is a runtime whose time is always Noon.
type Fixed struct{ runtime.Runtime }

// Now returns Noon.
func (Fixed) Now() time.Time { return Noon }

// Wall returns Noon.
func (Fixed) Wall() time.Time { return Noon }

// Moving is a runtime whose monotonic time the test sets.
type Moving struct {
	runtime.Runtime
	Time time.Time
}

// Now returns the time that the test has set.
func (m *Moving) Now() time.Time { return m.Time }
