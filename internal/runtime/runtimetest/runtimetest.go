// Package runtimetest has runtimes for tests whose time stands still or is moved by the test.
// Threads and conditions come from the runtime that they wrap, if there is one.
package runtimetest

import (
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Noon is the moment at which the time of tests begins.
var Noon = time.Unix(2_000_000, 0)

// AtNoon is the moment so long after noon.
func AtNoon(length time.Duration) time.Time { return Noon.Add(length) }

// Fixed is a runtime whose time is always noon.
type Fixed struct{ runtime.Runtime }

// Now is noon.
func (Fixed) Now() time.Time { return Noon }

// Wall is noon.
func (Fixed) Wall() time.Time { return Noon }

// Moving is a runtime whose time the test moves.
type Moving struct {
	runtime.Runtime
	Time time.Time
}

// Now is the time that the test has set.
func (m *Moving) Now() time.Time { return m.Time }
