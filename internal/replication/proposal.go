package replication

import "seamloom.example/seamloom/internal/failure"

// proposal is the attempt of one candidate to change the membership. The membership is a single
// register that is changed by two-phase consensus as in Paxos (Lamport, "Paxos Made Simple",
// section 2.2), with the epoch as proposal number: witnesses promise the epoch and report the
// newest membership that they accepted, then accept the membership that is derived from it. A
// proposal only holds the state and the rules: Coordinator sends the requests, and the exploration
// in exploredcore_test.go calls the proposal directly.
//
// Invariant: each granted membership is derived from its base, the membership granted before. To be
// granted, a membership needs promises of a majority of the base's witnesses, and acceptances of
// majorities both of the base's witnesses and of its own witnesses. Majorities of the same set
// intersect, so that some witness that promised had accepted the previous membership and
// reported it. A promise refuses lower epochs (epoch fencing), so that no older proposal is
// granted afterwards. See docs/design/control-safety.md, point 3.
type proposal struct {
	candidate Identity
	epoch     uint64
	// base is the membership to be changed; newest is the newest membership that a witness reported.
	base, newest Membership
	polled       map[Identity]bool
	promised     map[Identity]bool
	accepted     map[Identity]bool
	// highestSeen is the highest epoch that any witness reported as promised.
	highestSeen uint64
	// next is the membership to propose, which choose derives from base.
	next Membership
}

func newProposal(candidate Identity, epoch uint64, base Membership) *proposal {
	return &proposal{
		candidate: candidate,
		epoch:     epoch,
		base:      base,
		newest:    base,
		polled:    map[Identity]bool{},
		promised:  map[Identity]bool{},
		accepted:  map[Identity]bool{},
	}
}

// unpolledWitnesses returns the witnesses of the base that were not asked for a promise yet, and
// marks them as asked.
func (p *proposal) unpolledWitnesses() []Replica {
	var replicas []Replica
	for _, replica := range p.base.Voters() {
		if !p.polled[replica.Identity] {
			p.polled[replica.Identity] = true
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// recordPromise records a witness's response to Prepare.
func (p *proposal) recordPromise(witness Identity, vote Vote) {
	p.highestSeen = max(p.highestSeen, vote.Promised)
	if vote.Membership.Epoch > p.newest.Epoch {
		p.newest = vote.Membership
	}
	p.promised[witness] = p.promised[witness] || vote.Granted
}

// hasPromiseQuorum reports whether a majority of the base's witnesses promised the epoch.
func (p *proposal) hasPromiseQuorum() bool { return p.base.HasQuorum(p.promised) }

// rebase makes the newest reported membership the base, and reports whether that changed the base.
// The witnesses of a new base have to promise, too.
func (p *proposal) rebase() bool {
	changed := p.newest.Epoch != p.base.Epoch
	p.base = p.newest
	return changed
}

// choose derives the membership to propose from the base by calling alter, which may refuse. It
// fails with NoPrimary without a quorum of promises, and with Deposed when alter refuses.
func (p *proposal) choose(alter func(base Membership) (Membership, bool)) error {
	if !p.hasPromiseQuorum() {
		return failure.New(failure.NoPrimary, "no quorum of the newest witnesses promised the epoch")
	}
	next, allowed := alter(p.base)
	if !allowed {
		return failure.New(failure.Deposed, "the newest membership does not allow the change")
	}
	next.Epoch = p.epoch
	p.next = next
	return nil
}

// acceptors lists the witnesses of the base and of the proposed membership, each once.
func (p *proposal) acceptors() []Replica {
	return Membership{Witnesses: p.base.Voters(), Incoming: p.next.Voters()}.Voters()
}

// recordAcceptance records a witness's response to Accept.
func (p *proposal) recordAcceptance(witness Identity, vote Vote) {
	p.highestSeen = max(p.highestSeen, vote.Promised)
	p.accepted[witness] = vote.Granted
}

// hasAcceptQuorum reports whether majorities of the base's witnesses and of the proposed
// membership's witnesses accepted, as in Raft's joint consensus (Ongaro and Ousterhout 2014,
// section 6).
func (p *proposal) hasAcceptQuorum() bool {
	return p.base.HasQuorum(p.accepted) && p.next.HasQuorum(p.accepted)
}

// proposeMembership changes the membership under the next epoch and returns the granted membership.
// A replica calls it to become primary, a primary to change the backups or witnesses. It fails with
// OldEpoch or LeaseActive when the local witness may not promise, with NoPrimary without a quorum
// of promises, with Deposed when alter refuses the newest membership, and with OutcomeUnknown when no
// quorum accepted: a later proposal may then still find the change and complete it.
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
			return p.newest, failure.New(failure.NoPrimary, "no quorum of witnesses promised the epoch")
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
		return p.base, failure.New(failure.OutcomeUnknown, "no quorum of witnesses accepted the membership")
	}
	c.mutex.Lock()
	c.membership = p.next
	c.mutex.Unlock()
	return p.next, nil
}

// preparePhase asks witnesses for their promise until a majority has promised.
func (c *Coordinator) preparePhase(p *proposal, replicas []Replica) {
	current := p.base
	gather(c.runtime, replicas, func(replica Replica) (Vote, error) {
		if replica.Identity == p.candidate {
			// The local witness promised the epoch before the first request was sent.
			return Vote{Witness: replica.Identity, Granted: true, Membership: c.witness.Membership()}, nil
		}
		promise, err := c.peers.Prepare(c.Address(replica), replica.Identity, p.epoch, p.candidate)
		if err == nil && promise.Refusal == failure.NotAdmitted && current.HasVoter(replica.Identity) {
			// The membership names this disk as a witness, but the disk has not received the
			// membership yet.
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

// acceptPhase sends the proposed membership to its acceptors until hasAcceptQuorum returns true.
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
