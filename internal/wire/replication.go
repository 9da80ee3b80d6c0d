package wire

import "seamloom.example/seamloom/internal/replication"

// WitnessRequest is any question to a keeper; To guards against another disk
// that has come to the same address.
type WitnessRequest struct {
	To         replication.Identity   `msgpack:"to"`
	From       replication.Identity   `msgpack:"from"`
	Epoch      uint64                 `msgpack:"epoch"`
	Membership replication.Membership `msgpack:"charter"`
}
