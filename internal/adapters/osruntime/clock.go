// Package wallclock is the clock of the processes.
package osruntime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells a time that starts at the wall clock's and then follows the
// machine's boot time: it neither jumps when the wall clock is set nor stands
// still while the machine sleeps.
type Clock struct {
	began time.Time
	boot  time.Duration
	wall  func() time.Time
}

// NewClock starts a clock.
func NewClock() *Clock { return NewClockOver(time.Now) }

// NewClockOver starts a clock over another source of the wall clock's time, such as
// one that jumps in tests.
func NewClockOver(wall func() time.Time) *Clock {
	return &Clock{began: wall().Round(0), boot: sinceBoot(), wall: wall}
}

// Now is the time, for holds, limits and patience.
func (c *Clock) Now() time.Time { return c.began.Add(sinceBoot() - c.boot) }

// Wall is what the machine's wall clock says, which may jump.
func (c *Clock) Wall() time.Time { return c.wall().Round(0) }

func sinceBoot() time.Duration {
	var moment unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &moment); err != nil {
		panic("wallclock: the machine has no boot-time clock: " + err.Error())
	}
	return time.Duration(moment.Nano())
}
