package codec

import (
	"seamloom.example/seamloom/internal/features"
	"time"
)

// Pair says which servers a request's run was given. Price and HandOver exist
// only in the second format.
type Pair struct {
	Request  string        `msgpack:"inquiry" json:"inquiry"`
	Run      int           `msgpack:"run" json:"run"`
	Prefill  string        `msgpack:"prefill" json:"prefill"`
	Decode   string        `msgpack:"decode" json:"decode"`
	Price    time.Duration `msgpack:"price,omitempty" json:"price,omitempty"`
	HandOver time.Duration `msgpack:"hand_over,omitempty" json:"hand_over,omitempty"`
}

type pairV1 struct {
	Request string `msgpack:"inquiry"`
	Run     int    `msgpack:"run"`
	Prefill string `msgpack:"prefill"`
	Decode  string `msgpack:"decode"`
}

// WritePair makes the pair's record in the format that the flags allow.
func WritePair(pair Pair, writer string, enabled features.List) (Record, error) {
	record := NewRecord(PairRecord, pair.Request, writer, uint64(pair.Run))
	first := pairV1{Request: pair.Request, Run: pair.Run, Prefill: pair.Prefill, Decode: pair.Decode}
	return record, record.putFormats(enabled, format{"", "pair", first}, format{features.PairPrice, "pair_v2", pair})
}

// DecodePair reads the newest key that this build supports and falls back.
func DecodePair(record Record, supported features.List) (Pair, error) {
	var pair Pair
	var first pairV1
	key, err := record.decodeNewest(supported, format{features.PairPrice, "pair_v2", &pair}, format{"", "pair", &first})
	if key == "pair" {
		pair = Pair{Request: first.Request, Run: first.Run, Prefill: first.Prefill, Decode: first.Decode}
	}
	return pair, err
}
