package larder

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/trouble"
)

// OwnDisk tells the steward that a write to the own disk begins or has ended.
//
// Example:
//
//	steward.OwnDisk(true)
//	failure := store.KeepOwn(batch)
//	steward.OwnDisk(failure != nil)
func (steward *Steward) OwnDisk(busy bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if !busy {
		steward.diskBusy = time.Time{}
	} else if steward.diskBusy.IsZero() {
		steward.diskBusy = steward.turns.Now()
	}
}

func (steward *Steward) ownDiskStalls() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return !steward.diskBusy.IsZero() && steward.turns.Now().Sub(steward.diskBusy) > diskPatience
}

// BackupAnswered tells the steward how the last write to the backup ended.
//
// Example:
//
//	steward.BackupAnswered(failure == nil)
func (steward *Steward) BackupAnswered(well bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if well {
		steward.backupFails = time.Time{}
	} else if steward.backupFails.IsZero() {
		steward.backupFails = steward.turns.Now()
	}
}

func (steward *Steward) ensureBackup() {
	charter := steward.Charter()
	steward.mutex.Lock()
	failing := !steward.backupFails.IsZero() && steward.turns.Now().Sub(steward.backupFails) > backupPatience
	restricted := steward.restricted
	steward.mutex.Unlock()
	if !charter.Backup.Empty() && !steward.unsettled && !failing {
		hello, seen := steward.alive(charter.Backup.Identity, backupPatience+steward.beat())
		if seen && hello.Damage == "" && !hello.Restricted {
			if restricted {
				steward.handOver(charter)
			}
			return
		}
	}
	for _, seat := range steward.backupCandidates(charter, failing) {
		snapshot, leading := steward.store.Freeze()
		if !leading {
			return
		}
		steward.unsettled = true
		if failure := steward.whileConfirming(charter, func() error {
			return steward.peers.Install(steward.Address(seat), seat.Identity, snapshot)
		}); failure != nil {
			steward.observe("install_failed", "backup", seat.Name, "cause", failure)
			continue
		}
		won, failure := steward.stand(func(base Charter) (Charter, bool) {
			if base.Primary.Identity != steward.keeper.Seat().Identity {
				return base, false
			}
			base.Primary, base.Backup = steward.keeper.Seat(), seat
			return base, true
		})
		if failure != nil {
			steward.observe("pair_not_granted", "backup", seat.Name, "cause", failure)
			if trouble.KindOf(failure) == trouble.Deposed {
				steward.resign("deposed", won)
			}
			return
		}
		steward.unsettled = false
		steward.BackupAnswered(true)
		steward.store.Thaw(won.Epoch)
		steward.observe("pair_granted", "epoch", won.Epoch, "backup", seat.Name)
		steward.confirm(won)
		return
	}
	if steward.unsettled && steward.keeper.Charter().Primary.Identity == steward.keeper.Seat().Identity {
		// No backup can be had; the epoch is still asked for, so that reads and
		// holds go on from this copy.
		won, failure := steward.stand(func(base Charter) (Charter, bool) {
			if base.Primary.Identity != steward.keeper.Seat().Identity {
				return base, false
			}
			base.Primary = steward.keeper.Seat()
			return base, true
		})
		if trouble.KindOf(failure) == trouble.Deposed {
			steward.resign("deposed", won)
		} else if failure == nil {
			steward.store.Renumber(won.Epoch)
			steward.confirm(won)
		}
	}
}

// whileConfirming does something that may take long, and goes on renewing the
// primary's hold meanwhile.
func (steward *Steward) whileConfirming(charter Charter, act func() error) error {
	var mutex sync.Mutex
	var outcome error
	over := false
	bell := steward.turns.NewBell()
	steward.turns.Go(func() {
		failure := act()
		mutex.Lock()
		outcome, over = failure, true
		mutex.Unlock()
		bell.Ring()
	})
	ended := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return over
	}
	// The act ends by itself, later than any patience of this steward.
	for ends := steward.turns.Now().Add(gatherPatience); !bell.Wait(PrimaryHold/5, ended) && steward.turns.Now().Before(ends); {
		steward.confirm(charter)
	}
	mutex.Lock()
	defer mutex.Unlock()
	if !over {
		return trouble.New(trouble.Unreachable, "the process ends")
	}
	return outcome
}

func (steward *Steward) backupCandidates(charter Charter, failing bool) []Seat {
	var candidates []Seat
	restricted := map[Identity]bool{}
	rank := func(seat Seat) int {
		switch {
		case restricted[seat.Identity]:
			// It lacks an enabled flag. It keeps drawers that it does not read,
			// byte for byte, which is better than no second disk at all.
			return 4
		case seat.Identity == charter.Backup.Identity && failing:
			return 3
		case seat.Identity == charter.Backup.Identity:
			return 0
		case charter.Keeps(seat.Identity):
			return 1
		}
		return 2
	}
	steward.mutex.Lock()
	for _, known := range steward.known {
		hello := known.hello
		if hello.Kind == roster.Expediter && steward.turns.Now().Sub(known.answered) < backupPatience+steward.beat() {
			if hello.Restricted && !charter.Backup.Empty() && !failing && !steward.unsettled {
				// A backup that is there is not exchanged for a restricted one.
				continue
			}
			restricted[hello.Seat.Identity] = hello.Restricted
			candidates = append(candidates, hello.Seat)
		}
	}
	steward.mutex.Unlock()
	sort.Slice(candidates, func(left, right int) bool {
		if rank(candidates[left]) != rank(candidates[right]) {
			return rank(candidates[left]) < rank(candidates[right])
		}
		return candidates[left].Identity < candidates[right].Identity
	})
	return candidates
}

// OldCopies lists the expediters out of the pair whose copies were older than
// the version when they were heard last.
//
// Example:
//
//	for _, seat := range steward.OldCopies(view.Version) { mend(seat) }
func (steward *Steward) OldCopies(version Version) []Seat {
	charter := steward.Charter()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var old []Seat
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		fresh := steward.turns.Now().Sub(known.lastSeen) < applicantFresh && !steward.superseded(known)
		if fresh && known.hello.Kind == roster.Expediter && !charter.InSync(identity) && known.hello.Version.Before(version) {
			old = append(old, known.hello.Seat)
		}
	}
	return old
}

// superseded tells whether another disk was heard at the acquaintance's address
// since: the old one is gone. The caller has the mutex.
func (steward *Steward) superseded(known *acquaintance) bool {
	for _, other := range steward.known {
		if other != known && other.hello.Seat.Address == known.hello.Seat.Address && other.lastSeen.After(known.lastSeen) {
			return true
		}
	}
	return false
}
