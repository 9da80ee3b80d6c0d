package replication

import "seamloom.example/seamloom/internal/lease"

// Roles are the recorded holders of the keys, and the last fence given.
type Roles struct {
	Roles        map[string]lease.Role `msgpack:"duties"`
	FencingToken uint64                `msgpack:"fence"`
}
