package replication

import (
	"seamloom.example/seamloom/internal/features"
)

// Flags is the durable enabled set.
type Flags struct {
	Enabled features.List `msgpack:"enabled" json:"enabled"`
}
