package scheduler

import (
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/backlog"
)

// A router sees its own calls at once and those of others only by reports, which are some
// hundred milliseconds old: as long as a prompt is read. Before a read it therefore asks
// the keepers of the counts for the servers that are likely to be chosen.

// told is what the keeper of a server's count said.
type backlogCount struct {
	tokens int
	at     time.Time
}

// backlogCountFresh is how long a told count is better than what reports say. The value is ours.
const backlogCountFresh = 25 * time.Millisecond

// booking is what a keeper counts for a call that is to be read.
type backlogEntry struct {
	backend *backend
	tokens  int
}

// SetBacklogQueries has the window ask for counts before reads: its conduct then answers decisions
// of the kind Ask with Told, and brings TakeBacklogChanges to the keepers.
func (s *Scheduler) SetBacklogQueries(asks bool) { s.queriesBacklog.Store(asks) }

// questions are what to ask before a call is read, the group of the server that would be
// chosen without an answer first; none if the answers would change nothing.
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

// BacklogReported takes the keepers' answers to a decision of the kind Ask, by group, and tells what
// is next. A keeper that did not answer is left out.
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

// ahead is how many tokens a server is believed to read before a call's prompt.
func (c *cycle) tokensAhead(b *backend) float64 {
	if t := b.backlogCount.Load(); t != nil && c.now.Sub(t.at) <= backlogCountFresh {
		return float64(t.tokens)
	}
	return float64(b.prefillTokens.Load()) + b.otherCalls()*otherCallTokens
}

// book has the keeper of the server's count know that a call is read there.
func (c *cycle) countBacklog(b *backend, tokens int) {
	state := c.state
	if t := b.backlogCount.Load(); t != nil {
		after := *t
		after.tokens += tokens
		b.backlogCount.CompareAndSwap(t, &after)
	}
	if booked := state.backlogEntry; booked != nil && booked.backend.serverState == b.serverState && booked.tokens == tokens {
		return
	}
	c.scheduler.uncountBacklog(state)
	if c.scheduler.queriesBacklog.Load() {
		state.backlogEntry = &backlogEntry{backend: b, tokens: tokens}
		c.scheduler.outbox.add(b.backlogGroup, backlog.Change{Server: b.server.Name, Tokens: tokens})
	}
}

// unbook has the keeper know that what was booked for the call is read, or is not sent.
func (s *Scheduler) uncountBacklog(state *CallState) {
	booked := state.backlogEntry
	if booked == nil {
		return
	}
	state.backlogEntry = nil
	s.outbox.add(booked.backend.backlogGroup, backlog.Change{Server: booked.backend.server.Name, Tokens: -booked.tokens})
}

// outbox holds the changes that keepers are still to be told of, by group.
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

// TakeBacklogChanges are the changes that the keepers have not been told of, by group.
func (s *Scheduler) TakeBacklogChanges() map[string][]backlog.Change {
	s.outbox.mutex.Lock()
	defer s.outbox.mutex.Unlock()
	changes := s.outbox.changes
	s.outbox.changes = nil
	return changes
}

// HasBacklogChanges tells whether keepers are to be told of changes.
func (s *Scheduler) HasBacklogChanges() bool {
	s.outbox.mutex.Lock()
	defer s.outbox.mutex.Unlock()
	return len(s.outbox.changes) > 0
}

// groupSize is how many servers a group has at most before there are twice as many groups:
// a keeper then answers for some hundred reads a second at the most. The value is ours.
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
