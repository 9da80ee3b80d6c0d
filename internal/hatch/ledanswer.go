package hatch

import "seamloom.example/seamloom/internal/replication"

// LedAnswer says whether its giver leads, and nothing besides.
type LedAnswer struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}
