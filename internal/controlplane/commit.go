package controlplane

import (
	"sync"
	"time"

	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
)

// commit syncs batches on every copy in sync, one after another.
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

// sync brings a batch to all disks at once and tells whether it is on each.
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
	// The own disk may stall for as long as it likes: nothing else is written
	// meanwhile.
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

// queue hands a change to the next batch.
func (c *Controller) queue(change replication.Change, done replication.Done) {
	c.store.Submit(change, done)
	c.submitted.Add(1)
	c.pending.Broadcast()
}

// submit waits until a change is synced on every copy in sync. When that can't be
// known in time the outcome is called unknown.
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
