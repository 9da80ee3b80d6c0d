package larder

import "sync"

// gather calls ask for each seat at once and returns when enough is true, or
// when all have answered. Answers that come later are passed over.
func gather[Answer any](seats []Seat, ask func(Seat) (Answer, error), take func(Seat, Answer, error), enough func() bool) {
	var mutex sync.Mutex
	changed := sync.NewCond(&mutex)
	left := len(seats)
	closed := false
	for _, seat := range seats {
		go func() {
			answer, failure := ask(seat)
			mutex.Lock()
			defer mutex.Unlock()
			if !closed {
				take(seat, answer, failure)
			}
			left--
			changed.Broadcast()
		}()
	}
	mutex.Lock()
	defer mutex.Unlock()
	for left > 0 && !enough() {
		changed.Wait()
	}
	closed = true
}
