package replication

import "seamloom.example/seamloom/internal/lease"

// Duties are the recorded holders of the keys, and the last fence given.
type Duties struct {
	Duties map[string]lease.Duty `msgpack:"duties"`
	Fence  uint64                `msgpack:"fence"`
}
