package codec

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/features"
)

// TestOrderFormatsAreCompatible encodes an order with and without the flag OrderGracePeriod, and decodes both
// records with a build that doesn't support the flag and with one that does.
func TestOrderFormatsAreCompatible(t *testing.T) {
	order := Order{Server: "stove-1", Role: "decode", GracePeriod: 7 * time.Second, Cause: "answers wait"}
	older, newer := features.Supported(features.List{features.OrderGracePeriod}), features.Supported(nil)
	for _, enabled := range []features.List{nil, {features.OrderGracePeriod}} {
		record, err := EncodeOrder(order, "courier-1", 3, enabled)
		if err != nil {
			t.Fatal(err)
		}
		if _, found := record.Features["order_v2"]; found != enabled.Has(features.OrderGracePeriod) {
			t.Fatalf("with the flags %v the record has order_v2: %v, want %v", enabled, found, !found)
		}
		encoded, err := msgpack.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		var read Record
		if err := msgpack.Unmarshal(encoded, &read); err != nil {
			t.Fatal(err)
		}
		wantFromOlder := Order{Server: "stove-1", Role: "decode", GracePeriod: DefaultGracePeriod}
		if got, err := DecodeOrder(read, older); err != nil || got != wantFromOlder {
			t.Errorf("the older build decoded %+v, %v, want %+v", got, err, wantFromOlder)
		}
		got, err := DecodeOrder(read, newer)
		if err != nil || got.Server != "stove-1" || got.Role != "decode" {
			t.Errorf("the newer build decoded %+v, %v, want server stove-1 and role decode", got, err)
		}
		if enabled.Has(features.OrderGracePeriod) && got != order {
			t.Errorf("the newer build decoded %+v from order_v2, want %+v", got, order)
		}
	}
	if _, err := DecodeOrder(NewRecord(OrderRecord, "stove-1", "courier-1", 4), newer); err == nil {
		t.Error("decoding an order without any format succeeded, want an error")
	}
}

// TestUnknownKeysAreIgnored decodes a record with a key of a format that a later release might add.
func TestUnknownKeysAreIgnored(t *testing.T) {
	pair := Pair{Request: "one", Attempt: 2, Prefill: "a", Decode: "b", Price: time.Second}
	record, err := EncodePair(pair, "courier-1", features.List{features.PairPrice})
	if err != nil {
		t.Fatal(err)
	}
	if err := record.Put("pair_v9", map[string]string{"shape": "round"}); err != nil {
		t.Fatal(err)
	}
	if pair, err := DecodePair(record, features.Supported(nil)); err != nil || pair.Price != time.Second || pair.Attempt != 2 {
		t.Errorf("the newer build decoded %+v, %v, want a price of 1s and attempt 2", pair, err)
	}
	older := features.Supported(features.List{features.PairPrice})
	if pair, err := DecodePair(record, older); err != nil || pair.Price != 0 || pair.Decode != "b" {
		t.Errorf("the older build decoded %+v, %v, want no price and decode server b", pair, err)
	}
}
