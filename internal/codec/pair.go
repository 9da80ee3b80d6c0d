package codec

import (
	"time"

	"seamloom.example/seamloom/internal/features"
)

// Pair records the prefill and decode servers that an attempt of a request was given.
type Pair struct {
	Request string `msgpack:"inquiry" json:"inquiry"`
	Run     int    `msgpack:"run" json:"run"`
	Prefill string `msgpack:"prefill" json:"prefill"`
	Decode  string `msgpack:"decode" json:"decode"`
	// Price is the estimated time by which the pair was chosen, and HandOver the share of
	// it for the transfer of the KV cache. Both exist only in the second format.
	Price    time.Duration `msgpack:"price,omitempty" json:"price,omitempty"`
	HandOver time.Duration `msgpack:"hand_over,omitempty" json:"hand_over,omitempty"`
}

// pairV1 is the pair's first format.
type pairV1 struct {
	Request string `msgpack:"inquiry"`
	Run     int    `msgpack:"run"`
	Prefill string `msgpack:"prefill"`
	Decode  string `msgpack:"decode"`
}

// EncodePair makes the pair's record in the formats that the enabled flags allow: the first
// always, the second beside it under PairPrice.
func EncodePair(pair Pair, writer string, enabled features.List) (Record, error) {
	record := NewRecord(PairRecord, pair.Request, writer, uint64(pair.Run))
	first := pairV1{Request: pair.Request, Run: pair.Run, Prefill: pair.Prefill, Decode: pair.Decode}
	return record, record.putFormats(enabled,
		format{"", "pair", first},
		format{features.PairPrice, "pair_v2", pair},
	)
}

// DecodePair reads the newest format that this build supports and the record has. An error
// has the code Garbage.
func DecodePair(record Record, supported features.List) (Pair, error) {
	var pair Pair
	var first pairV1
	key, err := record.decodeNewest(supported,
		format{features.PairPrice, "pair_v2", &pair},
		format{"", "pair", &first},
	)
	if key == "pair" {
		pair = Pair{Request: first.Request, Run: first.Run, Prefill: first.Prefill, Decode: first.Decode}
	}
	return pair, err
}
