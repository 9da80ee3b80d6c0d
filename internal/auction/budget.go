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
	triesShare = 5
	// mostSpare is what a courier that retries nothing saves: one lost hand-over,
	// which costs two tries, and no more, so that a loss does not bring a burst.
	mostSpare = 2 * triesShare
)

// First earns a fifth of an extra try.
func (budget *Budget) First() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.first++
	budget.spare = min(budget.spare+1, mostSpare)
}

// Extra spends so many extra tries, if there are as many.
func (budget *Budget) Extra(count int) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.spare < count*triesShare {
		return false
	}
	budget.spare -= count * triesShare
	budget.extra += count
	return true
}

// Counts tells how many first dispatches and extra tries there were.
func (budget *Budget) Counts() (first, extra int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.first, budget.extra
}
