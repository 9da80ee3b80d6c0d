package codec

import (
	"time"

	"seamloom.example/seamloom/internal/features"
)

// Pair records the prefill and decode servers that were assigned to an attempt of a request.
type Pair struct {
	Request string `msgpack:"inquiry" json:"inquiry"`
	Attempt int    `msgpack:"run" json:"run"`
	Prefill string `msgpack:"prefill" json:"prefill"`
	Decode  string `msgpack:"decode" json:"decode"`
	// Price is the time estimate by which the pair was selected, and TransferTime is the part of Price that
	// the transfer of the KV cache takes. Both exist only in the second format.
	Price        time.Duration `msgpack:"price,omitempty" json:"price,omitempty"`
	TransferTime time.Duration `msgpack:"hand_over,omitempty" json:"hand_over,omitempty"`
}

// pairV1 is the pair's first format.
type pairV1 struct {
	Request string `msgpack:"inquiry"`
	Attempt int    `msgpack:"run"`
	Prefill string `msgpack:"prefill"`
	Decode  string `msgpack:"decode"`
}

// EncodePair returns the pair's record in the formats that the enabled flags allow: always the
// first format, and also the second one if PairPrice is enabled.
func EncodePair(pair Pair, writer string, enabled features.List) (Record, error) {
	record := NewRecord(PairRecord, pair.Request, writer, uint64(pair.Attempt))
	first := pairV1{Request: pair.Request, Attempt: pair.Attempt, Prefill: pair.Prefill, Decode: pair.Decode}
	return record, record.putFormats(enabled,
		format{"", "pair", first},
		format{features.PairPrice, "pair_v2", pair},
	)
}

// DecodePair decodes the newest format that this build supports and the record has. An error
// has the code Garbage.
func DecodePair(record Record, supported features.List) (Pair, error) {
	var pair Pair
	var first pairV1
	key, err := record.decodeNewest(supported,
		format{features.PairPrice, "pair_v2", &pair},
		format{"", "pair", &first},
	)
	if key == "pair" {
		pair = Pair{Request: first.Request, Attempt: first.Attempt, Prefill: first.Prefill, Decode: first.Decode}
	}
	return pair, err
}
