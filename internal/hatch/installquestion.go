package hatch

import "seamloom.example/seamloom/internal/replication"

// installQuestion brings a whole copy.
type installQuestion struct {
	To       replication.Identity `msgpack:"to"`
	Snapshot replication.Snapshot `msgpack:"snapshot"`
}
