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

func (outbox *outbox) add(group string, change backlog.Change) {
	if group == "" || change.Tokens == 0 {
		return
	}
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if outbox.changes == nil {
		outbox.changes = map[string][]backlog.Change{}
	}
	outbox.changes[group] = append(outbox.changes[group], change)
}

func (outbox *outbox) take(group string) []backlog.Change {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	changes := outbox.changes[group]
	delete(outbox.changes, group)
	return changes
}

// SetAsks has the window ask for counts before reads: its conduct then answers decisions
// of the kind Ask with Told, and brings TakeChanges to the keepers.
func (window *Window) SetAsks(asks bool) { window.asks.Store(asks) }

// TakeChanges are the changes that the keepers have not been told of, by group.
func (window *Window) TakeChanges() map[string][]backlog.Change {
	window.outbox.mutex.Lock()
	defer window.outbox.mutex.Unlock()
	changes := window.outbox.changes
	window.outbox.changes = nil
	return changes
}

// HasChanges tells whether keepers are to be told of changes.
func (window *Window) HasChanges() bool {
	window.outbox.mutex.Lock()
	defer window.outbox.mutex.Unlock()
	return len(window.outbox.changes) > 0
}

// questions are what to ask before a call is read, the group of the server that would be
// chosen without an answer first; none if the answers would change nothing.
func (choice *choice) questions(kind DecisionKind, best offer) []backlog.Question {
	if kind != Read || !choice.window.asks.Load() {
		return nil
	}
	ticket, window := choice.ticket, choice.window
	var questions []backlog.Question
	for _, backend := range []*backend{best.backend, choice.home, choice.nextHome} {
		if backend == nil || backend.group == "" || asksFor(questions, backend.group) {
			continue
		}
		question := backlog.Question{Group: backend.group, Asks: true, Changes: window.outbox.take(backend.group)}
		if backend == best.backend {
			ticket.booked = &booking{backend: backend, tokens: best.unread}
			question.Intent = &backlog.Change{Server: backend.server.Name, Tokens: best.unread}
		}
		questions = append(questions, question)
	}
	return questions
}

func asksFor(questions []backlog.Question, group string) bool {
	for _, question := range questions {
		if question.Group == group {
			return true
		}
	}
	return false
}

// Told takes the keepers' answers to a decision of the kind Ask, by group, and tells what
// is next. A keeper that did not answer is left out.
func (window *Window) Told(now time.Time, ticket *Ticket, answers map[string]backlog.Answer) Decision {
	if ticket.ended || ticket.dispatch.backend != nil {
		return Decision{Kind: Done}
	}
	for _, backend := range window.board.Load().of(ticket.service.Name) {
		answer, found := answers[backend.group]
		if !found {
			continue
		}
		count := told{at: now}
		for _, counted := range answer.Counts {
			if counted.Server == backend.server.Name {
				count.tokens = counted.Tokens
			}
		}
		backend.told.Store(&count)
	}
	return window.begin(now, ticket, window.weighing(now, ticket), false)
}

// ahead is how many tokens a server is believed to read before a call's prompt.
func (choice *choice) ahead(backend *backend) float64 {
	if told := backend.told.Load(); told != nil && choice.now.Sub(told.at) <= freshCount {
		return float64(told.tokens)
	}
	return float64(backend.readingTokens.Load()) + backend.others()*othersRead
}

// book has the keeper of the server's count know that a call is read there.
func (choice *choice) book(backend *backend, tokens int) {
	ticket := choice.ticket
	if told := backend.told.Load(); told != nil {
		after := *told
		after.tokens += tokens
		backend.told.CompareAndSwap(told, &after)
	}
	if booked := ticket.booked; booked != nil && booked.backend.account == backend.account && booked.tokens == tokens {
		return
	}
	choice.window.unbook(ticket)
	if choice.window.asks.Load() {
		ticket.booked = &booking{backend: backend, tokens: tokens}
		choice.window.outbox.add(backend.group, backlog.Change{Server: backend.server.Name, Tokens: tokens})
	}
}

// unbook has the keeper know that what was booked for the call is read, or is not sent.
func (window *Window) unbook(ticket *Ticket) {
	booked := ticket.booked
	if booked == nil {
		return
	}
	ticket.booked = nil
	window.outbox.add(booked.backend.group, backlog.Change{Server: booked.backend.server.Name, Tokens: -booked.tokens})
}

// groupSize is how many servers a group has at most before there are twice as many groups:
// a keeper then answers for some hundred reads a second at the most. The value is ours.
const groupSize = 16

// groupOf names the group of a server among so many of its service and district.
func groupOf(backend *backend, servers int) string {
	groups := uint64(1)
	for groups*groupSize < uint64(servers) {
		groups *= 2
	}
	return backend.server.Service + "/" + backend.server.Zone + "/" + strconv.FormatUint(backend.key%groups, 10)
}

// nameGroups names the group of each server.
func (board *board) nameGroups() {
	type pool struct{ service, zone string }
	sizes := map[pool]int{}
	for _, backend := range board.all {
		sizes[pool{backend.server.Service, backend.server.Zone}]++
	}
	for _, backend := range board.all {
		backend.group = groupOf(backend, sizes[pool{backend.server.Service, backend.server.Zone}])
	}
}
