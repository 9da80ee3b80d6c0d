package replication

// Batch is one version on its way to disk and backup: the sections it changes
// and those it takes away. Places is filled in by the copy that keeps it: the
// file that holds each section after this version, by which a copy that lacks a
// file knows itself damaged.
type Batch struct {
	Version   Version            `msgpack:"version"`
	Base      Version            `msgpack:"base"`
	Sections  map[string]Section `msgpack:"drawers"`
	Removed   []string           `msgpack:"removed,omitempty"`
	Locations map[string]Version `msgpack:"places,omitempty"`
	// DiscardedThrough is the version of the copy that a snapshot of an older one replaced: files of
	// versions above this one and up to that are no part of the copy any more, though a
	// loss of power may bring them back. An older release does not know it.
	DiscardedThrough Version `msgpack:"voids,omitempty"`
}
