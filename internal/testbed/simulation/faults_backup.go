package simulation

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// backupFaults are ways to lose a backup. A core that tolerates one loss has a single backup, so
// changes stop until another controller replaces it.
var backupFaults = []coreFault{
	{"the backup loses its power", 1, loseBackup},
	{"the backup is killed and comes back", 1, killBackup},
	{"the backup loses its power while the primary leaves", 1, loseBackupAmidLeave},
	{"the backup loses its power beside a slow disk", 1, loseBackupBesideSlowDisk},
	{"the backup loses its power during a repair", 2, loseBackupAmidRepair},
}

// BackupFaultNames returns the names of the backup faults that apply to a core that tolerates
// the given number of losses.
func BackupFaultNames(losses int) []string { return faultNames(backupFaults, losses) }

// loseBackup powers a backup off for at least nine seconds.
func loseBackup(w *World) time.Duration {
	// The fault comes up to 0.4 s later, so that it hits any phase of the primary's periodic work.
	w.run(w.now + time.Duration(w.random.IntN(400))*time.Millisecond)
	backup := w.backup()
	w.powerOff(backup.name)
	return w.startLater(backup, 9000, 9500)
}

// killBackup kills a backup's process and starts it again 0.1 to 1.5 s later.
func killBackup(w *World) time.Duration {
	w.run(w.now + time.Duration(w.random.IntN(400))*time.Millisecond)
	backup := w.backup()
	w.kill(backup)
	return w.startLater(backup, 100, 1500)
}

// loseBackupAmidLeave powers the backup off up to 0.3 s after the primary began to leave.
func loseBackupAmidLeave(w *World) time.Duration {
	primary, backup := w.primary(), w.backup()
	w.outside.Go(func() { w.stopFor(primary, 200, 1000) })
	w.run(w.now + time.Duration(w.random.IntN(300))*time.Millisecond)
	w.powerOff(backup.name)
	return w.startLater(backup, 9000, 9500)
}

// loseBackupBesideSlowDisk powers the backup off while the disk of another controller is 25 to 30
// times as slow as usual. In a core of three, that controller is the only possible replacement.
func loseBackupBesideSlowDisk(w *World) time.Duration {
	others := w.othersThan(w.primary(), w.backup())
	others[w.random.IntN(len(others))].disk.slowFactor = 25 + w.random.IntN(6)
	return loseBackup(w)
}

// othersThan returns the controllers except the given ones.
func (w *World) othersThan(excluded ...*machine) []*machine {
	return slices.DeleteFunc(w.nodes(membership.Controller), func(m *machine) bool { return slices.Contains(excluded, m) })
}

// loseBackupAmidRepair wipes a controller that is neither the primary nor the backup, and powers the
// backup off within the next second and a half, while the wiped controller is being replaced.
func loseBackupAmidRepair(w *World) time.Duration {
	primary, backup := w.primary(), w.backup()
	others := w.othersThan(primary, backup)
	first := others[w.random.IntN(len(others))]
	w.wipeMachine(first)
	w.startLater(first, 200, 1500)
	w.run(w.now + time.Duration(w.random.IntN(1500))*time.Millisecond)
	w.powerOff(backup.name)
	return w.startLater(backup, 9000, 9500)
}
