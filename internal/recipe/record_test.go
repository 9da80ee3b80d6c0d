package recipe

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// TestNewFormatStandsBesideTheOldOne writes with the flag and reads with an
// older and a newer build, and the other way round.
func TestNewFormatStandsBesideTheOldOne(test *testing.T) {
	order := Order{Server: "stove-1", Part: "decode", Patience: 7 * time.Second, Cause: "answers wait"}
	older, newer := Supported(List{OrderPatience}), Supported(nil)
	for _, enabled := range []List{nil, {OrderPatience}} {
		record, failure := WriteOrder(order, "courier-1", 3, enabled)
		if failure != nil {
			test.Fatal(failure)
		}
		if _, found := record.Features["order_v2"]; found != enabled.Has(OrderPatience) {
			test.Fatalf("enabled %v, the new key is there: %v", enabled, found)
		}
		encoded, failure := msgpack.Marshal(record)
		if failure != nil {
			test.Fatal(failure)
		}
		var read Record
		if failure := msgpack.Unmarshal(encoded, &read); failure != nil {
			test.Fatal(failure)
		}
		if got, failure := ReadOrder(read, older); failure != nil || got.Server != "stove-1" || got.Part != "decode" || got.Cause != "" || got.Patience != DefaultPatience {
			test.Errorf("the older build reads %+v, %v", got, failure)
		}
		got, failure := ReadOrder(read, newer)
		if failure != nil || got.Server != "stove-1" || got.Part != "decode" {
			test.Errorf("the newer build reads %+v, %v", got, failure)
		}
		if enabled.Has(OrderPatience) && got != order {
			test.Errorf("the newer build reads %+v from the new key", got)
		}
	}
	if _, failure := ReadOrder(NewRecord(OrderRecord, "stove-1", "courier-1", 4), newer); failure == nil {
		test.Error("an order without any format was read")
	}
}

// TestOldCodeLeavesUnknownKeysAlone reads a record with a key from the future.
func TestOldCodeLeavesUnknownKeysAlone(test *testing.T) {
	record, failure := WritePair(Pair{Inquiry: "one", Run: 2, Prefill: "a", Decode: "b", Price: time.Second}, "courier-1", List{PairPrice})
	if failure != nil {
		test.Fatal(failure)
	}
	if failure := record.Put("pair_v9", map[string]string{"shape": "round"}); failure != nil {
		test.Fatal(failure)
	}
	if pair, failure := ReadPair(record, Supported(nil)); failure != nil || pair.Price != time.Second || pair.Run != 2 {
		test.Errorf("%+v, %v", pair, failure)
	}
	if pair, failure := ReadPair(record, Supported(List{PairPrice})); failure != nil || pair.Price != 0 || pair.Decode != "b" {
		test.Errorf("%+v, %v", pair, failure)
	}
}
