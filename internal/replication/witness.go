package replication

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// PrimaryLease is how long a keeper holds still at most for the primary it confirmed.
// The value is ours.
const PrimaryLease = 1500 * time.Millisecond

// Witness is an epoch witness. It keeps only the membership and the highest epoch
// that it has promised, both synced before it answers.
type Witness struct {
	mutex     sync.Locker
	storage   Storage
	self      Replica
	note      witnessNote
	lease     time.Duration
	holder    Identity
	leaseEnds time.Time
}

type witnessNote struct {
	Identity   Identity   `msgpack:"identity"`
	Sequence   uint64     `msgpack:"sequence"`
	Promised   uint64     `msgpack:"promised"`
	Membership Membership `msgpack:"charter"`
}

// OpenWitness reads the keeper's note from its storage. When there is none, or
// the newest is damaged, the disk counts as blank and fresh is the identity
// that it takes. A keeper that starts holds still for one hold, since it may
// have confirmed a primary just before it stopped.
func OpenWitness(now time.Time, storage Storage, replica Replica, fresh Identity) (*Witness, bool, error) {
	files, damaged, err := storage.Load()
	if err != nil {
		return nil, false, err
	}
	witness := &Witness{mutex: &sync.Mutex{}, storage: storage, self: replica, lease: PrimaryLease, leaseEnds: now.Add(PrimaryLease)}
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
func (w *Witness) Guard(lock sync.Locker) { w.mutex = lock }

// SetLease chooses how long the keeper holds still for a primary, no longer than
// PrimaryLease: for that long it keeps still at its start, whatever it was told before.
func (w *Witness) SetLease(lease time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lease = min(lease, PrimaryLease)
}

// Replica is the keeper's own seat, which stays.
func (w *Witness) Replica() Replica { return w.self }

// Membership is the newest membership that the keeper has accepted.
func (w *Witness) Membership() Membership {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.note.Membership
}

// Promised is the highest epoch that the keeper has promised.
func (w *Witness) Promised() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.note.Promised
}

// LeaseEnds tells when the hold that the keeper gave a primary runs out.
func (w *Witness) LeaseEnds() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaseEnds
}

// Holder is whom the hold that runs was given to.
func (w *Witness) Holder() Identity {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.holder
}

// Prepare promises an epoch to a candidate, unless a higher or equal one is
// promised or another primary's hold runs.
func (w *Witness) Prepare(now time.Time, epoch uint64, c Identity) (Promise, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	promise := Promise{Witness: w.self.Identity, Promised: w.note.Promised, Membership: w.note.Membership}
	switch {
	case w.note.Membership.Blank():
		promise.Refusal = failure.NotAdmitted
	case epoch <= w.note.Promised:
		promise.Refusal = failure.OldEpoch
	case now.Before(w.leaseEnds) && w.holder != c:
		promise.Refusal = failure.LeaseActive
	default:
		note := w.note
		note.Promised = epoch
		if err := w.save(note); err != nil {
			return promise, err
		}
		promise.Granted = true
		promise.Promised = epoch
	}
	return promise, nil
}

// Accept takes a membership, unless a higher epoch is promised. A blank keeper
// takes only one that names it: that is how it is admitted.
func (w *Witness) Accept(now time.Time, membership Membership) (Promise, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	promise := Promise{Witness: w.self.Identity, Promised: w.note.Promised, Membership: w.note.Membership}
	switch {
	case membership.Epoch < w.note.Promised || membership.Epoch < w.note.Membership.Epoch:
		promise.Refusal = failure.OldEpoch
	case w.note.Membership.Blank() && !membership.Keeps(w.self.Identity):
		promise.Refusal = failure.NotAdmitted
	case membership.Epoch == w.note.Membership.Epoch && membership.Primary.Identity != w.note.Membership.Primary.Identity:
		promise.Refusal = failure.OldEpoch
	default:
		note := w.note
		note.Promised = membership.Epoch
		note.Membership = membership
		if err := w.save(note); err != nil {
			return promise, err
		}
		if w.holder != membership.Primary.Identity {
			// Whoever could propose another primary knew the old hold to be over
			// at a quorum, or had it and gave it up.
			w.holder, w.leaseEnds = membership.Primary.Identity, time.Time{}
		}
		promise.Granted = true
		promise.Promised = membership.Epoch
		promise.Membership = membership
	}
	return promise, nil
}

// Confirm gives the primary of the epoch its hold: for that long the keeper
// promises no other epoch to another candidate. A membership that it has not accepted
// must be brought first, so that its disk tells after a restart whom it held still for.
func (w *Witness) Confirm(now time.Time, epoch uint64, primary Identity) Promise {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	promise := Promise{Witness: w.self.Identity, Promised: w.note.Promised, Membership: w.note.Membership}
	if w.note.Membership.Blank() {
		promise.Refusal = failure.NotAdmitted
		return promise
	}
	if epoch < w.note.Promised || epoch < w.note.Membership.Epoch {
		promise.Refusal = failure.OldEpoch
		return promise
	}
	if epoch > w.note.Membership.Epoch {
		promise.Refusal = failure.Behind
		return promise
	}
	w.holder = primary
	if ends := now.Add(w.lease); ends.After(w.leaseEnds) {
		w.leaseEnds = ends
	}
	promise.Granted = true
	promise.Lease = w.lease
	return promise
}

// Vow promises an epoch on the candidate's own disk, by the same rule as for
// another candidate, whether or not this disk is a keeper's.
func (w *Witness) Vow(now time.Time, epoch uint64, c Identity) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if epoch <= w.note.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", w.note.Promised))
	}
	if now.Before(w.leaseEnds) && w.holder != c {
		return failure.New(failure.LeaseActive, "another primary's hold runs")
	}
	note := w.note
	note.Promised = epoch
	return w.save(note)
}

// Sweep reads the keeper's note again, and writes it anew when the file has
// become damaged or is gone.
func (w *Witness) Sweep() (bool, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	files, _, err := w.storage.Load()
	if err != nil {
		return false, err
	}
	if _, intact := files[noteName(w.note.Sequence)]; intact {
		return false, nil
	}
	return true, w.save(w.note)
}

// Learn takes the identity's promise as a backup: it must never again serve an
// older epoch.
func (w *Witness) Learn(epoch uint64) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if epoch < w.note.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", w.note.Promised))
	}
	if epoch == w.note.Promised {
		return nil
	}
	note := w.note
	note.Promised = epoch
	return w.save(note)
}

func (w *Witness) save(note witnessNote) error {
	old := w.note.Sequence
	note.Sequence = old + 1
	encoded, err := msgpack.Marshal(note)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	if err := w.storage.Save(noteName(note.Sequence), encoded); err != nil {
		return err
	}
	w.note = note
	// The older file only takes room: that it stays is no failure.
	_ = w.storage.Remove([]string{noteName(old)})
	return nil
}

func noteName(sequence uint64) string { return fmt.Sprintf("keeper-%020d", sequence) }
