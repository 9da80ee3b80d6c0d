// Package formats owns record formats: the flags, the supported lists and the
// records' codecs. Every record has fixed fields, which never change, and a
// features map, in which a new format is a new key beside the old one.
package codec

import (
	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Record is what nodes write for each other. Kind, Key, Writer and Number are
// the fixed fields; everything that may ever change is in Features.
type Record struct {
	Kind     RecordKind                    `msgpack:"kind"`
	Key      string                        `msgpack:"key"`
	Writer   string                        `msgpack:"writer"`
	Number   uint64                        `msgpack:"number"`
	Features map[string]msgpack.RawMessage `msgpack:"features"`
}

// NewRecord starts a record with an empty features map.
func NewRecord(kind RecordKind, key, writer string, number uint64) Record {
	return Record{Kind: kind, Key: key, Writer: writer, Number: number, Features: map[string]msgpack.RawMessage{}}
}

// Put writes one key of the features map.
func (r *Record) Put(key string, value any) error {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	r.Features[key] = encoded
	return nil
}

// Read decodes one key of the features map; it tells false when the record
// does not have the key, as an older record does not.
func (r Record) Read(key string, value any) (bool, error) {
	encoded, found := r.Features[key]
	if !found {
		return false, nil
	}
	if err := msgpack.Unmarshal(encoded, value); err != nil {
		return false, failure.Wrap(failure.Garbage, err)
	}
	return true, nil
}
