package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// Peers is the interface to the other controllers. Each call except Hello contains the identity of the
// disk for which the call is meant. A call without a response fails within a few hundred milliseconds.
// Calls may be made from any goroutine.
type Peers interface {
	Hello(address string, own Hello) (Hello, error)
	Prepare(address string, witness Identity, epoch uint64, candidate Identity) (Vote, error)
	Accept(address string, witness Identity, membership Membership) (Vote, error)
	RenewLease(address string, witness Identity, epoch uint64, primary Identity) (Vote, error)
	Replicate(address string, backup Identity, epoch uint64, batch Batch) error
	Install(address string, backup Identity, snapshot Snapshot) error
}

// gatherTimeout is longer than any call takes: a call without a response fails within a few hundred
// milliseconds.
const gatherTimeout = time.Minute

// gather calls all replicas in parallel and passes each response or error to handle, one at a time.
// It returns when done reports true or when all calls have ended. Responses that arrive after that
// are dropped.
func gather[Response any](
	rt runtime.Runtime, replicas []Replica,
	call func(Replica) (Response, error), handle func(Replica, Response, error), done func() bool,
) {
	gatherWithin(rt, gatherTimeout, replicas, call, handle, done)
}

// gatherWithin does the same as gather, and also returns when timeout has passed.
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
