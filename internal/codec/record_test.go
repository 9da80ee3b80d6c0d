package codec

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/features"
)

// TestNewFormatStandsBesideTheOldOne writes with the flag and reads with an
// older and a newer build, and the other way round.
func TestNewFormatStandsBesideTheOldOne(t *testing.T) {
	order := Order{Server: "stove-1", Part: "decode", Patience: 7 * time.Second, Cause: "answers wait"}
	older, newer := features.Supported(features.List{features.OrderPatience}), features.Supported(nil)
	for _, enabled := range []features.List{nil, {features.OrderPatience}} {
		record, err := EncodeOrder(order, "courier-1", 3, enabled)
		if err != nil {
			t.Fatal(err)
		}
		if _, found := record.Features["order_v2"]; found != enabled.Has(features.OrderPatience) {
			t.Fatalf("enabled %v, the new key is there: %v", enabled, found)
		}
		encoded, err := msgpack.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		var read Record
		if err := msgpack.Unmarshal(encoded, &read); err != nil {
			t.Fatal(err)
		}
		first := Order{Server: "stove-1", Part: "decode", Patience: DefaultPatience}
		if got, err := DecodeOrder(read, older); err != nil || got != first {
			t.Errorf("the older build reads %+v, %v", got, err)
		}
		got, err := DecodeOrder(read, newer)
		if err != nil || got.Server != "stove-1" || got.Part != "decode" {
			t.Errorf("the newer build reads %+v, %v", got, err)
		}
		if enabled.Has(features.OrderPatience) && got != order {
			t.Errorf("the newer build reads %+v from the new key", got)
		}
	}
	if _, err := DecodeOrder(NewRecord(OrderRecord, "stove-1", "courier-1", 4), newer); err == nil {
		t.Error("an order without any format was read")
	}
}

// TestOldCodeLeavesUnknownKeysAlone reads a record with a key from the future.
func TestOldCodeLeavesUnknownKeysAlone(t *testing.T) {
	pair := Pair{Request: "one", Run: 2, Prefill: "a", Decode: "b", Price: time.Second}
	record, err := EncodePair(pair, "courier-1", features.List{features.PairPrice})
	if err != nil {
		t.Fatal(err)
	}
	if err := record.Put("pair_v9", map[string]string{"shape": "round"}); err != nil {
		t.Fatal(err)
	}
	if pair, err := DecodePair(record, features.Supported(nil)); err != nil || pair.Price != time.Second || pair.Run != 2 {
		t.Errorf("%+v, %v", pair, err)
	}
	older := features.Supported(features.List{features.PairPrice})
	if pair, err := DecodePair(record, older); err != nil || pair.Price != 0 || pair.Decode != "b" {
		t.Errorf("%+v, %v", pair, err)
	}
}
