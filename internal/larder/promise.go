package larder

import "seamloom.example/seamloom/internal/trouble"

// Promise is a keeper's answer.
type Promise struct {
	Keeper   Identity     `msgpack:"keeper"`
	Granted  bool         `msgpack:"granted"`
	Refusal  trouble.Kind `msgpack:"refusal,omitempty"`
	Promised uint64       `msgpack:"promised"`
	Charter  Charter      `msgpack:"charter"`
}
