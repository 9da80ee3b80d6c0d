package codec

import "time"

// Entry records one more attempt of a request (a retry record), or which router has claimed
// a request that is not idempotent (a recover record).
type Entry struct {
	Request string    `msgpack:"inquiry" json:"inquiry"`
	Router  string    `msgpack:"courier" json:"courier"`
	Run     int       `msgpack:"run" json:"run"`
	At      time.Time `msgpack:"at" json:"at"`
	Cause   string    `msgpack:"cause,omitempty" json:"cause,omitempty"`
}

// EncodeEntry makes a retry or recover record.
func EncodeEntry(kind RecordKind, entry Entry) (Record, error) {
	record := NewRecord(kind, entry.Request, entry.Router, uint64(entry.Run))
	return record, record.Put("entry", entry)
}

// DecodeEntry reads a retry or recover record. An error has the code Garbage.
func DecodeEntry(record Record) (Entry, error) {
	var entry Entry
	_, err := record.decodeNewest(nil, format{"", "entry", &entry})
	return entry, err
}
