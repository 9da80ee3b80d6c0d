package fleet

import (
	"context"
	"time"
)

// powerLoss kills the primary and the backup right after a change was accepted, or after 8 s
// without an accepted change. Their disks lose everything that was not synced.
func powerLoss(lifetime context.Context, d *Day) {
	backup := d.coreMember("backup")
	primary := d.primary()
	Await(8*time.Second, d.NextRevision)
	if primary == nil || backup == nil {
		return
	}
	primary.Kill()
	backup.Kill()
	d.Logf("power loss of %s and %s", primary.Node.Name, backup.Node.Name)
	sleep(lifetime, time.Second)
	d.begin(primary)
	d.begin(backup)
}

// loseDisk kills the primary and wipes its disk right after a change was accepted, or after 8 s
// without an accepted change.
func loseDisk(lifetime context.Context, d *Day) {
	primary := d.primary()
	Await(8*time.Second, d.NextRevision)
	if primary == nil {
		return
	}
	primary.Kill()
	if err := primary.WipeDisk(); err != nil {
		d.Logf("%v", err)
	}
	d.Logf("%s has lost its disk", primary.Node.Name)
	sleep(lifetime, time.Second)
	d.begin(primary)
}

// diskFault returns a fault that makes the disk of the primary or of the backup faulty for a
// length of time.
func diskFault(faults NodeFaults, length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		node := d.primary()
		if d.draw(2) == 0 {
			node = d.coreMember("backup")
		}
		if node == nil {
			return
		}
		d.Logf("%s disk of %s", faults.Disk, node.Node.Name)
		_ = node.SetFaults(faults)
		sleep(lifetime, length)
		_ = node.SetFaults(NodeFaults{})
	}
}

// damagedDisk kills the backup and restarts it with a disk that returns corrupted files until 5 s
// after the restart.
func damagedDisk(lifetime context.Context, d *Day) {
	node := d.coreMember("backup")
	if node == nil {
		return
	}
	d.Logf("damaged disk of %s", node.Node.Name)
	node.Kill()
	_ = node.SetFaults(NodeFaults{Disk: "damage"})
	d.begin(node)
	sleep(lifetime, 5*time.Second)
	_ = node.SetFaults(NodeFaults{})
}
