package wire

import "seamloom.example/seamloom/internal/replication"

// LeaderResponse says whether its giver leads, and nothing besides.
type LeaderResponse struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}
