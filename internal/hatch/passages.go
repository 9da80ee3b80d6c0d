package hatch

import (
	"sync"
	"time"
)

// passages remembers the passings-on that came to this courier, so that one
// which a link brings again is told.
type passages struct {
	mutex sync.Mutex
	seen  map[string]time.Time
	order []string
}

// mostPassages bounds the memory; passageTime is how long one is remembered.
const (
	mostPassages = 65536
	passageTime  = 10 * time.Minute
)

// first tells whether the nonce comes for the first time.
func (passages *passages) first(now time.Time, nonce string) bool {
	passages.mutex.Lock()
	defer passages.mutex.Unlock()
	if passages.seen == nil {
		passages.seen = map[string]time.Time{}
	}
	if _, found := passages.seen[nonce]; found {
		return false
	}
	passages.seen[nonce] = now
	passages.order = append(passages.order, nonce)
	for len(passages.order) > mostPassages || (len(passages.order) > 0 && now.Sub(passages.seen[passages.order[0]]) > passageTime) {
		delete(passages.seen, passages.order[0])
		passages.order = passages.order[1:]
	}
	return true
}
