package replication

import "seamloom.example/seamloom/internal/formats"

// Flags is the durable enabled set.
type Flags struct {
	Enabled formats.List `msgpack:"enabled" json:"enabled"`
}
