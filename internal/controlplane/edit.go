package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/replication"
)

// Edit is an operator's change of the configuration.
type Edit struct {
	// Change is the id of the edit. An edit with an id is applied once, and Digest distinguishes it
	// from a different edit with the same id. An edit without an id is applied each time it is
	// sent.
	Change string
	Digest string
	// Expected is the version that the edit must start from; nil allows any version.
	Expected *replication.Version
	// BaseRevision, if not nil, is the revision that the edit must start from. The edit must then
	// set a higher revision. An edit without an id gets an id that is derived from Digest.
	BaseRevision *uint64
	// Apply returns the new text of the configuration for the old text.
	Apply func(text []byte) ([]byte, error)
	// Order, if not nil, is the zone order that the edit carries out. A late order is refused with
	// LateOrder.
	Order *ZoneOrder
	// ValidatesItself is set if Apply validates its own additions.
	ValidatesItself bool
}

const (
	// changeTimeout limits how long a change may take to be committed, and inForceTimeout how long it may
	// then take to be in force.
	changeTimeout  = 3 * time.Second
	inForceTimeout = 6 * time.Second
	// roundTrip is how long a response and the next poll may take on the network.
	roundTrip = 150 * time.Millisecond
)

// Edit changes the configuration and returns its version once the change is in force on all
// routers. An error with the code OutcomeUnknown means that the change may have been committed. Busy means
// that it was not committed and can be sent again.
func (c *Controller) Edit(edit Edit) (replication.Version, error) {
	if edit.BaseRevision != nil {
		edit = edit.withRevisionCheck()
	}
	phases := editPhases{received: c.runtime.Now()}
	term, version, err := c.submitEdit(edit, &phases)
	if err != nil {
		if failure.CodeOf(err) == failure.OutcomeUnknown {
			c.observeEdit(editUnknown, edit, version, phases.endedAt(c.runtime.Now()))
		}
		return version, err
	}
	phases.committed = c.runtime.Now()
	// A repeated change can have a newer version than the configuration, because it does not alter
	// the configuration. In that case Edit returns the version of the configuration.
	if _, view, err := c.Leading(); err == nil && view.VersionOf(replication.ConfigurationSection).Before(version) {
		version = view.VersionOf(replication.ConfigurationSection)
	}
	confirmed, inForce := c.awaitInForce(term, version)
	phases.confirmation = confirmed
	if !inForce {
		c.observeEdit(editUnknown, edit, version, phases)
		return version, failure.New(failure.OutcomeUnknown, "it is not known yet whether the change is in force on all routers")
	}
	c.observeEdit(editAccepted, edit, version, phases)
	return version, nil
}

// withRevisionCheck returns the edit with an Apply that checks the base revision each time it runs. An edit
// without an id gets one that is derived from its digest.
func (e Edit) withRevisionCheck() Edit {
	base, apply := *e.BaseRevision, e.Apply
	e.Apply = func(text []byte) ([]byte, error) { return config.Revise(text, base, apply) }
	if e.Change == "" {
		e.Change = "revision-" + e.Digest
	}
	return e
}

// submitEdit prepares an edit for the newest configuration and submits it, and retries if the
// configuration has changed meanwhile. Edits of a large configuration are prepared one at a time,
// so that no edit causes another one to retry.
func (c *Controller) submitEdit(edit Edit, phases *editPhases) (*Term, replication.Version, error) {
	deadline := c.runtime.Now().Add(changeTimeout)
	for {
		term, view, err := c.Leading()
		if err != nil {
			return nil, replication.Version{}, err
		}
		section, found := view.Sections[replication.ConfigurationSection]
		if !found {
			section.Content = config.Empty().Text
		}
		if accepted, found := c.committedChange(edit, view); found {
			phases.submitted = c.runtime.Now()
			return term, accepted, nil
		}
		large := len(section.Content) >= replication.LargeConfiguration
		if large {
			if !c.beginEdit(deadline) {
				return nil, replication.Version{}, failure.New(failure.Busy,
					"other changes of this large configuration are in progress; try again")
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
			change = c.orderedChange(term, *edit.Order, change)
		}
		phases.submitted = c.runtime.Now()
		version, err := c.submit(change, changeTimeout)
		if large {
			c.endEdit()
		}
		if failure.CodeOf(err) != failure.ConfigurationMoved {
			return term, version, err
		}
		if !c.runtime.Now().Before(deadline) {
			return nil, replication.Version{}, failure.New(failure.Busy,
				"the configuration changes faster than this change can be prepared; try again")
		}
	}
}

// alreadyAccepted reports whether this edit was accepted before. Such an edit needs no preparation.
func (c *Controller) alreadyAccepted(edit Edit) bool {
	record, found := c.store.AcceptedChange(edit.Change)
	return found && record.Digest == edit.Digest
}

// committedChange returns the version of an edit that was committed before under its id. Such an
// edit is answered without a new batch, since a batch may stall for seconds. A zone order is never answered
// this way, since its connection must be checked each time.
func (c *Controller) committedChange(edit Edit, view *replication.View) (replication.Version, bool) {
	record, found := c.store.AcceptedChange(edit.Change)
	if !found || record.Digest != edit.Digest || edit.Order != nil || view.Version.Before(record.Version) {
		return replication.Version{}, false
	}
	return record.Version, true
}

// beginEdit waits until no other edit of a large configuration is in progress, marks one as in
// progress and returns true. It returns false if the deadline passes first.
func (c *Controller) beginEdit(deadline time.Time) bool {
	return c.editDone.Wait(deadline.Sub(c.runtime.Now()), func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		busy := c.editing
		c.editing = true
		return !busy
	})
}

// endEdit ends the edit that beginEdit started.
func (c *Controller) endEdit() {
	c.mutex.Lock()
	c.editing = false
	c.mutex.Unlock()
	c.editDone.Broadcast()
}

// SetAcknowledgeWait sets how long the acknowledgement of a committed change waits for routers that
// do not poll. Zero makes it wait until their leases end.
func (c *Controller) SetAcknowledgeWait(length time.Duration) {
	c.acknowledgeWait.Store(int64(length))
}

// awaitInForce waits until every router has acknowledged the version or its lease has ended. After
// that no router admits requests under an older version. If SetAcknowledgeWait has set a time,
// awaitInForce waits only for the routers that polled recently, and at most that time. The time
// counts from the commit, so that a repeated edit does not wait again. This controller's own lease
// is checked last, since a deposed primary may not know the leases of all routers.
func (c *Controller) awaitInForce(term *Term, version replication.Version) (confirmation, bool) {
	var result confirmation
	everywhere := false
	committed, deadline := c.committedAt(version), c.runtime.Now().Add(inForceTimeout)
	wait := time.Duration(c.acknowledgeWait.Load())
	// The time of a poll is the time of its arrival, and a poll may be held back for LoadsWait.
	polledWithin := max(wait, follower.LoadsWait+roundTrip)
	for c.runtime.Now().Before(deadline) {
		lost := false
		// The end of a lease causes no broadcast, so the leases are checked at a short interval.
		done := c.confirmations.Wait(50*time.Millisecond, func() bool {
			current, view, err := c.Leading()
			if err != nil || current != term {
				lost = true
				return true
			}
			state, err := c.state(term, view)
			if err != nil {
				lost = true
				return true
			}
			now := c.runtime.Now()
			var unconfirmed []string
			if wait > 0 {
				unconfirmed = term.laggingSeenWithin(now, version, polledWithin)
				everywhere = now.Sub(committed) >= wait || len(unconfirmed) == 0
			} else {
				unconfirmed = term.Lagging(now, version, state)
				everywhere = len(unconfirmed) == 0
			}
			result.update(unconfirmed)
			return everywhere
		})
		if done || !c.runtime.Alive() {
			result.ended = c.runtime.Now()
			result.routers = len(term.RouterLeases.SeenWithin(result.ended, polledWithin))
			return result, everywhere && !lost && c.coordinator.HasLease()
		}
	}
	result.ended = c.runtime.Now()
	return result, false
}

// committedAt returns a time at which the given version of the configuration was already visible:
// the time of this controller's last commit if that was the given version or a newer one, and now
// otherwise.
func (c *Controller) committedAt(version replication.Version) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.configurationCommit.version.Before(version) {
		return c.configurationCommit.at
	}
	return c.runtime.Now()
}

// recordConfigurationCommit records that a version of the configuration became visible now.
func (c *Controller) recordConfigurationCommit(version replication.Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.configurationCommit = configurationCommit{version: version, at: c.runtime.Now()}
}

// Retire removes a stopped member from the recorded members. It fails with LeaseActive while a router
// of that name has a valid lease.
func (c *Controller) Retire(name string) (replication.Version, error) {
	term, _, err := c.Leading()
	if err != nil {
		return replication.Version{}, err
	}
	if _, live := term.RouterLeases.Live(c.runtime.Now())[name]; live {
		return replication.Version{}, failure.New(failure.LeaseActive, name+" is running; stop it before retiring it")
	}
	return c.submit(replication.RemoveMember(name), changeTimeout)
}
