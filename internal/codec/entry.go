package codec

import "time"

// Entry notes an extra try (a retry record) or who has taken a request that
// is not idempotent (a recover record).
type Entry struct {
	Request string    `msgpack:"inquiry" json:"inquiry"`
	Router  string    `msgpack:"courier" json:"courier"`
	Run     int       `msgpack:"run" json:"run"`
	At      time.Time `msgpack:"at" json:"at"`
	Cause   string    `msgpack:"cause,omitempty" json:"cause,omitempty"`
}

// WriteEntry makes a retry or recover record.
func WriteEntry(kind RecordKind, entry Entry) (Record, error) {
	record := NewRecord(kind, entry.Request, entry.Router, uint64(entry.Run))
	return record, record.Put("entry", entry)
}

// ReadEntry reads a retry or recover record.
func ReadEntry(record Record) (Entry, error) {
	var entry Entry
	_, err := record.readNewest(nil, format{"", "entry", &entry})
	return entry, err
}
