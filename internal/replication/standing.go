package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// form begins the first core: only from the first seed, only when all three seeds
// are blank, and never where there is said to be a core already.
func (steward *Steward) form() {
	own := steward.keeper.Seat()
	steward.mutex.Lock()
	seeds, joinsOnly := steward.seeds, steward.joinsOnly
	steward.mutex.Unlock()
	if joinsOnly || len(seeds) != 3 || seeds[0] != own.Address {
		return
	}
	seats := []Seat{own}
	for _, address := range seeds[1:] {
		seat, blank := steward.seenAt(address)
		if !blank {
			return
		}
		seats = append(seats, steward.recorded(seat))
	}
	charter := Charter{Epoch: 1, Primary: seats[0], Backup: seats[1], Keepers: seats}
	if _, err := steward.keeper.Accept(steward.turns.Now(), charter); err != nil {
		steward.observe("formation_failed", "cause", err)
		return
	}
	for _, seat := range seats[1:] {
		_, _ = steward.peers.Accept(seat.Address, seat.Identity, charter)
	}
	steward.observe("core_formed", "keepers", seats)
}

// watch is what a copy in sync does while another is primary, or none is.
func (steward *Steward) watch() {
	charter := steward.Charter()
	own := steward.keeper.Seat()
	now := steward.turns.Now()
	if !charter.InSync(own.Identity) || steward.store.Copy().Damage() != "" || now.Before(steward.backoff) {
		return
	}
	if steward.quiet() || steward.isLeaving() && steward.otherInSyncAlive(charter) {
		return
	}
	// A candidate that nobody can elect yet would only disturb the primary, so
	// it asks first whether a quorum has no hold running, or one of its own former life.
	free := map[Identity]bool{}
	steward.mutex.Lock()
	restricted := steward.restricted
	steward.mutex.Unlock()
	stands := func(hello Hello) bool { return !hello.Leads && (hello.HoldLeft == 0 || hello.Holder == own.Identity) }
	gatherWithin(steward.turns, helloPatience, charter.Electors(), func(seat Seat) (Hello, error) {
		if seat.Identity == own.Identity {
			return steward.Own(), nil
		}
		hello, err := steward.peers.Hello(steward.Address(seat), steward.Own())
		if err == nil {
			steward.note(hello, true)
		}
		return hello, err
	}, func(seat Seat, hello Hello, err error) {
		if err == nil && hello.Seat.Identity == seat.Identity {
			free[seat.Identity] = stands(hello)
		}
	}, func() bool { return charter.Quorum(free) })
	for _, seat := range charter.Electors() {
		// One that is slow has told it in the round before.
		if _, told := free[seat.Identity]; !told {
			if hello, alive := steward.alive(seat.Identity, slowAnswer); alive {
				free[seat.Identity] = stands(hello)
			}
		}
	}
	if !charter.Quorum(free) {
		steward.freeFrom = time.Time{}
		return
	}
	if steward.letsOthersStand(charter) {
		return
	}
	if restricted {
		// It takes over only when the other copy in sync cannot, and then hands
		// over as soon as a capable expediter is in sync.
		steward.backoff = now.Add(2 * time.Second)
		if steward.otherInSyncAlive(charter) {
			return
		}
	}
	won, err := steward.stand(func(base Charter) (Charter, bool) {
		if !base.InSync(own.Identity) {
			return base, false
		}
		return base.With(steward.recorded(own), steward.remaining(base)), true
	})
	if err != nil {
		// Two candidates part by different patience.
		spread := time.Duration(membership.Weight("backoff", string(own.Identity))%300) * time.Millisecond
		steward.backoff = steward.turns.Now().Add(150*time.Millisecond + spread)
		return
	}
	lead := steward.store.Lead
	if !won.Backup.Empty() {
		lead = steward.store.LeadHidden
	}
	if err := lead(won.Epoch); err != nil {
		steward.observe("lead_failed", "cause", err)
		return
	}
	steward.unsettled = steward.store.Hidden()
	steward.shortSince = time.Time{}
	steward.mutex.Lock()
	steward.leadsFrom = steward.turns.Now()
	clear(steward.backupFails)
	clear(steward.installFails)
	steward.mutex.Unlock()
	steward.observe("became_primary", "epoch", won.Epoch)
	steward.confirm(won)
	steward.ensureBackups()
}

// remaining are the copies that stay in sync beside a new primary. Of a pair none
// does: the new primary is alone until it has another, and shows what it has. Of
// more all do, since a second loss must find them: nothing is shown until they are
// the same. So does the old primary of a pair that handed over and is still there.
func (steward *Steward) remaining(charter Charter) []Seat {
	if len(charter.Copies()) < 3 {
		if _, alive := steward.alive(charter.Backup.Identity, staleAnswer); alive && charter.Primary.Identity == steward.keeper.Seat().Identity {
			return charter.Backups()
		}
		return nil
	}
	var others []Seat
	for _, seat := range append(charter.Backups(), charter.Primary) {
		if seat.Identity != steward.keeper.Seat().Identity {
			others = append(others, seat)
		}
	}
	return others
}

// letsOthersStand tells whether a copy in sync that goes before this one has been
// heard a moment ago and has its turn to stand: several candidates at once would
// only take promises from each other.
func (steward *Steward) letsOthersStand(charter Charter) bool {
	if len(charter.Copies()) < 3 {
		return false
	}
	now := steward.turns.Now()
	if steward.freeFrom.IsZero() {
		steward.freeFrom = now
	}
	before := time.Duration(0)
	for _, seat := range charter.Copies() {
		if seat.Identity == steward.keeper.Seat().Identity {
			break
		}
		if hello, alive := steward.alive(seat.Identity, staleAnswer); alive && !hello.Restricted && hello.Damage == "" {
			before++
		}
	}
	return now.Sub(steward.freeFrom) < before*standTurn
}

// otherInSyncAlive tells whether the other copy in sync can take over: its node is
// there, lacks no flag, and its copy is whole.
func (steward *Steward) otherInSyncAlive(charter Charter) bool {
	own := steward.keeper.Seat().Identity
	for _, seat := range charter.Copies() {
		if seat.Identity != own {
			if hello, alive := steward.alive(seat.Identity, applicantFresh); alive && !hello.Restricted && hello.Damage == "" {
				return true
			}
		}
	}
	return false
}

// stand asks for the next epoch: first for promises, by which the newest
// charter is found, then for acceptance of the charter made from it.
func (steward *Steward) stand(make func(base Charter) (Charter, bool)) (Charter, error) {
	base := steward.keeper.Charter()
	if known := steward.Charter(); known.Epoch > base.Epoch {
		base = known
	}
	own := steward.keeper.Seat().Identity
	ballot := newBallot(own, max(base.Epoch, steward.keeper.Promised(), steward.ballot)+1, base)
	if err := steward.store.Vow(steward.turns.Now(), ballot.epoch, own); err != nil {
		return base, err
	}
	for {
		seats := ballot.unasked()
		if len(seats) == 0 {
			break
		}
		steward.gatherPromises(ballot, seats)
		steward.ballot = max(steward.ballot, ballot.highest)
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
	steward.gatherAcceptances(ballot)
	steward.ballot = max(steward.ballot, ballot.highest)
	if !ballot.isGranted() {
		return ballot.base, failure.New(failure.Unknown, "no quorum of keepers accepted the charter")
	}
	steward.mutex.Lock()
	steward.charter = ballot.next
	steward.mutex.Unlock()
	return ballot.next, nil
}

// gatherPromises asks witnesses for their promise until a majority has given it.
func (steward *Steward) gatherPromises(ballot *ballot, seats []Seat) {
	current := ballot.base
	gather(steward.turns, seats, func(seat Seat) (Promise, error) {
		if seat.Identity == ballot.candidate {
			// The vow has promised this epoch on the own disk already.
			return Promise{Keeper: seat.Identity, Granted: true, Charter: steward.keeper.Charter()}, nil
		}
		promise, err := steward.peers.Prepare(steward.Address(seat), seat.Identity, ballot.epoch, ballot.candidate)
		if err == nil && promise.Refusal == failure.NotAdmitted && current.Keeps(seat.Identity) {
			// It was named a keeper and has not heard of it.
			if _, err := steward.peers.Accept(steward.Address(seat), seat.Identity, current); err == nil {
				return steward.peers.Prepare(steward.Address(seat), seat.Identity, ballot.epoch, ballot.candidate)
			}
		}
		return promise, err
	}, func(seat Seat, promise Promise, err error) {
		if err == nil {
			ballot.takePromise(seat.Identity, promise)
		}
	}, ballot.hasPromises)
}

// gatherAcceptances has the proposed charter accepted, until majorities have done so.
func (steward *Steward) gatherAcceptances(ballot *ballot) {
	gather(steward.turns, ballot.acceptors(), func(seat Seat) (Promise, error) {
		if seat.Identity == ballot.candidate {
			return steward.keeper.Accept(steward.turns.Now(), ballot.next)
		}
		return steward.peers.Accept(steward.Address(seat), seat.Identity, ballot.next)
	}, func(seat Seat, promise Promise, err error) {
		if err == nil {
			ballot.takeAcceptance(seat.Identity, promise)
		}
	}, ballot.isGranted)
}

// confirm renews the primary's own hold from a quorum of keepers.
func (steward *Steward) confirm(charter Charter) bool {
	own := steward.keeper.Seat()
	asked := steward.turns.Now()
	steward.mutex.Lock()
	steward.confirming = asked
	steward.mutex.Unlock()
	confirmed := map[Identity]bool{}
	lease := steward.timing.Lease
	var newer Charter
	outdated := false
	gather(steward.turns, charter.Electors(), func(seat Seat) (Promise, error) {
		if seat.Identity == own.Identity {
			promise := steward.keeper.Confirm(asked, charter.Epoch, own.Identity)
			steward.noteOvertaken(promise)
			return promise, nil
		}
		promise, err := steward.peers.Confirm(steward.Address(seat), seat.Identity, charter.Epoch, own.Identity)
		if err == nil {
			steward.noteOvertaken(promise)
		}
		if err == nil && promise.Charter.Epoch < charter.Epoch && promise.Refusal != failure.OldEpoch {
			// It was away when the charter was granted.
			if _, err := steward.peers.Accept(steward.Address(seat), seat.Identity, charter); err == nil {
				return steward.peers.Confirm(steward.Address(seat), seat.Identity, charter.Epoch, own.Identity)
			}
		}
		return promise, err
	}, func(seat Seat, promise Promise, err error) {
		if err != nil {
			return
		}
		confirmed[seat.Identity] = promise.Granted
		if promise.Granted && promise.Lease > 0 {
			lease = min(lease, promise.Lease)
		}
		outdated = outdated || promise.Refusal == failure.OldEpoch
		steward.ballot = max(steward.ballot, promise.Promised)
		if promise.Charter.Epoch > newer.Epoch {
			newer = promise.Charter
		}
	}, func() bool { return charter.Quorum(confirmed) })
	if overtaken := steward.overtakenTo(); overtaken > charter.Epoch {
		outdated = true
		steward.ballot = max(steward.ballot, overtaken)
	}
	if newer.Epoch > charter.Epoch && newer.Primary.Identity != own.Identity {
		steward.resign("deposed", newer)
		return false
	}
	if !charter.Quorum(confirmed) {
		if outdated {
			// An epoch was promised and not used, perhaps to this steward
			// itself: the charter is asked for anew.
			steward.unsettled = true
		}
		return false
	}
	steward.outrun = outdated
	steward.confirmedAt = asked
	steward.mutex.Lock()
	steward.holdEnds = asked.Add(lease - holdDrift)
	steward.mutex.Unlock()
	return true
}

// noteOvertaken notes that a keeper has promised an epoch and confirms no lower one. It
// is noted as the answer comes, since a quorum may be there before it in each round.
func (steward *Steward) noteOvertaken(promise Promise) {
	if promise.Refusal != failure.OldEpoch {
		return
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.overtaken = max(steward.overtaken, promise.Promised)
}

func (steward *Steward) overtakenTo() uint64 {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.overtaken
}

// reaches tells whether a quorum of keepers has answered a hello a moment ago. A primary
// whose last question was not confirmed asks no more until they do: what it asks may
// arrive though the answers do not.
func (steward *Steward) reaches(charter Charter) bool {
	reached := map[Identity]bool{steward.keeper.Seat().Identity: true}
	for _, seat := range charter.Electors() {
		if _, alive := steward.alive(seat.Identity, staleAnswer); alive {
			reached[seat.Identity] = true
		}
	}
	return charter.Quorum(reached)
}

// regrant asks for the same charter under a higher epoch, when a keeper has
// promised one that nobody was granted and so can't confirm the present one.
func (steward *Steward) regrant(charter Charter) {
	steward.outrun = false
	won, err := steward.stand(func(base Charter) (Charter, bool) {
		return base, base.Epoch == charter.Epoch && base.Primary.Identity == charter.Primary.Identity
	})
	if err != nil {
		steward.observe("not_regranted", "cause", err)
		steward.unsettled = true
		return
	}
	steward.store.Thaw(won.Epoch)
	steward.confirm(won)
}

func (steward *Steward) resign(cause string, newer Charter) {
	steward.mutex.Lock()
	steward.holdEnds = time.Time{}
	if newer.Epoch > steward.charter.Epoch {
		steward.charter = newer
	}
	steward.mutex.Unlock()
	steward.store.StepDown()
	steward.observe("stepped_down", "cause", cause, "epoch", newer.Epoch)
}

// deaf tells whether this primary has lost its hold and hears from nobody. It may
// still be heard itself: its keepers would go on renewing a hold that it knows nothing
// of, and the backup could never take over. So it keeps silent for most of the time.
func (steward *Steward) deaf() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.turns.Now()
	lost := !steward.holdEnds.IsZero() && now.Sub(steward.holdEnds) > 2*holdDrift
	return lost && now.Sub(steward.greeted) > steward.timing.Beat && now.Sub(steward.confirming) < steward.timing.Lease+deafMargin
}

// unheardOf tells whether this primary reaches its backup while no expediter
// reaches it: its link has failed in one direction, and nodes that ask it are
// not heard either.
func (steward *Steward) unheardOf(charter Charter) bool {
	if charter.Backup.Empty() || steward.unsettled {
		return false
	}
	reached := false
	for _, backup := range charter.Backups() {
		if _, alive := steward.alive(backup.Identity, steward.timing.Beat); alive {
			reached = true
		}
	}
	if !reached {
		return false
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if steward.leadsFrom.IsZero() {
		steward.leadsFrom = steward.turns.Now()
	}
	latest := steward.greeted
	if latest.Before(steward.leadsFrom) {
		latest = steward.leadsFrom
	}
	return steward.turns.Now().Sub(latest) > unheardPatience
}

// handOver makes the backup primary and stays in sync beside it: what a
// primary does that lacks an enabled flag.
func (steward *Steward) handOver(charter Charter) {
	next, found := steward.successor(charter)
	if !found {
		return
	}
	if _, leading := steward.store.Freeze(); !leading {
		return
	}
	// The keepers let go of this primary's hold when they accept the next, so
	// it stops answering first.
	steward.mutex.Lock()
	steward.holdEnds = time.Time{}
	steward.mutex.Unlock()
	won, err := steward.stand(func(base Charter) (Charter, bool) {
		if base.Primary.Identity != steward.keeper.Seat().Identity || !hasSeat(base.Backups(), next.Identity) {
			return base, false
		}
		var others []Seat
		if len(base.Copies()) > 2 || steward.isLeaving() {
			// All stay in sync: the successor answers nothing before they are the same.
			// One that leaves counts until another has its place.
			for _, seat := range append(base.Backups(), base.Primary) {
				if seat.Identity != next.Identity {
					others = append(others, seat)
				}
			}
		}
		return base.With(next, others), true
	})
	if err != nil {
		steward.unsettled = true
		return
	}
	steward.resign("handed_over", won)
	if len(won.Copies()) > 1 {
		// The successor may be no keeper, and hears of it in this way.
		steward.greetAll()
	}
}

// successor is the backup to hand over to. One that has gone would take a copy in
// sync with it, the only other one of a pair.
func (steward *Steward) successor(charter Charter) (Seat, bool) {
	for _, backup := range charter.Backups() {
		hello, err := steward.peers.Hello(steward.Address(backup), steward.Own())
		if err == nil && hello.Seat.Identity == backup.Identity && hello.Damage == "" && !hello.Leaving && !(len(charter.Further) > 0 && hello.Restricted) {
			return backup, true
		}
		steward.observe("not_handed_over", "backup", backup.Name, "cause", err)
	}
	return Seat{}, false
}
