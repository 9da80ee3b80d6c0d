package hatch

import (
	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/lease"
)

// OrdersQuestion gives orders under the parts duty.
type OrdersQuestion struct {
	Duty   lease.Duty      `msgpack:"duty"`
	Orders []formats.Order `msgpack:"orders"`
	// Supported is the writer's own list.
	Supported formats.List `msgpack:"supported"`
}
