package controlplane

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/replication"
)

// maxBatchTimings bounds how many committed batches have their timing remembered: more than are
// committed between a change's commit and the log line about it.
const maxBatchTimings = 32

// slowBatch is how long the sync of a batch takes from which it is logged.
const slowBatch = 250 * time.Millisecond

// backupTiming is how long one backup's write of a batch took.
type backupTiming struct {
	name string
	took time.Duration
}

// batchTiming is how long the phases of one batch took.
type batchTiming struct {
	version replication.Version
	bytes   int
	// began is when its write began, and visible when it was committed.
	began, visible time.Time
	ownDisk        time.Duration
	backups        []backupTiming
}

// slowestBackup is the longest of the writes to backups.
func (b batchTiming) slowestBackup() time.Duration {
	var slowest time.Duration
	for _, backup := range b.backups {
		slowest = max(slowest, backup.took)
	}
	return slowest
}

// backupTimes is how long each backup took, as it is logged.
func (b batchTiming) backupTimes() []string {
	var times []string
	for _, backup := range b.backups {
		times = append(times, backup.name+"="+backup.took.String())
	}
	return times
}

// batchTimings are the timings of the batches that were committed last.
type batchTimings struct {
	mutex  sync.Mutex
	recent []batchTiming
}

// record remembers the timing of a committed batch.
func (b *batchTimings) record(timing batchTiming) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.recent) == maxBatchTimings {
		b.recent = slices.Delete(b.recent, 0, 1)
	}
	b.recent = append(b.recent, timing)
}

// find returns the timing of the batch with the version.
func (b *batchTimings) find(version replication.Version) (batchTiming, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, timing := range b.recent {
		if timing.version == version {
			return timing, true
		}
	}
	return batchTiming{}, false
}

// editPhases are the moments of one edit, for the log and the metrics.
type editPhases struct {
	received, submitted, committed time.Time
	confirmation                   confirmation
}

// confirmation is how the wait for routers to confirm a version went.
type confirmation struct {
	ended time.Time
	// routers is how many routers polled lately, unconfirmed how many of them had not confirmed at the
	// end, and last is the router that confirmed last or one that has not.
	routers, unconfirmed int
	last                 string
}

// note takes the routers that have not confirmed at a moment.
func (c *confirmation) note(unconfirmed []string) {
	c.unconfirmed = len(unconfirmed)
	if len(unconfirmed) > 0 {
		c.last = unconfirmed[0]
	}
}

// endedAt is the phases of an edit whose commit was not seen until a moment.
func (e editPhases) endedAt(now time.Time) editPhases {
	e.committed, e.confirmation.ended = now, now
	return e
}

// The log events of an edit that was acknowledged, and of one whose outcome is not known in time.
const (
	editAccepted = "configuration_accepted"
	editUnknown  = "configuration_change_unknown"
)

// ChangeCounts sums the phases of the edits that were answered, for metrics.
type ChangeCounts struct {
	// Accepted counts the edits that were acknowledged, Unconfirmed those among them that some router
	// had not confirmed, and Unknown those whose outcome was not known in time.
	Accepted, Unconfirmed, Unknown uint64
	// The times that accepted edits spent in each phase.
	Preparation, Commit, OwnDisk, SlowestBackup, Confirmation time.Duration
}

// changeMeter holds the sums of ChangeCounts.
type changeMeter struct {
	accepted, unconfirmed, unknown                                                atomic.Uint64
	preparationTime, commitTime, ownDiskTime, slowestBackupTime, confirmationTime atomic.Int64
}

func (m *changeMeter) counts() ChangeCounts {
	return ChangeCounts{
		Accepted:      m.accepted.Load(),
		Unconfirmed:   m.unconfirmed.Load(),
		Unknown:       m.unknown.Load(),
		Preparation:   time.Duration(m.preparationTime.Load()),
		Commit:        time.Duration(m.commitTime.Load()),
		OwnDisk:       time.Duration(m.ownDiskTime.Load()),
		SlowestBackup: time.Duration(m.slowestBackupTime.Load()),
		Confirmation:  time.Duration(m.confirmationTime.Load()),
	}
}

// ChangeCounts returns the sums over the edits that this controller has answered.
func (c *Controller) ChangeCounts() ChangeCounts { return c.changeMeter.counts() }

// observeEdit logs an edit and the length of each of its phases, and adds them to the counts. A repeated
// edit that was committed before has no batch of its own.
func (c *Controller) observeEdit(event string, edit Edit, version replication.Version, phases editPhases) {
	attributes := []any{"version", version.String(), "change", edit.Change,
		"prepared_after", phases.submitted.Sub(phases.received).String(),
		"committed_after", phases.committed.Sub(phases.submitted).String(),
		"confirmed_after", phases.confirmation.ended.Sub(phases.committed).String(),
		"routers", phases.confirmation.routers, "unconfirmed", phases.confirmation.unconfirmed, "last_router", phases.confirmation.last}
	timing, found := c.batchTimings.find(version)
	if found = found && !timing.visible.Before(phases.submitted); found {
		attributes = append(attributes, "queued", timing.began.Sub(phases.submitted).String(), "own_disk", timing.ownDisk.String(),
			"backups", timing.backupTimes(), "bytes", timing.bytes)
	}
	c.observe(event, attributes...)
	if event != editAccepted {
		c.changeMeter.unknown.Add(1)
		return
	}
	c.changeMeter.accepted.Add(1)
	if phases.confirmation.unconfirmed > 0 {
		c.changeMeter.unconfirmed.Add(1)
	}
	c.changeMeter.preparationTime.Add(int64(phases.submitted.Sub(phases.received)))
	c.changeMeter.commitTime.Add(int64(phases.committed.Sub(phases.submitted)))
	c.changeMeter.confirmationTime.Add(int64(phases.confirmation.ended.Sub(phases.committed)))
	if found {
		c.changeMeter.ownDiskTime.Add(int64(timing.ownDisk))
		c.changeMeter.slowestBackupTime.Add(int64(timing.slowestBackup()))
	}
}
