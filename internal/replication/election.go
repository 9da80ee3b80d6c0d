package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// form begins the first core: only from the first seed, only when all three seeds
// are blank, and never where there is said to be a core already.
func (coordinator *Coordinator) form() {
	own := coordinator.witness.Replica()
	coordinator.mutex.Lock()
	seeds, joinsOnly := coordinator.seeds, coordinator.joinsOnly
	coordinator.mutex.Unlock()
	if joinsOnly || len(seeds) != 3 || seeds[0] != own.Address {
		return
	}
	replicas := []Replica{own}
	for _, address := range seeds[1:] {
		replica, blank := coordinator.seenAt(address)
		if !blank {
			return
		}
		replicas = append(replicas, coordinator.recorded(replica))
	}
	membership := Membership{Epoch: 1, Primary: replicas[0], Backup: replicas[1], Witnesses: replicas}
	if _, err := coordinator.witness.Accept(coordinator.runtime.Now(), membership); err != nil {
		coordinator.observe("formation_failed", "cause", err)
		return
	}
	for _, replica := range replicas[1:] {
		_, _ = coordinator.peers.Accept(replica.Address, replica.Identity, membership)
	}
	coordinator.observe("core_formed", "keepers", replicas)
}

// watch is what a copy in sync does while another is primary, or none is.
func (coordinator *Coordinator) watch() {
	m := coordinator.Membership()
	own := coordinator.witness.Replica()
	now := coordinator.runtime.Now()
	if !m.InSync(own.Identity) || coordinator.store.Copy().Damage() != "" || now.Before(coordinator.backoff) {
		return
	}
	if coordinator.quiet() || coordinator.isLeaving() && coordinator.otherInSyncAlive(m) {
		return
	}
	// A candidate that nobody can elect yet would only disturb the primary, so
	// it asks first whether a quorum has no hold running, or one of its own former life.
	free := map[Identity]bool{}
	coordinator.mutex.Lock()
	restricted := coordinator.restricted
	coordinator.mutex.Unlock()
	stands := func(hello Hello) bool { return !hello.Leads && (hello.HoldLeft == 0 || hello.Holder == own.Identity) }
	gatherWithin(coordinator.runtime, helloPatience, m.Electors(), func(replica Replica) (Hello, error) {
		if replica.Identity == own.Identity {
			return coordinator.Own(), nil
		}
		hello, err := coordinator.peers.Hello(coordinator.Address(replica), coordinator.Own())
		if err == nil {
			coordinator.note(hello, true)
		}
		return hello, err
	}, func(replica Replica, hello Hello, err error) {
		if err == nil && hello.Seat.Identity == replica.Identity {
			free[replica.Identity] = stands(hello)
		}
	}, func() bool { return m.Quorum(free) })
	for _, replica := range m.Electors() {
		// One that is slow has told it in the round before.
		if _, told := free[replica.Identity]; !told {
			if hello, alive := coordinator.alive(replica.Identity, slowAnswer); alive {
				free[replica.Identity] = stands(hello)
			}
		}
	}
	if !m.Quorum(free) {
		coordinator.freeFrom = time.Time{}
		return
	}
	if coordinator.letsOthersStand(m) {
		return
	}
	if restricted {
		// It takes over only when the other copy in sync cannot, and then hands
		// over as soon as a capable expediter is in sync.
		coordinator.backoff = now.Add(2 * time.Second)
		if coordinator.otherInSyncAlive(m) {
			return
		}
	}
	won, err := coordinator.elect(func(base Membership) (Membership, bool) {
		if !base.InSync(own.Identity) {
			return base, false
		}
		return base.With(coordinator.recorded(own), coordinator.remaining(base)), true
	})
	if err != nil {
		// Two candidates part by different patience.
		spread := time.Duration(membership.Weight("backoff", string(own.Identity))%300) * time.Millisecond
		coordinator.backoff = coordinator.runtime.Now().Add(150*time.Millisecond + spread)
		return
	}
	lead := coordinator.store.Lead
	if !won.Backup.Empty() {
		lead = coordinator.store.LeadHidden
	}
	if err := lead(won.Epoch); err != nil {
		coordinator.observe("lead_failed", "cause", err)
		return
	}
	coordinator.unsettled = coordinator.store.Hidden()
	coordinator.shortSince = time.Time{}
	coordinator.mutex.Lock()
	coordinator.leadsFrom = coordinator.runtime.Now()
	clear(coordinator.backupFails)
	clear(coordinator.installFails)
	coordinator.mutex.Unlock()
	coordinator.observe("became_primary", "epoch", won.Epoch)
	coordinator.confirm(won)
	coordinator.ensureBackups()
}

// remaining are the copies that stay in sync beside a new primary. Of a pair none
// does: the new primary is alone until it has another, and shows what it has. Of
// more all do, since a second loss must find them: nothing is shown until they are
// the same. So does the old primary of a pair that handed over and is still there.
func (coordinator *Coordinator) remaining(membership Membership) []Replica {
	if len(membership.Copies()) < 3 {
		if _, alive := coordinator.alive(membership.Backup.Identity, staleAnswer); alive && membership.Primary.Identity == coordinator.witness.Replica().Identity {
			return membership.Backups()
		}
		return nil
	}
	var others []Replica
	for _, replica := range append(membership.Backups(), membership.Primary) {
		if replica.Identity != coordinator.witness.Replica().Identity {
			others = append(others, replica)
		}
	}
	return others
}

// letsOthersStand tells whether a copy in sync that goes before this one has been
// heard a moment ago and has its turn to stand: several candidates at once would
// only take promises from each other.
func (coordinator *Coordinator) letsOthersStand(membership Membership) bool {
	if len(membership.Copies()) < 3 {
		return false
	}
	now := coordinator.runtime.Now()
	if coordinator.freeFrom.IsZero() {
		coordinator.freeFrom = now
	}
	before := time.Duration(0)
	for _, replica := range membership.Copies() {
		if replica.Identity == coordinator.witness.Replica().Identity {
			break
		}
		if hello, alive := coordinator.alive(replica.Identity, staleAnswer); alive && !hello.Restricted && hello.Damage == "" {
			before++
		}
	}
	return now.Sub(coordinator.freeFrom) < before*standTurn
}

// otherInSyncAlive tells whether the other copy in sync can take over: its node is
// there, lacks no flag, and its copy is whole.
func (coordinator *Coordinator) otherInSyncAlive(membership Membership) bool {
	own := coordinator.witness.Replica().Identity
	for _, replica := range membership.Copies() {
		if replica.Identity != own {
			if hello, alive := coordinator.alive(replica.Identity, applicantFresh); alive && !hello.Restricted && hello.Damage == "" {
				return true
			}
		}
	}
	return false
}

// elect asks for the next epoch: first for promises, by which the newest
// charter is found, then for acceptance of the charter made from it.
func (coordinator *Coordinator) elect(make func(base Membership) (Membership, bool)) (Membership, error) {
	base := coordinator.witness.Membership()
	if known := coordinator.Membership(); known.Epoch > base.Epoch {
		base = known
	}
	own := coordinator.witness.Replica().Identity
	ballot := newBallot(own, max(base.Epoch, coordinator.witness.Promised(), coordinator.ballot)+1, base)
	if err := coordinator.store.Vow(coordinator.runtime.Now(), ballot.epoch, own); err != nil {
		return base, err
	}
	for {
		replicas := ballot.unasked()
		if len(replicas) == 0 {
			break
		}
		coordinator.gatherPromises(ballot, replicas)
		coordinator.ballot = max(coordinator.ballot, ballot.highest)
		if !ballot.hasPromises() {
			return ballot.newest, failure.New(failure.NoPrimary, "no quorum of keepers promised the epoch")
		}
		if !ballot.rebase() {
			break
		}
	}
	if err := ballot.propose(make); err != nil {
		return ballot.base, err
	}
	coordinator.gatherAcceptances(ballot)
	coordinator.ballot = max(coordinator.ballot, ballot.highest)
	if !ballot.isGranted() {
		return ballot.base, failure.New(failure.Unknown, "no quorum of keepers accepted the charter")
	}
	coordinator.mutex.Lock()
	coordinator.membership = ballot.next
	coordinator.mutex.Unlock()
	return ballot.next, nil
}

// gatherPromises asks witnesses for their promise until a majority has given it.
func (coordinator *Coordinator) gatherPromises(ballot *ballot, replicas []Replica) {
	current := ballot.base
	gather(coordinator.runtime, replicas, func(replica Replica) (Promise, error) {
		if replica.Identity == ballot.candidate {
			// The vow has promised this epoch on the own disk already.
			return Promise{Witness: replica.Identity, Granted: true, Membership: coordinator.witness.Membership()}, nil
		}
		promise, err := coordinator.peers.Prepare(coordinator.Address(replica), replica.Identity, ballot.epoch, ballot.candidate)
		if err == nil && promise.Refusal == failure.NotAdmitted && current.Keeps(replica.Identity) {
			// It was named a keeper and has not heard of it.
			if _, err := coordinator.peers.Accept(coordinator.Address(replica), replica.Identity, current); err == nil {
				return coordinator.peers.Prepare(coordinator.Address(replica), replica.Identity, ballot.epoch, ballot.candidate)
			}
		}
		return promise, err
	}, func(replica Replica, promise Promise, err error) {
		if err == nil {
			ballot.takePromise(replica.Identity, promise)
		}
	}, ballot.hasPromises)
}

// gatherAcceptances has the proposed charter accepted, until majorities have done so.
func (coordinator *Coordinator) gatherAcceptances(ballot *ballot) {
	gather(coordinator.runtime, ballot.acceptors(), func(replica Replica) (Promise, error) {
		if replica.Identity == ballot.candidate {
			return coordinator.witness.Accept(coordinator.runtime.Now(), ballot.next)
		}
		return coordinator.peers.Accept(coordinator.Address(replica), replica.Identity, ballot.next)
	}, func(replica Replica, promise Promise, err error) {
		if err == nil {
			ballot.takeAcceptance(replica.Identity, promise)
		}
	}, ballot.isGranted)
}

// confirm renews the primary's own hold from a quorum of keepers.
func (coordinator *Coordinator) confirm(membership Membership) bool {
	own := coordinator.witness.Replica()
	asked := coordinator.runtime.Now()
	coordinator.mutex.Lock()
	coordinator.confirming = asked
	coordinator.mutex.Unlock()
	confirmed := map[Identity]bool{}
	lease := coordinator.timing.Lease
	var newer Membership
	outdated := false
	gather(coordinator.runtime, membership.Electors(), func(replica Replica) (Promise, error) {
		if replica.Identity == own.Identity {
			promise := coordinator.witness.Confirm(asked, membership.Epoch, own.Identity)
			coordinator.noteOvertaken(promise)
			return promise, nil
		}
		promise, err := coordinator.peers.Confirm(coordinator.Address(replica), replica.Identity, membership.Epoch, own.Identity)
		if err == nil {
			coordinator.noteOvertaken(promise)
		}
		if err == nil && promise.Membership.Epoch < membership.Epoch && promise.Refusal != failure.OldEpoch {
			// It was away when the charter was granted.
			if _, err := coordinator.peers.Accept(coordinator.Address(replica), replica.Identity, membership); err == nil {
				return coordinator.peers.Confirm(coordinator.Address(replica), replica.Identity, membership.Epoch, own.Identity)
			}
		}
		return promise, err
	}, func(replica Replica, promise Promise, err error) {
		if err != nil {
			return
		}
		confirmed[replica.Identity] = promise.Granted
		if promise.Granted && promise.Lease > 0 {
			lease = min(lease, promise.Lease)
		}
		outdated = outdated || promise.Refusal == failure.OldEpoch
		coordinator.ballot = max(coordinator.ballot, promise.Promised)
		if promise.Membership.Epoch > newer.Epoch {
			newer = promise.Membership
		}
	}, func() bool { return membership.Quorum(confirmed) })
	if overtaken := coordinator.overtakenTo(); overtaken > membership.Epoch {
		outdated = true
		coordinator.ballot = max(coordinator.ballot, overtaken)
	}
	if newer.Epoch > membership.Epoch && newer.Primary.Identity != own.Identity {
		coordinator.resign("deposed", newer)
		return false
	}
	if !membership.Quorum(confirmed) {
		if outdated {
			// An epoch was promised and not used, perhaps to this steward
			// itself: the charter is asked for anew.
			coordinator.unsettled = true
		}
		return false
	}
	coordinator.outrun = outdated
	coordinator.confirmedAt = asked
	coordinator.mutex.Lock()
	coordinator.holdEnds = asked.Add(lease - holdDrift)
	coordinator.mutex.Unlock()
	return true
}

// noteOvertaken notes that a keeper has promised an epoch and confirms no lower one. It
// is noted as the answer comes, since a quorum may be there before it in each round.
func (coordinator *Coordinator) noteOvertaken(promise Promise) {
	if promise.Refusal != failure.OldEpoch {
		return
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	coordinator.overtaken = max(coordinator.overtaken, promise.Promised)
}

func (coordinator *Coordinator) overtakenTo() uint64 {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return coordinator.overtaken
}

// reaches tells whether a quorum of keepers has answered a hello a moment ago. A primary
// whose last question was not confirmed asks no more until they do: what it asks may
// arrive though the answers do not.
func (coordinator *Coordinator) reaches(membership Membership) bool {
	reached := map[Identity]bool{coordinator.witness.Replica().Identity: true}
	for _, replica := range membership.Electors() {
		if _, alive := coordinator.alive(replica.Identity, staleAnswer); alive {
			reached[replica.Identity] = true
		}
	}
	return membership.Quorum(reached)
}

// regrant asks for the same charter under a higher epoch, when a keeper has
// promised one that nobody was granted and so can't confirm the present one.
func (coordinator *Coordinator) regrant(membership Membership) {
	coordinator.outrun = false
	won, err := coordinator.elect(func(base Membership) (Membership, bool) {
		return base, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		coordinator.observe("not_regranted", "cause", err)
		coordinator.unsettled = true
		return
	}
	coordinator.store.Thaw(won.Epoch)
	coordinator.confirm(won)
}

func (coordinator *Coordinator) resign(cause string, newer Membership) {
	coordinator.mutex.Lock()
	coordinator.holdEnds = time.Time{}
	if newer.Epoch > coordinator.membership.Epoch {
		coordinator.membership = newer
	}
	coordinator.mutex.Unlock()
	coordinator.store.StepDown()
	coordinator.observe("stepped_down", "cause", cause, "epoch", newer.Epoch)
}

// deaf tells whether this primary has lost its hold and hears from nobody. It may
// still be heard itself: its keepers would go on renewing a hold that it knows nothing
// of, and the backup could never take over. So it keeps silent for most of the time.
func (coordinator *Coordinator) deaf() bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	now := coordinator.runtime.Now()
	lost := !coordinator.holdEnds.IsZero() && now.Sub(coordinator.holdEnds) > 2*holdDrift
	return lost && now.Sub(coordinator.greeted) > coordinator.timing.Beat && now.Sub(coordinator.confirming) < coordinator.timing.Lease+deafMargin
}

// unheardOf tells whether this primary reaches its backup while no expediter
// reaches it: its link has failed in one direction, and nodes that ask it are
// not heard either.
func (coordinator *Coordinator) unheardOf(membership Membership) bool {
	if membership.Backup.Empty() || coordinator.unsettled {
		return false
	}
	reached := false
	for _, backup := range membership.Backups() {
		if _, alive := coordinator.alive(backup.Identity, coordinator.timing.Beat); alive {
			reached = true
		}
	}
	if !reached {
		return false
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.leadsFrom.IsZero() {
		coordinator.leadsFrom = coordinator.runtime.Now()
	}
	latest := coordinator.greeted
	if latest.Before(coordinator.leadsFrom) {
		latest = coordinator.leadsFrom
	}
	return coordinator.runtime.Now().Sub(latest) > unheardPatience
}

// handOver makes the backup primary and stays in sync beside it: what a
// primary does that lacks an enabled flag.
func (coordinator *Coordinator) handOver(membership Membership) {
	next, found := coordinator.successor(membership)
	if !found {
		return
	}
	if _, leading := coordinator.store.Freeze(); !leading {
		return
	}
	// The keepers let go of this primary's hold when they accept the next, so
	// it stops answering first.
	coordinator.mutex.Lock()
	coordinator.holdEnds = time.Time{}
	coordinator.mutex.Unlock()
	won, err := coordinator.elect(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != coordinator.witness.Replica().Identity || !hasReplica(base.Backups(), next.Identity) {
			return base, false
		}
		var others []Replica
		if len(base.Copies()) > 2 || coordinator.isLeaving() {
			// All stay in sync: the successor answers nothing before they are the same.
			// One that leaves counts until another has its place.
			for _, replica := range append(base.Backups(), base.Primary) {
				if replica.Identity != next.Identity {
					others = append(others, replica)
				}
			}
		}
		return base.With(next, others), true
	})
	if err != nil {
		coordinator.unsettled = true
		return
	}
	coordinator.resign("handed_over", won)
	if len(won.Copies()) > 1 {
		// The successor may be no keeper, and hears of it in this way.
		coordinator.greetAll()
	}
}

// successor is the backup to hand over to. One that has gone would take a copy in
// sync with it, the only other one of a pair.
func (coordinator *Coordinator) successor(membership Membership) (Replica, bool) {
	for _, backup := range membership.Backups() {
		hello, err := coordinator.peers.Hello(coordinator.Address(backup), coordinator.Own())
		if err == nil && hello.Seat.Identity == backup.Identity && hello.Damage == "" && !hello.Leaving && !(len(membership.Further) > 0 && hello.Restricted) {
			return backup, true
		}
		coordinator.observe("not_handed_over", "backup", backup.Name, "cause", err)
	}
	return Replica{}, false
}
