package replication

// Snapshot is a whole copy on its way to a new backup.
type Snapshot struct {
	Epoch    uint64             `msgpack:"epoch"`
	Version  Version            `msgpack:"version"`
	Sections map[string]Section `msgpack:"drawers"`
}
