// Package replay plays days of the users' platform over loopback, around the
// product's programs as they are deployed: model servers with engines, the list of
// servers, operators, clients and the machines that the programs run on. The rules
// are judged by what these saw.
package replay

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Events is the record of one day.
type EventLog struct {
	mutex  sync.Mutex
	events []Event
}

// Append writes an event down, at this moment unless it says another.
func (b *EventLog) Append(event Event) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if event.At.IsZero() {
		event.At = time.Now()
	}
	b.events = append(b.events, event)
}

// Events gives all events in the order of their time.
func (b *EventLog) Events() []Event {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	events := append([]Event(nil), b.events...)
	sort.SliceStable(events, func(left, right int) bool { return events[left].At.Before(events[right].At) })
	return events
}

// Save writes the book as JSON lines.
func (b *EventLog) Save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	encoder := json.NewEncoder(file)
	for _, event := range b.Events() {
		if err := encoder.Encode(event); err != nil {
			_ = file.Close()
			return failure.Wrap(failure.Disk, err)
		}
	}
	return failure.Wrap(failure.Disk, file.Close())
}
