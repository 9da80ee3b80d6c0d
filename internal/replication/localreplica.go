package replication

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Storage is the port to one directory of a disk. Files are never changed in place. Errors
// have the code Disk.
type Storage interface {
	// Save returns nil only when the complete file is synced under its name. After a loss
	// of power the file is there complete or not at all.
	Save(name string, content []byte) error
	// Load reads every file; damaged names those whose checksum is wrong.
	Load() (files map[string][]byte, damaged []string, err error)
	// Remove deletes files that newer ones have replaced. A loss of power may bring them
	// back until the next Save returns.
	Remove(names []string) error
}

// LocalReplica is the replica of the replicated state on this node's disk: a file for each
// version, holding the sections that the version changed. Files whose sections all have a
// newer version elsewhere are removed.
//
// Invariants: memory is altered only after the file's Save has returned, so that it never
// shows what a loss of power could take away; and the newest file names the file of every
// section (Batch.Locations), so that a missing or damaged one is noticed.
type LocalReplica struct {
	mutex    sync.Locker
	storage  Storage
	version  Version
	sections map[string]Section
	// locations are the versions whose files hold the sections.
	locations map[string]Version
	// files are the names of all files that are, or may be, on the storage.
	files map[string]bool
	// damage says why the replica can't be used; empty: it can.
	damage string
	// highest is the highest version of any file that was ever seen here.
	highest Version
}

// OpenLocalReplica reads a replica from its storage. One with a damaged or missing file
// opens, but says so (Damage), and must be restored from another's snapshot.
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
			replica.damage = fmt.Sprintf("the file of version %s is missing, which holds %s", location, name)
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

// recordVersion remembers a version whose file is on the storage, or may come back to it.
func (r *LocalReplica) recordVersion(version Version) {
	if r.highest.Before(version) {
		r.highest = version
	}
}

// newestOf is the batch of the newest version that no snapshot has discarded.
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

// SetLock chooses the replica's lock, which is held while it waits for the disk. It must be
// called before any other method.
func (r *LocalReplica) SetLock(lock sync.Locker) { r.mutex = lock }

// Damage says what is wrong with the replica, or nothing.
func (r *LocalReplica) Damage() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.damage
}

// Version is the newest version that is synced here.
func (r *LocalReplica) Version() Version {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.version
}

// Sections is the replica's content. The map is the caller's, the bytes must not be altered.
func (r *LocalReplica) Sections() map[string]Section {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sections := make(map[string]Section, len(r.sections))
	for name, section := range r.sections {
		sections[name] = section
	}
	return sections
}

// Write syncs a batch to disk and applies it. The same batch again changes nothing, so that a
// primary may send it again. One that does not follow the replica's version is refused with
// the code Behind, which keeps versions without gaps; a damaged replica refuses all with
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
		return failure.New(failure.Behind, fmt.Sprintf("the copy is at %s, the batch follows %s", r.version, batch.Base))
	}
	return r.save(batch)
}

// Restore replaces the whole replica by a snapshot, in one file. While it is under way, and
// after it failed, the replica counts as damaged.
func (r *LocalReplica) Restore(snapshot Snapshot) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if snapshot.Version == r.version && r.damage == "" {
		return nil
	}
	// This replica may have one version more than the snapshot: a batch that was synced here
	// and never committed. Its file may come back after a loss of power.
	batch := Batch{Version: snapshot.Version, Sections: snapshot.Sections}
	if snapshot.Version.Before(r.highest) {
		batch.DiscardedThrough = r.highest
	}
	r.sections = map[string]Section{}
	r.locations = map[string]Version{}
	r.damage = "a rewrite was broken off"
	if err := r.save(batch); err != nil {
		return err
	}
	r.damage = ""
	return nil
}

// CatchUp restores a replica that is older than the snapshot; one that is as new is left as
// it is, and the code is Behind. It brings replicas that are not in sync near the primary's
// state.
func (r *LocalReplica) CatchUp(snapshot Snapshot) error {
	r.mutex.Lock()
	older := r.version.Before(snapshot.Version)
	r.mutex.Unlock()
	if !older {
		return failure.New(failure.Behind, "the copy is as new as the snapshot")
	}
	return r.Restore(snapshot)
}

// Sweep reads the replica's files again. If any has become damaged or is gone, the replica is
// written anew from memory; the sweep tells how many there were.
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
	// The whole replica goes into one file of the present version.
	return lost, r.save(Batch{Version: r.version, Sections: r.sections})
}

// save syncs a batch under its version's name and applies it in memory.
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

// removeObsolete deletes the files that hold no section any more, but for the newest. If it
// fails, they only take up space until the next save.
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

// fileName sorts as the versions do.
func fileName(version Version) string {
	return fmt.Sprintf("version-%020d-%020d", version.Epoch, version.Number)
}
