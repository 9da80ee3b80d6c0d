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

// disk simulates one machine's disk in memory. A loss of power drops everything that was not
// synced: a write, rename or removal is durable once its directory is synced.
type disk struct {
	world *World
	// durable holds the files that survive a loss of power, visible the files as the process
	// sees them.
	durable map[string][]byte
	visible map[string][]byte
	// full makes writes and directory syncs fail. damage is how many of the next reads of stored
	// versions return damaged content.
	full   bool
	damage int
	// powerFailsIn counts down the writes, renames, removals and directory syncs. The operation
	// that takes the count from one to zero has no effect, because the power fails before it. The
	// value zero means that the power doesn't fail.
	powerFailsIn int
	// owner is the process that uses the disk, or nil.
	owner *incarnation
	// sync is how long a sync takes. While the disk is slow, slowFactor multiplies that time;
	// zero means that the disk is not slow. No sync ends before hangsUntil.
	sync       time.Duration
	slowFactor int
	hangsUntil time.Duration
}

// newDisk returns an empty disk.
func newDisk(world *World) *disk {
	return &disk{world: world, durable: map[string][]byte{}, visible: map[string][]byte{}, sync: world.diskSync}
}

// waitForSync blocks the running thread for as long as a sync takes.
func (d *disk) waitForSync() {
	length := d.sync * time.Duration(max(d.slowFactor, 1))
	length = max(length, d.hangsUntil-d.world.now)
	t := d.world.running
	if length <= 0 || t == nil || d.owner != t.incarnation {
		return
	}
	d.owner.NewCond().Wait(length, never)
}

// dropUnsynced drops everything that was not synced, as a loss of power does.
func (d *disk) dropUnsynced() {
	if len(d.visible) != len(d.durable) {
		d.world.encounter("a power loss with renames not synced")
	}
	d.visible = map[string][]byte{}
	for name, content := range d.durable {
		d.visible[name] = content
	}
}

// countOperation counts an operation that is about to take effect. If powerFailsIn reaches zero, the
// power fails first.
func (d *disk) countOperation(operation string) {
	if d.powerFailsIn == 0 {
		return
	}
	d.powerFailsIn--
	if d.powerFailsIn > 0 || d.owner == nil || d.owner.ended {
		return
	}
	d.world.encounter("the power fails before " + operation)
	d.world.tracef("%s: the power fails before %s", d.owner.name, operation)
	d.world.powerOff(d.owner.name)
	panic(killed{})
}

// MakeDirectory does nothing: a file can be written into any directory.
func (d *disk) MakeDirectory(string) error { return nil }

// WriteSynced writes a file, which is durable once its directory is synced.
func (d *disk) WriteSynced(path string, content []byte) error {
	d.waitForSync()
	d.countOperation("a write")
	if d.full {
		return syscall.ENOSPC
	}
	d.visible[path] = slices.Clone(content)
	return nil
}

// Rename renames a file; the new name is durable once its directory is synced.
func (d *disk) Rename(from, to string) error {
	d.countOperation("a rename")
	d.visible[to] = d.visible[from]
	delete(d.visible, from)
	return nil
}

// SyncDirectory makes the files and names of a directory durable.
func (d *disk) SyncDirectory(path string) error {
	d.waitForSync()
	d.countOperation("a directory sync")
	if d.full {
		return syscall.ENOSPC
	}
	for name := range d.durable {
		if _, exists := d.visible[name]; !exists && filepath.Dir(name) == path {
			delete(d.durable, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.visible)) {
		content := d.visible[name]
		if filepath.Dir(name) != path {
			continue
		}
		if _, exists := d.durable[name]; !exists {
			d.world.tapFile(name, content)
		}
		d.durable[name] = content
	}
	return nil
}

// List returns the names of a directory's files.
func (d *disk) List(path string) ([]string, error) {
	var names []string
	for name := range d.visible {
		if filepath.Dir(name) == path {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read returns a file's content. It damages the content of stored versions while d.damage is positive.
func (d *disk) Read(path string) ([]byte, error) {
	content, found := d.visible[path]
	if !found {
		return nil, os.ErrNotExist
	}
	content = slices.Clone(content)
	if d.damage > 0 && strings.Contains(path, "larder") && len(content) > 0 {
		d.damage--
		d.world.encounter("a damaged file was read")
		content[len(content)/2] ^= 0x40
	}
	return content, nil
}

// Remove removes a file; the removal is durable once its directory is synced.
func (d *disk) Remove(path string) error {
	d.countOperation("a removal")
	delete(d.visible, path)
	return nil
}
