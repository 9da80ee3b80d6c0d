package replication

import (
	"strconv"
	"strings"
)

// Version numbers the states of a replica. Versions are ordered by epoch, then by number. The
// committed version never goes back: a new primary starts from a replica in sync, which has every
// committed batch, and writes a version whose epoch is higher than every epoch that a majority of the
// witnesses promised before (Store.Lead); from then on every replica refuses a batch that does not follow its
// own version (LocalReplica.Write). The version of a single replica may go back, when a snapshot
// discards a batch that was synced there but never committed (LocalReplica.Restore).
type Version struct {
	Epoch  uint64 `msgpack:"epoch" json:"epoch"`
	Number uint64 `msgpack:"number" json:"number"`
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Number < other.Number
}

// String returns the version as operators see it: "epoch.number".
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Number, 10)
}

// Section is one named part of the replicated state, encoded, with the version that wrote it last.
// A node that does not know a section, because its release is older, keeps it byte for byte.
type Section struct {
	Version Version `msgpack:"version"`
	Content []byte  `msgpack:"content"`
}

// Batch is one version as it is sent to the disks of the primary and its backups: the sections that
// it changes and those that it removes. It is also the content of a file on the disk.
type Batch struct {
	Version Version `msgpack:"version"`
	// Base is the version that the batch follows.
	Base     Version            `msgpack:"base"`
	Sections map[string]Section `msgpack:"drawers"`
	Removed  []string           `msgpack:"removed,omitempty"`
	// Locations is set by the replica that stores the batch: for each section the version whose
	// file holds it. Locations lets a replica notice that one of its files is missing.
	Locations map[string]Version `msgpack:"places,omitempty"`
	// DiscardedThrough is set in the batch of a snapshot whose version is lower than the replica's highest
	// version, and is then that highest version. Files of versions above Version and up to
	// DiscardedThrough are no longer part of the replica, although a power loss may restore them. Older
	// releases ignore the field.
	DiscardedThrough Version `msgpack:"voids,omitempty"`
}

// Empty reports whether the batch changes nothing and needs no sync.
func (b Batch) Empty() bool { return len(b.Sections) == 0 && len(b.Removed) == 0 }

// Size returns the total length of the sections' contents in bytes.
func (b Batch) Size() int {
	size := 0
	for _, section := range b.Sections {
		size += len(section.Content)
	}
	return size
}

// Snapshot is a complete committed state for a replica that is not in sync.
type Snapshot struct {
	// Epoch is the epoch of the primary that took the snapshot; Version may be of an older epoch.
	Epoch    uint64             `msgpack:"epoch"`
	Version  Version            `msgpack:"version"`
	Sections map[string]Section `msgpack:"drawers"`
	// Sequence numbers the snapshots that one primary takes in one epoch: a replica that has
	// installed a snapshot refuses those with a lower number, which may arrive late. Sequence is
	// zero in a snapshot of an older release, which does not number its snapshots, and in a
	// snapshot that repairs a replica that is not in sync.
	Sequence uint64 `msgpack:"issue,omitempty"`
}

// View is one committed state. It is never altered after it is published, so that readers need no
// lock.
type View struct {
	Version  Version
	Sections map[string]Section
}

// VersionOf returns the version in which a section was changed last.
func (v *View) VersionOf(section string) Version { return v.Sections[section].Version }

// Size returns the total length of the sections' contents in bytes.
func (v *View) Size() int {
	size := 0
	for _, section := range v.Sections {
		size += len(section.Content)
	}
	return size
}

// State decodes the view.
func (v *View) State() (*State, error) { return ReadState(v.Sections) }

// ChangeRecords decodes the records of accepted changes. Errors have the code Garbage.
func (v *View) ChangeRecords() (*ChangeRecords, error) {
	sections := map[string]Section{}
	for name, section := range v.Sections {
		if name == ChangesSection || strings.HasPrefix(name, ChangesPrefix) {
			sections[name] = section
		}
	}
	state, err := ReadState(sections)
	if err != nil {
		return nil, err
	}
	return &state.Changes, nil
}

// after returns the state that follows v once the batch is committed.
func (v *View) after(batch Batch) *View {
	sections := make(map[string]Section, len(v.Sections)+len(batch.Sections))
	for name, section := range v.Sections {
		sections[name] = section
	}
	for name, section := range batch.Sections {
		sections[name] = section
	}
	for _, name := range batch.Removed {
		delete(sections, name)
	}
	return &View{Version: batch.Version, Sections: sections}
}
