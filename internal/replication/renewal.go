package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// HasLease reports whether this controller may answer as primary at this moment: its own lease is
// active, the store leads, and its state may be read (see Store.Lead). HasLease is checked last
// before each response, after all waiting, so that a process that was frozen meanwhile finds its lease
// expired. docs/design/control-safety.md, point 1.
func (c *Coordinator) HasLease() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runtime.Now().Before(c.leaseEnds) && c.store.View() != nil
}

// renewalDue reports whether this tick has to renew the primary's lease.
func (c *Coordinator) renewalDue() bool {
	return c.membershipUnknown || c.runtime.Now().Sub(c.renewedAt) >= c.timing.HeartbeatInterval
}

// renewLease renews the primary's own lease with a quorum of witnesses, and reports whether it
// succeeded.
//
// Invariant: the primary's lease ends before the witnesses' leases on which it depends. It starts
// when the first request is sent, lasts as long as the shortest lease among the witnesses that
// granted it, and ends leaseDrift earlier, for clocks that run at different speeds. A new primary
// needs promises of a quorum, which intersects the quorum that renewed, and no witness promises an
// epoch to another candidate while its lease is active: two primaries never have a lease at once.
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
	higherPromise := false
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
		higherPromise = higherPromise || vote.Refusal == failure.OldEpoch
		c.highestEpoch = max(c.highestEpoch, vote.Promised)
		if vote.Membership.Epoch > newer.Epoch {
			newer = vote.Membership
		}
	}, func() bool { return membership.HasQuorum(granted) })
	if refused := c.highestRefusedEpoch(); refused > membership.Epoch {
		higherPromise = true
		c.highestEpoch = max(c.highestEpoch, refused)
	}
	if newer.Epoch > membership.Epoch && newer.Primary.Identity != own.Identity {
		c.stepDown("deposed", newer)
		return false
	}
	if !membership.HasQuorum(granted) {
		if higherPromise {
			// Witnesses have promised a higher epoch under which no membership was granted. They may
			// have promised it to this controller, in a proposal that failed. They renew the lease only
			// once the membership has been proposed again under an epoch higher still.
			c.membershipUnknown = true
		}
		return false
	}
	c.higherPromiseSeen = higherPromise
	c.renewedAt = sentAt
	c.mutex.Lock()
	c.leaseEnds = sentAt.Add(lease - leaseDrift)
	c.mutex.Unlock()
	return true
}

// requestRenewal asks one witness, which may be the local one, to renew the lease. A witness that
// has not accepted the membership yet is sent the membership first.
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
		// The witness missed the grant of the membership.
		if _, err := c.peers.Accept(c.Address(replica), replica.Identity, membership); err == nil {
			return c.peers.RenewLease(c.Address(replica), replica.Identity, membership.Epoch, own.Identity)
		}
	}
	return vote, err
}

// recordRefusal records that a witness refused to renew the lease because it promised a higher
// epoch. It is called as each response arrives, because renewLease stops handling responses as
// soon as a quorum has responded.
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

// reproposeMembership proposes the same membership under a higher epoch. It is called when a witness
// promised an epoch that was never granted: such a witness refuses to renew a lease of the present,
// lower epoch.
func (c *Coordinator) reproposeMembership(membership Membership) {
	c.higherPromiseSeen = false
	granted, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		return base, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		c.observe("membership_not_renewed", "cause", err)
		c.membershipUnknown = true
		return
	}
	c.store.ResumeCommits(granted.Epoch)
	c.renewLease(granted)
}

// stepDown ends the lease and the leadership of this controller; newer is the membership that
// replaces its own.
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

// reachesQuorum reports whether a quorum of witnesses has responded to a hello within
// responseFreshness. A primary whose last renewal failed sends no further renewal until a quorum has
// responded: its requests may arrive although the responses do not, and the witnesses would then
// renew a lease without the primary learning of it.
func (c *Coordinator) reachesQuorum(membership Membership) bool {
	responded := map[Identity]bool{c.witness.Replica().Identity: true}
	for _, replica := range membership.Voters() {
		if _, alive := c.alive(replica.Identity, responseFreshness); alive {
			responded[replica.Identity] = true
		}
	}
	return membership.HasQuorum(responded)
}

// receivesNothing reports whether this primary lost its lease more than 2*leaseDrift ago, has received
// no hello for Timing.MaxHeartbeatGap, and has sent a renewal within the last Timing.Lease plus
// silentMargin. The messages of such a primary may still arrive: if it sent renewals at the usual rate,
// the witnesses would keep renewing a lease without the primary learning of it, and the backup could
// never take over.
func (c *Coordinator) receivesNothing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.runtime.Now()
	lost := !c.leaseEnds.IsZero() && now.Sub(c.leaseEnds) > 2*leaseDrift
	return lost && now.Sub(c.helloReceivedAt) > c.timing.MaxHeartbeatGap && now.Sub(c.renewalSentAt) < c.timing.Lease+silentMargin
}
