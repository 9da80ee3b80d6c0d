package replication

import "seamloom.example/seamloom/internal/failure"

// ballot is one candidate's try at the next membership, as far as it has got: promises of an
// epoch by a majority of the witnesses, by which the newest membership is found, then the
// acceptance of the one made from it. It decides and sends nothing.
type ballot struct {
	candidate Identity
	epoch     uint64
	// base is the newest membership that was told; newest is that of the round under way.
	base, newest Membership
	asked        map[Identity]bool
	promised     map[Identity]bool
	accepted     map[Identity]bool
	// highest is the highest epoch that any witness has told.
	highest uint64
	next    Membership
}

func newBallot(c Identity, epoch uint64, base Membership) *ballot {
	return &ballot{candidate: c, epoch: epoch, base: base, newest: base,
		asked: map[Identity]bool{}, promised: map[Identity]bool{}, accepted: map[Identity]bool{}}
}

// unasked lists the witnesses of the base that were not asked for a promise, and notes
// that they are asked now.
func (b *ballot) unasked() []Replica {
	var replicas []Replica
	for _, replica := range b.base.Electors() {
		if !b.asked[replica.Identity] {
			b.asked[replica.Identity] = true
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// takePromise takes a witness's answer to the question for a promise.
func (b *ballot) takePromise(witness Identity, promise Promise) {
	b.highest = max(b.highest, promise.Promised)
	if promise.Membership.Epoch > b.newest.Epoch {
		b.newest = promise.Membership
	}
	b.promised[witness] = b.promised[witness] || promise.Granted
}

// hasPromises tells whether a majority of the base's witnesses has promised the epoch.
func (b *ballot) hasPromises() bool { return b.base.Quorum(b.promised) }

// rebase goes on from the newest membership that was told, and tells whether that is another
// one than before, whose witnesses are then to be asked as well.
func (b *ballot) rebase() bool {
	moved := b.newest.Epoch != b.base.Epoch
	b.base = b.newest
	return moved
}

// propose makes the next membership from the newest one, if that allows it.
func (b *ballot) propose(make func(base Membership) (Membership, bool)) error {
	if !b.hasPromises() {
		return failure.New(failure.NoPrimary, "no quorum of the newest keepers promised the epoch")
	}
	next, may := make(b.base)
	if !may {
		return failure.New(failure.Deposed, "the newest charter does not allow it")
	}
	next.Epoch = b.epoch
	b.next = next
	return nil
}

// acceptors lists the witnesses of the base and of the proposed membership, each once.
func (b *ballot) acceptors() []Replica {
	return Membership{Witnesses: b.base.Electors(), Incoming: b.next.Electors()}.Electors()
}

// takeAcceptance takes a witness's answer to the proposed membership.
func (b *ballot) takeAcceptance(witness Identity, promise Promise) {
	b.highest = max(b.highest, promise.Promised)
	b.accepted[witness] = promise.Granted
}

// isGranted tells whether majorities of the base's witnesses and of the proposed ones have
// accepted: membership changes by agreement of both.
func (b *ballot) isGranted() bool {
	return b.base.Quorum(b.accepted) && b.next.Quorum(b.accepted)
}
