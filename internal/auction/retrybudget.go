package auction

import "sync"

// RetryBudget bounds the dispatches beyond each request's first to a fifth of the first
// ones, in the manner of a token bucket that is filled by first dispatches rather than by
// time: a fleet in trouble is not loaded further by its own retries.
type RetryBudget struct {
	mutex           sync.Mutex
	firstDispatches int
	retries         int
	// credit is counted in first dispatches; creditPerRetry of them pay for a retry.
	credit int
}

const (
	// creditPerRetry is how many first dispatches earn one retry.
	creditPerRetry = 5
	// maxCredit is what a router that retries nothing saves: one failed KV transfer,
	// which costs two retries, and no more, so that a failure does not bring a burst.
	maxCredit = 2 * creditPerRetry
)

// RecordFirst counts the first dispatch of a request, which earns a fifth of a retry.
func (b *RetryBudget) RecordFirst() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.firstDispatches++
	b.credit = min(b.credit+1, maxCredit)
}

// Spend takes count retries from the budget; it takes none and returns false if there
// are fewer.
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

// Counts returns how many first dispatches and retries there were.
func (b *RetryBudget) Counts() (firstDispatches, retries int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.firstDispatches, b.retries
}
