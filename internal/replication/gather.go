package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// gatherTimeout is longer than any one call takes; every call ends by itself.
const gatherTimeout = time.Minute

// gather calls ask for each seat at once and returns when enough is true, or
// when all have answered. Answers that come later are passed over.
func gather[Response any](rt runtime.Runtime, replicas []Replica, call func(Replica) (Response, error), handle func(Replica, Response, error), done func() bool) {
	gatherWithin(rt, gatherTimeout, replicas, call, handle, done)
}

// gatherWithin does so for no longer than a patience.
func gatherWithin[Response any](rt runtime.Runtime, timeout time.Duration, replicas []Replica, call func(Replica) (Response, error), handle func(Replica, Response, error), done func() bool) {
	var mutex sync.Mutex
	cond := rt.NewCond()
	left := len(replicas)
	closed := false
	for _, replica := range replicas {
		rt.Go(func() {
			response, err := call(replica)
			mutex.Lock()
			if !closed {
				handle(replica, response, err)
			}
			left--
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	cond.Wait(timeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		closed = left == 0 || done()
		return closed
	})
	mutex.Lock()
	defer mutex.Unlock()
	closed = true
}
