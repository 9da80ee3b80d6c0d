package recipe

import (
	"time"

	"seamloom.example/seamloom/internal/trouble"
)

// Pair says which servers an inquiry's run was given. Price and HandOver exist
// only in the second format.
type Pair struct {
	Inquiry  string        `msgpack:"inquiry" json:"inquiry"`
	Run      int           `msgpack:"run" json:"run"`
	Prefill  string        `msgpack:"prefill" json:"prefill"`
	Decode   string        `msgpack:"decode" json:"decode"`
	Price    time.Duration `msgpack:"price,omitempty" json:"price,omitempty"`
	HandOver time.Duration `msgpack:"hand_over,omitempty" json:"hand_over,omitempty"`
}

type pairFirst struct {
	Inquiry string `msgpack:"inquiry"`
	Run     int    `msgpack:"run"`
	Prefill string `msgpack:"prefill"`
	Decode  string `msgpack:"decode"`
}

// WritePair makes the pair's record in the format that the flags allow.
//
// Example:
//
//	record, failure := recipe.WritePair(pair, "courier-1", enabled)
func WritePair(pair Pair, writer string, enabled List) (Record, error) {
	record := NewRecord(PairRecord, pair.Inquiry, writer, uint64(pair.Run))
	first := pairFirst{Inquiry: pair.Inquiry, Run: pair.Run, Prefill: pair.Prefill, Decode: pair.Decode}
	if failure := record.Put("pair", first); failure != nil {
		return record, failure
	}
	if enabled.Has(PairPrice) {
		return record, record.Put("pair_v2", pair)
	}
	return record, nil
}

// ReadPair reads the newest key that this build supports and falls back.
//
// Example:
//
//	pair, failure := recipe.ReadPair(record, supported)
func ReadPair(record Record, supported List) (Pair, error) {
	var pair Pair
	if supported.Has(PairPrice) {
		if found, failure := record.Read("pair_v2", &pair); found || failure != nil {
			return pair, failure
		}
	}
	var first pairFirst
	found, failure := record.Read("pair", &first)
	if failure != nil {
		return pair, failure
	}
	if !found {
		return pair, trouble.New(trouble.Garbage, "a pair without a format that this build reads")
	}
	return Pair{Inquiry: first.Inquiry, Run: first.Run, Prefill: first.Prefill, Decode: first.Decode}, nil
}
