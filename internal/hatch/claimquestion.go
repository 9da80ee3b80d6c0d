package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/formats"
)

// ClaimQuestion takes an inquiry id before its dispatch.
type ClaimQuestion struct {
	Made  time.Time     `msgpack:"made"`
	Entry formats.Entry `msgpack:"entry"`
}
