package replication

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// PrimaryHold is how long a keeper holds still at most for the primary it confirmed.
// The value is ours.
const PrimaryHold = 1500 * time.Millisecond

// Keeper is an epoch witness. It keeps only the charter and the highest epoch
// that it has promised, both synced before it answers.
type Keeper struct {
	mutex    sync.Locker
	shelf    Shelf
	self     Seat
	note     keeperNote
	lease    time.Duration
	holder   Identity
	holdEnds time.Time
}

type keeperNote struct {
	Identity Identity `msgpack:"identity"`
	Sequence uint64   `msgpack:"sequence"`
	Promised uint64   `msgpack:"promised"`
	Charter  Charter  `msgpack:"charter"`
}

// OpenKeeper reads the keeper's note from its shelf. When there is none, or
// the newest is damaged, the disk counts as blank and fresh is the identity
// that it takes. A keeper that starts holds still for one hold, since it may
// have confirmed a primary just before it stopped.
//
// Example:
//
//	keeper, blank, failure := replication.OpenKeeper(now, shelf, seat, fresh)
func OpenKeeper(now time.Time, shelf Shelf, seat Seat, fresh Identity) (*Keeper, bool, error) {
	files, damaged, err := shelf.Load()
	if err != nil {
		return nil, false, err
	}
	keeper := &Keeper{mutex: &sync.Mutex{}, shelf: shelf, self: seat, lease: PrimaryHold, holdEnds: now.Add(PrimaryHold)}
	var names []string
	for name := range files {
		names = append(names, name)
	}
	names = append(names, damaged...)
	sort.Strings(names)
	if len(names) > 0 {
		newest := names[len(names)-1]
		if content, intact := files[newest]; intact && msgpack.Unmarshal(content, &keeper.note) == nil && keeper.note.Identity != "" {
			keeper.self.Identity = keeper.note.Identity
			keeper.holder = keeper.note.Charter.Primary.Identity
			return keeper, false, nil
		}
	}
	keeper.note = keeperNote{Identity: fresh, Sequence: uint64(len(names))}
	keeper.self.Identity = fresh
	if err := shelf.Remove(names); err != nil {
		return nil, true, err
	}
	return keeper, true, keeper.save(keeper.note)
}

// Guard chooses the keeper's lock, which is held while it waits for the disk. It comes
// before any other use.
//
// Example:
//
//	keeper.Guard(lease.NewLock(turns))
func (keeper *Keeper) Guard(lock sync.Locker) { keeper.mutex = lock }

// SetLease chooses how long the keeper holds still for a primary, no longer than
// PrimaryHold: for that long it keeps still at its start, whatever it was told before.
//
// Example:
//
//	keeper.SetLease(timing.Lease)
func (keeper *Keeper) SetLease(lease time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.lease = min(lease, PrimaryHold)
}

// Seat is the keeper's own seat, which stays.
//
// Example:
//
//	keeper.Seat().Identity
func (keeper *Keeper) Seat() Seat { return keeper.self }

// Charter is the newest charter that the keeper has accepted.
//
// Example:
//
//	charter := keeper.Charter()
func (keeper *Keeper) Charter() Charter {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.note.Charter
}

// Promised is the highest epoch that the keeper has promised.
//
// Example:
//
//	next := keeper.Promised() + 1
func (keeper *Keeper) Promised() uint64 {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.note.Promised
}

// HoldEnds tells when the hold that the keeper gave a primary runs out.
//
// Example:
//
//	if keeper.HoldEnds().Before(now) { /* nobody is primary here */ }
func (keeper *Keeper) HoldEnds() time.Time {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.holdEnds
}

// Holder is whom the hold that runs was given to.
//
// Example:
//
//	if keeper.Holder() == candidate { /* it may stand at once */ }
func (keeper *Keeper) Holder() Identity {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.holder
}

// Prepare promises an epoch to a candidate, unless a higher or equal one is
// promised or another primary's hold runs.
//
// Example:
//
//	promise := keeper.Prepare(now, 4, candidate)
func (keeper *Keeper) Prepare(now time.Time, epoch uint64, candidate Identity) (Promise, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	promise := Promise{Keeper: keeper.self.Identity, Promised: keeper.note.Promised, Charter: keeper.note.Charter}
	switch {
	case keeper.note.Charter.Blank():
		promise.Refusal = failure.NotAdmitted
	case epoch <= keeper.note.Promised:
		promise.Refusal = failure.OldEpoch
	case now.Before(keeper.holdEnds) && keeper.holder != candidate:
		promise.Refusal = failure.HoldActive
	default:
		note := keeper.note
		note.Promised = epoch
		if err := keeper.save(note); err != nil {
			return promise, err
		}
		promise.Granted = true
		promise.Promised = epoch
	}
	return promise, nil
}

// Accept takes a charter, unless a higher epoch is promised. A blank keeper
// takes only one that names it: that is how it is admitted.
//
// Example:
//
//	promise, failure := keeper.Accept(now, charter)
func (keeper *Keeper) Accept(now time.Time, charter Charter) (Promise, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	promise := Promise{Keeper: keeper.self.Identity, Promised: keeper.note.Promised, Charter: keeper.note.Charter}
	switch {
	case charter.Epoch < keeper.note.Promised || charter.Epoch < keeper.note.Charter.Epoch:
		promise.Refusal = failure.OldEpoch
	case keeper.note.Charter.Blank() && !charter.Keeps(keeper.self.Identity):
		promise.Refusal = failure.NotAdmitted
	case charter.Epoch == keeper.note.Charter.Epoch && charter.Primary.Identity != keeper.note.Charter.Primary.Identity:
		promise.Refusal = failure.OldEpoch
	default:
		note := keeper.note
		note.Promised = charter.Epoch
		note.Charter = charter
		if err := keeper.save(note); err != nil {
			return promise, err
		}
		if keeper.holder != charter.Primary.Identity {
			// Whoever could propose another primary knew the old hold to be over
			// at a quorum, or had it and gave it up.
			keeper.holder, keeper.holdEnds = charter.Primary.Identity, time.Time{}
		}
		promise.Granted = true
		promise.Promised = charter.Epoch
		promise.Charter = charter
	}
	return promise, nil
}

// Confirm gives the primary of the epoch its hold: for that long the keeper
// promises no other epoch to another candidate. A charter that it has not accepted
// must be brought first, so that its disk tells after a restart whom it held still for.
//
// Example:
//
//	promise := keeper.Confirm(now, 4, primary)
func (keeper *Keeper) Confirm(now time.Time, epoch uint64, primary Identity) Promise {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	promise := Promise{Keeper: keeper.self.Identity, Promised: keeper.note.Promised, Charter: keeper.note.Charter}
	if keeper.note.Charter.Blank() {
		promise.Refusal = failure.NotAdmitted
		return promise
	}
	if epoch < keeper.note.Promised || epoch < keeper.note.Charter.Epoch {
		promise.Refusal = failure.OldEpoch
		return promise
	}
	if epoch > keeper.note.Charter.Epoch {
		promise.Refusal = failure.Behind
		return promise
	}
	keeper.holder = primary
	if ends := now.Add(keeper.lease); ends.After(keeper.holdEnds) {
		keeper.holdEnds = ends
	}
	promise.Granted = true
	promise.Lease = keeper.lease
	return promise
}

// Vow promises an epoch on the candidate's own disk, by the same rule as for
// another candidate, whether or not this disk is a keeper's.
//
// Example:
//
//	failure := keeper.Vow(now, 4, keeper.Seat().Identity)
func (keeper *Keeper) Vow(now time.Time, epoch uint64, candidate Identity) error {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if epoch <= keeper.note.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", keeper.note.Promised))
	}
	if now.Before(keeper.holdEnds) && keeper.holder != candidate {
		return failure.New(failure.HoldActive, "another primary's hold runs")
	}
	note := keeper.note
	note.Promised = epoch
	return keeper.save(note)
}

// Sweep reads the keeper's note again, and writes it anew when the file has
// become damaged or is gone.
//
// Example:
//
//	mended, failure := keeper.Sweep()
func (keeper *Keeper) Sweep() (bool, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	files, _, err := keeper.shelf.Load()
	if err != nil {
		return false, err
	}
	if _, intact := files[noteName(keeper.note.Sequence)]; intact {
		return false, nil
	}
	return true, keeper.save(keeper.note)
}

// Learn takes the identity's promise as a backup: it must never again serve an
// older epoch.
//
// Example:
//
//	failure := keeper.Learn(message.Epoch)
func (keeper *Keeper) Learn(epoch uint64) error {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if epoch < keeper.note.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", keeper.note.Promised))
	}
	if epoch == keeper.note.Promised {
		return nil
	}
	note := keeper.note
	note.Promised = epoch
	return keeper.save(note)
}

func (keeper *Keeper) save(note keeperNote) error {
	old := keeper.note.Sequence
	note.Sequence = old + 1
	encoded, err := msgpack.Marshal(note)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	if err := keeper.shelf.Save(noteName(note.Sequence), encoded); err != nil {
		return err
	}
	keeper.note = note
	// The older file only takes room: that it stays is no failure.
	_ = keeper.shelf.Remove([]string{noteName(old)})
	return nil
}

func noteName(sequence uint64) string { return fmt.Sprintf("keeper-%020d", sequence) }
