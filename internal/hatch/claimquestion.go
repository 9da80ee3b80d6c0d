package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
)

// ClaimQuestion takes a request id before its dispatch.
type ClaimQuestion struct {
	Made  time.Time   `msgpack:"made"`
	Entry codec.Entry `msgpack:"entry"`
}
