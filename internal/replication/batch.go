package replication

// Batch is one version on its way to disk and backup: the drawers it changes
// and those it takes away. Places is filled in by the copy that keeps it: the
// file that holds each drawer after this version, by which a copy that lacks a
// file knows itself damaged.
type Batch struct {
	Version Version            `msgpack:"version"`
	Base    Version            `msgpack:"base"`
	Drawers map[string]Section `msgpack:"drawers"`
	Removed []string           `msgpack:"removed,omitempty"`
	Places  map[string]Version `msgpack:"places,omitempty"`
}
