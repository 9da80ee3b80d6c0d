package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// gatherPatience is longer than any one call takes; every call ends by itself.
const gatherPatience = time.Minute

// gather calls ask for each seat at once and returns when enough is true, or
// when all have answered. Answers that come later are passed over.
func gather[Answer any](rt runtime.Runtime, replicas []Replica, ask func(Replica) (Answer, error), take func(Replica, Answer, error), enough func() bool) {
	gatherWithin(rt, gatherPatience, replicas, ask, take, enough)
}

// gatherWithin does so for no longer than a patience.
func gatherWithin[Answer any](rt runtime.Runtime, patience time.Duration, replicas []Replica, ask func(Replica) (Answer, error), take func(Replica, Answer, error), enough func() bool) {
	var mutex sync.Mutex
	cond := rt.NewCond()
	left := len(replicas)
	closed := false
	for _, replica := range replicas {
		rt.Go(func() {
			answer, err := ask(replica)
			mutex.Lock()
			if !closed {
				take(replica, answer, err)
			}
			left--
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	cond.Wait(patience, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		closed = left == 0 || enough()
		return closed
	})
	mutex.Lock()
	defer mutex.Unlock()
	closed = true
}
