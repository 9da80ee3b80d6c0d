package lease

import "time"

// Bell lets threads wait for what others bring about. No thread holds a mutex
// while it waits.
type Bell interface {
	// Wait returns true as soon as over does, which is asked at first and after
	// each ring, or false when the patience ends or the process does.
	Wait(patience time.Duration, over func() bool) bool
	// Ring has all who wait ask again.
	Ring()
}

// Pause waits for a length of time, or until the process ends.
func Pause(turns Turns, length time.Duration) {
	turns.NewBell().Wait(length, func() bool { return false })
}

// Every does a task over and over, with a pause between, until the process
// ends.
func Every(turns Turns, pause time.Duration, task func()) {
	for turns.Alive() {
		next := turns.Now().Add(pause)
		task()
		if left := next.Sub(turns.Now()); left > 0 {
			Pause(turns, left)
		}
	}
}
