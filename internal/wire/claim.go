package wire

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
)

// ClaimRequest takes a request id before its dispatch.
type ClaimRequest struct {
	Made  time.Time   `msgpack:"made"`
	Entry codec.Entry `msgpack:"entry"`
}
