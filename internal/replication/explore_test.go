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

// coreMember is one machine of the explored core: its witness is the product's Keeper, its
// candidacy the product's ballot; its copy is a number, that of the last write it holds.
type coreMember struct {
	witness      *Witness
	version      int
	up           bool
	incarnations int
	// ballot is the candidacy under way, and plan what it is to make of the base.
	proposal *proposal
	plan     string
	// membership is the one that it leads by, if it leads; unsynced tells of a write that is
	// on its own copy only.
	leads      bool
	membership Membership
	confirmed  map[Identity]bool
	lease      bool
	unsynced   bool
	// unsettled tells that a ballot of its own was begun and not granted: what the core
	// has agreed on is not known, and nothing is written until it is.
	membershipUnknown bool
}

func (c *coreMember) identity() Identity { return c.witness.self.Identity }

// lateMessage is a request whose answer nobody waits for any more.
type lateMessage struct {
	to         int
	membership Membership
	epoch      uint64
	from       Identity
}

// coreState is one state of the exploration.
type coreState struct {
	members []*coreMember
	late    []lateMessage
	acked   int
	newest  Membership
	// What may still happen.
	proposals, crashes, restarts, wipes, writes, delays int
}

// explorer visits every state that can be reached, once each.
type explorer struct {
	seen map[[16]byte]struct{}
	// forgetful has witnesses forget their promises, leaseless has leases given without a
	// majority: the known bad variants.
	forgetful, leaseless bool
	broken               string
	limit                int
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
	next.late = slices.Clone(c.late)
	next.members = make([]*coreMember, len(c.members))
	for position, old := range c.members {
		copied := *old
		witness := &Witness{mutex: &sync.Mutex{}, storage: noStorage{}, self: old.witness.self, record: old.witness.record, lease: old.witness.lease, leaseHolder: old.witness.leaseHolder, leaseEnds: old.witness.leaseEnds}
		witness.record.Sequence = 0
		copied.witness = witness
		copied.confirmed = cloneSet(old.confirmed)
		if old.proposal != nil {
			b := *old.proposal
			b.polled, b.promised, b.accepted = cloneSet(b.polled), cloneSet(b.promised), cloneSet(b.accepted)
			copied.proposal = &b
		}
		next.members[position] = &copied
	}
	return &next
}

func appendSeats(text []byte, replicas ...Replica) []byte {
	for _, replica := range replicas {
		text = append(append(text, replica.Identity...), ',')
	}
	return append(text, ';')
}

func appendMembership(text []byte, membership Membership) []byte {
	text = append(text, byte(membership.Epoch))
	text = appendSeats(text, membership.Primary, membership.Backup)
	text = appendSeats(text, membership.Further...)
	text = appendSeats(text, membership.Witnesses...)
	return appendSeats(text, membership.Incoming...)
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
		text = appendSet(text, member.confirmed)
		if b := member.proposal; b != nil {
			text = append(text, byte(b.epoch))
			text = appendMembership(appendMembership(appendMembership(text, b.base), b.newest), b.next)
			text = appendSet(appendSet(appendSet(text, b.polled), b.promised), b.accepted)
		}
	}
	for _, message := range c.late {
		text = append(append(text, byte(message.to), byte(message.epoch)), message.from...)
		text = appendMembership(text, message.membership)
	}
	text = append(text, byte(c.acked), byte(c.proposals), byte(c.crashes), byte(c.restarts), byte(c.wipes), byte(c.writes), byte(c.delays))
	text = appendMembership(text, c.newest)
	hash := fnv.New128a()
	_, _ = hash.Write(text)
	return [16]byte(hash.Sum(nil))
}

// newCoreState is a core that is whole, with one acknowledged write: the first machine
// leads, the second is its backup.
func newCoreState(witnesses int) *coreState {
	state := &coreState{acked: 1}
	var replicas []Replica
	for number := range witnesses {
		replicas = append(replicas, Replica{Identity: Identity(fmt.Sprintf("d%d", number)), Address: fmt.Sprintf("m%d", number)})
	}
	membership := Membership{Epoch: 1, Primary: replicas[0], Backup: replicas[1], Witnesses: replicas}
	for number, replica := range replicas {
		witness := &Witness{mutex: &sync.Mutex{}, storage: noStorage{}, self: replica, lease: PrimaryLease, leaseHolder: replicas[0].Identity, leaseEnds: explorationNow.Add(PrimaryLease),
			record: witnessRecord{Identity: replica.Identity, Promised: 1, Membership: membership}}
		member := &coreMember{witness: witness, up: true, confirmed: map[Identity]bool{}}
		if number < 2 {
			member.version = 1
		}
		state.members = append(state.members, member)
	}
	leader := state.members[0]
	leader.leads, leader.membership, leader.lease = true, membership, true
	for _, replica := range replicas {
		leader.confirmed[replica.Identity] = true
	}
	state.newest = membership
	return state
}

// at finds the machine that has an identity's disk and is up.
func (c *coreState) at(identity Identity) (int, *coreMember) {
	for position, member := range c.members {
		if member.identity() == identity && member.up {
			return position, member
		}
	}
	return -1, nil
}

// check holds what must be so in every state.
func (c *coreState) check() string {
	holders, durable := 0, false
	for _, member := range c.members {
		if member.up && member.lease {
			holders++
			if member.version < c.acked {
				return fmt.Sprintf("%s has the lease with write %d, and %d was acknowledged", member.identity(), member.version, c.acked)
			}
		}
		durable = durable || c.newest.InSync(member.identity()) && member.version >= c.acked
	}
	switch {
	case holders > 1:
		return "two primaries have the lease"
	case !durable:
		return fmt.Sprintf("no copy of the newest charter has the acknowledged write %d", c.acked)
	}
	return ""
}

// explore visits what can follow a state.
func (e *explorer) explore(state *coreState) {
	if e.broken != "" || len(e.seen) >= e.limit {
		return
	}
	key := state.key()
	if _, known := e.seen[key]; known {
		return
	}
	e.seen[key] = struct{}{}
	if e.broken = state.check(); e.broken != "" {
		return
	}
	for position := range state.members {
		e.exploreMember(state, position)
	}
	for position := range state.late {
		next := state.clone()
		message := next.late[position]
		next.late = slices.Delete(next.late, position, position+1)
		next.deliverLate(e, message)
		e.explore(next)
	}
}

func (c *coreState) deliverLate(e *explorer, message lateMessage) {
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
	if e.forgetful {
		member.witness.record.Promised = member.witness.record.Membership.Epoch
	}
	vote, _ := member.witness.Accept(explorationNow, membership)
	return vote
}

// exploreMember follows all that one machine can do, or that can happen to it.
func (e *explorer) exploreMember(state *coreState, position int) {
	branch := func(act func(next *coreState, member *coreMember)) {
		next := state.clone()
		act(next, next.members[position])
		e.explore(next)
	}
	member := state.members[position]
	if !member.up {
		if state.restarts > 0 {
			branch(func(next *coreState, member *coreMember) { next.restarts--; next.restart(member) })
		}
		if state.wipes > 0 && state.mayWipe(position) {
			branch(func(next *coreState, member *coreMember) { next.wipe(member) })
		}
		return
	}
	if state.crashes > 0 {
		branch(func(next *coreState, member *coreMember) { next.crashes--; member.fall() })
	}
	if !member.witness.leaseEnds.IsZero() && !state.leaseHeldBy(member.witness.leaseHolder) {
		branch(func(next *coreState, member *coreMember) { next.expire(member) })
	}
	if member.lease {
		branch(func(_ *coreState, member *coreMember) {
			member.lease = false
			clear(member.confirmed)
		})
	}
	if member.proposal != nil {
		e.exploreBallot(state, position)
		return
	}
	if state.proposals > 0 {
		e.exploreCandidacy(state, position, branch)
	}
	if member.leads {
		e.exploreLeader(state, position, branch)
	}
}

// leaseHeldBy tells whether the holder's own lease runs: it ends before the witnesses'.
func (c *coreState) leaseHeldBy(holder Identity) bool {
	_, member := c.at(holder)
	return member != nil && member.lease
}

// expire ends the lease that a witness gave. A confirmation that is older than that counts
// no more for its holder, whose lease runs from when it asked.
func (c *coreState) expire(witness *coreMember) {
	witness.witness.leaseEnds = time.Time{}
	if _, holder := c.at(witness.witness.leaseHolder); holder != nil {
		delete(holder.confirmed, witness.identity())
	}
}

// mayWipe bounds losses to what may be borne: all others are there, and a pair leads.
func (c *coreState) mayWipe(position int) bool {
	for other, member := range c.members {
		if other != position && !member.up {
			return false
		}
	}
	return !c.newest.Backup.Empty() && len(c.newest.Incoming) == 0
}

func (c *coreMember) fall() {
	c.up, c.leads, c.lease, c.unsynced, c.membershipUnknown, c.proposal, c.plan = false, false, false, false, false, nil, ""
	c.membership = Membership{}
	clear(c.confirmed)
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

// exploreCandidacy begins each ballot that a machine could begin.
func (e *explorer) exploreCandidacy(state *coreState, position int, branch func(func(*coreState, *coreMember))) {
	member := state.members[position]
	begin := func(next *coreState, member *coreMember, plan string) {
		next.proposals--
		member.begin(plan)
	}
	if !member.leads && member.witness.record.Membership.InSync(member.identity()) {
		branch(func(next *coreState, member *coreMember) { begin(next, member, "takeover") })
	}
	if !member.leads {
		return
	}
	_, backup := state.at(member.membership.Backup.Identity)
	for other, c := range state.members {
		if other == position || !c.up || backup != nil && !member.membershipUnknown {
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
	if vacant, newcomer := state.exchangeOf(member.membership); backup != nil && !member.membershipUnknown && !newcomer.Empty() {
		branch(func(next *coreState, member *coreMember) {
			begin(next, member, "exchange "+string(vacant)+" "+string(newcomer.Identity))
		})
	}
	if backup != nil && !member.membershipUnknown && len(member.membership.Incoming) > 0 {
		branch(func(next *coreState, member *coreMember) { begin(next, member, "complete") })
	}
}

// exchangeOf finds a witness whose disk is gone and a machine that has no seat.
func (c *coreState) exchangeOf(membership Membership) (Identity, Replica) {
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

// begin starts a ballot as the product does: with a vow on the own disk.
func (c *coreMember) begin(plan string) {
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
func (c *coreMember) make(state *coreState) func(base Membership) (Membership, bool) {
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

// exploreBallot follows each message that a ballot can send now: answered, delayed, or
// none, since the ballot may be given up at any time.
func (e *explorer) exploreBallot(state *coreState, position int) {
	branch := func(act func(next *coreState, member *coreMember)) {
		next := state.clone()
		act(next, next.members[position])
		e.explore(next)
	}
	c := state.members[position]
	branch(func(_ *coreState, member *coreMember) { member.proposal, member.plan = nil, "" })
	accepting := c.proposal.next.Epoch > 0
	replicas := c.proposal.base.Voters()
	if accepting {
		replicas = c.proposal.acceptors()
	}
	for _, replica := range replicas {
		if _, answered := c.proposal.accepted[replica.Identity]; accepting && answered || !accepting && c.proposal.polled[replica.Identity] {
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
				message := lateMessage{to: to, epoch: member.proposal.epoch, from: member.identity()}
				if accepting {
					message.membership = member.proposal.next
					member.proposal.accepted[replica.Identity] = false
				} else {
					member.proposal.polled[replica.Identity] = true
				}
				next.late = append(next.late, message)
			})
		}
	}
}

// advance takes a ballot to its next stage as soon as it may.
func (e *explorer) advance(state *coreState, member *coreMember) {
	b := member.proposal
	if b.next.Epoch == 0 {
		if !b.hasPromiseQuorum() || b.rebase() || !b.hasPromiseQuorum() {
			return
		}
		if b.choose(member.make(state)) != nil {
			member.proposal, member.plan = nil, ""
		}
		return
	}
	if !b.hasAcceptQuorum() {
		return
	}
	if b.next.Epoch > state.newest.Epoch {
		state.newest = b.next
	}
	member.leads, member.membership, member.proposal, member.plan = true, b.next, nil, ""
	member.lease, member.membershipUnknown = false, false
	clear(member.confirmed)
}

// exploreLeader follows what a primary does: it renews its lease and writes.
func (e *explorer) exploreLeader(state *coreState, position int, branch func(func(*coreState, *coreMember))) {
	leader := state.members[position]
	for _, replica := range leader.membership.Voters() {
		to, c := state.at(replica.Identity)
		if c == nil || leader.confirmed[replica.Identity] {
			continue
		}
		branch(func(next *coreState, member *coreMember) {
			witness := next.members[to].witness
			if witness.record.Membership.Epoch < member.membership.Epoch {
				e.accept(next.members[to], member.membership)
			}
			if vote := witness.RenewLease(explorationNow, member.membership.Epoch, member.identity()); vote.Granted {
				member.confirmed[replica.Identity] = true
			}
			member.lease = member.lease || member.membership.HasQuorum(member.confirmed) || e.leaseless && len(member.confirmed) > 0
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
			next.acked = max(next.acked, member.version)
		})
	}
}

// TestElectionAndReplicationExplored visits every state that bounded cores can reach with
// crashes, a lost disk, an exchanged witness and delayed messages, over the product's own
// witnesses, memberships and ballots. Each known bad variant is found.
func TestElectionAndReplicationExplored(t *testing.T) {
	const mostStates = 300_000
	three := func(ballots, crashes, restarts, wipes, writes, delays int) *coreState {
		state := newCoreState(3)
		state.proposals, state.crashes, state.restarts = ballots, crashes, restarts
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
	five.members[0].fall()
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
		{"witnesses that forget their promises", explorer{forgetful: true}, three(2, 1, 1, 0, 0, 1), true},
		{"the lease of one witness", explorer{leaseless: true}, three(2, 0, 0, 0, 1, 0), true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			e := row.explorer
			e.seen, e.limit = map[[16]byte]struct{}{}, mostStates
			e.explore(row.from)
			t.Logf("%d states, exhausted %v: %s", len(e.seen), len(e.seen) < e.limit, e.broken)
			if row.found != (e.broken != "") {
				t.Errorf("%d states: %q", len(e.seen), e.broken)
			}
			if !row.found && len(e.seen) >= e.limit {
				t.Errorf("the exploration is not whole after %d states", len(e.seen))
			}
		})
	}
}
