// Package world rehearses a whole fleet in virtual time: the product's own
// conduct of every courier and expediter, stand-in servers, callers, operators
// and the platform, under faults drawn from a seed. One thread runs at a time,
// so that the same seed gives the same trace.
package simulation

import (
	"container/heap"
	"time"
)

// alarm is something that is due at a moment.
type alarm struct {
	at       time.Duration
	sequence uint64
	// life is whose it is: a life that has ended is not bothered, and one that
	// is frozen not before it wakes. None means the world's own.
	incarnation *incarnation
	act         func()
	canceled    bool
}

// alarms is a heap, the earliest first; equal ones in the order of their making.
type alarms []*alarm

// Len counts the alarms.
func (alarms alarms) Len() int { return len(alarms) }

// Less orders two alarms.
func (alarms alarms) Less(left, right int) bool {
	if alarms[left].at != alarms[right].at {
		return alarms[left].at < alarms[right].at
	}
	return alarms[left].sequence < alarms[right].sequence
}

// Swap exchanges two alarms.
func (alarms alarms) Swap(left, right int) { alarms[left], alarms[right] = alarms[right], alarms[left] }

// Push adds an alarm.
func (alarms *alarms) Push(value any) { *alarms = append(*alarms, value.(*alarm)) }

// Pop takes the last alarm.
func (alarms *alarms) Pop() any {
	old := *alarms
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*alarms = old[:len(old)-1]
	return last
}

// clockwork moves the world's time from alarm to alarm.
type clockwork struct {
	now      time.Duration
	sequence uint64
	due      alarms
	acted    uint64
}

// after sets an alarm; an earlier moment than the present counts as now.
func (clockwork *clockwork) after(length time.Duration, life *incarnation, act func()) *alarm {
	clockwork.sequence++
	set := &alarm{at: clockwork.now + max(0, length), sequence: clockwork.sequence, incarnation: life, act: act}
	heap.Push(&clockwork.due, set)
	return set
}

// run acts on alarms until the moment comes.
func (clockwork *clockwork) run(until time.Duration) {
	for len(clockwork.due) > 0 && clockwork.due[0].at <= until {
		next := heap.Pop(&clockwork.due).(*alarm)
		clockwork.now = max(clockwork.now, next.at)
		if next.canceled || (next.incarnation != nil && next.incarnation.ended) {
			continue
		}
		if next.incarnation != nil && next.incarnation.frozen {
			next.incarnation.backlog = append(next.incarnation.backlog, next)
			continue
		}
		clockwork.acted++
		next.act()
	}
	clockwork.now = max(clockwork.now, until)
}
