package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// form begins the first core: only from the first seed, only when all three seeds
// are blank, and never where there is said to be a core already.
func (c *Coordinator) bootstrap() {
	own := c.witness.Replica()
	c.mutex.Lock()
	seeds, joinsOnly := c.seeds, c.joinOnly
	c.mutex.Unlock()
	if joinsOnly || len(seeds) != 3 || seeds[0] != own.Address {
		return
	}
	replicas := []Replica{own}
	for _, address := range seeds[1:] {
		replica, blank := c.applicantAt(address)
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
	c.observe("core_formed", "keepers", replicas)
}

// watch is what a copy in sync does while another is primary, or none is.
func (c *Coordinator) tickStandby() {
	m := c.Membership()
	own := c.witness.Replica()
	now := c.runtime.Now()
	if !m.InSync(own.Identity) || c.store.LocalReplica().Damage() != "" || now.Before(c.backoff) {
		return
	}
	if c.followsPrimary() || c.isLeaving() && c.otherCandidateAlive(m) {
		return
	}
	// A candidate that nobody can elect yet would only disturb the primary, so
	// it asks first whether a quorum has no hold running, or one of its own former life.
	free := map[Identity]bool{}
	c.mutex.Lock()
	restricted := c.restricted
	c.mutex.Unlock()
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
			free[replica.Identity] = permits(hello)
		}
	}, func() bool { return m.HasQuorum(free) })
	for _, replica := range m.Voters() {
		// One that is slow has told it in the round before.
		if _, responded := free[replica.Identity]; !responded {
			if hello, alive := c.alive(replica.Identity, slowResponseFreshness); alive {
				free[replica.Identity] = permits(hello)
			}
		}
	}
	if !m.HasQuorum(free) {
		c.quorumFreeSince = time.Time{}
		return
	}
	if c.defersCandidacy(m) {
		return
	}
	if restricted {
		// It takes over only when the other copy in sync cannot, and then hands
		// over as soon as a capable controller is in sync.
		c.backoff = now.Add(2 * time.Second)
		if c.otherCandidateAlive(m) {
			return
		}
	}
	won, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		if !base.InSync(own.Identity) {
			return base, false
		}
		return base.WithReplicas(c.withZone(own), c.backupsAfterTakeover(base)), true
	})
	if err != nil {
		// Two candidates part by different patience.
		spread := time.Duration(membership.Weight("backoff", string(own.Identity))%300) * time.Millisecond
		c.backoff = c.runtime.Now().Add(150*time.Millisecond + spread)
		return
	}
	lead := c.store.Lead
	if !won.Backup.Empty() {
		lead = c.store.LeadHidden
	}
	if err := lead(won.Epoch); err != nil {
		c.observe("lead_failed", "cause", err)
		return
	}
	c.membershipUnknown = c.store.Hidden()
	c.shortSince = time.Time{}
	c.mutex.Lock()
	c.leadsSince = c.runtime.Now()
	clear(c.backupFails)
	clear(c.installFails)
	c.mutex.Unlock()
	c.observe("became_primary", "epoch", won.Epoch)
	c.renewLease(won)
	c.ensureBackups()
}

// remaining are the copies that stay in sync beside a new primary. Of a pair none
// does: the new primary is alone until it has another, and shows what it has. Of
// more all do, since a second loss must find them: nothing is shown until they are
// the same. So does the old primary of a pair that handed over and is still there.
func (c *Coordinator) backupsAfterTakeover(membership Membership) []Replica {
	if len(membership.InSyncReplicas()) < 3 {
		if _, alive := c.alive(membership.Backup.Identity, responseFreshness); alive && membership.Primary.Identity == c.witness.Replica().Identity {
			return membership.Backups()
		}
		return nil
	}
	var others []Replica
	for _, replica := range append(membership.Backups(), membership.Primary) {
		if replica.Identity != c.witness.Replica().Identity {
			others = append(others, replica)
		}
	}
	return others
}

// defersCandidacy tells whether a copy in sync that goes before this one has been
// heard a moment ago and has its turn to stand: several candidates at once would
// only take promises from each other.
func (c *Coordinator) defersCandidacy(membership Membership) bool {
	if len(membership.InSyncReplicas()) < 3 {
		return false
	}
	now := c.runtime.Now()
	if c.quorumFreeSince.IsZero() {
		c.quorumFreeSince = now
	}
	before := time.Duration(0)
	for _, replica := range membership.InSyncReplicas() {
		if replica.Identity == c.witness.Replica().Identity {
			break
		}
		if hello, alive := c.alive(replica.Identity, responseFreshness); alive && !hello.Restricted && hello.Damage == "" {
			before++
		}
	}
	return now.Sub(c.quorumFreeSince) < before*candidateStagger
}

// otherCandidateAlive tells whether the other copy in sync can take over: its node is
// there, lacks no flag, and its copy is whole.
func (c *Coordinator) otherCandidateAlive(membership Membership) bool {
	own := c.witness.Replica().Identity
	for _, replica := range membership.InSyncReplicas() {
		if replica.Identity != own {
			if hello, alive := c.alive(replica.Identity, applicantFreshness); alive && !hello.Restricted && hello.Damage == "" {
				return true
			}
		}
	}
	return false
}

// elect asks for the next epoch: first for promises, by which the newest
// membership is found, then for acceptance of the membership made from it.
func (c *Coordinator) proposeMembership(alter func(base Membership) (Membership, bool)) (Membership, error) {
	base := c.witness.Membership()
	if newest := c.Membership(); newest.Epoch > base.Epoch {
		base = newest
	}
	own := c.witness.Replica().Identity
	p := newProposal(own, max(base.Epoch, c.witness.Promised(), c.highestEpoch)+1, base)
	if err := c.store.PromiseEpoch(c.runtime.Now(), p.epoch, own); err != nil {
		return base, err
	}
	for {
		replicas := p.unpolledWitnesses()
		if len(replicas) == 0 {
			break
		}
		c.preparePhase(p, replicas)
		c.highestEpoch = max(c.highestEpoch, p.highestSeen)
		if !p.hasPromiseQuorum() {
			return p.newest, failure.New(failure.NoPrimary, "no quorum of keepers promised the epoch")
		}
		if !p.rebase() {
			break
		}
	}
	if err := p.choose(alter); err != nil {
		return p.base, err
	}
	c.acceptPhase(p)
	c.highestEpoch = max(c.highestEpoch, p.highestSeen)
	if !p.hasAcceptQuorum() {
		return p.base, failure.New(failure.Unknown, "no quorum of keepers accepted the charter")
	}
	c.mutex.Lock()
	c.membership = p.next
	c.mutex.Unlock()
	return p.next, nil
}

// preparePhase asks witnesses for their promise until a majority has given it.
func (c *Coordinator) preparePhase(p *proposal, replicas []Replica) {
	current := p.base
	gather(c.runtime, replicas, func(replica Replica) (Vote, error) {
		if replica.Identity == p.candidate {
			// The vow has promised this epoch on the own disk already.
			return Vote{Witness: replica.Identity, Granted: true, Membership: c.witness.Membership()}, nil
		}
		promise, err := c.peers.Prepare(c.Address(replica), replica.Identity, p.epoch, p.candidate)
		if err == nil && promise.Refusal == failure.NotAdmitted && current.HasVoter(replica.Identity) {
			// It was named a keeper and has not heard of it.
			if _, err := c.peers.Accept(c.Address(replica), replica.Identity, current); err == nil {
				return c.peers.Prepare(c.Address(replica), replica.Identity, p.epoch, p.candidate)
			}
		}
		return promise, err
	}, func(replica Replica, vote Vote, err error) {
		if err == nil {
			p.recordPromise(replica.Identity, vote)
		}
	}, p.hasPromiseQuorum)
}

// acceptPhase has the proposed membership accepted, until majorities have done so.
func (c *Coordinator) acceptPhase(p *proposal) {
	gather(c.runtime, p.acceptors(), func(replica Replica) (Vote, error) {
		if replica.Identity == p.candidate {
			return c.witness.Accept(c.runtime.Now(), p.next)
		}
		return c.peers.Accept(c.Address(replica), replica.Identity, p.next)
	}, func(replica Replica, vote Vote, err error) {
		if err == nil {
			p.recordAcceptance(replica.Identity, vote)
		}
	}, p.hasAcceptQuorum)
}

// confirm renews the primary's own hold from a quorum of keepers.
func (c *Coordinator) renewLease(membership Membership) bool {
	own := c.witness.Replica()
	sentAt := c.runtime.Now()
	c.mutex.Lock()
	c.renewalSentAt = sentAt
	c.mutex.Unlock()
	confirmed := map[Identity]bool{}
	lease := c.timing.Lease
	var newer Membership
	outdated := false
	gather(c.runtime, membership.Voters(), func(replica Replica) (Vote, error) {
		if replica.Identity == own.Identity {
			vote := c.witness.RenewLease(sentAt, membership.Epoch, own.Identity)
			c.recordRefusal(vote)
			return vote, nil
		}
		promise, err := c.peers.RenewLease(c.Address(replica), replica.Identity, membership.Epoch, own.Identity)
		if err == nil {
			c.recordRefusal(promise)
		}
		if err == nil && promise.Membership.Epoch < membership.Epoch && promise.Refusal != failure.OldEpoch {
			// It was away when the membership was granted.
			if _, err := c.peers.Accept(c.Address(replica), replica.Identity, membership); err == nil {
				return c.peers.RenewLease(c.Address(replica), replica.Identity, membership.Epoch, own.Identity)
			}
		}
		return promise, err
	}, func(replica Replica, promise Vote, err error) {
		if err != nil {
			return
		}
		confirmed[replica.Identity] = promise.Granted
		if promise.Granted && promise.Lease > 0 {
			lease = min(lease, promise.Lease)
		}
		outdated = outdated || promise.Refusal == failure.OldEpoch
		c.highestEpoch = max(c.highestEpoch, promise.Promised)
		if promise.Membership.Epoch > newer.Epoch {
			newer = promise.Membership
		}
	}, func() bool { return membership.HasQuorum(confirmed) })
	if refused := c.highestRefusedEpoch(); refused > membership.Epoch {
		outdated = true
		c.highestEpoch = max(c.highestEpoch, refused)
	}
	if newer.Epoch > membership.Epoch && newer.Primary.Identity != own.Identity {
		c.stepDown("deposed", newer)
		return false
	}
	if !membership.HasQuorum(confirmed) {
		if outdated {
			// An epoch was promised and not used, perhaps to this steward
			// itself: the membership is asked for anew.
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

// recordRefusal notes that a keeper has promised an epoch and confirms no lower one. It
// is noted as the answer comes, since a quorum may be there before it in each round.
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

// reaches tells whether a quorum of keepers has answered a hello a moment ago. A primary
// whose last question was not confirmed asks no more until they do: what it asks may
// arrive though the answers do not.
func (c *Coordinator) reachesQuorum(membership Membership) bool {
	r := map[Identity]bool{c.witness.Replica().Identity: true}
	for _, replica := range membership.Voters() {
		if _, alive := c.alive(replica.Identity, responseFreshness); alive {
			r[replica.Identity] = true
		}
	}
	return membership.HasQuorum(r)
}

// regrant asks for the same membership under a higher epoch, when a keeper has
// promised one that nobody was granted and so can't confirm the present one.
func (c *Coordinator) reproposeMembership(membership Membership) {
	c.higherPromiseSeen = false
	won, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		return base, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		c.observe("not_regranted", "cause", err)
		c.membershipUnknown = true
		return
	}
	c.store.ResumeCommits(won.Epoch)
	c.renewLease(won)
}

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

// deaf tells whether this primary has lost its hold and hears from nobody. It may
// still be heard itself: its keepers would go on renewing a hold that it knows nothing
// of, and the backup could never take over. So it keeps silent for most of the time.
func (c *Coordinator) receivesNothing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.runtime.Now()
	lost := !c.leaseEnds.IsZero() && now.Sub(c.leaseEnds) > 2*leaseDrift
	return lost && now.Sub(c.helloReceivedAt) > c.timing.MaxHeartbeatGap && now.Sub(c.renewalSentAt) < c.timing.Lease+silentMargin
}

// inboundCut tells whether this primary reaches its backup while no controller
// reaches it: its link has failed in one direction, and nodes that ask it are
// not heard either.
func (c *Coordinator) inboundCut(membership Membership) bool {
	if membership.Backup.Empty() || c.membershipUnknown {
		return false
	}
	r := false
	for _, backup := range membership.Backups() {
		if _, alive := c.alive(backup.Identity, c.timing.MaxHeartbeatGap); alive {
			r = true
		}
	}
	if !r {
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

// transferLeadership makes the backup primary and stays in sync beside it: what a
// primary does that lacks an enabled flag.
func (c *Coordinator) transferLeadership(membership Membership) {
	next, found := c.successor(membership)
	if !found {
		return
	}
	if _, leading := c.store.PauseCommits(); !leading {
		return
	}
	// The keepers let go of this primary's hold when they accept the next, so
	// it stops answering first.
	c.mutex.Lock()
	c.leaseEnds = time.Time{}
	c.mutex.Unlock()
	won, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != c.witness.Replica().Identity || !hasReplica(base.Backups(), next.Identity) {
			return base, false
		}
		var others []Replica
		if len(base.InSyncReplicas()) > 2 || c.isLeaving() {
			// All stay in sync: the successor answers nothing before they are the same.
			// One that leaves counts until another has its place.
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
		// The successor may be no keeper, and hears of it in this way.
		c.exchangeHellos()
	}
}

// successor is the backup to hand over to. One that has gone would take a copy in
// sync with it, the only other one of a pair.
func (c *Coordinator) successor(membership Membership) (Replica, bool) {
	for _, backup := range membership.Backups() {
		hello, err := c.peers.Hello(c.Address(backup), c.OwnHello())
		if err == nil && hello.Replica.Identity == backup.Identity && hello.Damage == "" && !hello.Leaving && !(len(membership.Further) > 0 && hello.Restricted) {
			return backup, true
		}
		c.observe("not_handed_over", "backup", backup.Name, "cause", err)
	}
	return Replica{}, false
}
