package runtime

import "time"

// Cond lets threads wait for what others bring about. No thread holds a mutex
// while it waits.
type Cond interface {
	// Wait returns true as soon as over does, which is asked at first and after
	// each ring, or false when the patience ends or the process does.
	Wait(patience time.Duration, over func() bool) bool
	// Broadcast has all who wait ask again.
	Broadcast()
}

// Sleep waits for a length of time, or until the process ends.
func Sleep(rt Runtime, length time.Duration) {
	rt.NewCond().Wait(length, func() bool { return false })
}

// Every does a task over and over, with a pause between, until the process
// ends.
func Every(rt Runtime, pause time.Duration, task func()) {
	for rt.Alive() {
		next := rt.Now().Add(pause)
		task()
		if left := next.Sub(rt.Now()); left > 0 {
			Sleep(rt, left)
		}
	}
}
