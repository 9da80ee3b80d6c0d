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
	mutex       sync.Locker
	storage     Storage
	self        Replica
	record      witnessRecord
	lease       time.Duration
	leaseHolder Identity
	leaseEnds   time.Time
}

type witnessRecord struct {
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
		if content, intact := files[newest]; intact && msgpack.Unmarshal(content, &witness.record) == nil && witness.record.Identity != "" {
			witness.self.Identity = witness.record.Identity
			witness.leaseHolder = witness.record.Membership.Primary.Identity
			return witness, false, nil
		}
	}
	witness.record = witnessRecord{Identity: fresh, Sequence: uint64(len(names))}
	witness.self.Identity = fresh
	if err := storage.Remove(names); err != nil {
		return nil, true, err
	}
	return witness, true, witness.save(witness.record)
}

// SetLock chooses the keeper's lock, which is held while it waits for the disk. It comes
// before any other use.
func (w *Witness) SetLock(lock sync.Locker) { w.mutex = lock }

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
	return w.record.Membership
}

// Promised is the highest epoch that the keeper has promised.
func (w *Witness) Promised() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.record.Promised
}

// LeaseEnds tells when the hold that the keeper gave a primary runs out.
func (w *Witness) LeaseEnds() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaseEnds
}

// LeaseHolder is whom the hold that runs was given to.
func (w *Witness) LeaseHolder() Identity {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaseHolder
}

// Prepare promises an epoch to a candidate, unless a higher or equal one is
// promised or another primary's hold runs.
func (w *Witness) Prepare(now time.Time, epoch uint64, candidate Identity) (Vote, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	vote := Vote{Witness: w.self.Identity, Promised: w.record.Promised, Membership: w.record.Membership}
	switch {
	case w.record.Membership.Blank():
		vote.Refusal = failure.NotAdmitted
	case epoch <= w.record.Promised:
		vote.Refusal = failure.OldEpoch
	case now.Before(w.leaseEnds) && w.leaseHolder != candidate:
		vote.Refusal = failure.LeaseActive
	default:
		record := w.record
		record.Promised = epoch
		if err := w.save(record); err != nil {
			return vote, err
		}
		vote.Granted = true
		vote.Promised = epoch
	}
	return vote, nil
}

// Accept takes a membership, unless a higher epoch is promised. A blank keeper
// takes only one that names it: that is how it is admitted.
func (w *Witness) Accept(now time.Time, membership Membership) (Vote, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	vote := Vote{Witness: w.self.Identity, Promised: w.record.Promised, Membership: w.record.Membership}
	switch {
	case membership.Epoch < w.record.Promised || membership.Epoch < w.record.Membership.Epoch:
		vote.Refusal = failure.OldEpoch
	case w.record.Membership.Blank() && !membership.HasVoter(w.self.Identity):
		vote.Refusal = failure.NotAdmitted
	case membership.Epoch == w.record.Membership.Epoch && membership.Primary.Identity != w.record.Membership.Primary.Identity:
		vote.Refusal = failure.OldEpoch
	default:
		record := w.record
		record.Promised = membership.Epoch
		record.Membership = membership
		if err := w.save(record); err != nil {
			return vote, err
		}
		if w.leaseHolder != membership.Primary.Identity {
			// Whoever could propose another primary knew the old hold to be over
			// at a quorum, or had it and gave it up.
			w.leaseHolder, w.leaseEnds = membership.Primary.Identity, time.Time{}
		}
		vote.Granted = true
		vote.Promised = membership.Epoch
		vote.Membership = membership
	}
	return vote, nil
}

// RenewLease gives the primary of the epoch its hold: for that long the keeper
// promises no other epoch to another candidate. A membership that it has not accepted
// must be brought first, so that its disk tells after a restart whom it held still for.
func (w *Witness) RenewLease(now time.Time, epoch uint64, primary Identity) Vote {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	vote := Vote{Witness: w.self.Identity, Promised: w.record.Promised, Membership: w.record.Membership}
	if w.record.Membership.Blank() {
		vote.Refusal = failure.NotAdmitted
		return vote
	}
	if epoch < w.record.Promised || epoch < w.record.Membership.Epoch {
		vote.Refusal = failure.OldEpoch
		return vote
	}
	if epoch > w.record.Membership.Epoch {
		vote.Refusal = failure.Behind
		return vote
	}
	w.leaseHolder = primary
	if ends := now.Add(w.lease); ends.After(w.leaseEnds) {
		w.leaseEnds = ends
	}
	vote.Granted = true
	vote.Lease = w.lease
	return vote
}

// PromiseSelf promises an epoch on the candidate's own disk, by the same rule as for
// another candidate, whether or not this disk is a keeper's.
func (w *Witness) PromiseSelf(now time.Time, epoch uint64, candidate Identity) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if epoch <= w.record.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", w.record.Promised))
	}
	if now.Before(w.leaseEnds) && w.leaseHolder != candidate {
		return failure.New(failure.LeaseActive, "another primary's hold runs")
	}
	record := w.record
	record.Promised = epoch
	return w.save(record)
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
	if _, intact := files[recordName(w.record.Sequence)]; intact {
		return false, nil
	}
	return true, w.save(w.record)
}

// ObserveEpoch takes the identity's promise as a backup: it must never again serve an
// older epoch.
func (w *Witness) ObserveEpoch(epoch uint64) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if epoch < w.record.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", w.record.Promised))
	}
	if epoch == w.record.Promised {
		return nil
	}
	record := w.record
	record.Promised = epoch
	return w.save(record)
}

func (w *Witness) save(record witnessRecord) error {
	old := w.record.Sequence
	record.Sequence = old + 1
	encoded, err := msgpack.Marshal(record)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	if err := w.storage.Save(recordName(record.Sequence), encoded); err != nil {
		return err
	}
	w.record = record
	// The older file only takes room: that it stays is no failure.
	_ = w.storage.Remove([]string{recordName(old)})
	return nil
}

func recordName(sequence uint64) string { return fmt.Sprintf("keeper-%020d", sequence) }
