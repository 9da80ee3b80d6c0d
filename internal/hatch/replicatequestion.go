package hatch

import "seamloom.example/seamloom/internal/replication"

// replicateQuestion brings a version to the backup.
type replicateQuestion struct {
	To    replication.Identity `msgpack:"to"`
	Epoch uint64               `msgpack:"epoch"`
	Batch replication.Batch    `msgpack:"batch"`
}
