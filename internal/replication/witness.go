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

// Vote is a witness's response to Prepare, Accept and RenewLease: whether it granted the request, or
// the failure code for which it refused, and the highest epoch and the newest membership on its
// disk, by which the sender catches up.
type Vote struct {
	Witness    Identity     `msgpack:"keeper"`
	Granted    bool         `msgpack:"granted"`
	Refusal    failure.Code `msgpack:"refusal,omitempty"`
	Promised   uint64       `msgpack:"promised"`
	Membership Membership   `msgpack:"charter"`
	// Lease is the length of the lease that was granted. An older release does not send it; its
	// lease is PrimaryLease.
	Lease time.Duration `msgpack:"lease,omitempty"`
}

// Witness is the voter on one controller's disk. Its disk holds the highest epoch that it promised
// and the newest membership that it accepted.
//
// Invariants:
//   - Epoch fencing: it grants nothing for an epoch below the highest promised one, also after a
//     restart, because both are synced before the response.
//   - Lease: while the lease runs that it granted to one primary it promises no epoch to another
//     candidate. Leases are not stored: a witness that starts waits for the longest lease
//     (PrimaryLease), except for the primary of the membership on its disk, which is whom it
//     granted a lease to, since it grants one only under a membership that it has accepted.
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
	// accepted is the newest membership on the disk, for readers that can't wait for the disk.
	accepted atomic.Pointer[Membership]
}

// witnessRecord is what a witness stores; Sequence numbers the files, of which the newest counts.
type witnessRecord struct {
	Identity   Identity   `msgpack:"identity"`
	Sequence   uint64     `msgpack:"sequence"`
	Promised   uint64     `msgpack:"promised"`
	Membership Membership `msgpack:"charter"`
}

// OpenWitness reads a witness from its storage. When there is none, or the newest record is damaged,
// the disk counts as blank: it takes the identity fresh, and the second result is true.
func OpenWitness(now time.Time, storage Storage, replica Replica, fresh Identity) (*Witness, bool, error) {
	files, damaged, err := storage.Load()
	if err != nil {
		return nil, false, err
	}
	witness := &Witness{
		mutex:   &sync.Mutex{},
		storage: storage,
		self:    replica,
		lease:   PrimaryLease,
		// It may have granted a lease just before it stopped.
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
	witness.record = witnessRecord{Identity: fresh, Sequence: uint64(len(names))}
	witness.self.Identity = fresh
	if err := storage.Remove(names); err != nil {
		return nil, true, err
	}
	return witness, true, witness.save(witness.record)
}

// SetLock sets the witness's lock, which is held during writes to the disk. It comes before any other
// use.
func (w *Witness) SetLock(lock sync.Locker) { w.mutex = lock }

// SetLease sets the length of the lease that the witness grants, PrimaryLease at most, because that
// is how long it waits at its start.
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

// AcceptedMembership returns the newest membership that the witness accepted, without waiting for a write
// that is under way: that one's vote has not been sent.
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

// LeaseEnds returns when the lease ends that the witness granted last.
func (w *Witness) LeaseEnds() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaseEnds
}

// LeaseHolder returns the primary that the lease was granted to.
func (w *Witness) LeaseHolder() Identity {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leaseHolder
}

// Prepare promises an epoch to a candidate (phase 1 of Paxos). It refuses with OldEpoch when an equal
// or higher one is promised, with LeaseActive while another primary's lease runs, and with
// NotAdmitted on a blank disk. The error is that of the disk.
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
// promised or another primary's membership of the same epoch is stored, and with NotAdmitted when
// a blank disk is not named in it: by being named a blank disk becomes a witness. The error is that
// of the disk.
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
			// Whoever proposes another primary knows the old lease to be over at a quorum, or
			// had it and gave it up.
			w.leaseHolder, w.leaseEnds = membership.Primary.Identity, time.Time{}
		}
		vote.Granted = true
		vote.Promised = membership.Epoch
		vote.Membership = membership
	}
	return vote, nil
}

// RenewLease grants the primary of the epoch its lease, from now. It refuses with OldEpoch when a
// higher epoch is promised, and with Behind when the membership has not been accepted here: it must
// be sent first, so that the disk tells after a restart whom the lease was granted to.
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

// PromiseSelf promises an epoch on the candidate's own disk before it asks others, by the rules of
// Prepare, whether or not this disk is a witness of the membership. A backup that has promised
// takes no more writes of lower epochs. It fails with OldEpoch or LeaseActive.
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

// ObserveEpoch promises the epoch that a backup is written to under, so that it never again takes a
// write of a lower one. It fails with OldEpoch when a higher one is promised.
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

// Sweep reads the stored record again, and writes it anew when the file is damaged or gone; it
// reports whether it did.
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
	// An older file that stays only takes space.
	_ = w.storage.Remove([]string{recordName(old)})
	return nil
}

func recordName(sequence uint64) string { return fmt.Sprintf("keeper-%020d", sequence) }
