package replication

import (
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Done is told how a change ended: the committed version, or the trouble.
type Done func(version Version, failure error)

type ticket struct {
	change  Change
	done    Done
	failure error
}

// Store is one expediter's part in the larder: its copy, and, while it is
// primary, the working state and the changes that wait. One batch is under way
// at a time; changes that arrive meanwhile share the next one and its sync.
type Store struct {
	mutex    sync.Locker
	copied   *Copy
	witness  *Witness
	leading  bool
	frozen   bool
	hidden   atomic.Bool
	epoch    uint64
	working  *State
	pending  []ticket
	batch    *Batch
	riding   []ticket
	view     atomic.Pointer[View]
	batches  uint64
	answered uint64
}

// NewStore joins a copy and the keeper of the same disk.
func NewStore(copied *Copy, witness *Witness) *Store {
	return &Store{mutex: &sync.Mutex{}, copied: copied, witness: witness}
}

// Guard chooses the store's lock, which is held while it waits for the disk. It comes
// before any other use.
func (store *Store) Guard(lock sync.Locker) { store.mutex = lock }

// Lead makes the store the primary of an epoch: it takes its own copy as the
// committed state, under a first version of the new epoch, and shows it.
func (store *Store) Lead(epoch uint64) error { return store.lead(epoch, false) }

// LeadHidden does so while other copies count as in sync: nothing is shown or
// committed until they are made the same, or no longer count, and Thaw says so.
func (store *Store) LeadHidden(epoch uint64) error { return store.lead(epoch, true) }

func (store *Store) lead(epoch uint64, hidden bool) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.leading {
		store.epoch = epoch
		return nil
	}
	if damage := store.copied.Damage(); damage != "" {
		return failure.New(failure.Damaged, damage)
	}
	base := store.copied.Version()
	stamped := Version{Epoch: epoch, Number: base.Number + 1}
	if err := store.copied.Write(Batch{Version: stamped, Base: base}); err != nil {
		return err
	}
	sections := store.copied.Sections()
	working, err := ReadState(sections)
	if err != nil {
		return err
	}
	store.leading, store.frozen, store.epoch, store.working = true, hidden, epoch, working
	store.hidden.Store(hidden)
	store.view.Store(&View{Version: stamped, Sections: sections})
	return nil
}

// Leading tells whether the store is a primary's.
func (store *Store) Leading() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.leading
}

// StepDown ends being primary. What was under way has an unknown outcome;
// what still waited was not accepted.
func (store *Store) StepDown() {
	store.mutex.Lock()
	riding, pending := store.riding, store.pending
	store.leading, store.working, store.batch, store.riding, store.pending = false, nil, nil, nil, nil
	store.view.Store(nil)
	store.hidden.Store(false)
	store.mutex.Unlock()
	for _, rider := range riding {
		rider.done(Version{}, failure.New(failure.Unknown, "the primary changed while the change was under way"))
	}
	for _, waiting := range pending {
		waiting.done(Version{}, failure.New(failure.NotPrimary, "the change was not accepted"))
	}
}

// View is the committed state while the store is a primary's, else nil. Who
// reads it must hold the primary's hold.
func (store *Store) View() *View {
	if store.hidden.Load() {
		return nil
	}
	return store.view.Load()
}

// Hidden tells whether the store leads and does not show its state yet.
func (store *Store) Hidden() bool { return store.hidden.Load() }

// Submit queues a change; done is called once, from another thread or this.
func (store *Store) Submit(change Change, done Done) {
	store.mutex.Lock()
	if !store.leading {
		store.mutex.Unlock()
		done(Version{}, failure.New(failure.NotPrimary, "the change was not accepted"))
		return
	}
	store.pending = append(store.pending, ticket{change: change, done: done})
	store.mutex.Unlock()
}

// Begin gives the batch to be synced on both copies now: the one under way,
// stamped with the present epoch, or a new one made of all waiting changes.
func (store *Store) Begin() (Batch, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !store.leading || store.frozen {
		return Batch{}, false
	}
	view := store.view.Load()
	version := Version{Epoch: store.epoch, Number: view.Version.Number + 1}
	if store.batch != nil {
		if store.batch.Version != version {
			store.batch.Version = version
			for name, section := range store.batch.Sections {
				section.Version = version
				store.batch.Sections[name] = section
			}
		}
		return *store.batch, true
	}
	if len(store.pending) == 0 {
		return Batch{}, false
	}
	store.riding, store.pending = store.pending, nil
	configurationVersion := view.VersionOf(ConfigurationSection)
	for position := range store.riding {
		rider := &store.riding[position]
		rider.failure = rider.change(store.working, version, configurationVersion)
		if store.working.dirty[ConfigurationSection] {
			configurationVersion = version
		}
	}
	sections, removed, err := store.working.pack(version)
	if err != nil {
		for position := range store.riding {
			store.riding[position].failure = err
		}
	}
	store.batch = &Batch{Version: version, Base: view.Version, Sections: sections, Removed: removed}
	return *store.batch, true
}

// Empty tells whether a batch changes nothing and needs no sync.
func (batch Batch) Empty() bool { return len(batch.Sections) == 0 && len(batch.Removed) == 0 }

// KeepOwn syncs the batch on this store's own copy.
func (store *Store) KeepOwn(batch Batch) error {
	batch.Base = store.copied.Version()
	return store.copied.Write(batch)
}

// Commit shows a batch that is synced on both copies and tells its changes. It
// returns false when the store no longer leads the batch's epoch.
func (store *Store) Commit(batch Batch) bool {
	store.mutex.Lock()
	if !store.leading || store.frozen || store.batch == nil || store.batch.Version != batch.Version {
		store.mutex.Unlock()
		return false
	}
	riding := store.riding
	store.batch, store.riding = nil, nil
	version := store.view.Load().Version
	if !batch.Empty() {
		version = batch.Version
		store.view.Store(store.view.Load().after(batch))
		store.batches++
	}
	store.answered += uint64(len(riding))
	store.mutex.Unlock()
	for _, rider := range riding {
		rider.done(version, rider.failure)
	}
	return true
}

func (view *View) after(batch Batch) *View {
	sections := make(map[string]Section, len(view.Sections)+len(batch.Sections))
	for name, section := range view.Sections {
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

// Work counts the synced batches and the changes answered by them.
func (store *Store) Work() (batches, changes uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.batches, store.answered
}

// Waiting tells whether a change waits to be committed or is under way.
func (store *Store) Waiting() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.batch != nil || len(store.pending) > 0
}

// Freeze stops commits while a new pair is being granted, and cuts the
// snapshot that the new backup starts from.
func (store *Store) Freeze() (Snapshot, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !store.leading {
		return Snapshot{}, false
	}
	store.frozen = true
	return store.snapshot(), true
}

// Snapshot is the committed state, while commits go on.
func (store *Store) Snapshot() (Snapshot, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !store.leading {
		return Snapshot{}, false
	}
	return store.snapshot(), true
}

func (store *Store) snapshot() Snapshot {
	view := store.view.Load()
	return Snapshot{Epoch: store.epoch, Version: view.Version, Sections: view.Sections}
}

// Thaw lets commits go on, with the granted pair.
func (store *Store) Thaw(epoch uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.frozen = false
	store.hidden.Store(false)
	store.epoch = epoch
}

// Show shows the state of a store that has become the only copy, while commits
// stay stopped.
func (store *Store) Show(epoch uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.hidden.Store(false)
	store.epoch = epoch
}

// Renumber takes a newly granted epoch while commits stay stopped.
func (store *Store) Renumber(epoch uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.epoch = epoch
}

// Replicate is the backup's side of a write: it refuses an older epoch than it
// has promised, and a batch that does not follow its copy.
func (store *Store) Replicate(epoch uint64, batch Batch) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if err := store.follow(epoch); err != nil {
		return err
	}
	return store.copied.Write(batch)
}

// Install is the new backup's side of a snapshot.
func (store *Store) Install(snapshot Snapshot) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if err := store.follow(snapshot.Epoch); err != nil {
		return err
	}
	return store.copied.Rewrite(snapshot)
}

// Refresh mends this store's copy when it is old and not in sync.
func (store *Store) Refresh(snapshot Snapshot) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if err := store.follow(snapshot.Epoch); err != nil {
		return err
	}
	return store.copied.Refresh(snapshot)
}

func (store *Store) follow(epoch uint64) error {
	if store.leading {
		return failure.New(failure.OldEpoch, "this copy leads")
	}
	return store.witness.Learn(epoch)
}

// Vow promises the epoch on the store's own disk, between two writes of an
// older primary and never during one.
func (store *Store) Vow(now time.Time, epoch uint64, candidate Identity) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.witness.Vow(now, epoch, candidate)
}

// Copy is the store's copy, for status and for candidates' checks.
func (store *Store) Copy() *Copy { return store.copied }
