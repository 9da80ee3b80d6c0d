package replay

import (
	"sort"
	"time"
)

// contact determines when a machine was in contact: neither the machine nor the core was disturbed
// for the contact time. The time limits of the rules apply only to machines in contact.
type contact struct {
	contactTime    time.Duration
	machines       map[string][]Event
	core           []Event
	size           int
	closingFaultAt time.Time
}

// disturbingKinds are the events that may disturb a machine. newContact skips ProcessExited.
var disturbingKinds = map[EventKind]bool{
	MachineUp:         true,
	MachineKilled:     true,
	MachineTerminated: true,
	MachineFrozen:     true,
	MachineResumed:    true,
	MachineRemoved:    true,
	ProcessExited:     true,
}

// newContact collects the events that disturb machines. The events must be ordered by time.
func newContact(events []Event, contactTime time.Duration) *contact {
	c := &contact{contactTime: contactTime, machines: map[string][]Event{}}
	members := map[string]bool{}
	for _, event := range events {
		if event.Kind == ClosingFault {
			c.closingFaultAt = event.At
		}
		if !disturbingKinds[event.Kind] {
			continue
		}
		// A process that exits by itself counts as running without interruption.
		if event.Kind == ProcessExited {
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

// lastBefore returns the index of the last event that happened at or before a moment, or -1 if there
// is none. The events must be ordered by time.
func lastBefore(events []Event, at time.Time) int {
	return sort.Search(len(events), func(position int) bool { return events[position].At.After(at) }) - 1
}

// running reports whether the processes of a machine run after the event.
func (c *contact) running(event Event) bool {
	return event.Kind == MachineUp || event.Kind == MachineResumed
}

// undisturbed reports whether a machine's processes had been running undisturbed for the contact
// time.
func (c *contact) undisturbed(machine string, at time.Time) bool {
	events := c.machines[machine]
	last := lastBefore(events, at)
	return last >= 0 && c.running(events[last]) && at.Sub(events[last].At) >= c.contactTime
}

// coreStable reports whether more than half of the core runs and the core was not disturbed for
// the contact time, or twice the contact time after a closing fault.
func (c *contact) coreStable(at time.Time) bool {
	last := lastBefore(c.core, at)
	if last < 0 {
		return true
	}
	required := c.contactTime
	if !c.closingFaultAt.IsZero() && at.After(c.closingFaultAt) {
		required *= 2
	}
	if at.Sub(c.core[last].At) < required {
		return false
	}
	state := map[string]Event{}
	for _, event := range c.core[:last+1] {
		state[event.Machine] = event
	}
	up, members := 0, 0
	for _, event := range state {
		if event.Kind == MachineRemoved {
			continue
		}
		members++
		if c.running(event) {
			up++
		}
	}
	return up*2 > members
}

// inContact reports whether a machine was in contact at a moment. If so, the time limits of the rules
// apply to the machine.
func (c *contact) inContact(machine string, at time.Time) bool {
	return c.undisturbed(machine, at) && c.coreStable(at)
}

// unplanned reports whether a machine or the core was disturbed between two moments by an event
// other than a planned stop and the start after a planned stop.
func (c *contact) unplanned(machine string, from, to time.Time) bool {
	planned := map[string]bool{}
	for _, events := range [][]Event{c.machines[machine], c.core} {
		for _, event := range events {
			if event.Kind == MachineTerminated {
				planned[event.Machine] = true
			}
			plannedStart := event.Kind == MachineUp && planned[event.Machine]
			if event.Kind != MachineTerminated && !plannedStart && !event.At.Before(from) && !event.At.After(to) {
				return true
			}
		}
	}
	return false
}

// incarnation returns how often a machine's processes had been started by a moment.
func (c *contact) incarnation(machine string, at time.Time) int {
	incarnation := 0
	for _, event := range c.machines[machine] {
		if event.Kind == MachineUp && !event.At.After(at) {
			incarnation++
		}
	}
	return incarnation
}
