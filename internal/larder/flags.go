package larder

import "seamloom.example/seamloom/internal/recipe"

// Flags is the durable enabled set.
type Flags struct {
	Enabled recipe.List `msgpack:"enabled" json:"enabled"`
}
