package wire

import "seamloom.example/seamloom/internal/replication"

// InstallRequest brings a whole copy.
type InstallRequest struct {
	To       replication.Identity `msgpack:"to"`
	Snapshot replication.Snapshot `msgpack:"snapshot"`
}
