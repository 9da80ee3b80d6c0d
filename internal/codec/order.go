package codec

import (
	"time"

	"seamloom.example/seamloom/internal/features"
)

// Order tells a model server which part to take.
type Order struct {
	Server string `msgpack:"server" json:"server"`
	// Part is "prefill", "decode" or "drain".
	Part string `msgpack:"part" json:"part"`
	// Patience is how long running work may go on, and Cause why the order was given.
	// Both exist only in the second format.
	Patience time.Duration `msgpack:"patience,omitempty" json:"patience,omitempty"`
	Cause    string        `msgpack:"cause,omitempty" json:"cause,omitempty"`
}

// orderV1 is the order's first format.
type orderV1 struct {
	Server string `msgpack:"server"`
	Part   string `msgpack:"part"`
}

// DefaultPatience is what an order of the first format gives running work.
const DefaultPatience = 30 * time.Second

// EncodeOrder makes the order's record in the formats that the enabled flags allow: the
// first always, the second beside it under OrderPatience.
func EncodeOrder(order Order, writer string, number uint64, enabled features.List) (Record, error) {
	record := NewRecord(OrderRecord, order.Server, writer, number)
	first := orderV1{Server: order.Server, Part: order.Part}
	return record, record.putFormats(enabled,
		format{"", "order", first},
		format{features.OrderPatience, "order_v2", order},
	)
}

// DecodeOrder reads the newest format that this build supports and the record has. An error
// has the code Garbage.
func DecodeOrder(record Record, supported features.List) (Order, error) {
	var order Order
	var first orderV1
	key, err := record.decodeNewest(supported,
		format{features.OrderPatience, "order_v2", &order},
		format{"", "order", &first},
	)
	if key == "order" {
		order = Order{Server: first.Server, Part: first.Part, Patience: DefaultPatience}
	}
	return order, err
}
