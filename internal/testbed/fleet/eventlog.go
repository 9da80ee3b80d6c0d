// Package test is the test kit: stand-ins for callers, model servers and
// the platform, faulty links, a whole fleet on one machine, and checkers that
// read what the stand-ins wrote down.
package fleet

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Events is the record of one test, in the order in which things happened
// on this one machine.
type EventLog struct {
	mutex   sync.Mutex
	entries []Entry
	// Clock tells the time of entries; nil means the machine's.
	Clock func() time.Time
}

// Append writes an entry down, at this moment unless it says another.
func (b *EventLog) Append(entry Entry) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if entry.At.IsZero() {
		entry.At = time.Now()
		if b.Clock != nil {
			entry.At = b.Clock()
		}
	}
	b.entries = append(b.entries, entry)
}

// Entries gives all entries in the order of their time.
func (b *EventLog) Entries() []Entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	entries := append([]Entry(nil), b.entries...)
	sort.SliceStable(entries, func(left, right int) bool { return entries[left].At.Before(entries[right].At) })
	return entries
}

// Save writes the book as JSON lines.
func (b *EventLog) Save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	encoder := json.NewEncoder(file)
	for _, entry := range b.Entries() {
		if err := encoder.Encode(entry); err != nil {
			_ = file.Close()
			return failure.Wrap(failure.Disk, err)
		}
	}
	return failure.Wrap(failure.Disk, file.Close())
}
