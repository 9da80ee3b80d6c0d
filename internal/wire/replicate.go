package wire

import "seamloom.example/seamloom/internal/replication"

// ReplicateRequest brings a version to the backup.
type ReplicateRequest struct {
	To    replication.Identity `msgpack:"to"`
	Epoch uint64               `msgpack:"epoch"`
	Batch replication.Batch    `msgpack:"batch"`
}
