package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// HasLease reports whether this controller is primary at this moment: its own lease runs. It is
// called last before each response, after all waiting: whoever was frozen meanwhile finds its
// lease over. docs/design/control-safety.md, point 1.
func (c *Coordinator) HasLease() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runtime.Now().Before(c.leaseEnds) && c.store.View() != nil
}

// renewalDue reports whether the primary's lease is to be renewed in this round.
func (c *Coordinator) renewalDue() bool {
	return c.membershipUnknown || c.runtime.Now().Sub(c.renewedAt) >= c.timing.HeartbeatInterval
}

// renewLease renews the primary's own lease from a quorum of witnesses, and reports whether it did.
//
// Invariant: the primary's lease ends before any lease that it depends on does at a witness. It
// counts from the moment at which the first request was sent, lasts as long as the shortest lease
// among the witnesses that granted it, and ends leaseDrift earlier, for clocks that run at
// different speeds. Whoever is elected needs promises of a quorum, which intersects the one that
// renewed, and no witness promises an epoch to another candidate while its lease runs: two
// primaries never have a lease at once.
// docs/design/control-safety.md, point 1.
func (c *Coordinator) renewLease(membership Membership) bool {
	own := c.witness.Replica()
	sentAt := c.runtime.Now()
	c.mutex.Lock()
	c.renewalSentAt = sentAt
	c.mutex.Unlock()
	granted := map[Identity]bool{}
	lease := c.timing.Lease
	var newer Membership
	outdated := false
	gather(c.runtime, membership.Voters(), func(replica Replica) (Vote, error) {
		return c.requestRenewal(replica, membership, sentAt)
	}, func(replica Replica, vote Vote, err error) {
		if err != nil {
			return
		}
		granted[replica.Identity] = vote.Granted
		if vote.Granted && vote.Lease > 0 {
			lease = min(lease, vote.Lease)
		}
		outdated = outdated || vote.Refusal == failure.OldEpoch
		c.highestEpoch = max(c.highestEpoch, vote.Promised)
		if vote.Membership.Epoch > newer.Epoch {
			newer = vote.Membership
		}
	}, func() bool { return membership.HasQuorum(granted) })
	if refused := c.highestRefusedEpoch(); refused > membership.Epoch {
		outdated = true
		c.highestEpoch = max(c.highestEpoch, refused)
	}
	if newer.Epoch > membership.Epoch && newer.Primary.Identity != own.Identity {
		c.stepDown("deposed", newer)
		return false
	}
	if !membership.HasQuorum(granted) {
		if outdated {
			// Witnesses promised an epoch that was not granted, perhaps to this controller
			// itself: the membership has to be proposed again.
			c.membershipUnknown = true
		}
		return false
	}
	c.higherPromiseSeen = outdated
	c.renewedAt = sentAt
	c.mutex.Lock()
	c.leaseEnds = sentAt.Add(lease - leaseDrift)
	c.mutex.Unlock()
	return true
}

// requestRenewal asks one witness, which may be the own one, to renew the lease. A witness that
// has not accepted the membership yet is sent it first.
func (c *Coordinator) requestRenewal(replica Replica, membership Membership, sentAt time.Time) (Vote, error) {
	own := c.witness.Replica()
	if replica.Identity == own.Identity {
		vote := c.witness.RenewLease(sentAt, membership.Epoch, own.Identity)
		c.recordRefusal(vote)
		return vote, nil
	}
	vote, err := c.peers.RenewLease(c.Address(replica), replica.Identity, membership.Epoch, own.Identity)
	if err == nil {
		c.recordRefusal(vote)
	}
	if err == nil && vote.Membership.Epoch < membership.Epoch && vote.Refusal != failure.OldEpoch {
		// It was away when the membership was granted.
		if _, err := c.peers.Accept(c.Address(replica), replica.Identity, membership); err == nil {
			return c.peers.RenewLease(c.Address(replica), replica.Identity, membership.Epoch, own.Identity)
		}
	}
	return vote, err
}

// recordRefusal records that a witness promised a higher epoch and renews no lower one. It is
// recorded as the response arrives, because in each round a quorum may respond before it does.
func (c *Coordinator) recordRefusal(vote Vote) {
	if vote.Refusal != failure.OldEpoch {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.highestRefused = max(c.highestRefused, vote.Promised)
}

func (c *Coordinator) highestRefusedEpoch() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.highestRefused
}

// reproposeMembership has the same membership granted under a higher epoch, when a witness promised
// an epoch that nobody was granted and so cannot renew the present one.
func (c *Coordinator) reproposeMembership(membership Membership) {
	c.higherPromiseSeen = false
	won, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		return base, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		c.observe("membership_not_renewed", "cause", err)
		c.membershipUnknown = true
		return
	}
	c.store.ResumeCommits(won.Epoch)
	c.renewLease(won)
}

// stepDown ends the own lease and the leadership; newer is the membership that deposed it.
func (c *Coordinator) stepDown(cause string, newer Membership) {
	c.mutex.Lock()
	c.leaseEnds = time.Time{}
	if newer.Epoch > c.membership.Epoch {
		c.membership = newer
	}
	c.mutex.Unlock()
	c.store.StepDown()
	c.observe("stepped_down", "cause", cause, "epoch", newer.Epoch)
}

// reachesQuorum reports whether a quorum of witnesses responded to a hello a moment ago. A primary
// whose last renewal failed sends no other until they do: its requests may arrive though the
// responses do not, and would renew a lease at the witnesses that it does not know it has.
func (c *Coordinator) reachesQuorum(membership Membership) bool {
	responded := map[Identity]bool{c.witness.Replica().Identity: true}
	for _, replica := range membership.Voters() {
		if _, alive := c.alive(replica.Identity, responseFreshness); alive {
			responded[replica.Identity] = true
		}
	}
	return membership.HasQuorum(responded)
}

// receivesNothing reports whether this primary has lost its lease and receives nothing. Its own
// messages may still arrive: the witnesses would go on renewing a lease that it knows nothing of,
// and the backup could never take over. So it sends a renewal only once in a lease and
// silentMargin.
func (c *Coordinator) receivesNothing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.runtime.Now()
	lost := !c.leaseEnds.IsZero() && now.Sub(c.leaseEnds) > 2*leaseDrift
	return lost && now.Sub(c.helloReceivedAt) > c.timing.MaxHeartbeatGap && now.Sub(c.renewalSentAt) < c.timing.Lease+silentMargin
}
