package auction

import "sync"

// RetryBudget limits retries to a fifth of the requests' first dispatches, so that retries do not
// add much load to a fleet that already has faults. It is a token bucket that is refilled by first
// dispatches, not by the passage of time.
type RetryBudget struct {
	mutex           sync.Mutex
	firstDispatches int
	retries         int
	// credit is the unspent credit: each first dispatch adds one, and each retry costs creditPerRetry.
	credit int
}

const (
	// creditPerRetry is how many first dispatches earn one retry.
	creditPerRetry = 5
	// maxCredit bounds the credit to two retries, the cost of one failed KV transfer, so
	// that a failure after a long time without retries does not cause a burst of them.
	maxCredit = 2 * creditPerRetry
)

// RecordFirst counts the first dispatch of a request, which adds one credit.
func (b *RetryBudget) RecordFirst() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.firstDispatches++
	b.credit = min(b.credit+1, maxCredit)
}

// Spend takes count retries from the budget. If the credit does not suffice, it takes none
// and returns false.
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

// Counts returns the numbers of first dispatches and of retries so far.
func (b *RetryBudget) Counts() (firstDispatches, retries int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.firstDispatches, b.retries
}
