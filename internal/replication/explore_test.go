//go:build !race

package replication

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// noStorage keeps nothing: the exploration clones what a witness has in memory.
type noStorage struct{}

func (noStorage) Save(string, []byte) error                  { return nil }
func (noStorage) Load() (map[string][]byte, []string, error) { return nil, nil, nil }
func (noStorage) Remove([]string) error                      { return nil }

// coreMember is one machine of the explored core: its witness is the product's Witness, its
// candidacy the product's proposal; its copy is a number, that of the last write it holds.
type coreMember struct {
	witness      *Witness
	version      int
	up           bool
	incarnations int
	// proposal is the candidacy under way, and plan what it is to make of the base.
	proposal *proposal
	plan     string
	// membership is the one that it leads by, if it leads; unsynced tells of a write that is
	// on its own copy only.
	leads      bool
	membership Membership
	renewedBy  map[Identity]bool
	lease      bool
	unsynced   bool
	// membershipUnknown tells that a proposal of its own was begun and not granted: what the core
	// has agreed on is not known, and nothing is written until it is.
	membershipUnknown bool
}

func (c *coreMember) identity() Identity { return c.witness.self.Identity }

// delayedMessage is a request whose answer nobody waits for any more.
type delayedMessage struct {
	to         int
	membership Membership
	epoch      uint64
	from       Identity
}

// coreState is one state of the exploration.
type coreState struct {
	members      []*coreMember
	delayed      []delayedMessage
	acknowledged int
	newest       Membership
	// What may still happen.
	proposals, crashes, restarts, wipes, writes, delays int
}

// explorer visits every state that can be reached, once each.
type explorer struct {
	seen map[[16]byte]struct{}
	// forgetful has witnesses forget their promises, leaseless has leases given without a
	// majority: the known bad variants.
	forgetsPromises, leaseWithoutQuorum bool
	violation                           string
	limit                               int
}

var explorationNow = time.Unix(1_000_000, 0)

func cloneSet(set map[Identity]bool) map[Identity]bool {
	copied := make(map[Identity]bool, len(set))
	for identity, in := range set {
		copied[identity] = in
	}
	return copied
}

func (c *coreState) clone() *coreState {
	next := *c
	next.delayed = slices.Clone(c.delayed)
	next.members = make([]*coreMember, len(c.members))
	for i, old := range c.members {
		copied := *old
		witness := &Witness{mutex: &sync.Mutex{}, storage: noStorage{}, self: old.witness.self, record: old.witness.record, lease: old.witness.lease, leaseHolder: old.witness.leaseHolder, leaseEnds: old.witness.leaseEnds}
		witness.record.Sequence = 0
		copied.witness = witness
		copied.renewedBy = cloneSet(old.renewedBy)
		if old.proposal != nil {
			p := *old.proposal
			p.polled, p.promised, p.accepted = cloneSet(p.polled), cloneSet(p.promised), cloneSet(p.accepted)
			copied.proposal = &p
		}
		next.members[i] = &copied
	}
	return &next
}

func appendReplicas(text []byte, replicas ...Replica) []byte {
	for _, replica := range replicas {
		text = append(append(text, replica.Identity...), ',')
	}
	return append(text, ';')
}

func appendMembership(text []byte, membership Membership) []byte {
	text = append(text, byte(membership.Epoch))
	text = appendReplicas(text, membership.Primary, membership.Backup)
	text = appendReplicas(text, membership.Further...)
	text = appendReplicas(text, membership.Witnesses...)
	return appendReplicas(text, membership.Incoming...)
}

func appendFlags(text []byte, flags ...bool) []byte {
	for _, flag := range flags {
		if flag {
			text = append(text, '1')
		} else {
			text = append(text, '0')
		}
	}
	return text
}

func appendSet(text []byte, set map[Identity]bool) []byte {
	names := make([]string, 0, len(set))
	for identity, in := range set {
		names = append(names, string(appendFlags([]byte(identity), in)))
	}
	slices.Sort(names)
	for _, name := range names {
		text = append(append(text, name...), ',')
	}
	return append(text, ';')
}

// key tells one state from another.
func (c *coreState) key() [16]byte {
	text := make([]byte, 0, 1024)
	for _, member := range c.members {
		witness := member.witness
		text = append(append(append(text, witness.self.Identity...), byte(witness.record.Promised), byte(member.version)), witness.leaseHolder...)
		text = appendMembership(text, witness.record.Membership)
		text = appendFlags(text, witness.leaseEnds.IsZero(), member.up, member.leads, member.lease, member.unsynced, member.membershipUnknown)
		text = append(text, member.plan...)
		text = appendMembership(text, member.membership)
		text = appendSet(text, member.renewedBy)
		if p := member.proposal; p != nil {
			text = append(text, byte(p.epoch))
			text = appendMembership(appendMembership(appendMembership(text, p.base), p.newest), p.next)
			text = appendSet(appendSet(appendSet(text, p.polled), p.promised), p.accepted)
		}
	}
	for _, message := range c.delayed {
		text = append(append(text, byte(message.to), byte(message.epoch)), message.from...)
		text = appendMembership(text, message.membership)
	}
	text = append(text, byte(c.acknowledged), byte(c.proposals), byte(c.crashes), byte(c.restarts), byte(c.wipes), byte(c.writes), byte(c.delays))
	text = appendMembership(text, c.newest)
	hash := fnv.New128a()
	_, _ = hash.Write(text)
	return [16]byte(hash.Sum(nil))
}

// newCoreState is a core that is whole, with one acknowledged write: the first machine
// leads, the second is its backup.
func newCoreState(witnesses int) *coreState {
	state := &coreState{acknowledged: 1}
	var replicas []Replica
	for number := range witnesses {
		replicas = append(replicas, Replica{Identity: Identity(fmt.Sprintf("d%d", number)), Address: fmt.Sprintf("m%d", number)})
	}
	membership := Membership{Epoch: 1, Primary: replicas[0], Backup: replicas[1], Witnesses: replicas}
	for number, replica := range replicas {
		witness := &Witness{mutex: &sync.Mutex{}, storage: noStorage{}, self: replica, lease: PrimaryLease, leaseHolder: replicas[0].Identity, leaseEnds: explorationNow.Add(PrimaryLease),
			record: witnessRecord{Identity: replica.Identity, Promised: 1, Membership: membership}}
		member := &coreMember{witness: witness, up: true, renewedBy: map[Identity]bool{}}
		if number < 2 {
			member.version = 1
		}
		state.members = append(state.members, member)
	}
	leader := state.members[0]
	leader.leads, leader.membership, leader.lease = true, membership, true
	for _, replica := range replicas {
		leader.renewedBy[replica.Identity] = true
	}
	state.newest = membership
	return state
}

// at finds the machine that has an identity's disk and is up.
func (c *coreState) at(identity Identity) (int, *coreMember) {
	for i, member := range c.members {
		if member.identity() == identity && member.up {
			return i, member
		}
	}
	return -1, nil
}

// check holds what must be so in every state.
func (c *coreState) check() string {
	leaseHolders, durable := 0, false
	for _, member := range c.members {
		if member.up && member.lease {
			leaseHolders++
			if member.version < c.acknowledged {
				return fmt.Sprintf("%s has the lease with write %d, and %d was acknowledged", member.identity(), member.version, c.acknowledged)
			}
		}
		durable = durable || c.newest.InSync(member.identity()) && member.version >= c.acknowledged
	}
	switch {
	case leaseHolders > 1:
		return "two primaries have the lease"
	case !durable:
		return fmt.Sprintf("no copy of the newest charter has the acknowledged write %d", c.acknowledged)
	}
	return ""
}

// explore visits what can follow a state.
func (e *explorer) explore(state *coreState) {
	if e.violation != "" || len(e.seen) >= e.limit {
		return
	}
	key := state.key()
	if _, visited := e.seen[key]; visited {
		return
	}
	e.seen[key] = struct{}{}
	if e.violation = state.check(); e.violation != "" {
		return
	}
	for i := range state.members {
		e.exploreMember(state, i)
	}
	for position := range state.delayed {
		next := state.clone()
		message := next.delayed[position]
		next.delayed = slices.Delete(next.delayed, position, position+1)
		next.deliverDelayed(e, message)
		e.explore(next)
	}
}

func (c *coreState) deliverDelayed(e *explorer, message delayedMessage) {
	member := c.members[message.to]
	if !member.up {
		return
	}
	if message.membership.Epoch > 0 {
		e.accept(member, message.membership)
		return
	}
	_, _ = member.witness.Prepare(explorationNow, message.epoch, message.from)
}

func (e *explorer) accept(member *coreMember, membership Membership) Vote {
	if e.forgetsPromises {
		member.witness.record.Promised = member.witness.record.Membership.Epoch
	}
	vote, _ := member.witness.Accept(explorationNow, membership)
	return vote
}

// exploreMember follows all that one machine can do, or that can happen to it.
func (e *explorer) exploreMember(state *coreState, i int) {
	branch := func(f func(next *coreState, member *coreMember)) {
		next := state.clone()
		f(next, next.members[i])
		e.explore(next)
	}
	member := state.members[i]
	if !member.up {
		if state.restarts > 0 {
			branch(func(next *coreState, member *coreMember) { next.restarts--; next.restart(member) })
		}
		if state.wipes > 0 && state.canWipe(i) {
			branch(func(next *coreState, member *coreMember) { next.wipe(member) })
		}
		return
	}
	if state.crashes > 0 {
		branch(func(next *coreState, member *coreMember) { next.crashes--; member.crash() })
	}
	if !member.witness.leaseEnds.IsZero() && !state.hasLease(member.witness.leaseHolder) {
		branch(func(next *coreState, member *coreMember) { next.expire(member) })
	}
	if member.lease {
		branch(func(_ *coreState, member *coreMember) {
			member.lease = false
			clear(member.renewedBy)
		})
	}
	if member.proposal != nil {
		e.exploreProposal(state, i)
		return
	}
	if state.proposals > 0 {
		e.exploreCandidacy(state, i, branch)
	}
	if member.leads {
		e.exploreLeader(state, i, branch)
	}
}

// hasLease tells whether the holder's own lease runs: it ends before the witnesses'.
func (c *coreState) hasLease(leaseHolder Identity) bool {
	_, member := c.at(leaseHolder)
	return member != nil && member.lease
}

// expire ends the lease that a witness gave. A confirmation that is older than that counts
// no more for its holder, whose lease runs from when it asked.
func (c *coreState) expire(witness *coreMember) {
	witness.witness.leaseEnds = time.Time{}
	if _, leaseHolder := c.at(witness.witness.leaseHolder); leaseHolder != nil {
		delete(leaseHolder.renewedBy, witness.identity())
	}
}

// canWipe bounds losses to what may be borne: all others are there, and a pair leads.
func (c *coreState) canWipe(i int) bool {
	for other, member := range c.members {
		if other != i && !member.up {
			return false
		}
	}
	return !c.newest.Backup.Empty() && len(c.newest.Incoming) == 0
}

func (c *coreMember) crash() {
	c.up, c.leads, c.lease, c.unsynced, c.membershipUnknown, c.proposal, c.plan = false, false, false, false, false, nil, ""
	c.membership = Membership{}
	clear(c.renewedBy)
}

// restart reads the disk again: the witness keeps still for one lease.
func (c *coreState) restart(member *coreMember) {
	member.up = true
	member.witness.leaseHolder = member.witness.record.Membership.Primary.Identity
	member.witness.leaseEnds = explorationNow.Add(PrimaryLease)
}

// wipe gives the machine an empty disk, which is a new identity.
func (c *coreState) wipe(member *coreMember) {
	c.wipes--
	member.incarnations++
	replica := Replica{Identity: Identity(fmt.Sprintf("%s'", member.identity())), Address: member.witness.self.Address}
	member.witness = &Witness{mutex: &sync.Mutex{}, storage: noStorage{}, self: replica, lease: PrimaryLease, record: witnessRecord{Identity: replica.Identity}}
	member.version = 0
}

// exploreCandidacy begins each proposal that a machine could begin.
func (e *explorer) exploreCandidacy(state *coreState, i int, branch func(func(*coreState, *coreMember))) {
	member := state.members[i]
	begin := func(next *coreState, member *coreMember, plan string) {
		next.proposals--
		member.beginProposal(plan)
	}
	if !member.leads && member.witness.record.Membership.InSync(member.identity()) {
		branch(func(next *coreState, member *coreMember) { begin(next, member, "takeover") })
	}
	if !member.leads {
		return
	}
	_, backup := state.at(member.membership.Backup.Identity)
	for other, c := range state.members {
		if other == i || !c.up || backup != nil && !member.membershipUnknown {
			continue
		}
		branch(func(next *coreState, member *coreMember) {
			installed := next.members[other]
			if installed.witness.ObserveEpoch(member.membership.Epoch) != nil || installed.leads {
				return
			}
			installed.version = member.version
			member.unsynced = false
			begin(next, member, "pair "+string(installed.identity()))
		})
	}
	if vacant, newcomer := state.witnessExchange(member.membership); backup != nil && !member.membershipUnknown && !newcomer.Empty() {
		branch(func(next *coreState, member *coreMember) {
			begin(next, member, "exchange "+string(vacant)+" "+string(newcomer.Identity))
		})
	}
	if backup != nil && !member.membershipUnknown && len(member.membership.Incoming) > 0 {
		branch(func(next *coreState, member *coreMember) { begin(next, member, "complete") })
	}
}

// witnessExchange finds a witness whose disk is gone and a machine that has no seat.
func (c *coreState) witnessExchange(membership Membership) (Identity, Replica) {
	if len(membership.Incoming) > 0 {
		return "", Replica{}
	}
	for _, replica := range membership.Witnesses {
		gone := true
		for _, member := range c.members {
			gone = gone && member.identity() != replica.Identity
		}
		if !gone {
			continue
		}
		for _, member := range c.members {
			if member.up && !membership.HasVoter(member.identity()) {
				return replica.Identity, member.witness.self
			}
		}
	}
	return "", Replica{}
}

// begin starts a proposal as the product does: with a promise on the own disk.
func (c *coreMember) beginProposal(plan string) {
	base := c.witness.record.Membership
	if c.leads && c.membership.Epoch > base.Epoch {
		base = c.membership
	}
	epoch := max(base.Epoch, c.witness.record.Promised) + 1
	if c.witness.PromiseSelf(explorationNow, epoch, c.identity()) != nil {
		return
	}
	c.proposal, c.plan, c.membershipUnknown = newProposal(c.identity(), epoch, base), plan, c.leads
	if base.HasVoter(c.identity()) {
		c.proposal.polled[c.identity()] = true
		c.proposal.recordPromise(c.identity(), Vote{Granted: true, Membership: c.witness.record.Membership})
	}
}

// make is what the plan makes of the newest membership.
func (c *coreMember) alteration(state *coreState) func(base Membership) (Membership, bool) {
	own := c.witness.self
	parts := strings.Fields(c.plan)
	led := c.membership
	return func(base Membership) (Membership, bool) {
		switch parts[0] {
		case "takeover":
			return base.WithReplicas(own, nil), base.InSync(own.Identity)
		case "pair":
			for _, other := range state.members {
				if string(other.identity()) == parts[1] {
					return base.WithReplicas(own, []Replica{other.witness.self}), base.Primary.Identity == own.Identity
				}
			}
			return base, false
		case "exchange":
			next := base
			next.Incoming = nil
			for _, replica := range base.Witnesses {
				if string(replica.Identity) == parts[1] {
					for _, other := range state.members {
						if string(other.identity()) == parts[2] {
							replica = other.witness.self
						}
					}
				}
				next.Incoming = append(next.Incoming, replica)
			}
			return next, base.Epoch == led.Epoch && base.Primary.Identity == own.Identity
		}
		next := base
		next.Witnesses, next.Incoming = base.Incoming, nil
		return next, base.Epoch == led.Epoch && base.Primary.Identity == own.Identity && len(base.Incoming) > 0
	}
}

// exploreProposal follows each message that a proposal can send now: answered, delayed, or
// none, since the proposal may be given up at any time.
func (e *explorer) exploreProposal(state *coreState, i int) {
	branch := func(f func(next *coreState, member *coreMember)) {
		next := state.clone()
		f(next, next.members[i])
		e.explore(next)
	}
	c := state.members[i]
	branch(func(_ *coreState, member *coreMember) { member.proposal, member.plan = nil, "" })
	accepting := c.proposal.next.Epoch > 0
	replicas := c.proposal.base.Voters()
	if accepting {
		replicas = c.proposal.acceptors()
	}
	for _, replica := range replicas {
		if _, responded := c.proposal.accepted[replica.Identity]; accepting && responded || !accepting && c.proposal.polled[replica.Identity] {
			continue
		}
		to, r := state.at(replica.Identity)
		if r == nil {
			continue
		}
		branch(func(next *coreState, member *coreMember) {
			if accepting {
				member.proposal.recordAcceptance(replica.Identity, e.accept(next.members[to], member.proposal.next))
			} else {
				member.proposal.polled[replica.Identity] = true
				vote, _ := next.members[to].witness.Prepare(explorationNow, member.proposal.epoch, member.identity())
				member.proposal.recordPromise(replica.Identity, vote)
			}
			e.advance(next, member)
		})
		if state.delays > 0 {
			branch(func(next *coreState, member *coreMember) {
				next.delays--
				message := delayedMessage{to: to, epoch: member.proposal.epoch, from: member.identity()}
				if accepting {
					message.membership = member.proposal.next
					member.proposal.accepted[replica.Identity] = false
				} else {
					member.proposal.polled[replica.Identity] = true
				}
				next.delayed = append(next.delayed, message)
			})
		}
	}
}

// advance takes a proposal to its next stage as soon as it may.
func (e *explorer) advance(state *coreState, member *coreMember) {
	p := member.proposal
	if p.next.Epoch == 0 {
		if !p.hasPromiseQuorum() || p.rebase() || !p.hasPromiseQuorum() {
			return
		}
		if p.choose(member.alteration(state)) != nil {
			member.proposal, member.plan = nil, ""
		}
		return
	}
	if !p.hasAcceptQuorum() {
		return
	}
	if p.next.Epoch > state.newest.Epoch {
		state.newest = p.next
	}
	member.leads, member.membership, member.proposal, member.plan = true, p.next, nil, ""
	member.lease, member.membershipUnknown = false, false
	clear(member.renewedBy)
}

// exploreLeader follows what a primary does: it renews its lease and writes.
func (e *explorer) exploreLeader(state *coreState, i int, branch func(func(*coreState, *coreMember))) {
	leader := state.members[i]
	for _, replica := range leader.membership.Voters() {
		to, c := state.at(replica.Identity)
		if c == nil || leader.renewedBy[replica.Identity] {
			continue
		}
		branch(func(next *coreState, member *coreMember) {
			witness := next.members[to].witness
			if witness.record.Membership.Epoch < member.membership.Epoch {
				e.accept(next.members[to], member.membership)
			}
			if vote := witness.RenewLease(explorationNow, member.membership.Epoch, member.identity()); vote.Granted {
				member.renewedBy[replica.Identity] = true
			}
			member.lease = member.lease || member.membership.HasQuorum(member.renewedBy) || e.leaseWithoutQuorum && len(member.renewedBy) > 0
		})
	}
	if !leader.lease || leader.membershipUnknown || leader.membership.Backup.Empty() {
		return
	}
	if !leader.unsynced && state.writes > 0 {
		branch(func(next *coreState, member *coreMember) {
			next.writes--
			member.version++
			member.unsynced = true
		})
	}
	if to, backup := state.at(leader.membership.Backup.Identity); backup != nil && leader.unsynced {
		branch(func(next *coreState, member *coreMember) {
			copied := next.members[to]
			if copied.leads || copied.witness.ObserveEpoch(member.membership.Epoch) != nil || copied.version != member.version-1 && copied.version != member.version {
				return
			}
			copied.version = member.version
			member.unsynced = false
			next.acknowledged = max(next.acknowledged, member.version)
		})
	}
}

// TestElectionAndReplicationExplored visits every state that bounded cores can reach with
// crashes, a lost disk, an exchanged witness and delayed messages, over the product's own
// witnesses, memberships and proposals. Each known bad variant is found.
func TestElectionAndReplicationExplored(t *testing.T) {
	const maxStates = 300_000
	three := func(proposals, crashes, restarts, wipes, writes, delays int) *coreState {
		state := newCoreState(3)
		state.proposals, state.crashes, state.restarts = proposals, crashes, restarts
		state.wipes, state.writes, state.delays = wipes, writes, delays
		return state
	}
	// Five witnesses and three copies, of which the primary's machine is gone and two stand.
	five := newCoreState(5)
	five.proposals, five.delays = 2, 0
	membership := five.newest.WithReplicas(five.newest.Primary, []Replica{five.members[1].witness.self, five.members[2].witness.self})
	five.newest = membership
	five.members[2].version = 1
	for _, member := range five.members {
		member.witness.record.Membership = membership
		member.witness.leaseEnds = time.Time{}
	}
	five.members[0].crash()
	for _, row := range []struct {
		name     string
		explorer explorer
		from     *coreState
		found    bool
	}{
		{"a takeover and a delayed message", explorer{}, three(1, 1, 0, 0, 1, 1), false},
		{"two takeovers, one of a machine that is back", explorer{}, three(2, 1, 1, 0, 0, 0), false},
		{"a lost disk and a new pair", explorer{}, three(1, 1, 1, 1, 1, 0), false},
		{"a lost disk and its witness's exchange", explorer{}, three(2, 1, 1, 1, 0, 0), false},
		{"five witnesses, two candidates", explorer{}, five, false},
		{"witnesses that forget their promises", explorer{forgetsPromises: true}, three(2, 1, 1, 0, 0, 1), true},
		{"the lease of one witness", explorer{leaseWithoutQuorum: true}, three(2, 0, 0, 0, 1, 0), true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			e := row.explorer
			e.seen, e.limit = map[[16]byte]struct{}{}, maxStates
			e.explore(row.from)
			t.Logf("%d states, exhausted %v: %s", len(e.seen), len(e.seen) < e.limit, e.violation)
			if row.found != (e.violation != "") {
				t.Errorf("%d states: %q", len(e.seen), e.violation)
			}
			if !row.found && len(e.seen) >= e.limit {
				t.Errorf("the exploration is not whole after %d states", len(e.seen))
			}
		})
	}
}
