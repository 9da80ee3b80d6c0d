package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/lease"
)

// gatherPatience is longer than any one call takes; every call ends by itself.
const gatherPatience = time.Minute

// gather calls ask for each seat at once and returns when enough is true, or
// when all have answered. Answers that come later are passed over.
func gather[Answer any](turns lease.Turns, seats []Seat, ask func(Seat) (Answer, error), take func(Seat, Answer, error), enough func() bool) {
	gatherWithin(turns, gatherPatience, seats, ask, take, enough)
}

// gatherWithin does so for no longer than a patience.
func gatherWithin[Answer any](turns lease.Turns, patience time.Duration, seats []Seat, ask func(Seat) (Answer, error), take func(Seat, Answer, error), enough func() bool) {
	var mutex sync.Mutex
	bell := turns.NewBell()
	left := len(seats)
	closed := false
	for _, seat := range seats {
		turns.Go(func() {
			answer, err := ask(seat)
			mutex.Lock()
			if !closed {
				take(seat, answer, err)
			}
			left--
			mutex.Unlock()
			bell.Ring()
		})
	}
	bell.Wait(patience, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		closed = left == 0 || enough()
		return closed
	})
	mutex.Lock()
	defer mutex.Unlock()
	closed = true
}
