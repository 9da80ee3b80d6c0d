package dataplane

import (
	"sync"
	"time"
)

// passages remembers the passings-on that came to this router, so that one
// which a link brings again is told.
type seenForwardings struct {
	mutex sync.Mutex
	seen  map[string]time.Time
	order []string
}

// maxForwardings bounds the memory; forwardingTTL is how long one is remembered.
const (
	maxForwardings = 65536
	forwardingTTL  = 10 * time.Minute
)

// first tells whether the nonce comes for the first time.
func (p *seenForwardings) first(now time.Time, nonce string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.seen == nil {
		p.seen = map[string]time.Time{}
	}
	if _, found := p.seen[nonce]; found {
		return false
	}
	p.seen[nonce] = now
	p.order = append(p.order, nonce)
	for len(p.order) > maxForwardings || (len(p.order) > 0 && now.Sub(p.seen[p.order[0]]) > forwardingTTL) {
		delete(p.seen, p.order[0])
		p.order = p.order[1:]
	}
	return true
}
