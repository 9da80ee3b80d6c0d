package simulation

import "seamloom.example/seamloom/internal/membership"

// failPowerAtDiskOperation makes the power fail before one of the next twelve operations of a
// controller's disk, if the disk gets that far within 2 to 5 s. Then it starts the controller again.
func failPowerAtDiskOperation(world *World) {
	m := world.anyNode(membership.Controller)
	m.disk.powerFailsIn = 1 + world.random.IntN(12)
	world.wait(2000, 5000)
	m.disk.powerFailsIn = 0
	world.wait(200, 2000)
	world.start(m)
}

// loseDisk replaces a controller's disk by an empty one while the core is complete: a core
// tolerates the loss of one disk, and of the next one only after the repair.
func loseDisk(world *World) {
	if !world.coreComplete() {
		return
	}
	m := world.anyNode(membership.Controller)
	if world.random.IntN(2) == 0 {
		m = world.primary()
		world.nextRevision(1)
		if !world.coreComplete() {
			return
		}
	}
	world.tracef("%s loses its disk", m.name)
	world.encounter("a disk lost")
	world.kill(m)
	m.disk = newDisk(world)
	world.wait(50, 2000)
	world.start(m)
}

// coreComplete reports whether the core tolerates the loss of one more disk: a primary leads, the
// membership has all backups and witnesses, at the address of each backup and witness a process with
// that member's own disk is running, and each voter among them has the membership's epoch.
func (w *World) coreComplete() bool {
	for _, node := range w.nodes(membership.Controller) {
		if !node.responsive() || node.control == nil || !node.control.Coordinator().HasLease() {
			continue
		}
		members := node.control.Coordinator().Membership()
		losses := max(w.toleratedLosses(), 1)
		if len(members.Backups()) != losses || len(members.Incoming) > 0 || len(members.Witnesses) != 2*losses+1 {
			return false
		}
		for _, replica := range append(members.Backups(), members.Witnesses...) {
			host := w.machineNamed(w.nameAt(replica.Address))
			if host == nil || !host.responsive() || host.control == nil {
				return false
			}
			witness := host.control.Witness()
			if witness.Replica().Identity != replica.Identity ||
				members.HasVoter(replica.Identity) && witness.Membership().Epoch != members.Epoch {
				return false
			}
		}
		return true
	}
	return false
}

// fillDisk makes a controller's disk full for 0.5 to 4 s.
func fillDisk(w *World) {
	m := anyController(w)
	m.disk.full = true
	w.wait(500, 4000)
	m.disk.full = false
}

// damageFile restarts a controller with one or two damaged files. It does nothing unless the
// core is complete, because damaged files at two controllers at the same time count as two lost
// disks.
func damageFile(w *World) {
	if !w.coreComplete() {
		return
	}
	m := anyController(w)
	m.disk.damage = 1 + w.random.IntN(2)
	w.killFor(m, 100, 500)
}
