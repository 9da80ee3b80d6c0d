// Package codec encodes and decodes the records that nodes write for each other, following the
// section "Extensible and backward-compatible records" of the paper on uninterrupted upgrades. Every
// record has fixed fields, which never change, and a features map. A new format adds a key to this
// map and keeps the keys of older formats. The enabled flags of package features determine which keys
// may be written. A node decodes the newest key that its build supports, so that nodes of two
// releases can read each other's records.
package codec

import (
	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
)

// RecordKind names one of the five kinds of record whose formats are introduced by feature flags.
type RecordKind string

// The kinds of record.
const (
	PairRecord    RecordKind = "pair"
	OrderRecord   RecordKind = "order"
	RetryRecord   RecordKind = "retry"
	RecoverRecord RecordKind = "recover"
	StreamRecord  RecordKind = "stream"
)

// Record is a record that one node writes for another. Kind, Key, Writer and Number are
// the fixed fields; Features holds everything whose format may change. Key is the ID of the request or, for an
// order, the name of the server; Writer is the name of the node. Number is the attempt of the request, the
// number of the order, or the position of the message in its stream.
type Record struct {
	Kind     RecordKind                    `msgpack:"kind"`
	Key      string                        `msgpack:"key"`
	Writer   string                        `msgpack:"writer"`
	Number   uint64                        `msgpack:"number"`
	Features map[string]msgpack.RawMessage `msgpack:"features"`
}

// NewRecord returns a record with an empty features map.
func NewRecord(kind RecordKind, key, writer string, number uint64) Record {
	return Record{Kind: kind, Key: key, Writer: writer, Number: number, Features: map[string]msgpack.RawMessage{}}
}

// Put encodes a value under one key of the features map. An error has the code Garbage.
func (r *Record) Put(key string, value any) error {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	r.Features[key] = encoded
	return nil
}

// Read decodes the value of one key of the features map. It returns false if the record does not have
// the key, for instance because an older release wrote the record. An error has the code Garbage.
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
	// flag is the feature flag that allows the format to be written and read; it is empty for
	// the first format of a record.
	flag  features.Flag
	key   string
	value any
}

// putFormats writes every format that the enabled flags allow, so that nodes of the older release
// still find the format that they support.
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

// decodeNewest decodes the first of the formats, which are given newest first, that this build
// supports and the record has. It returns the key of that format.
func (r Record) decodeNewest(supported features.List, formats ...format) (string, error) {
	for _, f := range formats {
		if f.flag != "" && !supported.Has(f.flag) {
			continue
		}
		if found, err := r.Read(f.key, f.value); found || err != nil {
			return f.key, err
		}
	}
	return "", failure.New(failure.Garbage, "the record of kind "+string(r.Kind)+" has no format that this build supports")
}
