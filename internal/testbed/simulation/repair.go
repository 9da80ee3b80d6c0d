package simulation

import (
	"strings"
	"time"

	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/membership"
)

// Losses are what Repair brings about at the expediter out of the pair, and at
// the backup.
var Losses = []string{"an old copy", "a damaged file", "a missing file", "a wiped disk", "the backup's wiped disk"}

// Repair brings about one loss in a calm fleet, with an operator reading five
// times a second or not at all, and tells how long it took until every copy was
// whole and new, and how many bytes of snapshots went to it.
func (world *World) Repair(loss string, reads bool) (took time.Duration, bytes int, mended bool) {
	world.long, world.short = 2, 3
	for _, machine := range world.machines {
		world.outside.Go(func() { world.start(machine) })
	}
	const patience = 90 * time.Second
	world.outside.Go(func() { world.callers(patience) })
	world.outside.Go(func() {
		for range 6 {
			world.outside.NewCond().Wait(time.Second, never)
			world.nextRevision(1)
		}
	})
	world.run(opening)
	var out *machine
	primary := world.primary()
	m := primary.control.Coordinator().Membership()
	for _, machine := range world.nodes(membership.Controller) {
		backup := machine.control.Witness().Replica().Identity == m.Backup.Identity
		if machine != primary && backup == (loss == "the backup's wiped disk") {
			out = machine
		}
	}
	switch loss {
	case "an old copy":
		world.kill(out)
		world.outside.Go(func() { world.nextRevision(1) })
		world.run(world.now + 3*time.Second)
	case "a damaged file":
		world.kill(out)
		out.disk.damage = 1
	case "a missing file":
		for name := range out.disk.names {
			if strings.HasPrefix(name, "larder/") {
				delete(out.disk.names, name)
				delete(out.disk.seen, name)
			}
		}
	default:
		world.kill(out)
		out.disk = newDisk(world)
	}
	began, sent := world.now, world.snapshotBytes
	world.start(out)
	if reads {
		world.outside.Go(func() {
			for world.now < patience {
				world.readConfiguration(false)
				world.outside.NewCond().Wait(200*time.Millisecond, never)
			}
		})
	}
	for world.now < patience {
		world.run(world.now + 20*time.Millisecond)
		if world.whole() && out.control != nil && world.copyIsWhole(out) {
			return world.now - began, world.snapshotBytes - sent, true
		}
	}
	return world.now - began, world.snapshotBytes - sent, false
}

// copyIsWhole tells whether a machine's copy has all its files, undamaged, and is
// as new as what was last written for good, save the last moments' claims.
func (world *World) copyIsWhole(machine *machine) bool {
	files := 0
	for name := range machine.disk.names {
		if strings.HasPrefix(name, "larder/") {
			files++
		}
	}
	copied := machine.control.Store().Copy()
	_, view, err := world.primary().control.Ruling()
	return files > 0 && err == nil && copied.Damage() == "" && copied.Version().Number+8 >= view.Version.Number
}

// countSnapshot adds what a whole copy costs on its way.
func (world *World) countSnapshot(path string, body []byte) {
	if path == hatch.InstallPath || path == hatch.RefreshPath {
		world.snapshotBytes += len(body)
	}
}
