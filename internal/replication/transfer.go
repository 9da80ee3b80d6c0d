package replication

import "time"

// Leave begins the end of this controller: it transfers its leadership, its copy and its witness's
// seat to others, and stands as a candidate only while no other can. The primary is told at once.
// docs/design/control-safety.md, point 3.
func (c *Coordinator) Leave() {
	c.mutex.Lock()
	c.leaving = true
	c.mutex.Unlock()
	primary := c.Membership().Primary
	if primary.Empty() || primary.Identity == c.witness.Replica().Identity {
		return
	}
	if hello, err := c.peers.Hello(c.Address(primary), c.OwnHello()); err == nil {
		c.recordHello(hello, true)
	}
}

func (c *Coordinator) isLeaving() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaving
}

// ReadyToStop reports whether nothing depends on this controller any more: it does not lead, no
// membership counts its copy, and another has its witness's seat, or none came to take it within
// witnessHandoverTimeout.
func (c *Coordinator) ReadyToStop() bool {
	own, membership := c.witness.Replica().Identity, c.Membership()
	if c.store.Leading() || membership.InSync(own) {
		return false
	}
	if !membership.HasVoter(own) {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.outOfSyncSince.IsZero() {
		c.outOfSyncSince = c.runtime.Now()
	}
	return len(membership.Incoming) == 0 && c.runtime.Now().Sub(c.outOfSyncSince) >= witnessHandoverTimeout
}

// inboundCut reports whether this primary reaches a backup while no controller has reached it for
// inboundTimeout: its link has failed in one direction, and requests of routers do not arrive
// either.
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

// transferLeadership makes a backup the primary: when this primary leaves, is restricted, or is not
// reached. It freezes the store and gives up its lease before it proposes, because witnesses end
// its lease as soon as they accept the next membership.
func (c *Coordinator) transferLeadership(membership Membership) {
	next, found := c.successor(membership)
	if !found {
		return
	}
	if _, leading := c.store.PauseCommits(); !leading {
		return
	}
	c.mutex.Lock()
	c.leaseEnds = time.Time{}
	c.mutex.Unlock()
	won, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != c.witness.Replica().Identity || !hasReplica(base.Backups(), next.Identity) {
			return base, false
		}
		var others []Replica
		if len(base.InSyncReplicas()) > 2 || c.isLeaving() {
			// All stay in sync: the successor responds to nothing before they are the same.
			// A leaving replica counts until another has its place.
			for _, replica := range append(base.Backups(), base.Primary) {
				if replica.Identity != next.Identity {
					others = append(others, replica)
				}
			}
		}
		return base.WithReplicas(next, others), true
	})
	if err != nil {
		c.membershipUnknown = true
		return
	}
	c.stepDown("handed_over", won)
	if len(won.InSyncReplicas()) > 1 {
		// The successor may be no witness, and learns of the membership by the hello.
		c.exchangeHellos()
	}
}

// successor returns the backup to transfer leadership to: one that responds right now, is complete
// and does not leave. A backup that is gone would take with it the only other replica of a pair.
func (c *Coordinator) successor(membership Membership) (Replica, bool) {
	for _, backup := range membership.Backups() {
		hello, err := c.peers.Hello(c.Address(backup), c.OwnHello())
		able := err == nil && hello.Replica.Identity == backup.Identity && hello.Damage == "" && !hello.Leaving
		if able && !(len(membership.Further) > 0 && hello.Restricted) {
			return backup, true
		}
		c.observe("leadership_transfer_failed", "backup", backup.Name, "cause", err)
	}
	return Replica{}, false
}
