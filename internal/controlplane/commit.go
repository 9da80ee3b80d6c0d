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

// commit commits batches, one after another: a batch is committed once it is on the disk of
// every copy in sync, and its version is visible only then.
func (c *Controller) commit() {
	for c.runtime.Alive() {
		seen := c.submitted.Load()
		if c.commitOne() {
			continue
		}
		pause := idleInterval
		if c.store.HasPending() {
			pause = commitInterval
		}
		c.pending.Wait(pause, func() bool { return c.submitted.Load() != seen })
	}
}

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
	if followed(batch) {
		c.updated.Broadcast()
	}
	return true
}

// followed tells whether a batch changes a section that polls wait for.
func followed(batch replication.Batch) bool {
	return slices.ContainsFunc(followedSections, func(name string) bool {
		_, found := batch.Sections[name]
		return found || slices.Contains(batch.Removed, name)
	})
}

// writes are the writes of one batch to all disks of a membership.
type writes struct {
	cond runtime.Cond

	mutex sync.Mutex
	// ownEnded tells that the own disk's write has ended, with the error own.
	ownEnded bool
	own      error
	// waiting counts the backups whose write has not ended, missing are the errors of the others.
	waiting int
	missing error
	// ownTook and backups are how long the ended writes took.
	ownTook time.Duration
	backups []backupTiming
}

// endBackup notes the end of a write to a backup.
func (w *writes) endBackup(timing backupTiming, err error) {
	w.mutex.Lock()
	w.waiting--
	w.backups = append(w.backups, timing)
	w.missing = multierr.Append(w.missing, err)
	w.mutex.Unlock()
	w.cond.Broadcast()
}

// endOwn notes the end of the write to the own disk.
func (w *writes) endOwn(took time.Duration, err error) {
	w.mutex.Lock()
	w.ownEnded, w.own, w.ownTook = true, err, took
	w.mutex.Unlock()
	w.cond.Broadcast()
}

// ended reports whether the own disk's write has ended, and all writes to backups.
func (w *writes) ended() (ownEnded, all bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ownEnded, w.ownEnded && w.waiting == 0
}

// sync sends a batch to all disks at once and tells whether it is on each. It waits for the own disk
// however long that takes, since nothing else is written while it stalls, and for the backups until
// others have their place: a call to a machine without power ends long after that. It notes in the
// timing how long each write took.
func (c *Controller) sync(membership replication.Membership, batch replication.Batch, timing *batchTiming) bool {
	under, began := &writes{cond: c.runtime.NewCond(), waiting: len(membership.Backups())}, timing.began
	c.runtime.Go(func() {
		c.coordinator.SetDiskBusy(true)
		err := c.store.WriteLocal(batch)
		c.coordinator.SetDiskBusy(err != nil)
		under.endOwn(c.runtime.Now().Sub(began), err)
	})
	for _, backup := range membership.Backups() {
		c.runtime.Go(func() {
			c.coordinator.RecordBackupWrite(backup.Identity)
			err := (&peers{client: c.client}).Replicate(c.coordinator.Address(backup), backup.Identity, membership.Epoch, batch)
			c.coordinator.RecordBackupResult(backup.Identity, err == nil)
			under.endBackup(backupTiming{name: backup.Name, took: c.runtime.Now().Sub(began)}, err)
		})
	}
	for {
		under.cond.Wait(syncCheckInterval, func() bool { _, all := under.ended(); return all })
		ownEnded, all := under.ended()
		if all {
			break
		}
		if !c.runtime.Alive() || ownEnded && c.coordinator.Membership().Epoch != membership.Epoch {
			return false
		}
	}
	under.mutex.Lock()
	defer under.mutex.Unlock()
	timing.ownDisk, timing.backups = under.ownTook, under.backups
	if took := c.runtime.Now().Sub(began); took >= slowBatch {
		c.observe("batch_slow", "version", batch.Version.String(), "took", took.String(), "own_disk", timing.ownDisk.String(),
			"backups", timing.backupTimes(), "bytes", timing.bytes)
	}
	if under.missing != nil || under.own != nil {
		c.observe("write_not_synced", "version", batch.Version.String(), "backup", under.missing, "own", under.own)
		return false
	}
	return true
}

// queue adds a change to the next batch; done is called with its outcome.
func (c *Controller) queue(change replication.Change, done replication.Done) {
	c.store.Submit(change, done)
	c.submitted.Add(1)
	c.pending.Broadcast()
}

// submit commits a change and gives its version. It fails with Unknown when the outcome is not
// known within the timeout, or the lease ended meanwhile; with NotPrimary when this controller
// does not lead; and with the change's own codes.
func (c *Controller) submit(change replication.Change, timeout time.Duration) (replication.Version, error) {
	var mutex sync.Mutex
	var version replication.Version
	var err error
	answered := false
	cond := c.runtime.NewCond()
	c.queue(change, func(committed replication.Version, ended error) {
		mutex.Lock()
		version, err, answered = committed, ended, true
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
		return replication.Version{}, failure.New(failure.Unknown, "the change was not synced on both copies in time")
	case failure.CodeOf(err) == failure.NotPrimary:
		return version, err
	case !c.coordinator.HasLease():
		// A refusal is an answer too: without the lease it may rest on an old state.
		return version, failure.New(failure.Unknown, "the hold ran out while the change was under way")
	case err != nil:
		return version, err
	}
	return version, nil
}
