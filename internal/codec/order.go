package codec

import (
	"seamloom.example/seamloom/internal/features"
	"time"
)

// Order tells a model server which part to take: "prefill", "decode" or
// "drain". Patience and Cause exist only in the second format.
type Order struct {
	Server   string        `msgpack:"server" json:"server"`
	Part     string        `msgpack:"part" json:"part"`
	Patience time.Duration `msgpack:"patience,omitempty" json:"patience,omitempty"`
	Cause    string        `msgpack:"cause,omitempty" json:"cause,omitempty"`
}

type orderV1 struct {
	Server string `msgpack:"server"`
	Part   string `msgpack:"part"`
}

// DefaultPatience is what an order of the first format gives running work.
const DefaultPatience = 30 * time.Second

// EncodeOrder makes the order's record in the format that the enabled flags
// allow: the first format always, the second beside it under OrderPatience.
func EncodeOrder(order Order, writer string, number uint64, enabled features.List) (Record, error) {
	record := NewRecord(OrderRecord, order.Server, writer, number)
	return record, record.putFormats(enabled, format{"", "order", orderV1{Server: order.Server, Part: order.Part}}, format{features.OrderPatience, "order_v2", order})
}

// DecodeOrder reads the newest key that this build supports and falls back.
func DecodeOrder(record Record, supported features.List) (Order, error) {
	var order Order
	var first orderV1
	key, err := record.decodeNewest(supported, format{features.OrderPatience, "order_v2", &order}, format{"", "order", &first})
	if key == "order" {
		order = Order{Server: first.Server, Part: first.Part, Patience: DefaultPatience}
	}
	return order, err
}
