package replication

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Storage is one directory of a disk. Files are never changed in place. Errors have the code Disk.
type Storage interface {
	// Save returns nil only when the complete file is synced under its name. After a power loss the
	// file is either complete or missing.
	Save(name string, content []byte) error
	// Load reads every file; damaged names the files whose checksum is wrong.
	Load() (files map[string][]byte, damaged []string, err error)
	// Remove deletes files that are no longer needed. A power loss may restore them until the next
	// Save returns.
	Remove(names []string) error
}

// LocalReplica is the replica of the state on this node's disk: one file for each version, with the
// sections that the version changed. A file is removed once newer files hold all of its sections.
//
// Invariants: a change appears in memory only after the Save of its file has returned, so that readers
// never see a change that a power loss could undo; and the newest file lists, for every section, the
// version whose file holds it (Batch.Locations), so that a missing or damaged file is noticed.
type LocalReplica struct {
	mutex    sync.Locker
	storage  Storage
	version  Version
	sections map[string]Section
	// locations holds, for each section, the version whose file holds it.
	locations map[string]Version
	// files holds the names of all files that are, or may be, on the storage.
	files map[string]bool
	// damage describes why the replica can't be used; it is empty for a usable replica.
	damage string
	// highest is the highest version of the files found on opening and of those written since.
	highest Version
}

// OpenLocalReplica reads a replica from its storage. A replica with a damaged or missing file is
// opened without an error, but Damage reports the fault, and the replica must be restored from a
// snapshot of another replica.
func OpenLocalReplica(storage Storage) (*LocalReplica, error) {
	files, damaged, err := storage.Load()
	if err != nil {
		return nil, err
	}
	replica := &LocalReplica{
		mutex:     &sync.Mutex{},
		storage:   storage,
		sections:  map[string]Section{},
		locations: map[string]Version{},
		files:     map[string]bool{},
	}
	batches := map[Version]Batch{}
	for name, content := range files {
		replica.files[name] = true
		var batch Batch
		if msgpack.Unmarshal(content, &batch) != nil || fileName(batch.Version) != name {
			damaged = append(damaged, name)
			continue
		}
		batches[batch.Version] = batch
		replica.recordVersion(batch.Version)
	}
	newest := newestOf(batches)
	replica.version = newest.Version
	for name, location := range newest.Locations {
		section, found := batches[location].Sections[name]
		if !found {
			replica.damage = fmt.Sprintf("the file of version %s, which holds section %s, is missing", location, name)
			continue
		}
		replica.sections[name] = section
		replica.locations[name] = location
	}
	if len(damaged) > 0 {
		sort.Strings(damaged)
		replica.damage = fmt.Sprintf("damaged files: %v", damaged)
		for _, name := range damaged {
			replica.files[name] = true
		}
	}
	return replica, nil
}

// recordVersion records the version of a file that is on the storage, or that a power loss may
// restore.
func (r *LocalReplica) recordVersion(version Version) {
	if r.highest.Before(version) {
		r.highest = version
	}
}

// newestOf returns the batch of the newest version that no snapshot has discarded.
func newestOf(batches map[Version]Batch) Batch {
	discarded := func(version Version) bool {
		for _, snapshot := range batches {
			if snapshot.Version.Before(version) && !snapshot.DiscardedThrough.Before(version) {
				return true
			}
		}
		return false
	}
	var newest Batch
	for version, batch := range batches {
		if newest.Version.Before(version) && !discarded(version) {
			newest = batch
		}
	}
	return newest
}

// SetLock sets the replica's lock, which is held while the replica waits for the disk. It must be
// called before any other method.
func (r *LocalReplica) SetLock(lock sync.Locker) { r.mutex = lock }

// Damage returns what is wrong with the replica, or an empty string.
func (r *LocalReplica) Damage() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.damage
}

// Version returns the newest version that is synced on the disk.
func (r *LocalReplica) Version() Version {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.version
}

// Sections returns the replica's content. The caller may alter the map, but not the bytes of a
// section.
func (r *LocalReplica) Sections() map[string]Section {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sections := make(map[string]Section, len(r.sections))
	for name, section := range r.sections {
		sections[name] = section
	}
	return sections
}

// Write syncs a batch to the disk and applies it. Writing the newest batch again changes nothing, so
// that a primary may repeat a write. A batch that does not follow the replica's version is refused with
// the code Behind, so that the versions have no gaps; a damaged replica refuses every batch with
// the code Damaged.
func (r *LocalReplica) Write(batch Batch) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.damage != "" {
		return failure.New(failure.Damaged, r.damage)
	}
	if batch.Version == r.version {
		return nil
	}
	if batch.Base != r.version || !r.version.Before(batch.Version) {
		return failure.New(failure.Behind, fmt.Sprintf("the replica is at version %s, the batch follows %s", r.version, batch.Base))
	}
	return r.save(batch)
}

// Restore replaces the whole replica by a snapshot, in one file. The replica counts as damaged
// until Restore has succeeded.
func (r *LocalReplica) Restore(snapshot Snapshot) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if snapshot.Version == r.version && r.damage == "" {
		return nil
	}
	// This replica may be one version ahead of the snapshot, by a batch that was synced here and
	// never committed. A power loss may restore the file of that batch.
	batch := Batch{Version: snapshot.Version, Sections: snapshot.Sections}
	if snapshot.Version.Before(r.highest) {
		batch.DiscardedThrough = r.highest
	}
	r.sections = map[string]Section{}
	r.locations = map[string]Version{}
	r.damage = "restoring a snapshot did not finish"
	if err := r.save(batch); err != nil {
		return err
	}
	r.damage = ""
	return nil
}

// CatchUp restores the replica from a snapshot that is newer than the replica. If the snapshot is not
// newer, CatchUp fails with the code Behind and leaves the replica unchanged. CatchUp is used to keep
// replicas that are not in sync close to the primary's state.
func (r *LocalReplica) CatchUp(snapshot Snapshot) error {
	r.mutex.Lock()
	older := r.version.Before(snapshot.Version)
	r.mutex.Unlock()
	if !older {
		return failure.New(failure.Behind, "the replica is as new as the snapshot")
	}
	return r.Restore(snapshot)
}

// Sweep reads the replica's files again. If any file is damaged or missing, Sweep writes the whole
// replica from memory to one new file. It returns the number of damaged files plus the number of
// sections whose file is missing. A replica that is empty, or for which Damage reports a fault, is left
// unchanged.
func (r *LocalReplica) Sweep() (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.damage != "" || r.version == (Version{}) {
		return 0, nil
	}
	files, damaged, err := r.storage.Load()
	if err != nil {
		return 0, err
	}
	lost := len(damaged)
	for _, location := range r.locations {
		name := fileName(location)
		if _, found := files[name]; !found && !slices.Contains(damaged, name) {
			lost++
		}
	}
	if lost == 0 {
		return 0, nil
	}
	for _, name := range damaged {
		r.files[name] = true
	}
	// One file of the present version then holds the whole replica.
	return lost, r.save(Batch{Version: r.version, Sections: r.sections})
}

// save syncs a batch to a file named after its version, and applies it in memory.
func (r *LocalReplica) save(batch Batch) error {
	locations := map[string]Version{}
	for name, location := range r.locations {
		locations[name] = location
	}
	for name := range batch.Sections {
		locations[name] = batch.Version
	}
	for _, name := range batch.Removed {
		delete(locations, name)
	}
	batch.Locations = locations
	encoded, err := msgpack.Marshal(batch)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	file := fileName(batch.Version)
	if err := r.storage.Save(file, encoded); err != nil {
		return err
	}
	r.files[file] = true
	r.recordVersion(batch.Version)
	r.version = batch.Version
	r.locations = locations
	for name, section := range batch.Sections {
		r.sections[name] = section
	}
	for _, name := range batch.Removed {
		delete(r.sections, name)
	}
	r.removeObsolete(file)
	return nil
}

// removeObsolete deletes the files that hold no current section, except the newest file. Files that
// could not be deleted only take up space, and the next save tries again.
func (r *LocalReplica) removeObsolete(newest string) {
	needed := map[string]bool{newest: true}
	for _, location := range r.locations {
		needed[fileName(location)] = true
	}
	var obsolete []string
	for name := range r.files {
		if !needed[name] {
			obsolete = append(obsolete, name)
		}
	}
	if r.storage.Remove(obsolete) == nil {
		for _, name := range obsolete {
			delete(r.files, name)
		}
	}
}

// fileName returns the name of a version's file. The names sort in the order of the versions.
func fileName(version Version) string {
	return fmt.Sprintf("version-%020d-%020d", version.Epoch, version.Number)
}
