package replication

import (
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Done is called with the outcome of a change: the version in which the change was committed, or an
// error if it was not. The code OutcomeUnknown means that the change may have been committed, or may
// be committed later.
type Done func(version Version, err error)

// pendingChange is a submitted change whose Done has not been called yet. makeBatch sets err, to the
// error of the change or to that of encoding its batch.
type pendingChange struct {
	change Change
	done   Done
	err    error
}

// Store is one controller's side of the replicated state: its local replica and, while the
// controller is primary, the working state and the pending changes. One batch is in flight at a
// time; changes that arrive meanwhile share the next batch and its sync.
//
// Invariant: a change is acknowledged, and its state made readable, only after its batch is synced
// on the primary's disk and on every backup of the membership. The caller calls NextBatch, then
// WriteLocal and, on each backup, Replicate, and only then Commit, which alone publishes the view
// and calls Done. So the next primary, which is always a replica in sync, has every acknowledged
// change.
type Store struct {
	mutex   sync.Locker
	local   *LocalReplica
	witness *Witness

	leading bool
	// paused stops commits while the backups are changed.
	paused bool
	// hidden makes View return nil although the store leads.
	hidden atomic.Bool
	epoch  uint64
	// working is the committed state plus the changes of the batch in flight.
	working *State
	// pending holds the changes that wait for the next batch.
	pending []pendingChange
	// snapshotCount counts the snapshots that this primary has taken. installed is the epoch and the
	// number of the last snapshot that this replica has installed.
	snapshotCount uint64
	installed     snapshotOrder
	// batch is the batch in flight, or nil; inFlight holds its changes.
	batch    *Batch
	inFlight []pendingChange
	// view is the committed state.
	view atomic.Pointer[View]

	// batches counts the committed batches that were not empty. completed counts the changes whose
	// outcome Commit has reported, including those that failed. Both are for the metrics.
	batches   uint64
	completed uint64
}

// snapshotOrder orders the snapshots of a primary: by the epoch, then by the number within the
// epoch.
type snapshotOrder struct{ epoch, sequence uint64 }

// NewStore returns a store for the local replica and the witness of the same disk.
func NewStore(local *LocalReplica, witness *Witness) *Store {
	return &Store{mutex: &sync.Mutex{}, local: local, witness: witness}
}

// SetLock sets the store's lock, which is held while the store waits for the disk. It must be
// called before any other method.
func (s *Store) SetLock(lock sync.Locker) { s.mutex = lock }

// Lead makes this store the store of the primary for an epoch: it takes the local replica as the
// committed state and writes an empty batch with the first version of the epoch. The replica must be in
// sync, so that it has every acknowledged change; it may also have a batch that was never acknowledged,
// which Lead commits. Until ResumeCommits is called, View returns nil and nothing else is committed: the
// caller may call it only once every replica of the membership has this state, and there is at least one
// besides this one. Before that, another replica could become primary without the unacknowledged batch,
// or the only disk with it could be lost. If the store leads already, Lead only sets the epoch.
// Codes: Damaged, Disk, Garbage.
func (s *Store) Lead(epoch uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leading {
		s.epoch = epoch
		return nil
	}
	if damage := s.local.Damage(); damage != "" {
		return failure.New(failure.Damaged, damage)
	}
	base := s.local.Version()
	stamped := Version{Epoch: epoch, Number: base.Number + 1}
	if err := s.local.Write(Batch{Version: stamped, Base: base}); err != nil {
		return err
	}
	sections := s.local.Sections()
	working, err := ReadState(sections)
	if err != nil {
		return err
	}
	s.leading, s.paused, s.epoch, s.working = true, true, epoch, working
	s.hidden.Store(true)
	s.view.Store(&View{Version: stamped, Sections: sections})
	return nil
}

// Leading reports whether the store is the primary's.
func (s *Store) Leading() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leading
}

// StepDown ends the leadership. Changes in flight fail with OutcomeUnknown, because their batch may
// be on some disk; pending changes were not accepted and fail with NotPrimary.
func (s *Store) StepDown() {
	s.mutex.Lock()
	inFlight, pending := s.inFlight, s.pending
	s.leading, s.working, s.batch, s.inFlight, s.pending = false, nil, nil, nil, nil
	s.view.Store(nil)
	s.hidden.Store(false)
	s.mutex.Unlock()
	for _, change := range inFlight {
		change.done(Version{}, failure.New(failure.OutcomeUnknown, "the primary changed while the change was in progress"))
	}
	for _, change := range pending {
		change.done(Version{}, failure.New(failure.NotPrimary, "the change was not accepted"))
	}
}

// View returns the committed state while the store leads and is not hidden, else nil. A caller that
// answers a request from it must check the primary's lease afterwards.
func (s *Store) View() *View {
	if s.hidden.Load() {
		return nil
	}
	return s.view.Load()
}

// Hidden reports whether the store leads but does not let its state be read yet.
func (s *Store) Hidden() bool { return s.hidden.Load() }

// Submit queues a change. It calls done once, either before it returns or from another goroutine.
func (s *Store) Submit(change Change, done Done) {
	s.mutex.Lock()
	if !s.leading {
		s.mutex.Unlock()
		done(Version{}, failure.New(failure.NotPrimary, "the change was not accepted"))
		return
	}
	s.pending = append(s.pending, pendingChange{change: change, done: done})
	s.mutex.Unlock()
}

// NextBatch returns the batch that is to be synced on all replicas now: the one in flight, with its
// version moved to the present epoch, or a new batch made of all pending changes. It returns false
// if there is neither, if commits are paused, or if the store does not lead.
func (s *Store) NextBatch() (Batch, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leading || s.paused {
		return Batch{}, false
	}
	view := s.view.Load()
	version := Version{Epoch: s.epoch, Number: view.Version.Number + 1}
	switch {
	case s.batch != nil:
		s.restamp(version)
	case len(s.pending) > 0:
		s.makeBatch(view, version)
	default:
		return Batch{}, false
	}
	return *s.batch, true
}

// restamp gives the batch in flight a version of a newer epoch.
func (s *Store) restamp(version Version) {
	if s.batch.Version == version {
		return
	}
	s.batch.Version = version
	for name, section := range s.batch.Sections {
		section.Version = version
		s.batch.Sections[name] = section
	}
}

// makeBatch runs all pending changes, one after another, and puts them in flight as one batch.
func (s *Store) makeBatch(view *View, version Version) {
	s.inFlight, s.pending = s.pending, nil
	configurationVersion := view.VersionOf(ConfigurationSection)
	for i := range s.inFlight {
		change := &s.inFlight[i]
		change.err = change.change(s.working, version, configurationVersion)
		if s.working.dirty[ConfigurationSection] {
			configurationVersion = version
		}
	}
	sections, removed, err := s.working.encodeDirty(version)
	if err != nil {
		for i := range s.inFlight {
			s.inFlight[i].err = err
		}
	}
	s.batch = &Batch{Version: version, Base: view.Version, Sections: sections, Removed: removed}
}

// WriteLocal syncs the batch on the primary's own disk. It sets the batch's base to the version of the
// local replica, because the same batch may already have been written there under an older epoch.
func (s *Store) WriteLocal(batch Batch) error {
	batch.Base = s.local.Version()
	return s.local.Write(batch)
}

// Commit publishes a batch that is synced on the primary's disk and on every backup of the
// membership of its epoch, and reports the outcome of its changes. It does nothing and returns
// false if the store does not lead, commits are paused, the batch is no longer in flight or was
// given another version, or the store's epoch is newer than the batch's. In the last case the
// backups of the newer epoch started from a snapshot without the batch.
func (s *Store) Commit(batch Batch) bool {
	s.mutex.Lock()
	if !s.leading || s.paused || s.batch == nil || s.batch.Version != batch.Version || s.epoch != batch.Version.Epoch {
		s.mutex.Unlock()
		return false
	}
	inFlight := s.inFlight
	s.batch, s.inFlight = nil, nil
	version := s.view.Load().Version
	if !batch.Empty() {
		version = batch.Version
		s.view.Store(s.view.Load().after(batch))
		s.batches++
	}
	s.completed += uint64(len(inFlight))
	s.mutex.Unlock()
	for _, change := range inFlight {
		change.done(version, change.err)
	}
	return true
}

// AcceptedChange returns the record of the change that was accepted under an id. The change may be
// part of the batch in flight. The second result is false if there is no record or the store does not lead.
func (s *Store) AcceptedChange(id string) (ChangeRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leading {
		return ChangeRecord{}, false
	}
	return s.working.Changes.Find(id)
}

// CommitCounts returns the number of committed batches that were not empty, and the number of changes
// whose outcome Commit has reported, including those that failed.
func (s *Store) CommitCounts() (batches, changes uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.batches, s.completed
}

// HasPending reports whether a change is pending or in flight.
func (s *Store) HasPending() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.batch != nil || len(s.pending) > 0
}

// PauseCommits stops commits while the backups are changed, and returns the snapshot from which the
// new backups start: until ResumeCommits nothing is committed that the snapshot lacks.
func (s *Store) PauseCommits() (Snapshot, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leading {
		return Snapshot{}, false
	}
	s.paused = true
	return s.snapshot(), true
}

// Snapshot returns the committed state without pausing commits.
func (s *Store) Snapshot() (Snapshot, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leading {
		return Snapshot{}, false
	}
	return s.snapshot(), true
}

func (s *Store) snapshot() Snapshot {
	view := s.view.Load()
	s.snapshotCount++
	return Snapshot{Epoch: s.epoch, Version: view.Version, Sections: view.Sections, Sequence: s.snapshotCount}
}

// ResumeCommits sets the granted epoch, allows commits again and makes the state readable.
func (s *Store) ResumeCommits(epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.paused = false
	s.hidden.Store(false)
	s.epoch = epoch
}

// SetEpoch sets a newly granted epoch while commits stay paused.
func (s *Store) SetEpoch(epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.epoch = epoch
}

// Replicate writes a batch of the primary to this backup, and returns nil only once the batch is
// synced. It fails with OldEpoch if this store leads, or if the witness has promised a higher epoch:
// thus a deposed primary commits nothing. It fails with Behind if the batch does not follow the
// replica's version.
func (s *Store) Replicate(epoch uint64, batch Batch) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acceptEpoch(epoch); err != nil {
		return err
	}
	return s.local.Write(batch)
}

// Install replaces the replica of a new backup by a snapshot. It refuses a snapshot that the
// primary took before the one installed last: the older snapshot lacks the changes that were
// acknowledged between the two, and this replica may already count as in sync.
// Codes: OldEpoch, Behind, Disk.
func (s *Store) Install(snapshot Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acceptEpoch(snapshot.Epoch); err != nil {
		return err
	}
	if snapshot.Epoch == s.installed.epoch && snapshot.Sequence < s.installed.sequence {
		return failure.New(failure.Behind, "a later snapshot of this primary is installed")
	}
	s.installed = snapshotOrder{epoch: snapshot.Epoch, sequence: snapshot.Sequence}
	return s.local.Restore(snapshot)
}

// CatchUp installs a snapshot on a replica that is not in sync, if the snapshot is newer than the
// replica. Codes: OldEpoch, Behind, Disk.
func (s *Store) CatchUp(snapshot Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acceptEpoch(snapshot.Epoch); err != nil {
		return err
	}
	return s.local.CatchUp(snapshot)
}

// acceptEpoch promises the sender's epoch. It fails with OldEpoch when a higher epoch is promised or
// when this store leads.
func (s *Store) acceptEpoch(epoch uint64) error {
	if s.leading {
		return failure.New(failure.OldEpoch, "this replica is the primary")
	}
	return s.witness.ObserveEpoch(epoch)
}

// PromiseEpoch promises the epoch on the store's own disk. It takes the store's lock, so that no
// write of an older primary is in progress meanwhile: a write that began under the old epoch is on
// the disk before the promise is given.
func (s *Store) PromiseEpoch(now time.Time, epoch uint64, candidate Identity) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.witness.PromiseSelf(now, epoch, candidate)
}

// LocalReplica returns the store's replica, for the status and for the checks of candidates.
func (s *Store) LocalReplica() *LocalReplica { return s.local }
