package backlog

import (
	"sort"
	"sync"
	"time"
)

// ShareTTL is how long a router's share of a count lasts when nothing more is heard of it. It
// is longer than a read takes on a server that is well.
const ShareTTL = 3 * time.Second

// Table keeps the counts of the groups that a router was asked for. The zero value is
// ready to use.
type Table struct {
	mutex  sync.Mutex
	groups map[string]map[shareKey]*share
	swept  time.Time
}

// holding is what one router has one server read.
type shareKey struct{ server, router string }

type share struct {
	tokens  int
	expires time.Time
}

// Apply counts a question's changes, answers it and counts its intent.
func (l *Table) Apply(now time.Time, question Request) Response {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.swept) >= ShareTTL {
		l.sweep(now)
	}
	for _, change := range question.Changes {
		l.count(now, question, change)
	}
	var answer Response
	if question.WantsCounts {
		answer.Counts = l.counts(now, question.Group)
	}
	if question.Intent != nil {
		l.count(now, question, *question.Intent)
	}
	return answer
}

func (l *Table) count(now time.Time, question Request, change Change) {
	if l.groups == nil {
		l.groups = map[string]map[shareKey]*share{}
	}
	group, found := l.groups[question.Group]
	if !found {
		group = map[shareKey]*share{}
		l.groups[question.Group] = group
	}
	holder := shareKey{server: change.Server, router: question.Router}
	held, found := group[holder]
	if !found || !now.Before(held.expires) {
		held = &share{}
		group[holder] = held
	}
	held.tokens += change.Tokens
	held.expires = now.Add(ShareTTL)
	if held.tokens <= 0 {
		delete(group, holder)
	}
}

// counts sums the shares of each server, the servers in order.
func (l *Table) counts(now time.Time, group string) []Change {
	sums := map[string]int{}
	for holder, held := range l.groups[group] {
		if now.Before(held.expires) {
			sums[holder.server] += held.tokens
		}
	}
	counts := make([]Change, 0, len(sums))
	for server, tokens := range sums {
		counts = append(counts, Change{Server: server, Tokens: tokens})
	}
	sort.Slice(counts, func(left, right int) bool { return counts[left].Server < counts[right].Server })
	return counts
}

// sweep forgets shares that lapsed.
func (l *Table) sweep(now time.Time) {
	l.swept = now
	for name, group := range l.groups {
		for holder, held := range group {
			if !now.Before(held.expires) {
				delete(group, holder)
			}
		}
		if len(group) == 0 {
			delete(l.groups, name)
		}
	}
}
