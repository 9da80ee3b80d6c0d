package runtime

import "time"

// Runtime is the port to time and threads. The core packages read no clock and
// start no threads themselves: a process gives them its own, a simulation a
// clock that it moves and threads that it lets run one at a time.
type Runtime interface {
	// Now is the time for holds, limits and patience; it never jumps.
	Now() time.Time
	// Wall is what the machine's wall clock says, which may jump.
	Wall() time.Time
	// Go does something in a thread of its own.
	Go(act func())
	// Alive is false when the process ends: loops then end too.
	Alive() bool
	// NewCond makes a bell that threads can wait for.
	NewCond() Cond
}
