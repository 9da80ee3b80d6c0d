package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Peers is the port to the other controllers. Each call names the disk that it is for, ends by itself
// within a few hundred milliseconds when no response comes, and may be called by any goroutine.
type Peers interface {
	Hello(address string, own Hello) (Hello, error)
	Prepare(address string, witness Identity, epoch uint64, candidate Identity) (Vote, error)
	Accept(address string, witness Identity, membership Membership) (Vote, error)
	RenewLease(address string, witness Identity, epoch uint64, primary Identity) (Vote, error)
	Replicate(address string, backup Identity, epoch uint64, batch Batch) error
	Install(address string, backup Identity, snapshot Snapshot) error
}

// gatherTimeout is longer than any call takes; each call ends by itself.
const gatherTimeout = time.Minute

// gather calls each replica at once, hands the responses to handle, one at a time, and returns when
// done is true after one of them, or when all have come. Later responses are dropped.
func gather[Response any](
	rt runtime.Runtime, replicas []Replica,
	call func(Replica) (Response, error), handle func(Replica, Response, error), done func() bool,
) {
	gatherWithin(rt, gatherTimeout, replicas, call, handle, done)
}

// gatherWithin is gather with a timeout.
func gatherWithin[Response any](
	rt runtime.Runtime, timeout time.Duration, replicas []Replica,
	call func(Replica) (Response, error), handle func(Replica, Response, error), done func() bool,
) {
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
