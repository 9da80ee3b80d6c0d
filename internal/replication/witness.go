package replication

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// PrimaryLease is the longest lease that a witness grants a primary.
const PrimaryLease = 1500 * time.Millisecond

// Vote is a witness's response to Prepare, Accept and RenewLease: whether it granted the request,
// or the failure code with which it refused, and the highest epoch and the newest membership on its
// disk. The sender uses these two to catch up.
type Vote struct {
	Witness    Identity     `msgpack:"keeper"`
	Granted    bool         `msgpack:"granted"`
	Refusal    failure.Code `msgpack:"refusal,omitempty"`
	Promised   uint64       `msgpack:"promised"`
	Membership Membership   `msgpack:"charter"`
	// Lease is the length of the granted lease. An older release does not send it and grants
	// PrimaryLease.
	Lease time.Duration `msgpack:"lease,omitempty"`
}

// Witness is the voter on the disk of one controller. The disk holds the highest epoch that the
// witness promised and the newest membership that it accepted.
//
// Invariants:
//   - Epoch fencing: it grants nothing for an epoch below the highest promised one, also after a
//     restart, because the promise and the membership are synced before the response is sent.
//   - Lease: while the lease that it granted to one primary is active, it promises no epoch to another
//     candidate. Leases are not stored: a witness that starts waits for the longest lease
//     (PrimaryLease) before it promises an epoch to any candidate except the primary of the
//     membership on its disk. No other controller can have a lease from it, because it grants a
//     lease only under a membership that it has accepted.
//
// docs/design/replication.md, "How it works"; docs/design/control-safety.md, points 1 and 3.
type Witness struct {
	mutex       sync.Locker
	storage     Storage
	self        Replica
	record      witnessRecord
	lease       time.Duration
	leaseHolder Identity
	leaseEnds   time.Time
	// accepted is the newest membership on the disk, for readers that must not wait for the disk.
	accepted atomic.Pointer[Membership]
}

// witnessRecord is what a witness stores. Sequence numbers the files; the file with the highest
// number is the current one.
type witnessRecord struct {
	Identity   Identity   `msgpack:"identity"`
	Sequence   uint64     `msgpack:"sequence"`
	Promised   uint64     `msgpack:"promised"`
	Membership Membership `msgpack:"charter"`
}

// OpenWitness reads a witness from its storage. When there is no record, or the newest one is
// damaged, the disk counts as blank: the witness takes newIdentity, and the second result is true.
func OpenWitness(now time.Time, storage Storage, replica Replica, newIdentity Identity) (*Witness, bool, error) {
	files, damaged, err := storage.Load()
	if err != nil {
		return nil, false, err
	}
	witness := &Witness{
		mutex:   &sync.Mutex{},
		storage: storage,
		self:    replica,
		lease:   PrimaryLease,
		// The witness may have granted a lease just before it stopped.
		leaseEnds: now.Add(PrimaryLease),
	}
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
			accepted := witness.record.Membership
			witness.accepted.Store(&accepted)
			return witness, false, nil
		}
	}
	witness.record = witnessRecord{Identity: newIdentity, Sequence: uint64(len(names))}
	witness.self.Identity = newIdentity
	if err := storage.Remove(names); err != nil {
		return nil, true, err
	}
	return witness, true, witness.save(witness.record)
}

// SetLock sets the witness's lock, which is held during writes to the disk. It must be called
// before any other method.
func (w *Witness) SetLock(lock sync.Locker) { w.mutex = lock }

// SetLease sets the length of the leases that the witness grants. It is limited to PrimaryLease,
// because a witness that starts waits only PrimaryLease for leases that it may have granted earlier.
func (w *Witness) SetLease(lease time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lease = min(lease, PrimaryLease)
}

// Replica returns the controller that the witness belongs to. It never changes.
func (w *Witness) Replica() Replica { return w.self }

// Membership returns the newest membership that the witness accepted.
func (w *Witness) Membership() Membership {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.record.Membership
}

// AcceptedMembership returns the newest membership that the witness accepted, without waiting for a
// write in progress. A membership that is still being written does not count as accepted: the vote
// for it has not been sent.
func (w *Witness) AcceptedMembership() Membership {
	if accepted := w.accepted.Load(); accepted != nil {
		return *accepted
	}
	return Membership{}
}

// Promised returns the highest epoch that the witness promised.
func (w *Witness) Promised() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.record.Promised
}

// LeaseEnds returns the end of the last granted lease, or of the wait after a start. The time is zero
// after the witness has accepted a membership with another primary, until it grants that primary a
// lease.
func (w *Witness) LeaseEnds() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaseEnds
}

// LeaseHolder returns the primary to which the witness granted its last lease. If the witness has
// accepted a membership with another primary since then, LeaseHolder returns that primary.
func (w *Witness) LeaseHolder() Identity {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaseHolder
}

// Prepare promises an epoch to a candidate (phase 1 of Paxos). It refuses with OldEpoch when an
// equal or higher epoch is promised, with LeaseActive while another primary's lease is active, and
// with NotAdmitted on a blank disk. An error comes from the write to the disk.
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

// Accept stores a membership (phase 2 of Paxos). It refuses with OldEpoch when a higher epoch is
// promised or another primary's membership of the same epoch is stored. It refuses with NotAdmitted
// when the disk is blank and the membership does not name this controller as a witness: a blank disk
// is admitted only by a membership that does. An error comes from the write to the disk.
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
			// The proposer of another primary either knows that the old primary's leases from a
			// quorum have ended, or is the old primary and has given up its lease.
			w.leaseHolder, w.leaseEnds = membership.Primary.Identity, time.Time{}
		}
		vote.Granted = true
		vote.Promised = membership.Epoch
		vote.Membership = membership
	}
	return vote, nil
}

// RenewLease grants the primary of the epoch a lease that starts now. It refuses with OldEpoch when
// a higher epoch is promised, and with Behind when the witness has not accepted the membership of
// that epoch: the membership must be sent first, so that after a restart the disk shows to whom the
// lease was granted. On a blank disk it refuses with NotAdmitted.
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

// PromiseSelf promises an epoch on the candidate's own disk before the candidate asks other
// witnesses. It follows the rules of Prepare, except that a disk that has accepted no membership may
// promise, too, because a candidate need not be a witness. A backup that has promised accepts no
// more writes of lower epochs. It fails with OldEpoch or LeaseActive.
func (w *Witness) PromiseSelf(now time.Time, epoch uint64, candidate Identity) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if epoch <= w.record.Promised {
		return failure.New(failure.OldEpoch, fmt.Sprintf("epoch %d is promised", w.record.Promised))
	}
	if now.Before(w.leaseEnds) && w.leaseHolder != candidate {
		return failure.New(failure.LeaseActive, "another primary's lease is active")
	}
	record := w.record
	record.Promised = epoch
	return w.save(record)
}

// ObserveEpoch promises the epoch under which a primary writes to this backup, so that the backup
// never again accepts a write of a lower epoch. It fails with OldEpoch when a higher epoch is
// promised.
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

// Sweep reads the stored record again, and writes it to a new file when the file is damaged or
// missing. It returns true when a write was needed, also when that write failed.
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
	w.accepted.Store(&record.Membership)
	// An older file that can't be removed only takes up space.
	_ = w.storage.Remove([]string{recordName(old)})
	return nil
}

func recordName(sequence uint64) string { return fmt.Sprintf("keeper-%020d", sequence) }
