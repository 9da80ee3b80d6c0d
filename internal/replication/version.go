package replication

import (
	"strconv"
	"strings"
)

// Version orders the states: by epoch, then by number. The committed version never goes
// back: a new primary starts from a replica in sync, which has every committed batch, and
// stamps it with an epoch above all that a majority of the witnesses has promised before
// (Store.Lead); after that every replica refuses a batch that does not follow its own
// version (LocalReplica.Write). One replica's version may go back, when a snapshot discards
// a batch that was synced there and never committed (LocalReplica.Restore).
type Version struct {
	Epoch  uint64 `msgpack:"epoch" json:"epoch"`
	Number uint64 `msgpack:"number" json:"number"`
}

// Before tells whether the version is older than the other.
func (v Version) Before(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Number < other.Number
}

// String is the version as operators see it: "epoch.number".
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Number, 10)
}

// Section is one named part of the replicated state, encoded, at the version that wrote it
// last. A node keeps sections that its release does not know byte for byte.
type Section struct {
	Version Version `msgpack:"version"`
	Content []byte  `msgpack:"content"`
}

// Batch is one version on its way to the disks of the primary and its backups: the sections
// that it changes and those that it removes. It is also a file's content on the disk.
type Batch struct {
	Version Version `msgpack:"version"`
	// Base is the version that the batch follows.
	Base     Version            `msgpack:"base"`
	Sections map[string]Section `msgpack:"drawers"`
	Removed  []string           `msgpack:"removed,omitempty"`
	// Locations is filled in by the replica that stores the batch: for each section the
	// version whose file holds it, by which a replica that lacks a file knows itself
	// damaged.
	Locations map[string]Version `msgpack:"places,omitempty"`
	// DiscardedThrough is set where a snapshot replaced a replica that had a higher version:
	// files of versions above this batch's and up to that one are no longer part of the
	// replica, though a loss of power may bring them back. Older releases ignore it.
	DiscardedThrough Version `msgpack:"voids,omitempty"`
}

// Empty tells whether a batch changes nothing and needs no sync.
func (b Batch) Empty() bool { return len(b.Sections) == 0 && len(b.Removed) == 0 }

// Size is the length of its sections' contents in bytes.
func (b Batch) Size() int {
	size := 0
	for _, section := range b.Sections {
		size += len(section.Content)
	}
	return size
}

// Snapshot is a complete committed state on its way to a replica that is not in sync.
type Snapshot struct {
	// Epoch is the primary's; Version may be of an older one.
	Epoch    uint64             `msgpack:"epoch"`
	Version  Version            `msgpack:"version"`
	Sections map[string]Section `msgpack:"drawers"`
	// Issue orders the snapshots that one primary cuts in one epoch: a replica that has taken one
	// refuses those cut before, which a link may bring later. Zero: an older release, which does not
	// number them, or a repair of a replica that is not in sync.
	Issue uint64 `msgpack:"issue,omitempty"`
}

// View is one committed state. It is never altered once it is published, so that readers
// need no lock.
type View struct {
	Version  Version
	Sections map[string]Section
}

// VersionOf is the version in which a section was changed last.
func (v *View) VersionOf(section string) Version { return v.Sections[section].Version }

// Size is the length of all sections' contents in bytes.
func (v *View) Size() int {
	size := 0
	for _, section := range v.Sections {
		size += len(section.Content)
	}
	return size
}

// State decodes the view.
func (v *View) State() (*State, error) { return ReadState(v.Sections) }

// ChangeRecords decodes the records of accepted changes. An error has the code Garbage.
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

// after is the state once the batch is committed.
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
