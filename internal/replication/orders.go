package replication

import (
	"seamloom.example/seamloom/internal/codec"
)

// Orders are the standing orders, one for each server, and the last number.
type Orders struct {
	Records map[string]codec.Record `msgpack:"records"`
	Number  uint64                  `msgpack:"number"`
}
