package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/replication"
)

// Edit is one operator's change of the configuration.
type Edit struct {
	// Change is its id: a change is made once under an id, and Digest tells it from another
	// under the same id. Without an id it is made again when it is sent again.
	Change string
	Digest string
	// Expected is the version that it must be made from; nil: any.
	Expected *replication.Version
	// BaseRevision is the revision that it builds on, if it insists on one; it then gives
	// a higher one, and its digest is its id if it has none.
	BaseRevision *uint64
	// Apply makes the new text of the old one.
	Apply func(text []byte) ([]byte, error)
	// Order is the zone order that the edit carries out, if it does: a late one is refused as
	// LateOrder.
	Order *ZoneOrder
	// ValidatesItself tells that it checks by itself what it adds.
	ValidatesItself bool
}

const (
	changeTimeout  = 3 * time.Second
	inForceTimeout = 6 * time.Second
	// roundTrip is how long a response and the next poll may take on the network.
	roundTrip = 150 * time.Millisecond
)

// Edit changes the configuration and returns its version once it is in force everywhere. An error
// with the code Unknown says that the change may have been committed; Busy that it was not, and
// can be sent again.
func (c *Controller) Edit(edit Edit) (replication.Version, error) {
	if edit.BaseRevision != nil {
		edit = edit.withRevisionCheck()
	}
	phases := editPhases{received: c.runtime.Now()}
	current, version, err := c.change(edit, &phases)
	if err != nil {
		if failure.CodeOf(err) == failure.Unknown {
			c.observeEdit(editUnknown, edit, version, phases.endedAt(c.runtime.Now()))
		}
		return version, err
	}
	phases.committed = c.runtime.Now()
	// The same change sent again is answered with the version that holds now.
	if _, view, err := c.Leading(); err == nil && view.VersionOf(replication.ConfigurationSection).Before(version) {
		version = view.VersionOf(replication.ConfigurationSection)
	}
	confirmed, inForce := c.awaitInForce(current, version)
	phases.confirmation = confirmed
	if !inForce {
		c.observeEdit(editUnknown, edit, version, phases)
		return version, failure.New(failure.Unknown, "it can't be known yet whether the change is in force")
	}
	c.observeEdit(editAccepted, edit, version, phases)
	return version, nil
}

// revising is an edit that checks the revision it builds on each time it is made.
func (e Edit) withRevisionCheck() Edit {
	builds, apply := *e.BaseRevision, e.Apply
	e.Apply = func(text []byte) ([]byte, error) { return config.Revise(text, builds, apply) }
	if e.Change == "" {
		e.Change = "revision-" + e.Digest
	}
	return e
}

// change prepares an edit for the newest configuration and submits it, again when
// that has moved meanwhile. Edits of a large configuration are prepared one after
// another, so that one whose turn it is need not be made again.
func (c *Controller) change(edit Edit, phases *editPhases) (*Term, replication.Version, error) {
	deadline := c.runtime.Now().Add(changeTimeout)
	for {
		current, view, err := c.Leading()
		if err != nil {
			return nil, replication.Version{}, err
		}
		section, found := view.Sections[replication.ConfigurationSection]
		if !found {
			section.Content = config.Empty().Text
		}
		if accepted, found := c.committedChange(edit, view); found {
			phases.submitted = c.runtime.Now()
			return current, accepted, nil
		}
		large := len(section.Content) >= replication.LargeConfiguration
		if large {
			if !c.beginEdit(deadline) {
				return nil, replication.Version{}, failure.New(failure.Busy, "other changes of this large configuration go first; ask again")
			}
			if _, newest, err := c.Leading(); err == nil {
				section = newest.Sections[replication.ConfigurationSection]
			}
		}
		var prepared replication.PreparedConfiguration
		if !c.alreadyAccepted(edit) {
			prepared = replication.PrepareConfiguration(section.Version, section.Content, edit.Apply, edit.ValidatesItself)
		}
		change := replication.ChangeConfiguration(edit.Change, edit.Digest, edit.Expected, prepared, edit.Apply)
		if edit.Order != nil {
			change = c.orderedChange(current, *edit.Order, change)
		}
		phases.submitted = c.runtime.Now()
		version, err := c.submit(change, changeTimeout)
		if large {
			c.endEdit()
		}
		if failure.CodeOf(err) != failure.ConfigurationMoved {
			return current, version, err
		}
		if !c.runtime.Now().Before(deadline) {
			return nil, replication.Version{}, failure.New(failure.Busy, "the configuration changes faster than this change can be made; ask again")
		}
	}
}

// alreadyAccepted tells whether this change was accepted before: then it need not be prepared.
func (c *Controller) alreadyAccepted(edit Edit) bool {
	record, found := c.store.AcceptedChange(edit.Change)
	return found && record.Digest == edit.Digest
}

// committedChange returns the version of an edit that was committed before under its id. It needs no batch:
// the next one may stall for seconds. An order is judged anew by its connection.
func (c *Controller) committedChange(edit Edit, view *replication.View) (replication.Version, bool) {
	record, found := c.store.AcceptedChange(edit.Change)
	if !found || record.Digest != edit.Digest || edit.Order != nil || view.Version.Before(record.Version) {
		return replication.Version{}, false
	}
	return record.Version, true
}

func (c *Controller) beginEdit(deadline time.Time) bool {
	return c.editDone.Wait(deadline.Sub(c.runtime.Now()), func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		taken := c.editing
		c.editing = true
		return !taken
	})
}

func (c *Controller) endEdit() {
	c.mutex.Lock()
	c.editing = false
	c.mutex.Unlock()
	c.editDone.Broadcast()
}

// SetAcknowledgeWait sets how long the acknowledgement of a committed change waits for routers
// that do not poll; zero: until their leases end.
func (c *Controller) SetAcknowledgeWait(length time.Duration) {
	c.acknowledgeWait.Store(int64(length))
}

// awaitInForce waits until every router has acknowledged the version or its lease has ended: after
// that no router admits by an older one. With SetAcknowledgeWait it waits only for the routers
// that polled within that time, and no longer than that after the commit: an edit that is sent again
// does not wait anew. This controller's own lease is checked
// last: a deposed primary may not know of all routers' leases.
func (c *Controller) awaitInForce(current *Term, version replication.Version) (confirmation, bool) {
	var waited confirmation
	everywhere := false
	committed, deadline := c.committedAt(version), c.runtime.Now().Add(inForceTimeout)
	wait := time.Duration(c.acknowledgeWait.Load())
	// A poll that is held back counts from when it came.
	heardWithin := max(wait, follower.LoadsWait+roundTrip)
	for c.runtime.Now().Before(deadline) {
		lost := false
		// Leases end without a broadcast: the wait is cut into short ones.
		over := c.confirmations.Wait(50*time.Millisecond, func() bool {
			term, view, err := c.Leading()
			if err != nil || term != current {
				lost = true
				return true
			}
			state, err := c.state(current, view)
			if err != nil {
				lost = true
				return true
			}
			now := c.runtime.Now()
			var unconfirmed []string
			if wait > 0 {
				unconfirmed = current.behind(now, version, heardWithin)
				everywhere = now.Sub(committed) >= wait || len(unconfirmed) == 0
			} else {
				unconfirmed = current.Lagging(now, version, state)
				everywhere = len(unconfirmed) == 0
			}
			waited.note(unconfirmed)
			return everywhere
		})
		if over || !c.runtime.Alive() {
			waited.ended = c.runtime.Now()
			waited.routers = len(current.Grants.SeenWithin(waited.ended, heardWithin))
			return waited, everywhere && !lost && c.coordinator.HasLease()
		}
	}
	waited.ended = c.runtime.Now()
	return waited, false
}

// committedAt returns a moment at which the configuration's version was visible: when this controller
// committed it or a newer one, and now if it has not.
func (c *Controller) committedAt(version replication.Version) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.configurationCommit.version.Before(version) {
		return c.configurationCommit.at
	}
	return c.runtime.Now()
}

// recordConfigurationCommit remembers when a version of the configuration became visible.
func (c *Controller) recordConfigurationCommit(version replication.Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.configurationCommit = configurationCommit{version: version, at: c.runtime.Now()}
}

// Retire takes a stopped member out of the record.
func (c *Controller) Retire(name string) (replication.Version, error) {
	current, _, err := c.Leading()
	if err != nil {
		return replication.Version{}, err
	}
	if _, live := current.Grants.Live(c.runtime.Now())[name]; live {
		return replication.Version{}, failure.New(failure.LeaseActive, name+" is running; stop it first")
	}
	return c.submit(replication.RemoveMember(name), changeTimeout)
}
