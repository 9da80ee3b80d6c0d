package backlog

import (
	"sort"
	"sync"
	"time"
)

// ShareTTL is how long a router's share of a count is valid after the router's last change to it.
// A prefill at a healthy server takes less time.
const ShareTTL = 3 * time.Second

// Table keeps the counts of the groups that a router owns. The zero value is ready to use. It is
// safe for concurrent use.
type Table struct {
	mutex  sync.Mutex
	groups map[string]map[shareKey]*share
	// swept is when expired shares were last removed.
	swept time.Time
}

// shareKey identifies the share of one router in the count of one server.
type shareKey struct{ server, router string }

// share is the number of prompt tokens that one router has assigned to one server and that the server
// has not read yet.
type share struct {
	tokens  int
	expires time.Time
}

// Apply adds a request's changes to the counts, makes the response, and then adds the request's
// intent. The counts in the response therefore don't include the intent.
func (t *Table) Apply(now time.Time, request Request) Response {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Sub(t.swept) >= ShareTTL {
		t.sweep(now)
	}
	for _, change := range request.Changes {
		t.add(now, request, change)
	}
	var response Response
	if request.WantsCounts {
		response.Counts = t.counts(now, request.Group)
	}
	if request.Intent != nil {
		t.add(now, request, *request.Intent)
	}
	return response
}

// add adds a change to the share of the requesting router. A share that falls to zero or below is
// removed, so that a decrease that is received twice doesn't reduce the shares of other routers.
func (t *Table) add(now time.Time, request Request, change Change) {
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

// counts returns the sum of the valid shares of each server, sorted by server.
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

// sweep removes expired shares.
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
