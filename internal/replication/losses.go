package replication

import "time"

// SetTolerance tells how many machines may be lost at once with all that is on their
// disks, and in which zone this one is. With one loss, the default, there
// is one backup and there are three keepers; with more, as many backups as losses,
// and two keepers for each loss and one more, spread over the zones so that a
// whole one may go.
func (c *Coordinator) SetTolerance(losses int, zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lossesTolerated, c.zone = max(losses, 1), zone
}

// SetBackupList tells whether the flag backup_list is enabled: whether every
// recorded member reads memberships with more than one backup.
func (c *Coordinator) SetBackupList(enabled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backupList = enabled
}

// wanted is how many backups there should be.
func (c *Coordinator) wantedBackups() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.backupList {
		return 1
	}
	return c.lossesTolerated
}

// recorded is a seat as it may stand in a membership now.
func (c *Coordinator) withZone(replica Replica) Replica {
	switch {
	case !c.toleratesSeveral():
		replica.Zone = ""
	case replica.Identity == c.witness.Replica().Identity:
		replica.Zone = c.zone
	}
	return replica
}

func (c *Coordinator) toleratesSeveral() bool { return c.wantedBackups() > 1 }

// quiet tells whether this controller was greeted by the primary a moment ago, so
// that it need not look around.
func (c *Coordinator) followsPrimary() bool {
	if c.store.Leading() {
		return false
	}
	membership := c.Membership()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return membership.Primary.Identity != c.witness.Replica().Identity && !c.primaryHelloAt.IsZero() &&
		c.runtime.Now().Sub(c.primaryHelloAt) < c.timing.HeartbeatInterval*5/3
}

// rests tells whether this round of hellos is left out: the primary's next one is
// not due yet, or this controller is quiet and greeted the primary a moment ago.
func (c *Coordinator) skipsRound() bool {
	if c.membershipUnknown {
		return false
	}
	interval := time.Duration(0)
	if c.store.Leading() {
		interval = c.timing.HeartbeatInterval
	} else if c.followsPrimary() {
		interval = 2 * c.timing.HeartbeatInterval
	}
	if now := c.runtime.Now(); now.Sub(c.roundStartedAt) >= interval {
		c.roundStartedAt = now
		return false
	}
	return true
}

// renewalDue tells whether the primary's hold is to be renewed in this round.
func (c *Coordinator) renewalDue() bool {
	return c.membershipUnknown || c.runtime.Now().Sub(c.renewedAt) >= c.timing.HeartbeatInterval
}
