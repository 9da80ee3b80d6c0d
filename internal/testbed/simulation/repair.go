package simulation

import (
	"strings"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/wire"
)

// Losses are the faults that Repair can inject: the last one at the backup, the others at a
// controller that is neither the primary nor the backup.
var Losses = []string{"an old copy", "a damaged file", "a missing file", "a wiped disk", "the backup's wiped disk"}

// Repair injects one loss into a fleet without other faults. If reads is set, an operator reads
// the configuration five times a second. Repair returns how long it took until the core was
// complete and the damaged copy was up to date, how many bytes of snapshots were sent meanwhile,
// and whether that was in time.
func (w *World) Repair(loss string, reads bool) (took time.Duration, bytes int, repaired bool) {
	w.long, w.short = 2, 3
	for _, m := range w.machines {
		w.outside.Go(func() { w.start(m) })
	}
	const repairDeadline = 90 * time.Second
	w.outside.Go(func() { w.runClients(repairDeadline) })
	w.outside.Go(func() {
		for range 6 {
			w.outside.NewCond().Wait(time.Second, never)
			w.nextRevision(1)
		}
	})
	w.run(warmUpTime)
	var target *machine
	primary := w.primary()
	members := primary.control.Coordinator().Membership()
	for _, m := range w.nodes(membership.Controller) {
		backup := m.control.Witness().Replica().Identity == members.Backup.Identity
		if m != primary && backup == (loss == "the backup's wiped disk") {
			target = m
		}
	}
	switch loss {
	case "an old copy":
		w.kill(target)
		w.outside.Go(func() { w.nextRevision(1) })
		w.run(w.now + 3*time.Second)
	case "a damaged file":
		w.kill(target)
		target.disk.damage = 1
	case "a missing file":
		for name := range target.disk.durable {
			if strings.HasPrefix(name, "larder/") {
				delete(target.disk.durable, name)
				delete(target.disk.visible, name)
			}
		}
	default:
		w.kill(target)
		target.disk = newDisk(w)
	}
	began, sent := w.now, w.snapshotBytes
	w.start(target)
	if reads {
		w.outside.Go(func() {
			for w.now < repairDeadline {
				w.readConfiguration(false)
				w.outside.NewCond().Wait(200*time.Millisecond, never)
			}
		})
	}
	for w.now < repairDeadline {
		w.run(w.now + 20*time.Millisecond)
		if w.coreComplete() && target.control != nil && w.replicaComplete(target) {
			return w.now - began, w.snapshotBytes - sent, true
		}
	}
	return w.now - began, w.snapshotBytes - sent, false
}

// replicaComplete reports whether a machine's replica has files, is undamaged, and is at most eight
// versions behind the primary. Requests go on making claims, so an intact replica may lack the
// versions with the newest claims.
func (w *World) replicaComplete(m *machine) bool {
	files := 0
	for name := range m.disk.durable {
		if strings.HasPrefix(name, "larder/") {
			files++
		}
	}
	copied := m.control.Store().LocalReplica()
	_, view, err := w.primary().control.Leading()
	return files > 0 && err == nil && copied.Damage() == "" && copied.Version().Number+8 >= view.Version.Number
}

// countSnapshot adds the bytes of a message to snapshotBytes if the message carries a complete
// replica.
func (w *World) countSnapshot(path string, body []byte) {
	if path == wire.InstallPath || path == wire.RefreshPath {
		w.snapshotBytes += len(body)
	}
}
