package wire

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// ServersUpdate is what the primary knows of the platform's list: how old it is, and
// the list itself for who has another one. Its mark tells one list from another.
type ServersUpdate struct {
	Revision uint64              `msgpack:"mark"`
	Age      time.Duration       `msgpack:"age"`
	Sent     bool                `msgpack:"sent,omitempty"`
	Servers  []membership.Server `msgpack:"servers,omitempty"`
}
