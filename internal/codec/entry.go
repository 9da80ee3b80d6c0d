package codec

import "time"

// Entry is the content of a retry record, which records that a request was attempted again, and of
// a recover record, which records which router has claimed a request that is not idempotent.
type Entry struct {
	Request string    `msgpack:"inquiry" json:"inquiry"`
	Router  string    `msgpack:"courier" json:"courier"`
	Attempt int       `msgpack:"run" json:"run"`
	At      time.Time `msgpack:"at" json:"at"`
	Cause   string    `msgpack:"cause,omitempty" json:"cause,omitempty"`
}

// EncodeEntry returns a retry or recover record of the entry.
func EncodeEntry(kind RecordKind, entry Entry) (Record, error) {
	record := NewRecord(kind, entry.Request, entry.Router, uint64(entry.Attempt))
	return record, record.Put("entry", entry)
}

// DecodeEntry decodes a retry or recover record. An error has the code Garbage.
func DecodeEntry(record Record) (Entry, error) {
	var entry Entry
	_, err := record.decodeNewest(nil, format{"", "entry", &entry})
	return entry, err
}
