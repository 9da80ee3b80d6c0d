package fleet

import (
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/adapters/storage"
)

// FaultyDisk wraps a real disk. A rename or a removal reaches the real disk only when the
// folder is synced, so that a killed process loses the renames and removals that it did not
// sync. Depending on its faults the disk is slow, stalls, is full, or returns corrupted content.
type FaultyDisk struct {
	real   storage.OSDisk
	faults func() NodeFaults

	mutex sync.Mutex
	// renamed holds the renames that are not synced yet: the old path by the new one.
	renamed map[string]string
	// removed holds the paths of the removals that are not synced yet.
	removed map[string]bool
}

// NewFaultyDisk returns a disk with the faults that the function faults returns. The disk calls
// the function at each write, read and folder sync.
func NewFaultyDisk(faults func() NodeFaults) *FaultyDisk {
	return &FaultyDisk{faults: faults, renamed: map[string]string{}, removed: map[string]bool{}}
}

// applyFaults delays an operation as long as the present faults require. It returns ENOSPC for
// a write to a full disk.
func (f *FaultyDisk) applyFaults(writes bool) error {
	faults := f.faults()
	switch faults.Disk {
	case "slow":
		time.Sleep(faults.Delay)
	case "stall":
		for f.faults().Disk == "stall" {
			time.Sleep(20 * time.Millisecond)
		}
	case "full":
		if writes {
			return syscall.ENOSPC
		}
	}
	return nil
}

// MakeDirectory creates a folder.
func (f *FaultyDisk) MakeDirectory(path string) error { return f.real.MakeDirectory(path) }

// WriteSynced writes and syncs a file.
func (f *FaultyDisk) WriteSynced(path string, content []byte) error {
	if err := f.applyFaults(true); err != nil {
		return err
	}
	return f.real.WriteSynced(path, content)
}

// Rename records a rename in memory until the folder is synced.
func (f *FaultyDisk) Rename(from, to string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.renamed[to] = from
	delete(f.removed, to)
	return nil
}

// SyncDirectory applies the folder's recorded renames and removals to the real disk and
// syncs the folder.
func (f *FaultyDisk) SyncDirectory(path string) error {
	if err := f.applyFaults(true); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for to, from := range f.renamed {
		if filepath.Dir(to) == path {
			if err := f.real.Rename(from, to); err != nil {
				return err
			}
			delete(f.renamed, to)
		}
	}
	for name := range f.removed {
		if filepath.Dir(name) == path {
			_ = f.real.Remove(name)
			delete(f.removed, name)
		}
	}
	return f.real.SyncDirectory(path)
}

// List returns the names of the files as the process sees them, including renames and
// removals that are not synced yet.
func (f *FaultyDisk) List(path string) ([]string, error) {
	names, err := f.real.List(path)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	seen := map[string]bool{}
	for _, name := range names {
		seen[name] = !f.removed[filepath.Join(path, name)]
	}
	for to, from := range f.renamed {
		if filepath.Dir(to) == path {
			seen[filepath.Base(to)], seen[filepath.Base(from)] = true, false
		}
	}
	var present []string
	for name, exists := range seen {
		if exists {
			present = append(present, name)
		}
	}
	sort.Strings(present)
	return present, err
}

// Read reads a file. A damaged disk returns the files of the replicated state with one
// corrupted byte.
func (f *FaultyDisk) Read(path string) ([]byte, error) {
	if err := f.applyFaults(false); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	source, found := f.renamed[path]
	f.mutex.Unlock()
	if !found {
		source = path
	}
	content, err := f.real.Read(source)
	if f.faults().Disk == "damage" && strings.Contains(path, "larder") && len(content) > 0 {
		content[len(content)/2] ^= 0x40
	}
	return content, err
}

// Remove records a removal in memory until the folder is synced.
func (f *FaultyDisk) Remove(path string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.renamed, path)
	f.removed[path] = true
	return nil
}
