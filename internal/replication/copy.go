package replication

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// LocalReplica is one disk's copy of the replicated state: a file for each version, holding the
// sections that the version changed. Files whose sections are all newer
// elsewhere are removed.
type LocalReplica struct {
	mutex     sync.Locker
	storage   Storage
	version   Version
	sections  map[string]Section
	locations map[string]Version
	files     map[string]bool
	damage    string
	// highest is the highest version of any file that was seen here.
	highest Version
}

// OpenLocalReplica reads a copy from its storage. A copy with a damaged or missing file
// opens, but says so, and must be replaced from the other.
func OpenLocalReplica(storage Storage) (*LocalReplica, error) {
	files, damaged, err := storage.Load()
	if err != nil {
		return nil, err
	}
	replica := &LocalReplica{mutex: &sync.Mutex{}, storage: storage, sections: map[string]Section{}, locations: map[string]Version{}, files: map[string]bool{}}
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
	for name, place := range newest.Locations {
		section, found := batches[place].Sections[name]
		if !found {
			replica.damage = fmt.Sprintf("the file of version %s is missing, which holds %s", place, name)
			continue
		}
		replica.sections[name] = section
		replica.locations[name] = place
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

// note remembers a version whose file is on the storage, or may come back to it.
func (c *LocalReplica) recordVersion(version Version) {
	if c.highest.Before(version) {
		c.highest = version
	}
}

// newestOf is the newest version that no snapshot has made void.
func newestOf(batches map[Version]Batch) Batch {
	void := func(version Version) bool {
		for _, snapshot := range batches {
			if snapshot.Version.Before(version) && !snapshot.DiscardedThrough.Before(version) {
				return true
			}
		}
		return false
	}
	var newest Batch
	for version, batch := range batches {
		if newest.Version.Before(version) && !void(version) {
			newest = batch
		}
	}
	return newest
}

// SetLock chooses the copy's lock, which is held while it waits for the disk. It comes
// before any other use.
func (c *LocalReplica) SetLock(lock sync.Locker) { c.mutex = lock }

// Damage says what is wrong with the copy, or nothing.
func (c *LocalReplica) Damage() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.damage
}

// Version is the newest version that the copy holds.
func (c *LocalReplica) Version() Version {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// Sections is the copy's content. The map is the caller's, the bytes are not.
func (c *LocalReplica) Sections() map[string]Section {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sections := make(map[string]Section, len(c.sections))
	for name, section := range c.sections {
		sections[name] = section
	}
	return sections
}

// Write syncs a batch to disk and takes it up. The same batch again changes
// nothing; one that does not follow the copy's version is refused as Behind.
func (c *LocalReplica) Write(batch Batch) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.damage != "" {
		return failure.New(failure.Damaged, c.damage)
	}
	if batch.Version == c.version {
		return nil
	}
	if batch.Base != c.version || !c.version.Before(batch.Version) {
		return failure.New(failure.Behind, fmt.Sprintf("the copy is at %s, the batch follows %s", c.version, batch.Base))
	}
	return c.save(batch)
}

// Restore replaces the whole copy by a snapshot, in one file.
func (c *LocalReplica) Restore(snapshot Snapshot) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if snapshot.Version == c.version && c.damage == "" {
		return nil
	}
	// A copy may hold one version more than the snapshot: a batch that was
	// synced here and never answered. Its file may come back after a loss of power.
	batch := Batch{Version: snapshot.Version, Sections: snapshot.Sections}
	if snapshot.Version.Before(c.highest) {
		batch.DiscardedThrough = c.highest
	}
	c.sections = map[string]Section{}
	c.locations = map[string]Version{}
	c.damage = "a rewrite was broken off"
	if err := c.save(batch); err != nil {
		return err
	}
	c.damage = ""
	return nil
}

// CatchUp replaces a copy that is older than the snapshot; one that is as new
// is left as it is. It is how copies that are not in sync are mended.
func (c *LocalReplica) CatchUp(snapshot Snapshot) error {
	c.mutex.Lock()
	older := c.version.Before(snapshot.Version)
	c.mutex.Unlock()
	if !older {
		return failure.New(failure.Behind, "the copy is as new as the snapshot")
	}
	return c.Restore(snapshot)
}

// Sweep reads the copy's files again. One that has become damaged or is gone
// is written anew from memory; the sweep tells how many there were.
func (c *LocalReplica) Sweep() (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.damage != "" || c.version == (Version{}) {
		return 0, nil
	}
	files, damaged, err := c.storage.Load()
	if err != nil {
		return 0, err
	}
	lost := len(damaged)
	for _, place := range c.locations {
		if _, found := files[fileName(place)]; !found && !slices.Contains(damaged, fileName(place)) {
			lost++
		}
	}
	if lost == 0 {
		return 0, nil
	}
	for _, name := range damaged {
		c.files[name] = true
	}
	// The whole copy goes into one file of the present version.
	return lost, c.save(Batch{Version: c.version, Sections: c.sections})
}

func (c *LocalReplica) save(batch Batch) error {
	places := map[string]Version{}
	for name, place := range c.locations {
		places[name] = place
	}
	for name := range batch.Sections {
		places[name] = batch.Version
	}
	for _, name := range batch.Removed {
		delete(places, name)
	}
	batch.Locations = places
	encoded, err := msgpack.Marshal(batch)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	file := fileName(batch.Version)
	if err := c.storage.Save(file, encoded); err != nil {
		return err
	}
	c.files[file] = true
	c.recordVersion(batch.Version)
	c.version = batch.Version
	c.locations = places
	for name, section := range batch.Sections {
		c.sections[name] = section
	}
	for _, name := range batch.Removed {
		delete(c.sections, name)
	}
	needed := map[string]bool{file: true}
	for _, place := range places {
		needed[fileName(place)] = true
	}
	var obsolete []string
	for name := range c.files {
		if !needed[name] {
			obsolete = append(obsolete, name)
		}
	}
	// Files that only take room are no failure of the write.
	if c.storage.Remove(obsolete) == nil {
		for _, name := range obsolete {
			delete(c.files, name)
		}
	}
	return nil
}

func fileName(version Version) string {
	return fmt.Sprintf("version-%020d-%020d", version.Epoch, version.Number)
}
