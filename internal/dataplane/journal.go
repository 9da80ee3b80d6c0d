package dataplane

import (
	"sync"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// Journal holds the newest records of this router and of the routers that replicate their
// records to this router. The method Trace selects the records of one request.
type Journal struct {
	mutex sync.Mutex
	// records is a ring buffer; next is the index of its oldest record once it is full.
	records []codec.Record
	next    int
	// outbox holds this router's records that were not replicated yet.
	outbox []codec.Record
}

// maxRecords is the maximum number of records in a journal and in its outbox.
const maxRecords = 16384

func newJournal() *Journal { return &Journal{records: make([]codec.Record, 0, maxRecords)} }

// append adds a record, which replaces the oldest one if the journal is full. If own is set,
// the record is this router's own and is also added to the outbox, unless that is full.
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

// hasOutgoing reports whether there are records to replicate.
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

// Trace holds a journal's records of one request.
type Trace struct {
	Request string        `json:"inquiry"`
	Pairs   []codec.Pair  `json:"pairs"`
	Retries []codec.Entry `json:"retries,omitempty"`
}

// Trace returns the records of one request. It returns false if there is no pair of servers among them.
func (j *Journal) Trace(request string, supported features.List) (Trace, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	trace := Trace{Request: request}
	for _, record := range j.records {
		if record.Key != request {
			continue
		}
		switch record.Kind {
		case codec.PairRecord:
			if pair, err := codec.DecodePair(record, supported); err == nil {
				trace.Pairs = append(trace.Pairs, pair)
			}
		case codec.RetryRecord:
			if entry, err := codec.DecodeEntry(record); err == nil {
				trace.Retries = append(trace.Retries, entry)
			}
		}
	}
	return trace, len(trace.Pairs) > 0
}

// replicateRecords replicates new records to another router until the process ends.
func (r *Router) replicateRecords() {
	for r.runtime.Alive() {
		r.recordsAdded.Wait(idleTick, r.journal.hasOutgoing)
		r.sendRecords()
		runtime.Sleep(r.runtime, recordsInterval)
	}
}

// sendRecords sends the outbox to the first of the rankedPeers that responds, so that the records
// survive a failure of this router. If none responds, the records are not sent again.
func (r *Router) sendRecords() {
	records := r.journal.takeOutbox()
	if len(records) == 0 {
		return
	}
	for _, member := range r.rankedPeers(follower.MaxPeersTried) {
		var response bool
		if wire.Call(r.client, member.Address, wire.RecordsPath, records, &response, sendTimeout) == nil {
			return
		}
	}
}
