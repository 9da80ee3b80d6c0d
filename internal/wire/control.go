package wire

import "seamloom.example/seamloom/internal/replication"

// WitnessRequest is a prepare, accept or confirm request to a witness. To, here and in the requests below,
// identifies the disk to which the request is addressed, since the address may belong to another disk by
// now.
type WitnessRequest struct {
	To         replication.Identity   `msgpack:"to"`
	From       replication.Identity   `msgpack:"from"`
	Epoch      uint64                 `msgpack:"epoch"`
	Membership replication.Membership `msgpack:"charter"`
}

// ReplicateRequest sends the batch of a new version to a backup.
type ReplicateRequest struct {
	To    replication.Identity `msgpack:"to"`
	Epoch uint64               `msgpack:"epoch"`
	Batch replication.Batch    `msgpack:"batch"`
}

// InstallRequest sends a complete copy of the state, to install it or to refresh an older copy.
type InstallRequest struct {
	To       replication.Identity `msgpack:"to"`
	Snapshot replication.Snapshot `msgpack:"snapshot"`
}
