package replication

import (
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// StoredData describes the contents of a data folder that decide whether a controller may use the
// folder.
type StoredData struct {
	// Folder is the path of the folder.
	Folder string
	// Identity is the identity in the folder's witness record; empty without a readable record.
	Identity Identity
	// Epoch is the epoch of the membership that the witness accepted last; zero for a disk that has
	// never been part of a core.
	Epoch uint64
	// Files reports whether the folder holds any file of a replica, Damaged whether the newest
	// record of the witness can't be read.
	Files, Damaged bool
}

// ReadStoredData reads a data folder and writes nothing. It fails only if a storage can't be read.
func ReadStoredData(folder string, witness, replica Storage) (StoredData, error) {
	data := StoredData{Folder: folder}
	records, damaged, err := witness.Load()
	if err != nil {
		return data, err
	}
	names := append([]string(nil), damaged...)
	for name := range records {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) > 0 {
		var record witnessRecord
		content, intact := records[names[len(names)-1]]
		data.Damaged = !intact || msgpack.Unmarshal(content, &record) != nil
		data.Identity, data.Epoch = record.Identity, record.Membership.Epoch
	}
	files, damaged, err := replica.Load()
	data.Files = len(files)+len(damaged) > 0
	return data, err
}

// Joined reports whether the folder holds, or may hold, data of a controller that was part of a
// core.
func (d StoredData) Joined() bool { return d.Epoch > 0 || d.Damaged || d.Files }

// ChooseEarlierData returns the folder of an earlier release whose data a controller takes over. It
// chooses a folder only if the controller's own folder holds no data and exactly one earlier folder
// does. It returns false when there is nothing to take over.
//
// Invariant: an identity is used from one folder only, because the data of the chosen folder is
// to be moved and not copied; and no data that a core may rely on is lost, because a folder that
// holds data is never overwritten. It fails with Contradictory when two folders hold data: the
// disks don't show which of them is newer, and the controller uses its own folder.
func ChooseEarlierData(own StoredData, earlier []StoredData) (StoredData, bool, error) {
	var joined []StoredData
	for _, data := range earlier {
		if data.Joined() {
			joined = append(joined, data)
		}
	}
	switch {
	case len(joined) == 0:
		return StoredData{}, false, nil
	case own.Joined():
		return StoredData{}, false, failure.At(failure.Contradictory, joined[0].Folder,
			"holds data of an earlier release, but "+own.Folder+" also holds data, which is used instead")
	case len(joined) > 1:
		return StoredData{}, false, failure.At(failure.Contradictory, joined[1].Folder,
			"holds data of an earlier release, and "+joined[0].Folder+" does, too: neither is used")
	}
	return joined[0], true, nil
}
