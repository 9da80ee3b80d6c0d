// Package simulation runs a whole fleet in virtual time: the product's own
// code of every router and controller, stand-in servers, clients, operators
// and the platform, under faults drawn from a seed. One thread runs at a time,
// so that the same seed gives the same trace. The stand-ins, the event log and the
// checkers are those of package fleet, which runs the same days as processes.
package simulation

import (
	"container/heap"
	"time"
)

// alarm is something that is due at a moment.
type alarm struct {
	at       time.Duration
	sequence uint64
	// incarnation is whose it is. Alarms of one that has ended are dropped, those of a
	// frozen one wait until it wakes; nil means the world's own.
	incarnation *incarnation
	act         func()
	canceled    bool
}

// alarms is a heap, the earliest first; equal ones in the order of their making.
type alarms []*alarm

// Len counts the alarms.
func (a alarms) Len() int { return len(a) }

// Less orders two alarms.
func (a alarms) Less(left, right int) bool {
	if a[left].at != a[right].at {
		return a[left].at < a[right].at
	}
	return a[left].sequence < a[right].sequence
}

// Swap exchanges two alarms.
func (a alarms) Swap(left, right int) { a[left], a[right] = a[right], a[left] }

// Push adds an alarm.
func (a *alarms) Push(value any) { *a = append(*a, value.(*alarm)) }

// Pop takes the last alarm.
func (a *alarms) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// timeline moves the world's time from alarm to alarm.
type timeline struct {
	now      time.Duration
	sequence uint64
	due      alarms
	acted    uint64
}

// after sets an alarm; an earlier moment than the present counts as now.
func (c *timeline) after(length time.Duration, owner *incarnation, act func()) *alarm {
	c.sequence++
	set := &alarm{at: c.now + max(0, length), sequence: c.sequence, incarnation: owner, act: act}
	heap.Push(&c.due, set)
	return set
}

// run acts on alarms until the moment comes.
func (c *timeline) run(until time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= until {
		next := heap.Pop(&c.due).(*alarm)
		c.now = max(c.now, next.at)
		if next.canceled || (next.incarnation != nil && next.incarnation.ended) {
			continue
		}
		if next.incarnation != nil && next.incarnation.frozen {
			next.incarnation.backlog = append(next.incarnation.backlog, next)
			continue
		}
		c.acted++
		next.act()
	}
	c.now = max(c.now, until)
}
