package runtime

import "sync"

// LockMaker is what turns offer beside when their threads run one at a time: what waits
// for a disk holds a lock meanwhile, and whoever waits for the lock must give the turn
// back. Real threads need only a mutex.
type LockMaker interface {
	// NewLock makes a lock.
	NewLock() sync.Locker
}

// NewLock makes a lock for whoever waits for a disk.
func NewLock(rt Runtime) sync.Locker {
	if locks, offered := rt.(LockMaker); offered {
		return locks.NewLock()
	}
	return &sync.Mutex{}
}
