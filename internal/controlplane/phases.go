package controlplane

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/replication"
)

// maxBatchTimings is the number of committed batches whose timing is kept. It exceeds the number of
// batches that are committed between the commit of an edit and the log entry about that edit.
const maxBatchTimings = 32

// slowBatch is the minimum duration, of the writes of a batch to all replicas, at which the batch is logged as slow.
const slowBatch = 250 * time.Millisecond

// backupTiming is the duration of the write of a batch to one backup.
type backupTiming struct {
	name string
	took time.Duration
}

// batchTiming holds the timing of the phases of one batch.
type batchTiming struct {
	version replication.Version
	bytes   int
	// began is when the writes of the batch began. visible is when all of them had ended, immediately
	// before the commit that makes the batch visible to readers.
	began, visible time.Time
	ownDisk        time.Duration
	backups        []backupTiming
}

// slowestBackup returns the duration of the slowest write to a backup.
func (b batchTiming) slowestBackup() time.Duration {
	var slowest time.Duration
	for _, backup := range b.backups {
		slowest = max(slowest, backup.took)
	}
	return slowest
}

// backupTimes formats the duration of the write to each backup for the log.
func (b batchTiming) backupTimes() []string {
	var times []string
	for _, backup := range b.backups {
		times = append(times, backup.name+"="+backup.took.String())
	}
	return times
}

// batchTimings holds the timings of the last committed batches, the newest last.
type batchTimings struct {
	mutex  sync.Mutex
	recent []batchTiming
}

// record adds the timing of a committed batch.
func (b *batchTimings) record(timing batchTiming) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.recent) == maxBatchTimings {
		b.recent = slices.Delete(b.recent, 0, 1)
	}
	b.recent = append(b.recent, timing)
}

// find returns the timing of the batch with the given version.
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

// editPhases holds the times of the steps of one edit, for the log and the metrics.
type editPhases struct {
	received, submitted, committed time.Time
	confirmation                   confirmation
}

// confirmation is the result of a wait for routers to confirm a version.
type confirmation struct {
	ended time.Time
	// routers is the number of routers that polled recently, and unconfirmed is the number of routers
	// that had not confirmed when the wait ended. last is one of the unconfirmed routers, or the router
	// that confirmed last if all have confirmed.
	routers, unconfirmed int
	last                 string
}

// update records how many routers have not confirmed yet, and the name of one of them if there are any.
func (c *confirmation) update(unconfirmed []string) {
	c.unconfirmed = len(unconfirmed)
	if len(unconfirmed) > 0 {
		c.last = unconfirmed[0]
	}
}

// endedAt returns the phases of an edit whose outcome was still unknown when the wait for it ended, at the
// given time. The time since its submission counts as commit time.
func (e editPhases) endedAt(now time.Time) editPhases {
	e.committed, e.confirmation.ended = now, now
	return e
}

// The log events of an acknowledged edit, and of an edit whose outcome is not known in time.
const (
	editAccepted = "configuration_accepted"
	editUnknown  = "configuration_change_unknown"
)

// ChangeCounts holds the totals over the edits that were answered, for metrics.
type ChangeCounts struct {
	// Accepted is the number of acknowledged edits, Unconfirmed the number of acknowledged edits that
	// some router had not confirmed, and Unknown the number of edits whose outcome was not known in
	// time.
	Accepted, Unconfirmed, Unknown uint64
	// The following fields are the total times that accepted edits spent in each phase.
	Preparation, Commit, OwnDisk, SlowestBackup, Confirmation time.Duration
}

// changeMeter accumulates the totals of ChangeCounts.
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

// ChangeCounts returns the totals over the edits that this controller has answered.
func (c *Controller) ChangeCounts() ChangeCounts { return c.changeMeter.counts() }

// observeEdit logs an edit with the duration of each phase. For an accepted edit, it adds the
// durations to the totals; an edit with an unknown outcome is only counted. The timing of a batch that
// was committed before the edit was submitted is left out: such an edit repeats an earlier one, for
// which the batch has already been counted.
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
