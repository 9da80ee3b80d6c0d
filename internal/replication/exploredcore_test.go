//go:build !race

package replication

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// noStorage stores nothing, because the exploration clones the state that a witness has in memory.
type noStorage struct{}

func (noStorage) Save(string, []byte) error                  { return nil }
func (noStorage) Load() (map[string][]byte, []string, error) { return nil, nil, nil }
func (noStorage) Remove([]string) error                      { return nil }

// coreMember is one machine of the explored core. It uses the production types Witness and proposal.
// Of the machine's replica, only the number of its last write (version) is modelled.
type coreMember struct {
	witness      *Witness
	version      int
	up           bool
	incarnations int
	// proposal is the proposal in progress; plan names the change that it makes to its base, with the
	// identities of the machines concerned (see alteration).
	proposal *proposal
	plan     string
	// While the machine leads, membership is the membership under which it leads, renewedBy holds the
	// witnesses that renewed its lease, and view is the last write that its readers see.
	leads      bool
	membership Membership
	renewedBy  map[Identity]bool
	lease      bool
	view       int
	// write is the write that the machine has on its own disk but does not let readers see yet.
	write writeInFlight
	// snapshotCount counts the snapshots that the machine took in its epoch; installed is the last
	// snapshot that the machine installed.
	snapshotCount int
	installed     snapshotOrder
	// membershipUnknown is set from when the machine, as primary, begins a proposal until a proposal of it
	// is granted: meanwhile the machine does not know on which membership the core has agreed, and writes
	// nothing. A new primary also writes nothing until it has been granted a backup.
	membershipUnknown bool
	// hidden is set from a takeover until a backup is granted: readers see nothing meanwhile.
	hidden bool
}

// writeInFlight is a write of a primary, under the epoch of its version. It is synced once the
// backup has it; its acknowledgement may come at any later time.
type writeInFlight struct {
	version int
	epoch   uint64
	synced  bool
}

func (c *coreMember) identity() Identity { return c.witness.self.Identity }

// delayedMessage is a request whose sender no longer waits for the response: a request of a
// proposal or, if version is set, a write or a snapshot. Other requests may overtake a delayed
// message, and a delayed message may be delivered twice.
type delayedMessage struct {
	to         int
	membership Membership
	epoch      uint64
	from       Identity
	version    int
	// snapshot is the number of a snapshot; zero for a write.
	snapshot int
}

// coreState is one state of the exploration.
type coreState struct {
	members      []*coreMember
	delayed      []delayedMessage
	acknowledged int
	newest       Membership
	// lost counts the disks that were lost. The core is to survive the loss of one.
	lost int
	// The numbers of events of each kind that may still happen.
	proposals, crashes, restarts, wipes, writes, delays, duplicates, transfers int
}

// injectedFault is a fault that is injected into the protocol. The exploration has to find a violation
// that it causes.
type injectedFault string

const (
	noFault                     injectedFault = ""
	forgetsPromises             injectedFault = "witnesses forget their promises"
	leaseWithoutQuorum          injectedFault = "one witness is enough for a lease"
	leaseOutlivesWitnessLeases  injectedFault = "the primary's lease ends after its witnesses' leases"
	restartsWithoutWait         injectedFault = "a restarted witness does not wait for earlier leases"
	keepsLease                  injectedFault = "a primary transfers leadership and keeps its lease"
	anyReplicaIsCandidate       injectedFault = "a replica that is not in sync becomes a candidate"
	exchangesInOneGrant         injectedFault = "a witness is replaced in one grant"
	acknowledgesBeforeBackup    injectedFault = "a write is acknowledged before the backup has it"
	acknowledgesUnderLaterEpoch injectedFault = "a write is acknowledged under a later epoch"
	acceptsOlderSnapshots       injectedFault = "a backup installs snapshots in any order"
	unfenced                    injectedFault = "a backup checks neither epoch nor order"
	readsUnsynced               injectedFault = "readers see a write that only the primary has"
	dropsReplicaAtTakeover      injectedFault = "a new primary drops the other replica before it has a backup"
	dropsReplicaAtTransfer      injectedFault = "a transfer of leadership drops the old primary"
	readsBeforeInstallation     injectedFault = "a new primary lets readers see its state before it has a backup"
	staleReplicaStays           injectedFault = "a replica that lacks the snapshot stays in sync"
)

// explorer visits every reachable state once.
type explorer struct {
	seen          map[[16]byte]struct{}
	injectedFault injectedFault
	violation     string
	// path holds the states that led to the violation, the last one first.
	path  []string
	limit int
	// random, if set, draws the order of the steps in each state, so that an exploration that ends
	// early reaches deep states in all directions. deadline, if set, ends the exploration.
	random   *rand.Rand
	deadline time.Time
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
		witness := &Witness{
			mutex:       &sync.Mutex{},
			storage:     noStorage{},
			self:        old.witness.self,
			record:      old.witness.record,
			lease:       old.witness.lease,
			leaseHolder: old.witness.leaseHolder,
			leaseEnds:   old.witness.leaseEnds,
		}
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
	text = appendReplicas(text, membership.FurtherBackups...)
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

// key returns a hash that identifies the state.
func (c *coreState) key() [16]byte {
	text := make([]byte, 0, 1024)
	// The order of snapshots matters only while one is delayed or may be.
	ordered := c.delays > 0 || slices.ContainsFunc(c.delayed, func(message delayedMessage) bool { return message.snapshot > 0 })
	for _, member := range c.members {
		witness := member.witness
		text = append(append(append(text, witness.self.Identity...),
			byte(witness.record.Promised), byte(member.version)), witness.leaseHolder...)
		text = appendMembership(text, witness.record.Membership)
		text = appendFlags(text, witness.leaseEnds.IsZero(), member.up, member.leads, member.lease,
			member.write.synced, member.membershipUnknown, member.hidden)
		text = append(text, byte(member.view), byte(member.write.version), byte(member.write.epoch))
		if ordered {
			text = append(text, byte(member.snapshotCount), byte(member.installed.epoch), byte(member.installed.sequence))
		}
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
		text = append(append(text, byte(message.to), byte(message.epoch), byte(message.version)), message.from...)
		text = append(text, byte(message.snapshot))
		text = appendMembership(text, message.membership)
	}
	text = append(text, byte(c.acknowledged), byte(c.lost), byte(c.proposals), byte(c.crashes), byte(c.restarts),
		byte(c.wipes), byte(c.writes), byte(c.delays), byte(c.duplicates), byte(c.transfers))
	text = appendMembership(text, c.newest)
	hash := fnv.New128a()
	_, _ = hash.Write(text)
	return [16]byte(hash.Sum(nil))
}

// newCoreState returns a complete core with one acknowledged write: the first machine leads, the
// second is its backup.
func newCoreState(witnesses int) *coreState {
	state := &coreState{acknowledged: 1}
	var replicas []Replica
	for number := range witnesses {
		replicas = append(replicas, Replica{Identity: Identity(fmt.Sprintf("d%d", number)), Address: fmt.Sprintf("m%d", number)})
	}
	membership := Membership{Epoch: 1, Primary: replicas[0], Backup: replicas[1], Witnesses: replicas}
	for number, replica := range replicas {
		witness := &Witness{
			mutex:       &sync.Mutex{},
			storage:     noStorage{},
			self:        replica,
			lease:       PrimaryLease,
			leaseHolder: replicas[0].Identity,
			leaseEnds:   explorationNow.Add(PrimaryLease),
			record:      witnessRecord{Identity: replica.Identity, Promised: 1, Membership: membership},
		}
		member := &coreMember{witness: witness, up: true, renewedBy: map[Identity]bool{}}
		if number < 2 {
			member.version = 1
		}
		state.members = append(state.members, member)
	}
	leader := state.members[0]
	leader.leads, leader.membership, leader.lease, leader.view = true, membership, true, 1
	for _, replica := range replicas {
		leader.renewedBy[replica.Identity] = true
	}
	state.newest = membership
	return state
}

// at returns the position and the machine that is up and has the disk with the identity, or -1 and
// nil.
func (c *coreState) at(identity Identity) (int, *coreMember) {
	for i, member := range c.members {
		if member.identity() == identity && member.up {
			return i, member
		}
	}
	return -1, nil
}

// check returns a description of the violated invariant, or an empty string. The invariants are: At
// most one primary has a lease. The readers of a primary with a lease see every acknowledged write,
// and no write that is missing on a replica in sync. Every replica in sync of the newest membership
// has every acknowledged write. If one disk were lost, a replica in sync would be left that has every
// acknowledged write.
func (c *coreState) check() string {
	leaseHolders := 0
	for _, member := range c.members {
		if member.up && member.lease {
			leaseHolders++
		}
		if member.up && member.lease && !member.hidden {
			if member.view < c.acknowledged {
				return fmt.Sprintf("%s has the lease and shows write %d, but write %d was acknowledged", member.identity(), member.view, c.acknowledged)
			}
			if member.view > c.acknowledged && member.view > c.durable() {
				return fmt.Sprintf("%s shows write %d, which is not on the backup", member.identity(), member.view)
			}
		}
	}
	if leaseHolders > 1 {
		return "two primaries have the lease"
	}
	if durable := c.durable(); durable < c.acknowledged {
		return fmt.Sprintf("a replica in sync of the newest membership has write %d, but write %d was acknowledged", durable, c.acknowledged)
	}
	return c.checkReplicas()
}

// checkReplicas returns a description of a membership on which a takeover could be based and whose
// complete replicas would all be gone after the loss of one disk, or an empty string.
func (c *coreState) checkReplicas() string {
	wanted := max(2-c.lost, 1)
	for _, member := range c.members {
		membership := member.witness.record.Membership
		if membership.Epoch < c.newest.Epoch {
			continue
		}
		if complete := c.completeReplicas(membership); complete < wanted {
			return fmt.Sprintf("%d replicas of the membership of epoch %d have write %d, want %d after %d lost disks",
				complete, membership.Epoch, c.acknowledged, wanted, c.lost)
		}
	}
	return ""
}

// completeReplicas counts the replicas in sync of a membership whose disks exist and have every
// acknowledged write.
func (c *coreState) completeReplicas(membership Membership) int {
	complete := 0
	for _, member := range c.members {
		if membership.InSync(member.identity()) && member.version >= c.acknowledged {
			complete++
		}
	}
	return complete
}

// String returns the state in one line, for the path to a violation.
func (c *coreState) String() string {
	var text strings.Builder
	for _, member := range c.members {
		record := member.witness.record
		fmt.Fprintf(&text, "%s:v%d promised %d knows %d", member.identity(), member.version, record.Promised, record.Membership.Epoch)
		if !member.up {
			text.WriteString(" down")
		}
		if member.leads {
			fmt.Fprintf(&text, " leads %d with %s shows v%d hidden %t lease %t unknown %t write %+v", member.membership.Epoch,
				member.membership.Backup.Identity, member.view, member.hidden, member.lease, member.membershipUnknown, member.write)
		}
		if member.proposal != nil {
			fmt.Fprintf(&text, " proposes epoch %d for %s", member.proposal.epoch, member.plan)
		}
		text.WriteString("; ")
	}
	for _, message := range c.delayed {
		fmt.Fprintf(&text, "delayed to %d: epoch %d v%d snapshot %d; ", message.to, message.epoch, message.version, message.snapshot)
	}
	fmt.Fprintf(&text, "acknowledged v%d, newest %d", c.acknowledged, c.newest.Epoch)
	return text.String()
}

// durable returns the last write that all replicas in sync of the newest membership have.
func (c *coreState) durable() int {
	least := -1
	for _, member := range c.members {
		if c.newest.InSync(member.identity()) && (least < 0 || member.version < least) {
			least = member.version
		}
	}
	return least
}

// finished reports whether the exploration has to end: after a violation, at the limit of states, or
// at the deadline.
func (e *explorer) finished() bool {
	late := !e.deadline.IsZero() && len(e.seen)%64 == 0 && time.Now().After(e.deadline)
	return e.violation != "" || len(e.seen) >= e.limit || late
}

// order returns the order in which the steps of a state are explored, as positions below count.
func (e *explorer) order(count int) []int {
	if e.random != nil {
		return e.random.Perm(count)
	}
	order := make([]int, count)
	for i := range order {
		order[i] = i
	}
	return order
}

// explore visits a state and, recursively, all states that can follow it.
func (e *explorer) explore(state *coreState) {
	if e.finished() {
		return
	}
	key := state.key()
	if _, visited := e.seen[key]; visited {
		return
	}
	e.seen[key] = struct{}{}
	defer func() {
		if e.violation != "" {
			e.path = append(e.path, state.String())
		}
	}()
	if e.violation = state.check(); e.violation != "" {
		return
	}
	for _, i := range e.order(len(state.members)) {
		e.exploreMember(state, i)
	}
	for _, position := range e.order(len(state.delayed)) {
		next := state.clone()
		message := next.delayed[position]
		next.delayed = slices.Delete(next.delayed, position, position+1)
		next.deliverDelayed(e, message)
		e.explore(next)
		if state.duplicates > 0 {
			next := state.clone()
			next.duplicates--
			next.deliverDelayed(e, message)
			e.explore(next)
		}
	}
}

func (c *coreState) deliverDelayed(e *explorer, message delayedMessage) {
	member := c.members[message.to]
	if !member.up {
		return
	}
	switch {
	case message.version > 0:
		e.replicate(member, message)
		return
	case message.membership.Epoch > 0:
		e.accept(member, message.membership)
		return
	}
	_, _ = member.witness.Prepare(explorationNow, message.epoch, message.from)
}

// replicate delivers a write or a snapshot to a backup, which accepts or refuses it by the rules of
// Store and LocalReplica. It reports whether the backup accepted it.
func (e *explorer) replicate(member *coreMember, message delayedMessage) bool {
	if member.leads || e.injectedFault != unfenced && member.witness.ObserveEpoch(message.epoch) != nil {
		return false
	}
	order := snapshotOrder{epoch: message.epoch, sequence: uint64(message.snapshot)}
	if message.snapshot > 0 {
		if order.epoch == member.installed.epoch && order.sequence < member.installed.sequence &&
			e.injectedFault != acceptsOlderSnapshots && e.injectedFault != unfenced {
			return false
		}
		member.installed = order
	}
	if message.snapshot == 0 && member.version != message.version-1 && member.version != message.version {
		return false
	}
	member.version = message.version
	return true
}

func (e *explorer) accept(member *coreMember, membership Membership) Vote {
	if e.injectedFault == forgetsPromises {
		member.witness.record.Promised = member.witness.record.Membership.Epoch
	}
	vote, _ := member.witness.Accept(explorationNow, membership)
	return vote
}

// exploreMember explores everything that one machine can do, or that can happen to it.
func (e *explorer) exploreMember(state *coreState, i int) {
	branch := func(f func(next *coreState, member *coreMember)) {
		next := state.clone()
		f(next, next.members[i])
		e.explore(next)
	}
	member := state.members[i]
	if !member.up {
		if state.restarts > 0 {
			branch(func(next *coreState, member *coreMember) { next.restarts--; next.restart(e, member) })
		}
		if state.wipes > 0 {
			branch(func(next *coreState, member *coreMember) { next.wipe(member) })
		}
		return
	}
	if state.crashes > 0 {
		branch(func(next *coreState, member *coreMember) { next.crashes--; member.crash() })
	}
	if !member.witness.leaseEnds.IsZero() && (e.injectedFault == leaseOutlivesWitnessLeases || !state.hasLease(member.witness.leaseHolder)) {
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

// hasLease reports whether the lease holder's own lease is active. Unless leaseOutlivesWitnessLeases is
// injected, this lease ends before the leases that the witnesses granted.
func (c *coreState) hasLease(leaseHolder Identity) bool {
	_, member := c.at(leaseHolder)
	return member != nil && member.lease
}

// expire ends the lease that a witness granted. The lease holder no longer counts this witness's renewal:
// the holder's own lease, which started when the holder sent the request, has already ended.
func (c *coreState) expire(member *coreMember) {
	member.witness.leaseEnds = time.Time{}
	if _, leaseHolder := c.at(member.witness.leaseHolder); leaseHolder != nil {
		delete(leaseHolder.renewedBy, member.identity())
	}
}

func (c *coreMember) crash() {
	c.up, c.leads, c.lease, c.membershipUnknown, c.hidden, c.proposal, c.plan = false, false, false, false, false, nil, ""
	c.view, c.write, c.snapshotCount, c.installed = 0, writeInFlight{}, 0, snapshotOrder{}
	c.membership = Membership{}
	clear(c.renewedBy)
}

// restart starts a machine with the record on its disk: its witness waits for one lease before it
// promises an epoch to any candidate except the primary of the membership on the disk.
func (c *coreState) restart(e *explorer, member *coreMember) {
	member.up = true
	if e.injectedFault == restartsWithoutWait {
		member.witness.leaseHolder, member.witness.leaseEnds = "", time.Time{}
		return
	}
	member.witness.leaseHolder = member.witness.record.Membership.Primary.Identity
	member.witness.leaseEnds = explorationNow.Add(PrimaryLease)
}

// wipe gives the machine a blank disk, and with it a new identity.
func (c *coreState) wipe(member *coreMember) {
	c.wipes--
	c.lost++
	member.incarnations++
	replica := Replica{Identity: Identity(fmt.Sprintf("%s'", member.identity())), Address: member.witness.self.Address}
	member.witness = &Witness{
		mutex:   &sync.Mutex{},
		storage: noStorage{},
		self:    replica,
		lease:   PrimaryLease,
		record:  witnessRecord{Identity: replica.Identity},
	}
	member.version = 0
}

// exploreCandidacy explores each proposal that a machine could begin.
func (e *explorer) exploreCandidacy(state *coreState, i int, branch func(func(*coreState, *coreMember))) {
	member := state.members[i]
	begin := func(next *coreState, member *coreMember, plan string) {
		next.proposals--
		member.beginProposal(plan)
	}
	if !member.leads && (e.injectedFault == anyReplicaIsCandidate || member.witness.record.Membership.InSync(member.identity())) {
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
			if e.injectedFault == staleReplicaStays || e.replicate(installed, member.takeSnapshot(other)) {
				begin(next, member, "pair "+string(installed.identity()))
			}
		})
		if state.delays > 0 {
			branch(func(next *coreState, member *coreMember) {
				next.delays--
				next.delayed = append(next.delayed, member.takeSnapshot(other))
			})
		}
	}
	if replaced, newcomer := state.witnessToReplace(member.membership); backup != nil && !member.membershipUnknown &&
		!newcomer.Empty() {
		branch(func(next *coreState, member *coreMember) {
			begin(next, member, "replace "+string(replaced)+" "+string(newcomer.Identity))
		})
	}
	if backup != nil && !member.membershipUnknown && len(member.membership.Incoming) > 0 {
		branch(func(next *coreState, member *coreMember) { begin(next, member, "complete") })
	}
	if backup != nil && !member.membershipUnknown && state.transfers > 0 {
		branch(func(next *coreState, member *coreMember) {
			next.transfers--
			if e.injectedFault != keepsLease {
				member.lease = false
				clear(member.renewedBy)
			}
			begin(next, member, "transfer")
		})
	}
}

// takeSnapshot returns the next snapshot of a primary, addressed to a machine.
func (c *coreMember) takeSnapshot(to int) delayedMessage {
	c.snapshotCount++
	return delayedMessage{to: to, epoch: c.membership.Epoch, version: c.view, snapshot: c.snapshotCount}
}

// witnessToReplace returns a witness whose disk is gone, and a machine that can replace it because it
// is not a witness. Both are empty if there is no such witness or machine.
func (c *coreState) witnessToReplace(membership Membership) (Identity, Replica) {
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

// beginProposal starts a proposal as Coordinator does: with a promise on the machine's own disk.
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

// alteration returns the function that applies the plan to the newest membership, and that reports
// whether the plan is still permitted.
func (c *coreMember) alteration(state *coreState, fault injectedFault) func(base Membership) (Membership, bool) {
	own := c.witness.self
	parts := strings.Fields(c.plan)
	led := c.membership
	return func(base Membership) (Membership, bool) {
		switch parts[0] {
		case "takeover":
			others := base.InSyncExcept(own.Identity)
			if fault == dropsReplicaAtTakeover {
				others = nil
			}
			return base.WithReplicas(own, others), fault == anyReplicaIsCandidate || base.InSync(own.Identity)
		case "transfer":
			others := base.InSyncExcept(base.Backup.Identity)
			if fault == dropsReplicaAtTransfer {
				others = nil
			}
			return base.WithReplicas(base.Backup, others),
				base.Epoch == led.Epoch && base.Primary.Identity == own.Identity && !base.Backup.Empty()
		case "pair":
			for _, other := range state.members {
				if string(other.identity()) == parts[1] {
					return base.WithReplicas(own, []Replica{other.witness.self}), base.Primary.Identity == own.Identity
				}
			}
			return base, false
		case "replace":
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
			if fault == exchangesInOneGrant {
				next.Witnesses, next.Incoming = next.Incoming, nil
			}
			return next, base.Epoch == led.Epoch && base.Primary.Identity == own.Identity
		}
		next := base
		next.Witnesses, next.Incoming = base.Incoming, nil
		return next, base.Epoch == led.Epoch && base.Primary.Identity == own.Identity &&
			len(base.Incoming) > 0
	}
}

// exploreProposal explores each request that a proposal can send now, with a response or delayed, and
// the end of the proposal, because its candidate may abandon it at any time.
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
		if _, responded := c.proposal.accepted[replica.Identity]; accepting && responded ||
			!accepting && c.proposal.polled[replica.Identity] {
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

// advance moves a proposal to its next phase as soon as it has the quorum for it.
func (e *explorer) advance(state *coreState, member *coreMember) {
	p := member.proposal
	if p.next.Epoch == 0 {
		if !p.hasPromiseQuorum() || p.rebase() || !p.hasPromiseQuorum() {
			return
		}
		if p.choose(member.alteration(state, e.injectedFault)) != nil {
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
	transferred := member.plan == "transfer"
	if !member.leads {
		// A new primary takes everything that its replica has as committed, but shows nothing yet.
		member.view, member.write = member.version, writeInFlight{}
		member.hidden = e.injectedFault != readsBeforeInstallation
		member.membershipUnknown = true
	} else {
		member.hidden, member.membershipUnknown = false, false
	}
	member.leads, member.membership, member.proposal, member.plan = !transferred, p.next, nil, ""
	if transferred {
		member.membership, member.view, member.write = Membership{}, 0, writeInFlight{}
	}
	if !transferred || e.injectedFault != keepsLease {
		member.lease = false
		clear(member.renewedBy)
	}
}

// exploreLeader explores what a primary does: it renews its lease and writes.
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
			member.lease = member.lease || member.membership.HasQuorum(member.renewedBy) ||
				e.injectedFault == leaseWithoutQuorum && len(member.renewedBy) > 0
		})
	}
	e.exploreWrites(state, i, branch)
}

// exploreWrites explores the steps of a primary's write: to its own disk, to the backup's disk (at once
// or delayed), and its acknowledgement under the lease. A write in flight whose epoch is no longer that
// of the membership gets a version of the new epoch.
func (e *explorer) exploreWrites(state *coreState, i int, branch func(func(*coreState, *coreMember))) {
	leader := state.members[i]
	if leader.membershipUnknown || leader.membership.Backup.Empty() {
		return
	}
	if leader.lease && leader.write.version == 0 && state.writes > 0 {
		branch(func(next *coreState, member *coreMember) {
			next.writes--
			member.version = member.view + 1
			member.write = writeInFlight{version: member.version, epoch: member.membership.Epoch}
			switch e.injectedFault {
			case acknowledgesBeforeBackup:
				member.view = member.version
				next.acknowledged = max(next.acknowledged, member.version)
			case readsUnsynced:
				member.view = member.version
			}
		})
	}
	if leader.write.version == 0 {
		return
	}
	if leader.write.epoch != leader.membership.Epoch {
		branch(func(_ *coreState, member *coreMember) {
			member.write = writeInFlight{version: member.write.version, epoch: member.membership.Epoch}
		})
	}
	message := delayedMessage{epoch: leader.write.epoch, version: leader.write.version}
	to, backup := state.at(leader.membership.Backup.Identity)
	if backup != nil && !leader.write.synced && leader.write.epoch == leader.membership.Epoch {
		branch(func(next *coreState, member *coreMember) {
			member.write.synced = e.replicate(next.members[to], message)
		})
		if state.delays > 0 {
			branch(func(next *coreState, member *coreMember) {
				next.delays--
				message.to = to
				next.delayed = append(next.delayed, message)
			})
		}
	}
	currentEpoch := leader.write.epoch == leader.membership.Epoch || e.injectedFault == acknowledgesUnderLaterEpoch
	if leader.lease && leader.write.synced && currentEpoch {
		branch(func(next *coreState, member *coreMember) {
			member.view = member.write.version
			next.acknowledged = max(next.acknowledged, member.view)
			member.write = writeInFlight{}
		})
	}
}
