package replication

import "time"

// Bear tells how many machines may be lost at once with all that is on their
// disks, and in which zone this one is. With one loss, the default, there
// is one backup and there are three keepers; with more, as many backups as losses,
// and two keepers for each loss and one more, spread over the zones so that a
// whole one may go.
func (c *Coordinator) Bear(losses int, zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.borne, c.zone = max(losses, 1), zone
}

// SetBackupList tells whether the flag backup_list is enabled: whether every
// recorded member reads memberships with more than one backup.
func (c *Coordinator) SetBackupList(enabled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backupList = enabled
}

// wanted is how many backups there should be.
func (c *Coordinator) wanted() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.backupList {
		return 1
	}
	return c.borne
}

// recorded is a seat as it may stand in a membership now.
func (c *Coordinator) recorded(replica Replica) Replica {
	switch {
	case !c.several():
		replica.Zone = ""
	case replica.Identity == c.witness.Replica().Identity:
		replica.Zone = c.zone
	}
	return replica
}

func (c *Coordinator) several() bool { return c.wanted() > 1 }

// quiet tells whether this controller was greeted by the primary a moment ago, so
// that it need not look around.
func (c *Coordinator) quiet() bool {
	if c.store.Leading() {
		return false
	}
	membership := c.Membership()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return membership.Primary.Identity != c.witness.Replica().Identity && !c.ledBy.IsZero() &&
		c.runtime.Now().Sub(c.ledBy) < c.timing.Round*5/3
}

// rests tells whether this round of hellos is left out: the primary's next one is
// not due yet, or this controller is quiet and greeted the primary a moment ago.
func (c *Coordinator) rests() bool {
	if c.unsettled {
		return false
	}
	pause := time.Duration(0)
	if c.store.Leading() {
		pause = c.timing.Round
	} else if c.quiet() {
		pause = 2 * c.timing.Round
	}
	if now := c.runtime.Now(); now.Sub(c.roundAt) >= pause {
		c.roundAt = now
		return false
	}
	return true
}

// confirmDue tells whether the primary's hold is to be renewed in this round.
func (c *Coordinator) confirmDue() bool {
	return c.unsettled || c.runtime.Now().Sub(c.confirmedAt) >= c.timing.Round
}
