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
	real   storage.RealDisk
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
func (disk *FaultyDisk) act(writes bool) error {
	faults := disk.faults()
	switch faults.Disk {
	case "slow":
		time.Sleep(faults.Delay)
	case "stall":
		for disk.faults().Disk == "stall" {
			time.Sleep(20 * time.Millisecond)
		}
	case "full":
		if writes {
			return syscall.ENOSPC
		}
	}
	return nil
}

// MakeFolder makes a folder.
func (disk *FaultyDisk) MakeFolder(path string) error { return disk.real.MakeFolder(path) }

// WriteSynced writes and syncs a file.
func (disk *FaultyDisk) WriteSynced(path string, content []byte) error {
	if err := disk.act(true); err != nil {
		return err
	}
	return disk.real.WriteSynced(path, content)
}

// Rename waits in memory for the folder's sync.
func (disk *FaultyDisk) Rename(from, to string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.renamed[to] = from
	delete(disk.removed, to)
	return nil
}

// SyncFolder makes the folder's renames and removals last.
func (disk *FaultyDisk) SyncFolder(path string) error {
	if err := disk.act(true); err != nil {
		return err
	}
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	for to, from := range disk.renamed {
		if filepath.Dir(to) == path {
			if err := disk.real.Rename(from, to); err != nil {
				return err
			}
			delete(disk.renamed, to)
		}
	}
	for name := range disk.removed {
		if filepath.Dir(name) == path {
			_ = disk.real.Remove(name)
			delete(disk.removed, name)
		}
	}
	return disk.real.SyncFolder(path)
}

// List names the files as the process sees them.
func (disk *FaultyDisk) List(path string) ([]string, error) {
	names, err := disk.real.List(path)
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	seen := map[string]bool{}
	for _, name := range names {
		seen[name] = !disk.removed[filepath.Join(path, name)]
	}
	for to, from := range disk.renamed {
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

// Read reads a file; a damaged disk gives the larder's files with a wrong byte.
func (disk *FaultyDisk) Read(path string) ([]byte, error) {
	if err := disk.act(false); err != nil {
		return nil, err
	}
	disk.mutex.Lock()
	source, found := disk.renamed[path]
	disk.mutex.Unlock()
	if !found {
		source = path
	}
	content, err := disk.real.Read(source)
	if disk.faults().Disk == "damage" && strings.Contains(path, "larder") && len(content) > 0 {
		content[len(content)/2] ^= 0x40
	}
	return content, err
}

// Remove waits in memory for the folder's sync.
func (disk *FaultyDisk) Remove(path string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	delete(disk.renamed, path)
	disk.removed[path] = true
	return nil
}
