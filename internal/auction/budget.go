package auction

import "sync"

// RetryBudget bounds extra tries to a fifth of the first dispatches, and to a
// handful at once.
type RetryBudget struct {
	mutex           sync.Mutex
	firstDispatches int
	retries         int
	credit          int
}

const (
	creditPerRetry = 5
	// maxCredit is what a router that retries nothing saves: one lost hand-over,
	// which costs two tries, and no more, so that a loss does not bring a burst.
	maxCredit = 2 * creditPerRetry
)

// RecordFirst earns a fifth of an extra try.
func (b *RetryBudget) RecordFirst() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.firstDispatches++
	b.credit = min(b.credit+1, maxCredit)
}

// Spend spends so many extra tries, if there are as many.
func (b *RetryBudget) Spend(count int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.credit < count*creditPerRetry {
		return false
	}
	b.credit -= count * creditPerRetry
	b.retries += count
	return true
}

// Counts tells how many first dispatches and extra tries there were.
func (b *RetryBudget) Counts() (first, extra int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.firstDispatches, b.retries
}
