// Package codec encodes and decodes the records that nodes write for each other, after the
// section "Extensible and backward-compatible records" of the paper on uninterrupted
// upgrades. Every record has fixed fields, which never change, and a features map, in which
// a new format is a new key beside the old one. The flags of package features say which
// keys may be written; a reader takes the newest key that its build supports, so that nodes
// of two releases read each other's records.
package codec

import (
	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
)

// RecordKind names one of the five kinds of record whose formats roll out.
type RecordKind string

// The kinds of record.
const (
	PairRecord    RecordKind = "pair"
	OrderRecord   RecordKind = "order"
	RetryRecord   RecordKind = "retry"
	RecoverRecord RecordKind = "recover"
	StreamRecord  RecordKind = "stream"
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

// Put writes one key of the features map. An error has the code Garbage.
func (r *Record) Put(key string, value any) error {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	r.Features[key] = encoded
	return nil
}

// Read decodes one key of the features map; it tells false when the record does not have
// the key, as an older record does not. An error has the code Garbage.
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

// format is one key of a record's features map and its value.
type format struct {
	// flag allows the format to be written and read; the first format of a record has
	// none.
	flag  features.Flag
	key   string
	value any
}

// putFormats writes every format that the enabled flags allow, side by side: readers of the
// older release still find theirs.
func (r *Record) putFormats(enabled features.List, formats ...format) error {
	for _, f := range formats {
		if f.flag != "" && !enabled.Has(f.flag) {
			continue
		}
		if err := r.Put(f.key, f.value); err != nil {
			return err
		}
	}
	return nil
}

// decodeNewest reads the first of the formats, newest first, that the build
// supports and the record has, and returns its key.
func (r Record) decodeNewest(supported features.List, formats ...format) (string, error) {
	for _, f := range formats {
		if f.flag != "" && !supported.Has(f.flag) {
			continue
		}
		if found, err := r.Read(f.key, f.value); found || err != nil {
			return f.key, err
		}
	}
	return "", failure.New(failure.Garbage, "a record of kind "+string(r.Kind)+" without a format that this build reads")
}
