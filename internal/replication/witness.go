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

// Witness is an epoch witness. It keeps only the charter and the highest epoch
// that it has promised, both synced before it answers.
type Witness struct {
	mutex    sync.Locker
	storage  Storage
	self     Replica
	note     witnessNote
	lease    time.Duration
	holder   Identity
	holdEnds time.Time
}

type witnessNote struct {
	Identity   Identity   `msgpack:"identity"`
	Sequence   uint64     `msgpack:"sequence"`
	Promised   uint64     `msgpack:"promised"`
	Membership Membership `msgpack:"charter"`
}

// OpenWitness reads the keeper's note from its shelf. When there is none, or
// the newest is damaged, the disk counts as blank and fresh is the identity
// that it takes. A keeper that starts holds still for one hold, since it may
// have confirmed a primary just before it stopped.
func OpenWitness(now time.Time, storage Storage, replica Replica, fresh Identity) (*Witness, bool, error) {
	files, damaged, err := storage.Load()
	if err != nil {
		return nil, false, err
	}
	witness := &Witness{mutex: &sync.Mutex{}, storage: storage, self: replica, lease: PrimaryHold, holdEnds: now.Add(PrimaryHold)}
	var names []string
	for name := range files {
		names = append(names, name)
	}
	names = append(names, damaged...)
	sort.Strings(names)
	if len(names) > 0 {
		newest := names[len(names)-1]
		if content, intact := files[newest]; intact && msgpack.Unmarshal(content, &witness.note) == nil && witness.note.Identity != "" {
			witness.self.Identity = witness.note.Identity
			witness.holder = witness.note.Membership.Primary.Identity
			return witness, false, nil
		}
	}
	witness.note = witnessNote{Identity: fresh, Sequence: uint64(len(names))}
	witness.self.Identity = fresh
	if err := storage.Remove(names); err != nil {
		return nil, true, err
	}
	return witness, true, witness.save(witness.note)
}

// Guard chooses the keeper's lock, which is held while it waits for the disk. It comes
// before any other use.
func (witness *Witness) Guard(lock sync.Locker) { witness.mutex = lock }

// SetLease chooses how long the keeper holds still for a primary, no longer than
// PrimaryHold: for that long it keeps still at its start, whatever it was told before.
func (witness *Witness) SetLease(lease time.Duration) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	witness.lease = min(lease, PrimaryHold)
}

// Replica is the keeper's own seat, which stays.
func (witness *Witness) Replica() Replica { return witness.self }

// Membership is the newest charter that the keeper has accepted.
func (witness *Witness) Membership() Membership {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	return witness.note.Membership
}

// Promised is the highest epoch that the keeper has promised.
func (witness *Witness) Promised() uint64 {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	return witness.note.Promised
}

// HoldEnds tells when the hold that the keeper gave a primary runs out.
func (witness *Witness) HoldEnds() time.Time {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	return witness.holdEnds
}

// Holder is whom the hold that runs was given to.
func (witness *Witness) Holder() Identity {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	return witness.holder
}

// Prepare promises an epoch to a candidate, unless a higher or equal one is
// promised or another primary's hold runs.
func (witness *Witness) Prepare(now time.Time, epoch uint64, candidate Identity) (Promise, error) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	promise := Promise{Witness: witness.self.Identity, Promised: witness.note.Promised, Membership: witness.note.Membership}
	switch {
	case witness.note.Membership.Blank():
		promise.Refusal = failure.NotAdmitted
	case epoch <= witness.note.Promised:
		promise.Refusal = failure.OldEpoch
	case now.Before(witness.holdEnds) && witness.holder != candidate:
		promise.Refusal = failure.HoldActive
	default:
		note := witness.note
		note.Promised = epoch
		if err := witness.save(note); err != nil {
			return promise, err
		}
		promise.Granted = true
		promise.Promised = epoch
	}
	return promise, nil
}

// Accept takes a charter, unless a higher epoch is promised. A blank keeper
// takes only one that names it: that is how it is admitted.
func (witness *Witness) Accept(now time.Time, membership Membership) (Promise, error) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	promise := Promise{Witness: witness.self.Identity, Promised: witness.note.Promised, Membership: witness.note.Membership}
	switch {
	case membership.Epoch < witness.note.Promised || membership.Epoch < witness.note.Membership.Epoch:
		promise.Refusal = failure.OldEpoch
	case witness.note.Membership.Blank() && !membership.Keeps(witness.self.Identity):
		promise.Refusal = failure.NotAdmitted
	case membership.Epoch == witness.note.Membership.Epoch && membership.Primary.Identity != witness.note.Membership.Primary.Identity:
		promise.Refusal = failure.OldEpoch
	default:
		note := witness.note
		note.Promised = membership.Epoch
		note.Membership = membership
		if err := witness.save(note); err != nil {
			return promise, err
		}
		if witness.holder != membership.Primary.Identity {
			// Whoever could propose another primary knew the old hold to be over
			// at a quorum, or had it and gave it up.
			witness.holder, witness.holdEnds = membership.Primary.Identity, time.Time{}
		}
		promise.Granted = true
		promise.Promised = membership.Epoch
		promise.Membership = membership
	}
	return promise, nil
}

// Confirm gives the primary of the epoch its hold: for that long the keeper
// promises no other epoch to another candidate. A charter that it has not accepted
// must be brought first, so that its disk tells after a restart whom it held still for.
func (witness *Witness) Confirm(now time.Time, epoch uint64, primary Identity) Promise {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	promise := Promise{Witness: witness.self.Identity, Promised: witness.note.Promised, Membership: witness.note.Membership}
	if witness.note.Membership.Blank() {
		promise.Refusal = failure.NotAdmitted
		return promise
	}
	if epoch < witness.note.Promised || epoch < witness.note.Membership.Epoch {
		promise.Refusal = failure.OldEpoch
		return promise
	}
	if epoch > witness.note.Membership.Epoch {
		promise.Refusal = failure.Behind
		return promise
	}
	witness.holder = primary
	if ends := now.Add(witness.lease); ends.After(witness.holdEnds) {
		witness.holdEnds = ends
	}
	promise.Granted = true
	promise.Lease = witness.lease
	return promise
}

// Vow promises an epoch on the candidate's own disk, by the same rule as for
// another candidate, whether or not this disk is a keeper's.
func (witness *Witness) Vow(now time.Time, epoch uint64, candidate Identity) error {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	if epoch <= witness.note.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", witness.note.Promised))
	}
	if now.Before(witness.holdEnds) && witness.holder != candidate {
		return failure.New(failure.HoldActive, "another primary's hold runs")
	}
	note := witness.note
	note.Promised = epoch
	return witness.save(note)
}

// Sweep reads the keeper's note again, and writes it anew when the file has
// become damaged or is gone.
func (witness *Witness) Sweep() (bool, error) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	files, _, err := witness.storage.Load()
	if err != nil {
		return false, err
	}
	if _, intact := files[noteName(witness.note.Sequence)]; intact {
		return false, nil
	}
	return true, witness.save(witness.note)
}

// Learn takes the identity's promise as a backup: it must never again serve an
// older epoch.
func (witness *Witness) Learn(epoch uint64) error {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	if epoch < witness.note.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", witness.note.Promised))
	}
	if epoch == witness.note.Promised {
		return nil
	}
	note := witness.note
	note.Promised = epoch
	return witness.save(note)
}

func (witness *Witness) save(note witnessNote) error {
	old := witness.note.Sequence
	note.Sequence = old + 1
	encoded, err := msgpack.Marshal(note)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	if err := witness.storage.Save(noteName(note.Sequence), encoded); err != nil {
		return err
	}
	witness.note = note
	// The older file only takes room: that it stays is no failure.
	_ = witness.storage.Remove([]string{noteName(old)})
	return nil
}

func noteName(sequence uint64) string { return fmt.Sprintf("keeper-%020d", sequence) }
