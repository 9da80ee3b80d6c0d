package larder

import "seamloom.example/seamloom/internal/recipe"

// Orders are the standing orders, one for each server, and the last number.
type Orders struct {
	Records map[string]recipe.Record `msgpack:"records"`
	Number  uint64                   `msgpack:"number"`
}
