package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// bootstrap creates the first membership. Only the first seed does so, only when it has recently
// heard from the other two seeds and all three are blank, and never with joinOnly: two first
// memberships would create two independent cores.
func (c *Coordinator) bootstrap() {
	own := c.witness.Replica()
	c.mutex.Lock()
	seeds, joinOnly := c.seeds, c.joinOnly
	c.mutex.Unlock()
	if joinOnly || len(seeds) != 3 || seeds[0] != own.Address {
		return
	}
	replicas := []Replica{own}
	for _, address := range seeds[1:] {
		replica, blank := c.peerAt(address)
		if !blank {
			return
		}
		replicas = append(replicas, c.withZone(replica))
	}
	membership := Membership{Epoch: 1, Primary: replicas[0], Backup: replicas[1], Witnesses: replicas}
	if _, err := c.witness.Accept(c.runtime.Now(), membership); err != nil {
		c.observe("formation_failed", "cause", err)
		return
	}
	for _, replica := range replicas[1:] {
		_, _ = c.peers.Accept(replica.Address, replica.Identity, membership)
	}
	c.observe("core_formed", "witnesses", replicas)
}

// tickStandby is the Tick of a controller that does not lead. A replica in sync becomes a candidate
// when a quorum of witnesses has no active lease for another primary.
//
// Invariant: only a replica in sync becomes primary, so that the primary has every acknowledged
// change. This is checked in the newest membership that the controller knows, and again in the base
// that the promises of the next epoch reveal. docs/design/replication.md, "How it works".
func (c *Coordinator) tickStandby() {
	m := c.Membership()
	own := c.witness.Replica()
	now := c.runtime.Now()
	if !m.InSync(own.Identity) || c.store.LocalReplica().Damage() != "" || now.Before(c.backoff) {
		return
	}
	if c.followsPrimary() || c.isLeaving() && c.otherCandidateAlive(m, min(responseFreshness, c.timing.MaxHeartbeatGap)) {
		return
	}
	c.mutex.Lock()
	restricted := c.restricted
	c.mutex.Unlock()
	if !c.quorumPermits(m) {
		c.quorumFreeSince = time.Time{}
		return
	}
	if c.defersCandidacy(m) {
		return
	}
	if restricted {
		// A restricted controller takes over only when no other replica in sync can, and transfers
		// leadership as soon as an unrestricted one is in sync.
		c.backoff = now.Add(2 * time.Second)
		if c.otherCandidateAlive(m, peerFreshness) {
			return
		}
	}
	granted, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		if !base.InSync(own.Identity) {
			return base, false
		}
		return base.WithReplicas(c.withZone(own), base.InSyncExcept(own.Identity)), true
	})
	if err != nil {
		// The jitter, which depends on the identity, keeps candidates that collided from colliding
		// again.
		jitter := time.Duration(membership.Weight("backoff", string(own.Identity))%300) * time.Millisecond
		c.backoff = c.runtime.Now().Add(150*time.Millisecond + jitter)
		return
	}
	c.takeOver(granted)
}

// quorumPermits reports whether a quorum of witnesses could vote for this controller now. A witness
// could vote if its controller does not lead and the witness has granted no lease that is still
// active. A lease granted to the disk of this controller does not count, because an earlier process
// on that disk may have been the primary. A candidate asks the witnesses before it proposes, as with
// the pre-vote of Raft (Ongaro's thesis, section 9.6), because a promise of an epoch that is never
// granted keeps witnesses from renewing the primary's lease.
func (c *Coordinator) quorumPermits(m Membership) bool {
	own := c.witness.Replica()
	permitting := map[Identity]bool{}
	permits := func(hello Hello) bool {
		return !hello.Leads && (hello.LeaseLeft == 0 || hello.LeaseHolder == own.Identity)
	}
	gatherWithin(c.runtime, helloTimeout, m.Voters(), func(replica Replica) (Hello, error) {
		if replica.Identity == own.Identity {
			return c.OwnHello(), nil
		}
		hello, err := c.peers.Hello(c.Address(replica), c.OwnHello())
		if err == nil {
			c.recordHello(hello, true)
		}
		return hello, err
	}, func(replica Replica, hello Hello, err error) {
		if err == nil && hello.Replica.Identity == replica.Identity {
			permitting[replica.Identity] = permits(hello)
		}
	}, func() bool { return m.HasQuorum(permitting) })
	for _, replica := range m.Voters() {
		// A late response of a slow witness to the previous round of hellos counts, too.
		if _, responded := permitting[replica.Identity]; !responded {
			if hello, alive := c.alive(replica.Identity, slowResponseFreshness); alive {
				permitting[replica.Identity] = permits(hello)
			}
		}
	}
	return m.HasQuorum(permitting)
}

// takeOver makes this controller lead under the membership that was granted to it. The other replicas
// that were in sync stay in the membership, so that each of them may lead if this disk is lost. The
// store's state can't be read, and nothing is committed, until the membership names only replicas that
// have the same state, and at least one besides this one.
func (c *Coordinator) takeOver(granted Membership) {
	if err := c.store.Lead(granted.Epoch); err != nil {
		c.observe("takeover_failed", "cause", err)
		return
	}
	c.membershipUnknown = true
	c.shortSince = time.Time{}
	c.mutex.Lock()
	c.leadsSince = c.runtime.Now()
	clear(c.unsynced)
	clear(c.installFails)
	c.mutex.Unlock()
	c.observe("became_primary", "epoch", granted.Epoch)
	c.renewLease(granted)
	c.ensureBackups()
}

// otherCandidateAlive reports whether another replica in sync could take over: it responded within
// the given time, lacks no enabled flag, and is undamaged.
func (c *Coordinator) otherCandidateAlive(membership Membership, within time.Duration) bool {
	own := c.witness.Replica().Identity
	for _, replica := range membership.InSyncReplicas() {
		if replica.Identity != own {
			if hello, alive := c.alive(replica.Identity, within); alive && !hello.Restricted && hello.Damage == "" {
				return true
			}
		}
	}
	return false
}

// defersCandidacy reports whether this controller waits for replicas that come earlier in the
// membership to become candidates first. It waits candidateStagger for each of them that could take
// over, because simultaneous candidates would only take promises from each other. With two replicas
// in sync no candidacy is deferred, because only the backup can be a candidate while the primary is
// lost.
func (c *Coordinator) defersCandidacy(membership Membership) bool {
	if len(membership.InSyncReplicas()) < 3 {
		return false
	}
	now := c.runtime.Now()
	if c.quorumFreeSince.IsZero() {
		c.quorumFreeSince = now
	}
	earlier := time.Duration(0)
	for _, replica := range membership.InSyncReplicas() {
		if replica.Identity == c.witness.Replica().Identity {
			break
		}
		if hello, alive := c.alive(replica.Identity, responseFreshness); alive && !hello.Restricted && hello.Damage == "" {
			earlier++
		}
	}
	return now.Sub(c.quorumFreeSince) < earlier*candidateStagger
}
