package scheduler

import (
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/backlog"
)

// A router knows its own calls at once, but the calls of other routers only from load reports, which
// are a few hundred milliseconds old: about as long as the prefill of one prompt takes. Before a
// prefill the router therefore queries the backlog counts of the servers that are likely to be chosen.
// Each group of servers has an owner: the router that counts the group's backlog (package
// backlog).

// backlogCount is the number of prompt tokens that all routers have assigned to a server and that
// are still to be read, as counted by the owner of the server's group.
type backlogCount struct {
	tokens int
	at     time.Time
}

// backlogCountFresh is how long a count is more accurate than load reports.
const backlogCountFresh = 25 * time.Millisecond

// backlogEntry is the number of tokens that a call has added to the backlog count of a server.
type backlogEntry struct {
	backend *backend
	tokens  int
}

// SetBacklogQueries enables or disables backlog queries before prefills. If they are enabled, the
// caller has to answer decisions of the kind QueryBacklog with BacklogReported and to send the
// changes that TakeBacklogChanges returns to their owners.
func (s *Scheduler) SetBacklogQueries(enabled bool) { s.queriesBacklog.Store(enabled) }

// backlogRequests returns the queries to send before a call is prefilled, the query for the group
// of the best candidate first. It returns none unless the best candidate is a prefill and queries
// are enabled.
func (c *cycle) backlogRequests(kind DecisionKind, best candidate) []backlog.Request {
	if kind != Prefill || !c.scheduler.queriesBacklog.Load() {
		return nil
	}
	state, sched := c.state, c.scheduler
	var requests []backlog.Request
	for _, b := range []*backend{best.backend, c.homePrefill, c.nextPrefill} {
		if b == nil || b.backlogGroup == "" || hasGroup(requests, b.backlogGroup) {
			continue
		}
		request := backlog.Request{Group: b.backlogGroup, WantsCounts: true, Changes: sched.outbox.take(b.backlogGroup)}
		if b == best.backend {
			state.backlogEntry = &backlogEntry{backend: b, tokens: best.uncached}
			request.Intent = &backlog.Change{Server: b.server.Name, Tokens: best.uncached}
		}
		requests = append(requests, request)
	}
	return requests
}

func hasGroup(requests []backlog.Request, group string) bool {
	for _, request := range requests {
		if request.Group == group {
			return true
		}
	}
	return false
}

// BacklogReported applies the owners' responses, keyed by group, to a decision of the kind
// QueryBacklog, and decides the call's first dispatch. The groups of owners that did not respond
// are missing from the map.
func (s *Scheduler) BacklogReported(now time.Time, state *CallState, responses map[string]backlog.Response) Decision {
	if state.ended || state.dispatch.backend != nil {
		return Decision{Kind: Done}
	}
	for _, b := range s.snapshot.Load().serving(state.service.Name) {
		response, found := responses[b.backlogGroup]
		if !found {
			continue
		}
		count := backlogCount{at: now}
		for _, counted := range response.Counts {
			if counted.Server == b.server.Name {
				count.tokens = counted.Tokens
			}
		}
		b.backlogCount.Store(&count)
	}
	return s.firstDispatch(now, state, s.newCycle(now, state), false)
}

// tokensAhead estimates how many tokens a server has to read before a call's prompt: by the
// owner's count if it is fresh, else by this router's own calls and the load reports.
func (c *cycle) tokensAhead(b *backend) float64 {
	if count := b.backlogCount.Load(); count != nil && c.now.Sub(count.at) <= backlogCountFresh {
		return float64(count.tokens)
	}
	return float64(b.prefillTokens.Load()) + b.otherCalls()*otherCallTokens
}

// countBacklog adds a prefill's tokens to the server's backlog: to the local copy of the count and,
// unless the intent of the call's query has already added them there, to the count of the owner.
func (c *cycle) countBacklog(b *backend, tokens int) {
	state := c.state
	if count := b.backlogCount.Load(); count != nil {
		after := *count
		after.tokens += tokens
		b.backlogCount.CompareAndSwap(count, &after)
	}
	entry := state.backlogEntry
	if entry != nil && entry.backend.serverState == b.serverState && entry.tokens == tokens {
		return
	}
	c.scheduler.uncountBacklog(state)
	if c.scheduler.queriesBacklog.Load() {
		state.backlogEntry = &backlogEntry{backend: b, tokens: tokens}
		c.scheduler.outbox.add(b.backlogGroup, backlog.Change{Server: b.server.Name, Tokens: tokens})
	}
}

// uncountBacklog removes the call's tokens from the owner's count, since the server has read them
// or will not receive them.
func (s *Scheduler) uncountBacklog(state *CallState) {
	entry := state.backlogEntry
	if entry == nil {
		return
	}
	state.backlogEntry = nil
	s.outbox.add(entry.backend.backlogGroup, backlog.Change{Server: entry.backend.server.Name, Tokens: -entry.tokens})
}

// outbox holds the changes that have not been sent to their owners yet, by group.
type outbox struct {
	mutex   sync.Mutex
	changes map[string][]backlog.Change
}

func (o *outbox) add(group string, change backlog.Change) {
	if group == "" || change.Tokens == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.changes == nil {
		o.changes = map[string][]backlog.Change{}
	}
	o.changes[group] = append(o.changes[group], change)
}

func (o *outbox) take(group string) []backlog.Change {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	changes := o.changes[group]
	delete(o.changes, group)
	return changes
}

// TakeBacklogChanges returns and clears the changes that have not been sent to their owners yet,
// by group. The caller sends them.
func (s *Scheduler) TakeBacklogChanges() map[string][]backlog.Change {
	s.outbox.mutex.Lock()
	defer s.outbox.mutex.Unlock()
	changes := s.outbox.changes
	s.outbox.changes = nil
	return changes
}

// HasBacklogChanges reports whether there are changes to be sent to owners.
func (s *Scheduler) HasBacklogChanges() bool {
	s.outbox.mutex.Lock()
	defer s.outbox.mutex.Unlock()
	return len(s.outbox.changes) > 0
}

// groupSize is the maximum average number of servers in a group; the number of groups is doubled until
// the average is at most groupSize. This keeps an owner's load at a few hundred prefills per second at most.
const groupSize = 16

// groupOf names the group of a server; servers is the number of servers of its service in its
// zone.
func groupOf(b *backend, servers int) string {
	groups := uint64(1)
	for groups*groupSize < uint64(servers) {
		groups *= 2
	}
	return b.server.Service + "/" + b.server.Zone + "/" + strconv.FormatUint(b.key%groups, 10)
}

// nameGroups sets the backlog group of each server.
func (sn *snapshot) nameGroups() {
	type pool struct{ service, zone string }
	sizes := map[pool]int{}
	for _, b := range sn.all {
		sizes[pool{b.server.Service, b.server.Zone}]++
	}
	for _, b := range sn.all {
		b.backlogGroup = groupOf(b, sizes[pool{b.server.Service, b.server.Zone}])
	}
}
