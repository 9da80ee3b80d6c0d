package wire

import "seamloom.example/seamloom/internal/replication"

// LedResponse says whether its giver leads, and nothing besides.
type LedResponse struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}
