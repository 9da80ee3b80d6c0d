package replication

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Copy is one disk's copy of the larder: a file for each version, holding the
// drawers that the version changed. Files whose drawers are all newer
// elsewhere are removed.
type Copy struct {
	mutex    sync.Locker
	storage  Storage
	version  Version
	sections map[string]Section
	places   map[string]Version
	files    map[string]bool
	damage   string
	// highest is the highest version of any file that was seen here.
	highest Version
}

// OpenCopy reads a copy from its shelf. A copy with a damaged or missing file
// opens, but says so, and must be replaced from the other.
func OpenCopy(storage Storage) (*Copy, error) {
	files, damaged, err := storage.Load()
	if err != nil {
		return nil, err
	}
	copied := &Copy{mutex: &sync.Mutex{}, storage: storage, sections: map[string]Section{}, places: map[string]Version{}, files: map[string]bool{}}
	batches := map[Version]Batch{}
	for name, content := range files {
		copied.files[name] = true
		var batch Batch
		if msgpack.Unmarshal(content, &batch) != nil || fileName(batch.Version) != name {
			damaged = append(damaged, name)
			continue
		}
		batches[batch.Version] = batch
		copied.note(batch.Version)
	}
	newest := newestOf(batches)
	copied.version = newest.Version
	for name, place := range newest.Places {
		section, found := batches[place].Sections[name]
		if !found {
			copied.damage = fmt.Sprintf("the file of version %s is missing, which holds %s", place, name)
			continue
		}
		copied.sections[name] = section
		copied.places[name] = place
	}
	if len(damaged) > 0 {
		sort.Strings(damaged)
		copied.damage = fmt.Sprintf("damaged files: %v", damaged)
		for _, name := range damaged {
			copied.files[name] = true
		}
	}
	return copied, nil
}

// note remembers a version whose file is on the shelf, or may come back to it.
func (copied *Copy) note(version Version) {
	if copied.highest.Before(version) {
		copied.highest = version
	}
}

// newestOf is the newest version that no snapshot has made void.
func newestOf(batches map[Version]Batch) Batch {
	void := func(version Version) bool {
		for _, snapshot := range batches {
			if snapshot.Version.Before(version) && !snapshot.Voids.Before(version) {
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

// Guard chooses the copy's lock, which is held while it waits for the disk. It comes
// before any other use.
func (copied *Copy) Guard(lock sync.Locker) { copied.mutex = lock }

// Damage says what is wrong with the copy, or nothing.
func (copied *Copy) Damage() string {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	return copied.damage
}

// Version is the newest version that the copy holds.
func (copied *Copy) Version() Version {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	return copied.version
}

// Sections is the copy's content. The map is the caller's, the bytes are not.
func (copied *Copy) Sections() map[string]Section {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	sections := make(map[string]Section, len(copied.sections))
	for name, section := range copied.sections {
		sections[name] = section
	}
	return sections
}

// Write syncs a batch to disk and takes it up. The same batch again changes
// nothing; one that does not follow the copy's version is refused as Behind.
func (copied *Copy) Write(batch Batch) error {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	if copied.damage != "" {
		return failure.New(failure.Damaged, copied.damage)
	}
	if batch.Version == copied.version {
		return nil
	}
	if batch.Base != copied.version || !copied.version.Before(batch.Version) {
		return failure.New(failure.Behind, fmt.Sprintf("the copy is at %s, the batch follows %s", copied.version, batch.Base))
	}
	return copied.keep(batch)
}

// Rewrite replaces the whole copy by a snapshot, in one file.
func (copied *Copy) Rewrite(snapshot Snapshot) error {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	if snapshot.Version == copied.version && copied.damage == "" {
		return nil
	}
	// A copy may hold one version more than the snapshot: a batch that was
	// synced here and never answered. Its file may come back after a loss of power.
	batch := Batch{Version: snapshot.Version, Sections: snapshot.Sections}
	if snapshot.Version.Before(copied.highest) {
		batch.Voids = copied.highest
	}
	copied.sections = map[string]Section{}
	copied.places = map[string]Version{}
	copied.damage = "a rewrite was broken off"
	if err := copied.keep(batch); err != nil {
		return err
	}
	copied.damage = ""
	return nil
}

// Refresh replaces a copy that is older than the snapshot; one that is as new
// is left as it is. It is how copies that are not in sync are mended.
func (copied *Copy) Refresh(snapshot Snapshot) error {
	copied.mutex.Lock()
	older := copied.version.Before(snapshot.Version)
	copied.mutex.Unlock()
	if !older {
		return failure.New(failure.Behind, "the copy is as new as the snapshot")
	}
	return copied.Rewrite(snapshot)
}

// Sweep reads the copy's files again. One that has become damaged or is gone
// is written anew from memory; the sweep tells how many there were.
func (copied *Copy) Sweep() (int, error) {
	copied.mutex.Lock()
	defer copied.mutex.Unlock()
	if copied.damage != "" || copied.version == (Version{}) {
		return 0, nil
	}
	files, damaged, err := copied.storage.Load()
	if err != nil {
		return 0, err
	}
	lost := len(damaged)
	for _, place := range copied.places {
		if _, found := files[fileName(place)]; !found && !slices.Contains(damaged, fileName(place)) {
			lost++
		}
	}
	if lost == 0 {
		return 0, nil
	}
	for _, name := range damaged {
		copied.files[name] = true
	}
	// The whole copy goes into one file of the present version.
	return lost, copied.keep(Batch{Version: copied.version, Sections: copied.sections})
}

func (copied *Copy) keep(batch Batch) error {
	places := map[string]Version{}
	for name, place := range copied.places {
		places[name] = place
	}
	for name := range batch.Sections {
		places[name] = batch.Version
	}
	for _, name := range batch.Removed {
		delete(places, name)
	}
	batch.Places = places
	encoded, err := msgpack.Marshal(batch)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	file := fileName(batch.Version)
	if err := copied.storage.Save(file, encoded); err != nil {
		return err
	}
	copied.files[file] = true
	copied.note(batch.Version)
	copied.version = batch.Version
	copied.places = places
	for name, section := range batch.Sections {
		copied.sections[name] = section
	}
	for _, name := range batch.Removed {
		delete(copied.sections, name)
	}
	needed := map[string]bool{file: true}
	for _, place := range places {
		needed[fileName(place)] = true
	}
	var useless []string
	for name := range copied.files {
		if !needed[name] {
			useless = append(useless, name)
		}
	}
	// Files that only take room are no failure of the write.
	if copied.storage.Remove(useless) == nil {
		for _, name := range useless {
			delete(copied.files, name)
		}
	}
	return nil
}

func fileName(version Version) string {
	return fmt.Sprintf("version-%020d-%020d", version.Epoch, version.Number)
}
