package wire

import "seamloom.example/seamloom/internal/replication"

// WitnessRequest is a prepare, accept or confirm request to a witness. To guards against
// another disk that has come to the same address; so it does in the requests below.
type WitnessRequest struct {
	To         replication.Identity   `msgpack:"to"`
	From       replication.Identity   `msgpack:"from"`
	Epoch      uint64                 `msgpack:"epoch"`
	Membership replication.Membership `msgpack:"charter"`
}

// ReplicateRequest brings the batch of a new version to a backup.
type ReplicateRequest struct {
	To    replication.Identity `msgpack:"to"`
	Epoch uint64               `msgpack:"epoch"`
	Batch replication.Batch    `msgpack:"batch"`
}

// InstallRequest brings a complete copy, to install or to refresh one.
type InstallRequest struct {
	To       replication.Identity `msgpack:"to"`
	Snapshot replication.Snapshot `msgpack:"snapshot"`
}
