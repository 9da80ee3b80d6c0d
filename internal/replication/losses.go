package replication

import "time"

// Bear tells how many machines may be lost at once with all that is on their
// disks, and in which district this one is. With one loss, the default, there
// is one backup and there are three keepers; with more, as many backups as losses,
// and two keepers for each loss and one more, spread over the districts so that a
// whole one may go.
//
// Example:
//
//	steward.Bear(2, "medina")
func (steward *Steward) Bear(losses int, district string) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.borne, steward.district = max(losses, 1), district
}

// SetBackupList tells whether the flag backup_list is enabled: whether every
// recorded member reads charters with more than one backup.
//
// Example:
//
//	steward.SetBackupList(enabled.Has(formats.BackupList))
func (steward *Steward) SetBackupList(enabled bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.backupList = enabled
}

// wanted is how many backups there should be.
func (steward *Steward) wanted() int {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if !steward.backupList {
		return 1
	}
	return steward.borne
}

// recorded is a seat as it may stand in a charter now.
func (steward *Steward) recorded(seat Seat) Seat {
	switch {
	case !steward.several():
		seat.District = ""
	case seat.Identity == steward.keeper.Seat().Identity:
		seat.District = steward.district
	}
	return seat
}

func (steward *Steward) several() bool { return steward.wanted() > 1 }

// quiet tells whether this expediter was greeted by the primary a moment ago, so
// that it need not look around.
func (steward *Steward) quiet() bool {
	if steward.store.Leading() {
		return false
	}
	charter := steward.Charter()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return charter.Primary.Identity != steward.keeper.Seat().Identity && !steward.ledBy.IsZero() &&
		steward.turns.Now().Sub(steward.ledBy) < steward.timing.Round*5/3
}

// rests tells whether this round of hellos is left out: the primary's next one is
// not due yet, or this expediter is quiet and greeted the primary a moment ago.
func (steward *Steward) rests() bool {
	if steward.unsettled {
		return false
	}
	pause := time.Duration(0)
	if steward.store.Leading() {
		pause = steward.timing.Round
	} else if steward.quiet() {
		pause = 2 * steward.timing.Round
	}
	if now := steward.turns.Now(); now.Sub(steward.roundAt) >= pause {
		steward.roundAt = now
		return false
	}
	return true
}

// confirmDue tells whether the primary's hold is to be renewed in this round.
func (steward *Steward) confirmDue() bool {
	return steward.unsettled || steward.turns.Now().Sub(steward.confirmedAt) >= steward.timing.Round
}
