package scheduler

import (
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/backlog"
)

// A router sees its own calls at once and those of others only by reports, which are some
// hundred milliseconds old: as long as a prompt is read. Before a prefill it therefore asks
// for the backlog counts of the servers that are likely to be chosen. Each group of servers
// has an owner, a router that counts its backlog (package backlog).

// backlogCount is how many prompt tokens all routers have a server read, by the owner of its
// count.
type backlogCount struct {
	tokens int
	at     time.Time
}

// backlogCountFresh is how long a count is better than what reports say. The value is ours.
const backlogCountFresh = 25 * time.Millisecond

// backlogEntry is what an owner counts for a call that is to be prefilled.
type backlogEntry struct {
	backend *backend
	tokens  int
}

// SetBacklogQueries has the scheduler ask for counts before prefills: its caller then answers
// decisions of the kind QueryBacklog with BacklogReported, and sends TakeBacklogChanges to the
// owners.
func (s *Scheduler) SetBacklogQueries(asks bool) { s.queriesBacklog.Store(asks) }

// backlogRequests are what to ask before a call is prefilled, the group of the server that
// would be chosen without a response first; none if responses would change nothing.
func (c *cycle) backlogRequests(kind DecisionKind, best candidate) []backlog.Request {
	if kind != Prefill || !c.scheduler.queriesBacklog.Load() {
		return nil
	}
	state, sched := c.state, c.scheduler
	var questions []backlog.Request
	for _, b := range []*backend{best.backend, c.homePrefill, c.nextPrefill} {
		if b == nil || b.backlogGroup == "" || hasGroup(questions, b.backlogGroup) {
			continue
		}
		question := backlog.Request{Group: b.backlogGroup, WantsCounts: true, Changes: sched.outbox.take(b.backlogGroup)}
		if b == best.backend {
			state.backlogEntry = &backlogEntry{backend: b, tokens: best.uncached}
			question.Intent = &backlog.Change{Server: b.server.Name, Tokens: best.uncached}
		}
		questions = append(questions, question)
	}
	return questions
}

func hasGroup(questions []backlog.Request, group string) bool {
	for _, question := range questions {
		if question.Group == group {
			return true
		}
	}
	return false
}

// BacklogReported takes the owners' responses to a decision of the kind QueryBacklog, by
// group, and decides what is next. An owner that did not respond is left out.
func (s *Scheduler) BacklogReported(now time.Time, state *CallState, answers map[string]backlog.Response) Decision {
	if state.ended || state.dispatch.backend != nil {
		return Decision{Kind: Done}
	}
	for _, b := range s.snapshot.Load().serving(state.service.Name) {
		answer, found := answers[b.backlogGroup]
		if !found {
			continue
		}
		count := backlogCount{at: now}
		for _, counted := range answer.Counts {
			if counted.Server == b.server.Name {
				count.tokens = counted.Tokens
			}
		}
		b.backlogCount.Store(&count)
	}
	return s.begin(now, state, s.newCycle(now, state), false)
}

// tokensAhead is how many tokens a server reads before a call's prompt, by the owner's count
// if it is fresh, else by this router's own calls and reports.
func (c *cycle) tokensAhead(b *backend) float64 {
	if t := b.backlogCount.Load(); t != nil && c.now.Sub(t.at) <= backlogCountFresh {
		return float64(t.tokens)
	}
	return float64(b.prefillTokens.Load()) + b.otherCalls()*otherCallTokens
}

// countBacklog has the owner of the server's count know that a call is prefilled there.
func (c *cycle) countBacklog(b *backend, tokens int) {
	state := c.state
	if t := b.backlogCount.Load(); t != nil {
		after := *t
		after.tokens += tokens
		b.backlogCount.CompareAndSwap(t, &after)
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

// uncountBacklog has the owner know that what was counted for the call is read, or is not
// sent.
func (s *Scheduler) uncountBacklog(state *CallState) {
	entry := state.backlogEntry
	if entry == nil {
		return
	}
	state.backlogEntry = nil
	s.outbox.add(entry.backend.backlogGroup, backlog.Change{Server: entry.backend.server.Name, Tokens: -entry.tokens})
}

// outbox holds the changes that owners are still to be sent, by group.
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

// TakeBacklogChanges are the changes that the owners have not been sent, by group; the caller
// sends them.
func (s *Scheduler) TakeBacklogChanges() map[string][]backlog.Change {
	s.outbox.mutex.Lock()
	defer s.outbox.mutex.Unlock()
	changes := s.outbox.changes
	s.outbox.changes = nil
	return changes
}

// HasBacklogChanges tells whether there are changes to be sent to owners.
func (s *Scheduler) HasBacklogChanges() bool {
	s.outbox.mutex.Lock()
	defer s.outbox.mutex.Unlock()
	return len(s.outbox.changes) > 0
}

// groupSize is how many servers a group has at most before there are twice as many groups: an
// owner then serves some hundred prefills a second at the most. The value is ours.
const groupSize = 16

// groupOf names the group of a server among so many of its service and zone.
func groupOf(b *backend, servers int) string {
	groups := uint64(1)
	for groups*groupSize < uint64(servers) {
		groups *= 2
	}
	return b.server.Service + "/" + b.server.Zone + "/" + strconv.FormatUint(b.key%groups, 10)
}

// nameGroups names the group of each server.
func (sn *snapshot) nameGroups() {
	type p struct{ service, zone string }
	sizes := map[p]int{}
	for _, b := range sn.all {
		sizes[p{b.server.Service, b.server.Zone}]++
	}
	for _, b := range sn.all {
		b.backlogGroup = groupOf(b, sizes[p{b.server.Service, b.server.Zone}])
	}
}
