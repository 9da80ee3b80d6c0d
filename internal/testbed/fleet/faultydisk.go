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

// FaultyDisk stands in front of a real one. A rename or a removal reaches the
// real disk only with the sync of its folder, so that a killed process loses
// what it did not sync. It slows, stalls, fills and returns damage as told.
type FaultyDisk struct {
	real   storage.OSDisk
	faults func() NodeFaults

	mutex   sync.Mutex
	renamed map[string]string
	removed map[string]bool
}

// NewFaultyDisk makes a disk whose faults are asked for before each act.
func NewFaultyDisk(faults func() NodeFaults) *FaultyDisk {
	return &FaultyDisk{faults: faults, renamed: map[string]string{}, removed: map[string]bool{}}
}

// act lets the disk take its time; a full disk takes nothing more.
func (f *FaultyDisk) act(writes bool) error {
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

// MakeDirectory makes a folder.
func (f *FaultyDisk) MakeDirectory(path string) error { return f.real.MakeDirectory(path) }

// WriteSynced writes and syncs a file.
func (f *FaultyDisk) WriteSynced(path string, content []byte) error {
	if err := f.act(true); err != nil {
		return err
	}
	return f.real.WriteSynced(path, content)
}

// Rename waits in memory for the folder's sync.
func (f *FaultyDisk) Rename(from, to string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.renamed[to] = from
	delete(f.removed, to)
	return nil
}

// SyncDirectory makes the folder's renames and removals last.
func (f *FaultyDisk) SyncDirectory(path string) error {
	if err := f.act(true); err != nil {
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

// List names the files as the process sees them.
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
	var left []string
	for name, there := range seen {
		if there {
			left = append(left, name)
		}
	}
	sort.Strings(left)
	return left, err
}

// Read reads a file; a damaged disk gives the replicated state's files with a wrong byte.
func (f *FaultyDisk) Read(path string) ([]byte, error) {
	if err := f.act(false); err != nil {
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

// Remove waits in memory for the folder's sync.
func (f *FaultyDisk) Remove(path string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.renamed, path)
	f.removed[path] = true
	return nil
}
