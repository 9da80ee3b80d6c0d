package backlog

import (
	"sort"
	"sync"
	"time"
)

// ShareTTL is how long a router's share of a count lasts without a change from it. It is longer
// than a prefill takes on a healthy server.
const ShareTTL = 3 * time.Second

// Table keeps the counts of the groups that a router owns. The zero value is ready to use; its
// methods may be called from several threads.
type Table struct {
	mutex  sync.Mutex
	groups map[string]map[shareKey]*share
	// swept is when lapsed shares were last removed.
	swept time.Time
}

// shareKey is for what one router has one server read.
type shareKey struct{ server, router string }

// share is in prompt tokens.
type share struct {
	tokens  int
	expires time.Time
}

// Apply counts a request's changes, makes the response and then counts the request's intent.
func (t *Table) Apply(now time.Time, request Request) Response {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Sub(t.swept) >= ShareTTL {
		t.sweep(now)
	}
	for _, change := range request.Changes {
		t.count(now, request, change)
	}
	var response Response
	if request.WantsCounts {
		response.Counts = t.counts(now, request.Group)
	}
	if request.Intent != nil {
		t.count(now, request, *request.Intent)
	}
	return response
}

// count adds a change to the share of the requesting router; a share at or below zero is dropped,
// so that a change that comes twice takes nothing from other routers.
func (t *Table) count(now time.Time, request Request, change Change) {
	if t.groups == nil {
		t.groups = map[string]map[shareKey]*share{}
	}
	group, found := t.groups[request.Group]
	if !found {
		group = map[shareKey]*share{}
		t.groups[request.Group] = group
	}
	key := shareKey{server: change.Server, router: request.Router}
	current, found := group[key]
	if !found || !now.Before(current.expires) {
		current = &share{}
		group[key] = current
	}
	current.tokens += change.Tokens
	current.expires = now.Add(ShareTTL)
	if current.tokens <= 0 {
		delete(group, key)
	}
}

// counts sums the shares of each server, sorted by server.
func (t *Table) counts(now time.Time, group string) []Change {
	sums := map[string]int{}
	for key, current := range t.groups[group] {
		if now.Before(current.expires) {
			sums[key.server] += current.tokens
		}
	}
	counts := make([]Change, 0, len(sums))
	for server, tokens := range sums {
		counts = append(counts, Change{Server: server, Tokens: tokens})
	}
	sort.Slice(counts, func(left, right int) bool { return counts[left].Server < counts[right].Server })
	return counts
}

// sweep removes lapsed shares.
func (t *Table) sweep(now time.Time) {
	t.swept = now
	for name, group := range t.groups {
		for key, current := range group {
			if !now.Before(current.expires) {
				delete(group, key)
			}
		}
		if len(group) == 0 {
			delete(t.groups, name)
		}
	}
}
