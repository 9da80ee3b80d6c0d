package hatch

import "seamloom.example/seamloom/internal/larder"

// LedAnswer says whether its giver leads, and nothing besides.
type LedAnswer struct {
	Leads   bool           `msgpack:"leads"`
	Charter larder.Charter `msgpack:"charter"`
}
