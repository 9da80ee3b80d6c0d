package controlplane

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// commit commits batches one after another until the process ends. A batch is committed, and its
// version becomes visible, once the batch is on the disk of every copy in sync.
func (c *Controller) commit() {
	for c.runtime.Alive() {
		seen := c.submitted.Load()
		if c.commitOne() {
			continue
		}
		wait := idleInterval
		if c.store.HasPending() {
			wait = commitInterval
		}
		c.pending.Wait(wait, func() bool { return c.submitted.Load() != seen })
	}
}

// commitOne commits the next batch, if there is one and this controller may commit it, and reports
// whether it did.
func (c *Controller) commitOne() bool {
	membership := c.coordinator.Membership()
	if membership.Backup.Empty() || !c.coordinator.HasLease() {
		return false
	}
	batch, found := c.store.NextBatch()
	if !found || batch.Version.Epoch != membership.Epoch {
		return false
	}
	timing := batchTiming{version: batch.Version, bytes: batch.Size(), began: c.runtime.Now()}
	if !batch.Empty() && !c.sync(membership, batch, &timing) {
		return false
	}
	timing.visible = c.runtime.Now()
	if !batch.Empty() {
		c.batchTimings.record(timing)
	}
	if !c.store.Commit(batch) {
		return false
	}
	if _, found := batch.Sections[replication.ConfigurationSection]; found {
		c.recordConfigurationCommit(batch.Version)
	}
	if changesFollowedSection(batch) {
		c.updated.Broadcast()
	}
	return true
}

// changesFollowedSection reports whether a batch changes a section that polls wait for.
func changesFollowedSection(batch replication.Batch) bool {
	return slices.ContainsFunc(followedSections, func(name string) bool {
		_, found := batch.Sections[name]
		return found || slices.Contains(batch.Removed, name)
	})
}

// writes tracks the writes of one batch to the disks of all copies in a membership.
type writes struct {
	cond runtime.Cond

	mutex sync.Mutex
	// localEnded is set once the write to the local disk has ended, with the result localErr.
	localEnded bool
	localErr   error
	// pendingBackups counts the backups whose write has not ended; backupErr combines the errors of
	// the writes to backups that have ended.
	pendingBackups int
	backupErr      error
	// localTook and backups hold the durations of the ended writes.
	localTook time.Duration
	backups   []backupTiming
}

// endBackup records that the write to a backup has ended.
func (w *writes) endBackup(timing backupTiming, err error) {
	w.mutex.Lock()
	w.pendingBackups--
	w.backups = append(w.backups, timing)
	w.backupErr = multierr.Append(w.backupErr, err)
	w.mutex.Unlock()
	w.cond.Broadcast()
}

// endLocal records that the write to the local disk has ended.
func (w *writes) endLocal(took time.Duration, err error) {
	w.mutex.Lock()
	w.localEnded, w.localErr, w.localTook = true, err, took
	w.mutex.Unlock()
	w.cond.Broadcast()
}

// ended reports whether the write to the local disk has ended, and whether all writes have ended.
func (w *writes) ended() (localEnded, all bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.localEnded, w.localEnded && w.pendingBackups == 0
}

// sync writes a batch to all disks in parallel and reports whether it is on each of them. It waits
// for the local disk without a limit, since nothing else is written while that disk stalls. It
// waits for the backups until a newer membership replaces them: a call to a machine without power
// would end long after that. It records in the timing how long each write took.
func (c *Controller) sync(membership replication.Membership, batch replication.Batch, timing *batchTiming) bool {
	pending, began := &writes{cond: c.runtime.NewCond(), pendingBackups: len(membership.Backups())}, timing.began
	c.runtime.Go(func() {
		c.coordinator.SetDiskBusy(true)
		err := c.store.WriteLocal(batch)
		c.coordinator.SetDiskBusy(err != nil)
		pending.endLocal(c.runtime.Now().Sub(began), err)
	})
	for _, backup := range membership.Backups() {
		c.runtime.Go(func() {
			c.coordinator.RecordBackupWrite(backup.Identity)
			err := (&peers{client: c.client}).Replicate(c.coordinator.Address(backup), backup.Identity, membership.Epoch, batch)
			c.coordinator.RecordBackupResult(backup.Identity, err == nil)
			pending.endBackup(backupTiming{name: backup.Name, took: c.runtime.Now().Sub(began)}, err)
		})
	}
	for {
		pending.cond.Wait(syncCheckInterval, func() bool { _, all := pending.ended(); return all })
		localEnded, all := pending.ended()
		if all {
			break
		}
		if !c.runtime.Alive() || localEnded && c.coordinator.Membership().Epoch != membership.Epoch {
			return false
		}
	}
	pending.mutex.Lock()
	defer pending.mutex.Unlock()
	timing.ownDisk, timing.backups = pending.localTook, pending.backups
	if took := c.runtime.Now().Sub(began); took >= slowBatch {
		c.observe("batch_slow", "version", batch.Version.String(), "took", took.String(), "own_disk", timing.ownDisk.String(),
			"backups", timing.backupTimes(), "bytes", timing.bytes)
	}
	if pending.backupErr != nil || pending.localErr != nil {
		c.observe("write_not_synced", "version", batch.Version.String(), "backup", pending.backupErr, "own", pending.localErr)
		return false
	}
	return true
}

// queue adds a change to the next batch and calls done with the outcome of the change.
func (c *Controller) queue(change replication.Change, done replication.Done) {
	c.store.Submit(change, done)
	c.submitted.Add(1)
	c.pending.Broadcast()
}

// submit commits a change and returns its version. It fails with OutcomeUnknown when the outcome is not
// known within the timeout or the lease ended meanwhile, with NotPrimary when this controller is
// not primary, and otherwise with the error of the change itself.
func (c *Controller) submit(change replication.Change, timeout time.Duration) (replication.Version, error) {
	var mutex sync.Mutex
	var version replication.Version
	var err error
	answered := false
	cond := c.runtime.NewCond()
	c.queue(change, func(committed replication.Version, outcome error) {
		mutex.Lock()
		version, err, answered = committed, outcome, true
		mutex.Unlock()
		cond.Broadcast()
	})
	cond.Wait(timeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return answered
	})
	mutex.Lock()
	defer mutex.Unlock()
	switch {
	case !answered:
		return replication.Version{}, failure.New(failure.OutcomeUnknown, "the change was not synced on all copies within the timeout")
	case failure.CodeOf(err) == failure.NotPrimary:
		return version, err
	case !c.coordinator.HasLease():
		// This applies to a refusal as well: without the lease it may be based on an old state.
		return version, failure.New(failure.OutcomeUnknown, "the lease expired while the change was being committed")
	case err != nil:
		return version, err
	}
	return version, nil
}
