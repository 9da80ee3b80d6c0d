package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// inboundCut reports whether this primary reaches a backup but has received no hello of any
// controller for inboundTimeout. The primary's link has then failed in the inbound direction, so
// that requests of routers do not arrive either.
func (c *Coordinator) inboundCut(membership Membership) bool {
	if membership.Backup.Empty() || c.membershipUnknown {
		return false
	}
	reachesBackup := false
	for _, backup := range membership.Backups() {
		if _, alive := c.alive(backup.Identity, c.timing.MaxHeartbeatGap); alive {
			reachesBackup = true
		}
	}
	if !reachesBackup {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leadsSince.IsZero() {
		c.leadsSince = c.runtime.Now()
	}
	latest := c.helloReceivedAt
	if latest.Before(c.leadsSince) {
		latest = c.leadsSince
	}
	return c.runtime.Now().Sub(latest) > inboundTimeout
}

// transferLeadership makes a backup the primary: when this primary is leaving, is restricted, or
// can't be reached. It pauses commits and gives up its lease before it proposes, because the
// witnesses end that lease as soon as they accept the next membership.
//
// It returns false when no backup can lead; commits then continue. In all other cases it returns
// true, also when the proposal fails: the witnesses may have accepted the membership nevertheless.
func (c *Coordinator) transferLeadership(membership Membership) bool {
	next, found := c.successor(membership)
	if !found {
		return false
	}
	if _, leading := c.store.PauseCommits(); !leading {
		return true
	}
	c.mutex.Lock()
	c.leaseEnds = time.Time{}
	c.mutex.Unlock()
	granted, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != c.witness.Replica().Identity || !hasReplica(base.Backups(), next.Identity) {
			return base, false
		}
		// All replicas stay in sync: the new primary answers no request before each of the others has
		// the same state or has been replaced by one that has.
		return base.WithReplicas(next, base.InSyncExcept(next.Identity)), true
	})
	if err != nil {
		c.membershipUnknown = true
		return true
	}
	clear(c.transferRefused)
	c.stepDown("handed_over", granted)
	if len(granted.InSyncReplicas()) > 1 {
		// A successor that is no witness learns of the membership from this hello.
		c.exchangeHellos()
	}
	return true
}

// successor returns the backup to which leadership is transferred: the first that responds to a hello
// sent now and in which successorFault finds no fault. In a core of two replicas, a transfer to a backup that is
// gone would leave no usable replica.
func (c *Coordinator) successor(membership Membership) (Replica, bool) {
	for _, backup := range membership.Backups() {
		hello, err := c.peers.Hello(c.Address(backup), c.OwnHello())
		if err == nil {
			c.recordHello(hello, true)
			err = successorFault(hello, backup.Identity, len(membership.FurtherBackups) > 0)
		}
		if err == nil {
			return backup, true
		}
		c.refuseTransfer(backup, err)
	}
	return Replica{}, false
}

// successorFault returns the reason why the backup that sent the hello can't lead, or nil. A
// restricted backup is refused only where the membership has other backups.
func successorFault(hello Hello, backup Identity, hasOthers bool) error {
	switch {
	case hello.Replica.Identity != backup:
		return failure.New(failure.NotAdmitted, "another disk responds at the backup's address")
	case hello.Damage != "":
		return failure.New(failure.Damaged, hello.Damage)
	case hello.Leaving:
		return failure.New(failure.Draining, "the backup is also leaving")
	case hasOthers && hello.Restricted:
		return failure.New(failure.Restricted, "the backup lacks an enabled flag")
	}
	return nil
}

// refuseTransfer logs why leadership is not transferred to a backup, unless the last logged reason
// was the same.
func (c *Coordinator) refuseTransfer(backup Replica, err error) {
	code := failure.CodeOf(err)
	if c.transferRefused[backup.Identity] == code {
		return
	}
	c.transferRefused[backup.Identity] = code
	c.observe("leadership_transfer_failed", "backup", backup.Name, "type", code, "cause", err)
}
