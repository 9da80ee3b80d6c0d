package replay

import (
	"sort"
	"time"
)

// contact tells which machines were in touch when: undisturbed for a time, with the core
// settled for as long.
type contact struct {
	length   time.Duration
	machines map[string][]Event
	core     []Event
	size     int
	closed   time.Time
}

var disturbing = map[EventKind]bool{
	MachineUp:     true,
	MachineKilled: true,
	MachineTerm:   true,
	MachineFrozen: true,
	MachineThawed: true,
	MachineGone:   true,
	EndedByItself: true,
}

func newContact(events []Event, length time.Duration) *contact {
	c := &contact{length: length, machines: map[string][]Event{}}
	members := map[string]bool{}
	for _, event := range events {
		if event.Kind == ClosingFault {
			c.closed = event.At
		}
		if !disturbing[event.Kind] {
			continue
		}
		// A process that ends by itself counts as running all the while.
		if event.Kind == EndedByItself {
			continue
		}
		c.machines[event.Machine] = append(c.machines[event.Machine], event)
		if event.Core {
			c.core = append(c.core, event)
			members[event.Machine] = true
		}
	}
	c.size = len(members)
	return c
}

// before is the last of some events that happened by a moment, by its place; -1 is none.
func before(events []Event, at time.Time) int {
	return sort.Search(len(events), func(position int) bool { return events[position].At.After(at) }) - 1
}

func (c *contact) running(event Event) bool {
	return event.Kind == MachineUp || event.Kind == MachineThawed
}

// calm tells whether a machine's processes ran undisturbed for the time of contact.
func (c *contact) calm(machine string, at time.Time) bool {
	events := c.machines[machine]
	last := before(events, at)
	return last >= 0 && c.running(events[last]) && at.Sub(events[last].At) >= c.length
}

// settled tells whether more than half of the core runs and nothing was done to it for
// the time of contact, twice that after a closing fault.
func (c *contact) settled(at time.Time) bool {
	last := before(c.core, at)
	if last < 0 {
		return true
	}
	length := c.length
	if !c.closed.IsZero() && at.After(c.closed) {
		length *= 2
	}
	if at.Sub(c.core[last].At) < length {
		return false
	}
	state := map[string]Event{}
	for _, event := range c.core[:last+1] {
		state[event.Machine] = event
	}
	up, members := 0, 0
	for _, event := range state {
		if event.Kind == MachineGone {
			continue
		}
		members++
		if c.running(event) {
			up++
		}
	}
	return up*2 > members
}

// inTouch tells whether a machine is bound by the rules' bounds of time at a moment.
func (c *contact) inTouch(machine string, at time.Time) bool {
	return c.calm(machine, at) && c.settled(at)
}

// unplanned tells whether anything but planned work was done to a machine, or to the
// core, in a span.
func (c *contact) unplanned(machine string, from, to time.Time) bool {
	planned := map[string]bool{}
	for _, events := range [][]Event{c.machines[machine], c.core} {
		for _, event := range events {
			if event.Kind == MachineTerm {
				planned[event.Machine] = true
			}
			start := event.Kind == MachineUp && planned[event.Machine]
			if event.Kind != MachineTerm && !start && !event.At.Before(from) && !event.At.After(to) {
				return true
			}
		}
	}
	return false
}

// incarnation numbers the incarnations of a machine's processes.
func (c *contact) incarnation(machine string, at time.Time) int {
	incarnation := 0
	for _, event := range c.machines[machine] {
		if event.Kind == MachineUp && !event.At.After(at) {
			incarnation++
		}
	}
	return incarnation
}
