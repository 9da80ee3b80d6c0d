// Package simulation runs a whole fleet in virtual time: the product's own code of every
// router and controller with simulated servers, clients, operators and a simulated platform,
// under faults drawn from a seed. One thread runs at a time, so that the same seed gives the
// same trace. The simulated servers, the event log and the checkers are those of package
// fleet, which runs the same kind of days with real processes.
package simulation

import (
	"container/heap"
	"time"
)

// scheduledEvent is a function call that is due at a point of virtual time.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	// incarnation is the process that the event belongs to, or nil for the world itself.
	// Events of an ended process are dropped; events of a frozen process wait until it resumes.
	incarnation *incarnation
	callback    func()
	canceled    bool
}

// eventQueue is a heap with the earliest event first; events at the same time are in the order
// in which they were scheduled.
type eventQueue []*scheduledEvent

// Len returns the number of events.
func (a eventQueue) Len() int { return len(a) }

// Less reports whether the left event comes before the right one.
func (a eventQueue) Less(left, right int) bool {
	if a[left].at != a[right].at {
		return a[left].at < a[right].at
	}
	return a[left].sequence < a[right].sequence
}

// Swap exchanges two events.
func (a eventQueue) Swap(left, right int) { a[left], a[right] = a[right], a[left] }

// Push adds an event.
func (a *eventQueue) Push(value any) { *a = append(*a, value.(*scheduledEvent)) }

// Pop removes and returns the last event.
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// timeline is the virtual clock, which advances from event to event.
type timeline struct {
	now      time.Duration
	sequence uint64
	queue    eventQueue
	steps    uint64
}

// schedule schedules a call of callback in owner's process after length; a negative length counts as
// zero, and a nil owner means the world itself.
func (c *timeline) schedule(length time.Duration, owner *incarnation, callback func()) *scheduledEvent {
	c.sequence++
	event := &scheduledEvent{at: c.now + max(0, length), sequence: c.sequence, incarnation: owner, callback: callback}
	heap.Push(&c.queue, event)
	return event
}

// run processes events until the given time.
func (c *timeline) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(*scheduledEvent)
		c.now = max(c.now, next.at)
		if next.canceled || (next.incarnation != nil && next.incarnation.ended) {
			continue
		}
		if next.incarnation != nil && next.incarnation.frozen {
			next.incarnation.backlog = append(next.incarnation.backlog, next)
			continue
		}
		c.steps++
		next.callback()
	}
	c.now = max(c.now, until)
}
