package codec

import (
	"time"

	"seamloom.example/seamloom/internal/features"
)

// Order instructs a model server to take a role.
type Order struct {
	Server string `msgpack:"server" json:"server"`
	// Role is the role: "prefill", "decode" or "drain".
	Role string `msgpack:"part" json:"part"`
	// GracePeriod is how long running work may continue, and Cause is why the order was given.
	// Both exist only in the second format.
	GracePeriod time.Duration `msgpack:"patience,omitempty" json:"patience,omitempty"`
	Cause       string        `msgpack:"cause,omitempty" json:"cause,omitempty"`
}

// orderV1 is the order's first format.
type orderV1 struct {
	Server string `msgpack:"server"`
	Role   string `msgpack:"part"`
}

// DefaultGracePeriod is how long running work may continue after an order in the first format.
const DefaultGracePeriod = 30 * time.Second

// EncodeOrder returns the order's record in the formats that the enabled flags allow: always the
// first format, and also the second one if OrderGracePeriod is enabled.
func EncodeOrder(order Order, writer string, number uint64, enabled features.List) (Record, error) {
	record := NewRecord(OrderRecord, order.Server, writer, number)
	first := orderV1{Server: order.Server, Role: order.Role}
	return record, record.putFormats(enabled,
		format{"", "order", first},
		format{features.OrderGracePeriod, "order_v2", order},
	)
}

// DecodeOrder decodes the newest format that this build supports and the record has. An error
// has the code Garbage.
func DecodeOrder(record Record, supported features.List) (Order, error) {
	var order Order
	var first orderV1
	key, err := record.decodeNewest(supported,
		format{features.OrderGracePeriod, "order_v2", &order},
		format{"", "order", &first},
	)
	if key == "order" {
		order = Order{Server: first.Server, Role: first.Role, GracePeriod: DefaultGracePeriod}
	}
	return order, err
}
