package expediter

import "sync"

// bell wakes everybody who waits for news.
type bell struct {
	mutex sync.Mutex
	next  chan struct{}
}

func newBell() *bell { return &bell{next: make(chan struct{})} }

// wait gives the channel that the next ring closes.
func (bell *bell) wait() <-chan struct{} {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	return bell.next
}

func (bell *bell) ring() {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	close(bell.next)
	bell.next = make(chan struct{})
}
