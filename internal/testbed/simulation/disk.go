package simulation

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// disk is one machine's disk in memory. What was not synced is gone when the
// power is: a rename or removal lasts from the sync of its folder on.
type disk struct {
	world *World
	// names are the files as the folder has them on the disk, seen as the
	// process sees them.
	names  map[string][]byte
	seen   map[string][]byte
	full   bool
	damage int
	// powerFailsIn counts the acts until the power fails in the middle of one;
	// none when it is zero.
	powerFailsIn int
	owner        *incarnation
	// sync is how long a sync takes, slow how many times as long it takes now, and
	// hangs until when none ends.
	sync  time.Duration
	slow  int
	hangs time.Duration
}

func newDisk(world *World) *disk {
	return &disk{world: world, names: map[string][]byte{}, seen: map[string][]byte{}, sync: world.diskSync}
}

// spend lets the thread wait as long as a sync takes.
func (disk *disk) spend() {
	length := disk.sync * time.Duration(max(disk.slow, 1))
	length = max(length, disk.hangs-disk.world.now)
	thread := disk.world.running
	if length <= 0 || thread == nil || disk.owner != thread.incarnation {
		return
	}
	disk.owner.NewCond().Wait(length, never)
}

// lose forgets what was not synced.
func (disk *disk) lose() {
	if len(disk.seen) != len(disk.names) {
		disk.world.tempt("a power loss with renames not synced")
	}
	disk.seen = map[string][]byte{}
	for name, content := range disk.names {
		disk.seen[name] = content
	}
}

// act counts one act; the power may fail before it.
func (disk *disk) act(what string) {
	if disk.powerFailsIn == 0 {
		return
	}
	disk.powerFailsIn--
	if disk.powerFailsIn > 0 || disk.owner == nil || disk.owner.ended {
		return
	}
	disk.world.tempt("the power fails before " + what)
	disk.world.say("%s: the power fails before %s", disk.owner.name, what)
	disk.world.powerOff(disk.owner.name)
	panic(killed{})
}

// MakeFolder needs nothing.
func (disk *disk) MakeFolder(string) error { return nil }

// WriteSynced writes a file; its name lasts from the folder's sync on.
func (disk *disk) WriteSynced(path string, content []byte) error {
	disk.spend()
	disk.act("a write")
	if disk.full {
		return syscall.ENOSPC
	}
	disk.seen[path] = slices.Clone(content)
	return nil
}

// Rename gives a file its name, as the process sees it.
func (disk *disk) Rename(from, to string) error {
	disk.act("a rename")
	disk.seen[to] = disk.seen[from]
	delete(disk.seen, from)
	return nil
}

// SyncFolder makes a folder's names last.
func (disk *disk) SyncFolder(path string) error {
	disk.spend()
	disk.act("a folder's sync")
	if disk.full {
		return syscall.ENOSPC
	}
	for name := range disk.names {
		if _, there := disk.seen[name]; !there && filepath.Dir(name) == path {
			delete(disk.names, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(disk.seen)) {
		content := disk.seen[name]
		if filepath.Dir(name) != path {
			continue
		}
		if _, there := disk.names[name]; !there {
			disk.world.tapFile(name, content)
		}
		disk.names[name] = content
	}
	return nil
}

// List names a folder's files.
func (disk *disk) List(path string) ([]string, error) {
	var names []string
	for name := range disk.seen {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read gives a file; some come back damaged.
func (disk *disk) Read(path string) ([]byte, error) {
	content, found := disk.seen[path]
	if !found {
		return nil, os.ErrNotExist
	}
	content = slices.Clone(content)
	if disk.damage > 0 && strings.Contains(path, "larder") && len(content) > 0 {
		disk.damage--
		disk.world.tempt("a file came back damaged")
		content[len(content)/2] ^= 0x40
	}
	return content, nil
}

// Remove takes a file away, as the process sees it.
func (disk *disk) Remove(path string) error {
	disk.act("a removal")
	delete(disk.seen, path)
	return nil
}
