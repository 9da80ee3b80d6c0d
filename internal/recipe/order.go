package recipe

import (
	"time"

	"seamloom.example/seamloom/internal/trouble"
)

// Order tells a model server which part to take: "prefill", "decode" or
// "drain". Patience and Cause exist only in the second format.
type Order struct {
	Server   string        `msgpack:"server" json:"server"`
	Part     string        `msgpack:"part" json:"part"`
	Patience time.Duration `msgpack:"patience,omitempty" json:"patience,omitempty"`
	Cause    string        `msgpack:"cause,omitempty" json:"cause,omitempty"`
}

type orderFirst struct {
	Server string `msgpack:"server"`
	Part   string `msgpack:"part"`
}

// DefaultPatience is what an order of the first format gives running work.
const DefaultPatience = 30 * time.Second

// WriteOrder makes the order's record in the format that the enabled flags
// allow: the first format always, the second beside it under OrderPatience.
//
// Example:
//
//	record, failure := recipe.WriteOrder(order, "courier-1", 9, enabled)
func WriteOrder(order Order, writer string, number uint64, enabled List) (Record, error) {
	record := NewRecord(OrderRecord, order.Server, writer, number)
	if failure := record.Put("order", orderFirst{Server: order.Server, Part: order.Part}); failure != nil {
		return record, failure
	}
	if enabled.Has(OrderPatience) {
		return record, record.Put("order_v2", order)
	}
	return record, nil
}

// ReadOrder reads the newest key that this build supports and falls back.
//
// Example:
//
//	order, failure := recipe.ReadOrder(record, supported)
func ReadOrder(record Record, supported List) (Order, error) {
	var order Order
	if supported.Has(OrderPatience) {
		if found, failure := record.Read("order_v2", &order); found || failure != nil {
			return order, failure
		}
	}
	var first orderFirst
	found, failure := record.Read("order", &first)
	if failure != nil {
		return order, failure
	}
	if !found {
		return order, trouble.New(trouble.Garbage, "an order without a format that this build reads")
	}
	return Order{Server: first.Server, Part: first.Part, Patience: DefaultPatience}, nil
}
