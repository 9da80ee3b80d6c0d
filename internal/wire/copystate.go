package wire

import "seamloom.example/seamloom/internal/replication"

// CopyState is what a controller that is not primary says of the copy on its disk, to
// a router that has no configuration in its life.
type CopyState struct {
	Identity replication.Identity `msgpack:"identity"`
	Damaged  bool                 `msgpack:"damaged,omitempty"`
	// Configuration is the version of the copy's configuration.
	Configuration replication.Version `msgpack:"menu"`
	// Sections are what a router needs to serve, when it asked for this version.
	Sections map[string]replication.Section `msgpack:"drawers,omitempty"`
}
