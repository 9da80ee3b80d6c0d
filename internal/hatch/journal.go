package hatch

import (
	"sync"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
)

// Journal keeps the newest records of this courier and of those that name it
// their neighbour, and folds what is known of one inquiry.
type Journal struct {
	mutex   sync.Mutex
	records []codec.Record
	next    int
	outbox  []codec.Record
}

const mostRecords = 16384

func newJournal() *Journal { return &Journal{records: make([]codec.Record, 0, mostRecords)} }

// append notes a record; own ones also go to a neighbour.
func (journal *Journal) append(record codec.Record, own bool) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if len(journal.records) < mostRecords {
		journal.records = append(journal.records, record)
	} else {
		journal.records[journal.next] = record
		journal.next = (journal.next + 1) % mostRecords
	}
	if own && len(journal.outbox) < mostRecords {
		journal.outbox = append(journal.outbox, record)
	}
}

// outgoing tells whether there are records for a neighbour.
func (journal *Journal) outgoing() bool {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return len(journal.outbox) > 0
}

func (journal *Journal) takeOutbox() []codec.Record {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	outbox := journal.outbox
	journal.outbox = nil
	return outbox
}

// Trace is what a journal knows of one inquiry.
type Trace struct {
	Request string        `json:"inquiry"`
	Pairs   []codec.Pair  `json:"pairs"`
	Retries []codec.Entry `json:"retries,omitempty"`
}

// Fold tells what is known of one inquiry.
func (journal *Journal) Fold(request string, supported features.List) (Trace, bool) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	folded := Trace{Request: request}
	for _, record := range journal.records {
		if record.Key != request {
			continue
		}
		switch record.Kind {
		case codec.PairRecord:
			if pair, err := codec.ReadPair(record, supported); err == nil {
				folded.Pairs = append(folded.Pairs, pair)
			}
		case codec.RetryRecord:
			if entry, err := codec.ReadEntry(record); err == nil {
				folded.Retries = append(folded.Retries, entry)
			}
		}
	}
	return folded, len(folded.Pairs) > 0
}
