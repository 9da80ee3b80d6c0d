package dataplane

import (
	"sync"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
)

// Journal keeps the newest records of this router and of those that name it
// their neighbour, and folds what is known of one request.
type Journal struct {
	mutex   sync.Mutex
	records []codec.Record
	next    int
	outbox  []codec.Record
}

const maxRecords = 16384

func newJournal() *Journal { return &Journal{records: make([]codec.Record, 0, maxRecords)} }

// append notes a record; own ones also go to a neighbour.
func (j *Journal) append(record codec.Record, own bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if len(j.records) < maxRecords {
		j.records = append(j.records, record)
	} else {
		j.records[j.next] = record
		j.next = (j.next + 1) % maxRecords
	}
	if own && len(j.outbox) < maxRecords {
		j.outbox = append(j.outbox, record)
	}
}

// outgoing tells whether there are records for a neighbour.
func (j *Journal) hasOutgoing() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return len(j.outbox) > 0
}

func (j *Journal) takeOutbox() []codec.Record {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	outbox := j.outbox
	j.outbox = nil
	return outbox
}

// Trace is what a journal knows of one request.
type Trace struct {
	Request string        `json:"inquiry"`
	Pairs   []codec.Pair  `json:"pairs"`
	Retries []codec.Entry `json:"retries,omitempty"`
}

// Trace tells what is known of one request.
func (j *Journal) Trace(request string, supported features.List) (Trace, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	folded := Trace{Request: request}
	for _, record := range j.records {
		if record.Key != request {
			continue
		}
		switch record.Kind {
		case codec.PairRecord:
			if pair, err := codec.DecodePair(record, supported); err == nil {
				folded.Pairs = append(folded.Pairs, pair)
			}
		case codec.RetryRecord:
			if entry, err := codec.DecodeEntry(record); err == nil {
				folded.Retries = append(folded.Retries, entry)
			}
		}
	}
	return folded, len(folded.Pairs) > 0
}
