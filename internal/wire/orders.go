package wire

import (
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
)

// OrdersRequest gives orders under the parts duty.
type OrdersRequest struct {
	Role   lease.Role    `msgpack:"duty"`
	Orders []codec.Order `msgpack:"orders"`
	// Supported is the writer's own list.
	Supported features.List `msgpack:"supported"`
}
