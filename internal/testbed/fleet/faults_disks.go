package fleet

import (
	"context"
	"time"
)

// powerLoss kills primary and backup right after an acceptance; what was not
// synced is gone.
func powerLoss(lifetime context.Context, d *Day) {
	backup := d.seat("backup")
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

// loseDisk takes the primary's whole disk right after an acceptance.
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

func diskFault(faults NodeFaults, length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		node := d.primary()
		if d.draw(2) == 0 {
			node = d.seat("backup")
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

// damagedDisk restarts the backup on a disk that returns damage.
func damagedDisk(lifetime context.Context, d *Day) {
	node := d.seat("backup")
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
