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
type told struct {
	tokens int
	at     time.Time
}

// freshCount is how long a told count is better than what reports say. The value is ours.
const freshCount = 25 * time.Millisecond

// booking is what a keeper counts for a call that is to be read.
type booking struct {
	backend *backend
	tokens  int
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

// SetBacklogQueries has the window ask for counts before reads: its conduct then answers decisions
// of the kind Ask with Told, and brings TakeBacklogChanges to the keepers.
func (w *Scheduler) SetBacklogQueries(asks bool) { w.asks.Store(asks) }

// TakeBacklogChanges are the changes that the keepers have not been told of, by group.
func (w *Scheduler) TakeBacklogChanges() map[string][]backlog.Change {
	w.outbox.mutex.Lock()
	defer w.outbox.mutex.Unlock()
	changes := w.outbox.changes
	w.outbox.changes = nil
	return changes
}

// HasBacklogChanges tells whether keepers are to be told of changes.
func (w *Scheduler) HasBacklogChanges() bool {
	w.outbox.mutex.Lock()
	defer w.outbox.mutex.Unlock()
	return len(w.outbox.changes) > 0
}

// questions are what to ask before a call is read, the group of the server that would be
// chosen without an answer first; none if the answers would change nothing.
func (c *choice) questions(kind DecisionKind, best offer) []backlog.Request {
	if kind != Prefill || !c.window.asks.Load() {
		return nil
	}
	ticket, window := c.ticket, c.window
	var questions []backlog.Request
	for _, b := range []*backend{best.backend, c.home, c.nextHome} {
		if b == nil || b.group == "" || asksFor(questions, b.group) {
			continue
		}
		question := backlog.Request{Group: b.group, WantsCounts: true, Changes: window.outbox.take(b.group)}
		if b == best.backend {
			ticket.booked = &booking{backend: b, tokens: best.unread}
			question.Intent = &backlog.Change{Server: b.server.Name, Tokens: best.unread}
		}
		questions = append(questions, question)
	}
	return questions
}

func asksFor(questions []backlog.Request, group string) bool {
	for _, question := range questions {
		if question.Group == group {
			return true
		}
	}
	return false
}

// BacklogReported takes the keepers' answers to a decision of the kind Ask, by group, and tells what
// is next. A keeper that did not answer is left out.
func (w *Scheduler) BacklogReported(now time.Time, ticket *CallState, answers map[string]backlog.Response) Decision {
	if ticket.ended || ticket.dispatch.backend != nil {
		return Decision{Kind: Done}
	}
	for _, b := range w.board.Load().of(ticket.service.Name) {
		answer, found := answers[b.group]
		if !found {
			continue
		}
		count := told{at: now}
		for _, counted := range answer.Counts {
			if counted.Server == b.server.Name {
				count.tokens = counted.Tokens
			}
		}
		b.told.Store(&count)
	}
	return w.begin(now, ticket, w.weighing(now, ticket), false)
}

// ahead is how many tokens a server is believed to read before a call's prompt.
func (c *choice) ahead(b *backend) float64 {
	if t := b.told.Load(); t != nil && c.now.Sub(t.at) <= freshCount {
		return float64(t.tokens)
	}
	return float64(b.readingTokens.Load()) + b.others()*othersRead
}

// book has the keeper of the server's count know that a call is read there.
func (c *choice) book(b *backend, tokens int) {
	ticket := c.ticket
	if t := b.told.Load(); t != nil {
		after := *t
		after.tokens += tokens
		b.told.CompareAndSwap(t, &after)
	}
	if booked := ticket.booked; booked != nil && booked.backend.account == b.account && booked.tokens == tokens {
		return
	}
	c.window.unbook(ticket)
	if c.window.asks.Load() {
		ticket.booked = &booking{backend: b, tokens: tokens}
		c.window.outbox.add(b.group, backlog.Change{Server: b.server.Name, Tokens: tokens})
	}
}

// unbook has the keeper know that what was booked for the call is read, or is not sent.
func (w *Scheduler) unbook(ticket *CallState) {
	booked := ticket.booked
	if booked == nil {
		return
	}
	ticket.booked = nil
	w.outbox.add(booked.backend.group, backlog.Change{Server: booked.backend.server.Name, Tokens: -booked.tokens})
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
func (b *board) nameGroups() {
	type p struct{ service, zone string }
	sizes := map[p]int{}
	for _, ba := range b.all {
		sizes[p{ba.server.Service, ba.server.Zone}]++
	}
	for _, bc := range b.all {
		bc.group = groupOf(bc, sizes[p{bc.server.Service, bc.server.Zone}])
	}
}
