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
func (d *disk) spend() {
	length := d.sync * time.Duration(max(d.slow, 1))
	length = max(length, d.hangs-d.world.now)
	t := d.world.running
	if length <= 0 || t == nil || d.owner != t.incarnation {
		return
	}
	d.owner.NewCond().Wait(length, never)
}

// lose forgets what was not synced.
func (d *disk) lose() {
	if len(d.seen) != len(d.names) {
		d.world.encounter("a power loss with renames not synced")
	}
	d.seen = map[string][]byte{}
	for name, content := range d.names {
		d.seen[name] = content
	}
}

// act counts one act; the power may fail before it.
func (d *disk) act(what string) {
	if d.powerFailsIn == 0 {
		return
	}
	d.powerFailsIn--
	if d.powerFailsIn > 0 || d.owner == nil || d.owner.ended {
		return
	}
	d.world.encounter("the power fails before " + what)
	d.world.tracef("%s: the power fails before %s", d.owner.name, what)
	d.world.powerOff(d.owner.name)
	panic(killed{})
}

// MakeDirectory needs nothing.
func (d *disk) MakeDirectory(string) error { return nil }

// WriteSynced writes a file; its name lasts from the folder's sync on.
func (d *disk) WriteSynced(path string, content []byte) error {
	d.spend()
	d.act("a write")
	if d.full {
		return syscall.ENOSPC
	}
	d.seen[path] = slices.Clone(content)
	return nil
}

// Rename gives a file its name, as the process sees it.
func (d *disk) Rename(from, to string) error {
	d.act("a rename")
	d.seen[to] = d.seen[from]
	delete(d.seen, from)
	return nil
}

// SyncDirectory makes a folder's names last.
func (d *disk) SyncDirectory(path string) error {
	d.spend()
	d.act("a folder's sync")
	if d.full {
		return syscall.ENOSPC
	}
	for name := range d.names {
		if _, there := d.seen[name]; !there && filepath.Dir(name) == path {
			delete(d.names, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.seen)) {
		content := d.seen[name]
		if filepath.Dir(name) != path {
			continue
		}
		if _, there := d.names[name]; !there {
			d.world.tapFile(name, content)
		}
		d.names[name] = content
	}
	return nil
}

// List names a folder's files.
func (d *disk) List(path string) ([]string, error) {
	var names []string
	for name := range d.seen {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read gives a file; some come back damaged.
func (d *disk) Read(path string) ([]byte, error) {
	content, found := d.seen[path]
	if !found {
		return nil, os.ErrNotExist
	}
	content = slices.Clone(content)
	if d.damage > 0 && strings.Contains(path, "larder") && len(content) > 0 {
		d.damage--
		d.world.encounter("a file came back damaged")
		content[len(content)/2] ^= 0x40
	}
	return content, nil
}

// Remove takes a file away, as the process sees it.
func (d *disk) Remove(path string) error {
	d.act("a removal")
	delete(d.seen, path)
	return nil
}
