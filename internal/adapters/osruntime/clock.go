package osruntime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock starts at the time of the wall clock and then follows the machine's boot time
// (CLOCK_BOOTTIME): it does not jump when the wall clock is set, and it goes on while the
// machine is suspended, so that a lease ends meanwhile.
type Clock struct {
	began time.Time
	boot  time.Duration
	wall  func() time.Time
}

// NewClock returns a clock that starts now.
func NewClock() *Clock { return NewClockOver(time.Now) }

// NewClockOver returns a clock with another source of the wall clock's time, such as one that
// jumps in tests.
func NewClockOver(wall func() time.Time) *Clock {
	return &Clock{began: wall().Round(0), boot: sinceBoot(), wall: wall}
}

// Now returns the monotonic time, for leases, deadlines and timeouts.
func (c *Clock) Now() time.Time { return c.began.Add(sinceBoot() - c.boot) }

// Wall returns the time of the machine's wall clock, which may jump.
func (c *Clock) Wall() time.Time { return c.wall().Round(0) }

func sinceBoot() time.Duration {
	var moment unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &moment); err != nil {
		panic("osruntime: the machine has no boot-time clock: " + err.Error())
	}
	return time.Duration(moment.Nano())
}
