package hatch

import "seamloom.example/seamloom/internal/larder"

// replicateQuestion brings a version to the backup.
type replicateQuestion struct {
	To    larder.Identity `msgpack:"to"`
	Epoch uint64          `msgpack:"epoch"`
	Batch larder.Batch    `msgpack:"batch"`
}
