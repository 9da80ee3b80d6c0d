package controlplane

import (
	"sync"
	"time"

	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
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
	if !batch.Empty() && !c.sync(membership, batch) {
		return false
	}
	if !c.store.Commit(batch) {
		return false
	}
	if !batch.Empty() {
		c.updated.Broadcast()
	}
	return true
}

// sync sends a batch to all disks at once and tells whether it is on each.
func (c *Controller) sync(membership replication.Membership, batch replication.Batch) bool {
	var mutex sync.Mutex
	var own error
	kept := false
	cond := c.runtime.NewCond()
	c.runtime.Go(func() {
		c.coordinator.SetDiskBusy(true)
		err := c.store.WriteLocal(batch)
		c.coordinator.SetDiskBusy(err != nil)
		mutex.Lock()
		own, kept = err, true
		mutex.Unlock()
		cond.Broadcast()
	})
	var missing error
	waits := 0
	replicate := func(backup replication.Replica) {
		err := (&peers{client: c.client}).Replicate(c.coordinator.Address(backup), backup.Identity, membership.Epoch, batch)
		c.coordinator.RecordBackupResult(backup.Identity, err == nil)
		mutex.Lock()
		missing = multierr.Append(missing, err)
		mutex.Unlock()
	}
	for _, further := range membership.Further {
		waits++
		c.runtime.Go(func() {
			replicate(further)
			mutex.Lock()
			waits--
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	replicate(membership.Backup)
	ended := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return kept && waits == 0
	}
	// There is no timeout for the own disk: nothing else is written while it stalls.
	for !cond.Wait(time.Second, ended) {
		if !c.runtime.Alive() {
			return false
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	if missing != nil || own != nil {
		c.observe("write_not_synced", "version", batch.Version.String(), "backup", missing, "own", own)
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
