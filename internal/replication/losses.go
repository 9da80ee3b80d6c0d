package replication

import "time"

// Bear tells how many machines may be lost at once with all that is on their
// disks, and in which district this one is. With one loss, the default, there
// is one backup and there are three keepers; with more, as many backups as losses,
// and two keepers for each loss and one more, spread over the districts so that a
// whole one may go.
func (coordinator *Coordinator) Bear(losses int, zone string) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.borne, coordinator.zone = max(losses, 1), zone
}

// SetBackupList tells whether the flag backup_list is enabled: whether every
// recorded member reads charters with more than one backup.
func (coordinator *Coordinator) SetBackupList(enabled bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.backupList = enabled
}

// wanted is how many backups there should be.
func (coordinator *Coordinator) wanted() int {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if !coordinator.backupList {
		return 1
	}
	return coordinator.borne
}

// recorded is a seat as it may stand in a charter now.
func (coordinator *Coordinator) recorded(replica Replica) Replica {
	switch {
	case !coordinator.several():
		replica.Zone = ""
	case replica.Identity == coordinator.witness.Replica().Identity:
		replica.Zone = coordinator.zone
	}
	return replica
}

func (coordinator *Coordinator) several() bool { return coordinator.wanted() > 1 }

// quiet tells whether this expediter was greeted by the primary a moment ago, so
// that it need not look around.
func (coordinator *Coordinator) quiet() bool {
	if coordinator.store.Leading() {
		return false
	}
	membership := coordinator.Membership()
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return membership.Primary.Identity != coordinator.witness.Replica().Identity && !coordinator.ledBy.IsZero() &&
		coordinator.runtime.Now().Sub(coordinator.ledBy) < coordinator.timing.Round*5/3
}

// rests tells whether this round of hellos is left out: the primary's next one is
// not due yet, or this expediter is quiet and greeted the primary a moment ago.
func (coordinator *Coordinator) rests() bool {
	if coordinator.unsettled {
		return false
	}
	pause := time.Duration(0)
	if coordinator.store.Leading() {
		pause = coordinator.timing.Round
	} else if coordinator.quiet() {
		pause = 2 * coordinator.timing.Round
	}
	if now := coordinator.runtime.Now(); now.Sub(coordinator.roundAt) >= pause {
		coordinator.roundAt = now
		return false
	}
	return true
}

// confirmDue tells whether the primary's hold is to be renewed in this round.
func (coordinator *Coordinator) confirmDue() bool {
	return coordinator.unsettled || coordinator.runtime.Now().Sub(coordinator.confirmedAt) >= coordinator.timing.Round
}
