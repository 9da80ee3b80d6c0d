package replication

import "seamloom.example/seamloom/internal/failure"

// ballot is one candidate's try at the next membership, as far as it has got: promises of an
// epoch by a majority of the witnesses, by which the newest membership is found, then the
// acceptance of the one made from it. It decides and sends nothing.
type proposal struct {
	candidate Identity
	epoch     uint64
	// base is the newest membership that was told; newest is that of the round under way.
	base, newest Membership
	polled       map[Identity]bool
	promised     map[Identity]bool
	accepted     map[Identity]bool
	// highest is the highest epoch that any witness has told.
	highestSeen uint64
	next        Membership
}

func newProposal(c Identity, epoch uint64, base Membership) *proposal {
	return &proposal{candidate: c, epoch: epoch, base: base, newest: base,
		polled: map[Identity]bool{}, promised: map[Identity]bool{}, accepted: map[Identity]bool{}}
}

// unasked lists the witnesses of the base that were not asked for a promise, and notes
// that they are asked now.
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

// recordPromise takes a witness's answer to the question for a promise.
func (p *proposal) recordPromise(witness Identity, vote Vote) {
	p.highestSeen = max(p.highestSeen, vote.Promised)
	if vote.Membership.Epoch > p.newest.Epoch {
		p.newest = vote.Membership
	}
	p.promised[witness] = p.promised[witness] || vote.Granted
}

// hasPromiseQuorum tells whether a majority of the base's witnesses has promised the epoch.
func (p *proposal) hasPromiseQuorum() bool { return p.base.HasQuorum(p.promised) }

// rebase goes on from the newest membership that was told, and tells whether that is another
// one than before, whose witnesses are then to be asked as well.
func (p *proposal) rebase() bool {
	moved := p.newest.Epoch != p.base.Epoch
	p.base = p.newest
	return moved
}

// propose makes the next membership from the newest one, if that allows it.
func (p *proposal) choose(alter func(base Membership) (Membership, bool)) error {
	if !p.hasPromiseQuorum() {
		return failure.New(failure.NoPrimary, "no quorum of the newest keepers promised the epoch")
	}
	next, may := alter(p.base)
	if !may {
		return failure.New(failure.Deposed, "the newest charter does not allow it")
	}
	next.Epoch = p.epoch
	p.next = next
	return nil
}

// acceptors lists the witnesses of the base and of the proposed membership, each once.
func (p *proposal) acceptors() []Replica {
	return Membership{Witnesses: p.base.Voters(), Incoming: p.next.Voters()}.Voters()
}

// recordAcceptance takes a witness's answer to the proposed membership.
func (p *proposal) recordAcceptance(witness Identity, vote Vote) {
	p.highestSeen = max(p.highestSeen, vote.Promised)
	p.accepted[witness] = vote.Granted
}

// hasAcceptQuorum tells whether majorities of the base's witnesses and of the proposed ones have
// accepted: membership changes by agreement of both.
func (p *proposal) hasAcceptQuorum() bool {
	return p.base.HasQuorum(p.accepted) && p.next.HasQuorum(p.accepted)
}
