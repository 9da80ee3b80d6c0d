package replication

import (
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Done is told how a change ended: the committed version, or the trouble.
type Done func(version Version, failure error)

type pendingChange struct {
	change Change
	done   Done
	err    error
}

// Store is one controller's part in the replicated state: its copy, and, while it is
// primary, the working state and the changes that wait. One batch is under way
// at a time; changes that arrive meanwhile share the next one and its sync.
type Store struct {
	mutex     sync.Locker
	local     *LocalReplica
	witness   *Witness
	leading   bool
	paused    bool
	hidden    atomic.Bool
	epoch     uint64
	working   *State
	pending   []pendingChange
	batch     *Batch
	inFlight  []pendingChange
	view      atomic.Pointer[View]
	batches   uint64
	completed uint64
}

// NewStore joins a copy and the keeper of the same disk.
func NewStore(copied *LocalReplica, witness *Witness) *Store {
	return &Store{mutex: &sync.Mutex{}, local: copied, witness: witness}
}

// SetLock chooses the store's lock, which is held while it waits for the disk. It comes
// before any other use.
func (s *Store) SetLock(lock sync.Locker) { s.mutex = lock }

// Lead makes the store the primary of an epoch: it takes its own copy as the
// committed state, under a first version of the new epoch, and shows it.
func (s *Store) Lead(epoch uint64) error { return s.lead(epoch, false) }

// LeadHidden does so while other copies count as in sync: nothing is shown or
// committed until they are made the same, or no longer count, and Thaw says so.
func (s *Store) LeadHidden(epoch uint64) error { return s.lead(epoch, true) }

func (s *Store) lead(epoch uint64, hidden bool) error {
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
	s.leading, s.paused, s.epoch, s.working = true, hidden, epoch, working
	s.hidden.Store(hidden)
	s.view.Store(&View{Version: stamped, Sections: sections})
	return nil
}

// Leading tells whether the store is a primary's.
func (s *Store) Leading() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leading
}

// StepDown ends being primary. What was under way has an unknown outcome;
// what still waited was not accepted.
func (s *Store) StepDown() {
	s.mutex.Lock()
	inFlight, pending := s.inFlight, s.pending
	s.leading, s.working, s.batch, s.inFlight, s.pending = false, nil, nil, nil, nil
	s.view.Store(nil)
	s.hidden.Store(false)
	s.mutex.Unlock()
	for _, change := range inFlight {
		change.done(Version{}, failure.New(failure.Unknown, "the primary changed while the change was under way"))
	}
	for _, waiting := range pending {
		waiting.done(Version{}, failure.New(failure.NotPrimary, "the change was not accepted"))
	}
}

// View is the committed state while the store is a primary's, else nil. Who
// reads it must hold the primary's hold.
func (s *Store) View() *View {
	if s.hidden.Load() {
		return nil
	}
	return s.view.Load()
}

// Hidden tells whether the store leads and does not show its state yet.
func (s *Store) Hidden() bool { return s.hidden.Load() }

// Submit queues a change; done is called once, from another thread or this.
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

// NextBatch gives the batch to be synced on both copies now: the one under way,
// stamped with the present epoch, or a new one made of all waiting changes.
func (s *Store) NextBatch() (Batch, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leading || s.paused {
		return Batch{}, false
	}
	view := s.view.Load()
	version := Version{Epoch: s.epoch, Number: view.Version.Number + 1}
	if s.batch != nil {
		if s.batch.Version != version {
			s.batch.Version = version
			for name, section := range s.batch.Sections {
				section.Version = version
				s.batch.Sections[name] = section
			}
		}
		return *s.batch, true
	}
	if len(s.pending) == 0 {
		return Batch{}, false
	}
	s.inFlight, s.pending = s.pending, nil
	configurationVersion := view.VersionOf(ConfigurationSection)
	for position := range s.inFlight {
		change := &s.inFlight[position]
		change.err = change.change(s.working, version, configurationVersion)
		if s.working.dirty[ConfigurationSection] {
			configurationVersion = version
		}
	}
	sections, removed, err := s.working.encodeDirty(version)
	if err != nil {
		for position := range s.inFlight {
			s.inFlight[position].err = err
		}
	}
	s.batch = &Batch{Version: version, Base: view.Version, Sections: sections, Removed: removed}
	return *s.batch, true
}

// Empty tells whether a batch changes nothing and needs no sync.
func (b Batch) Empty() bool { return len(b.Sections) == 0 && len(b.Removed) == 0 }

// WriteLocal syncs the batch on this store's own copy.
func (s *Store) WriteLocal(batch Batch) error {
	batch.Base = s.local.Version()
	return s.local.Write(batch)
}

// Commit shows a batch that is synced on both copies and tells its changes. It
// returns false when the store no longer leads the batch's epoch.
func (s *Store) Commit(batch Batch) bool {
	s.mutex.Lock()
	if !s.leading || s.paused || s.batch == nil || s.batch.Version != batch.Version {
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

func (v *View) after(batch Batch) *View {
	sections := make(map[string]Section, len(v.Sections)+len(batch.Sections))
	for name, section := range v.Sections {
		sections[name] = section
	}
	for name, section := range batch.Sections {
		sections[name] = section
	}
	for _, name := range batch.Removed {
		delete(sections, name)
	}
	return &View{Version: batch.Version, Sections: sections}
}

// CommitCounts counts the synced batches and the changes answered by them.
func (s *Store) CommitCounts() (batches, changes uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.batches, s.completed
}

// HasPending tells whether a change waits to be committed or is under way.
func (s *Store) HasPending() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.batch != nil || len(s.pending) > 0
}

// PauseCommits stops commits while a new pair is being granted, and cuts the
// snapshot that the new backup starts from.
func (s *Store) PauseCommits() (Snapshot, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leading {
		return Snapshot{}, false
	}
	s.paused = true
	return s.snapshot(), true
}

// Snapshot is the committed state, while commits go on.
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
	return Snapshot{Epoch: s.epoch, Version: view.Version, Sections: view.Sections}
}

// ResumeCommits lets commits go on, with the granted pair.
func (s *Store) ResumeCommits(epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.paused = false
	s.hidden.Store(false)
	s.epoch = epoch
}

// Show shows the state of a store that has become the only copy, while commits
// stay stopped.
func (s *Store) Show(epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hidden.Store(false)
	s.epoch = epoch
}

// SetEpoch takes a newly granted epoch while commits stay stopped.
func (s *Store) SetEpoch(epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.epoch = epoch
}

// Replicate is the backup's side of a write: it refuses an older epoch than it
// has promised, and a batch that does not follow its copy.
func (s *Store) Replicate(epoch uint64, batch Batch) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acceptEpoch(epoch); err != nil {
		return err
	}
	return s.local.Write(batch)
}

// Install is the new backup's side of a snapshot.
func (s *Store) Install(snapshot Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acceptEpoch(snapshot.Epoch); err != nil {
		return err
	}
	return s.local.Restore(snapshot)
}

// CatchUp mends this store's copy when it is old and not in sync.
func (s *Store) CatchUp(snapshot Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.acceptEpoch(snapshot.Epoch); err != nil {
		return err
	}
	return s.local.CatchUp(snapshot)
}

func (s *Store) acceptEpoch(epoch uint64) error {
	if s.leading {
		return failure.New(failure.OldEpoch, "this copy leads")
	}
	return s.witness.Learn(epoch)
}

// PromiseEpoch promises the epoch on the store's own disk, between two writes of an
// older primary and never during one.
func (s *Store) PromiseEpoch(now time.Time, epoch uint64, c Identity) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.witness.Vow(now, epoch, c)
}

// LocalReplica is the store's copy, for status and for candidates' checks.
func (s *Store) LocalReplica() *LocalReplica { return s.local }
