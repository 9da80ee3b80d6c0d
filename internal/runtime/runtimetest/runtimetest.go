// Package runtimetest provides runtimes for unit tests, whose time is constant or set by the
// test. Goroutines and conditions come from the embedded runtime, if there is one.
package runtimetest

import (
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// StartTime is the time at which a test begins.
var StartTime = time.Unix(2_000_000, 0)

// AfterStart returns the time that is the given duration after StartTime.
func AfterStart(length time.Duration) time.Time { return StartTime.Add(length) }

// Fixed is a runtime whose time is always StartTime.
type Fixed struct{ runtime.Runtime }

// Now returns StartTime.
func (Fixed) Now() time.Time { return StartTime }

// Wall returns StartTime.
func (Fixed) Wall() time.Time { return StartTime }

// Moving is a runtime whose monotonic time the test sets.
type Moving struct {
	runtime.Runtime
	Time time.Time
}

// Now returns the time that the test has set.
func (m *Moving) Now() time.Time { return m.Time }
