package osruntime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock. It starts at the current wall-clock time and then advances with the
// machine's boot-time clock (CLOCK_BOOTTIME): it does not jump when the wall clock is set, and it
// advances while the machine is suspended, so that leases expire during a suspension.
type Clock struct {
	start       time.Time
	bootAtStart time.Duration
	wall        func() time.Time
}

// NewClock returns a clock that starts now.
func NewClock() *Clock { return NewClockFrom(time.Now) }

// NewClockFrom returns a clock that starts now and reads the wall-clock time from the given function.
// Tests use it to simulate a wall clock that jumps.
func NewClockFrom(wall func() time.Time) *Clock {
	return &Clock{start: wall().Round(0), bootAtStart: sinceBoot(), wall: wall}
}

// Now returns the monotonic time, which leases, deadlines and timeouts are based on.
func (c *Clock) Now() time.Time { return c.start.Add(sinceBoot() - c.bootAtStart) }

// Wall returns the time of the machine's wall clock, which may jump.
func (c *Clock) Wall() time.Time { return c.wall().Round(0) }

// sinceBoot returns the time since the machine booted, including the time it was suspended.
func sinceBoot() time.Duration {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		panic("osruntime: cannot read the boot-time clock: " + err.Error())
	}
	return time.Duration(timespec.Nano())
}
