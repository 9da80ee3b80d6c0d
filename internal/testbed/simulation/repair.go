package simulation

import (
	"strings"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/wire"
)

// Losses are what Repair brings about at the controller out of the pair, and at
// the backup.
var Losses = []string{"an old copy", "a damaged file", "a missing file", "a wiped disk", "the backup's wiped disk"}

// Repair brings about one loss in a calm fleet, with an operator reading five
// times a second or not at all, and tells how long it took until every copy was
// whole and new, and how many bytes of snapshots went to it.
func (w *World) Repair(loss string, reads bool) (took time.Duration, bytes int, mended bool) {
	w.long, w.short = 2, 3
	for _, mc := range w.machines {
		w.outside.Go(func() { w.start(mc) })
	}
	const patience = 90 * time.Second
	w.outside.Go(func() { w.runClients(patience) })
	w.outside.Go(func() {
		for range 6 {
			w.outside.NewCond().Wait(time.Second, never)
			w.nextRevision(1)
		}
	})
	w.run(opening)
	var out *machine
	primary := w.primary()
	m := primary.control.Coordinator().Membership()
	for _, ma := range w.nodes(membership.Controller) {
		backup := ma.control.Witness().Replica().Identity == m.Backup.Identity
		if ma != primary && backup == (loss == "the backup's wiped disk") {
			out = ma
		}
	}
	switch loss {
	case "an old copy":
		w.kill(out)
		w.outside.Go(func() { w.nextRevision(1) })
		w.run(w.now + 3*time.Second)
	case "a damaged file":
		w.kill(out)
		out.disk.damage = 1
	case "a missing file":
		for name := range out.disk.names {
			if strings.HasPrefix(name, "larder/") {
				delete(out.disk.names, name)
				delete(out.disk.seen, name)
			}
		}
	default:
		w.kill(out)
		out.disk = newDisk(w)
	}
	began, sent := w.now, w.snapshotBytes
	w.start(out)
	if reads {
		w.outside.Go(func() {
			for w.now < patience {
				w.readConfiguration(false)
				w.outside.NewCond().Wait(200*time.Millisecond, never)
			}
		})
	}
	for w.now < patience {
		w.run(w.now + 20*time.Millisecond)
		if w.coreComplete() && out.control != nil && w.replicaComplete(out) {
			return w.now - began, w.snapshotBytes - sent, true
		}
	}
	return w.now - began, w.snapshotBytes - sent, false
}

// replicaComplete tells whether a machine's copy has all its files, undamaged, and is
// as new as what was last written for good, save the last moments' claims.
func (w *World) replicaComplete(m *machine) bool {
	files := 0
	for name := range m.disk.names {
		if strings.HasPrefix(name, "larder/") {
			files++
		}
	}
	copied := m.control.Store().LocalReplica()
	_, view, err := w.primary().control.Leading()
	return files > 0 && err == nil && copied.Damage() == "" && copied.Version().Number+8 >= view.Version.Number
}

// countSnapshot adds the bytes of a complete replica sent.
func (w *World) countSnapshot(path string, body []byte) {
	if path == wire.InstallPath || path == wire.RefreshPath {
		w.snapshotBytes += len(body)
	}
}
