package auction

import "sync"

// Budget bounds extra tries to a fifth of the first dispatches, and to a
// handful at once.
type Budget struct {
	mutex sync.Mutex
	first int
	extra int
	spare int
}

const (
	attemptsShare = 5
	// mostSpare is what a router that retries nothing saves: one lost hand-over,
	// which costs two tries, and no more, so that a loss does not bring a burst.
	mostSpare = 2 * attemptsShare
)

// First earns a fifth of an extra try.
func (b *Budget) First() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.first++
	b.spare = min(b.spare+1, mostSpare)
}

// Extra spends so many extra tries, if there are as many.
func (b *Budget) Extra(count int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spare < count*attemptsShare {
		return false
	}
	b.spare -= count * attemptsShare
	b.extra += count
	return true
}

// Counts tells how many first dispatches and extra tries there were.
func (b *Budget) Counts() (first, extra int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.first, b.extra
}
