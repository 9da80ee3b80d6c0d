package replication

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// OwnDisk tells the steward that a write to the own disk begins or has ended.
//
// Example:
//
//	steward.OwnDisk(true)
//	failure := store.KeepOwn(batch)
//	steward.OwnDisk(failure != nil)
func (steward *Steward) OwnDisk(busy bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if !busy {
		steward.diskBusy = time.Time{}
	} else if steward.diskBusy.IsZero() {
		steward.diskBusy = steward.turns.Now()
	}
}

func (steward *Steward) ownDiskStalls() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return !steward.diskBusy.IsZero() && steward.turns.Now().Sub(steward.diskBusy) > diskPatience
}

// BackupAnswered tells the steward how the last write to a backup ended.
//
// Example:
//
//	steward.BackupAnswered(backup.Identity, failure == nil)
func (steward *Steward) BackupAnswered(backup Identity, well bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if well {
		delete(steward.backupFails, backup)
	} else if _, known := steward.backupFails[backup]; !known {
		steward.backupFails[backup] = steward.turns.Now()
	}
}

// failing tells whether a backup's writes have failed for longer than it may.
func (steward *Steward) failing(backup Identity) bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.fails(backup)
}

func (steward *Steward) fails(backup Identity) bool {
	since, known := steward.backupFails[backup]
	return known && steward.turns.Now().Sub(since) > steward.timing.BackupSilence
}

// healthy lists the backups that answer, whole and in time.
func (steward *Steward) healthy(charter Charter) []Seat {
	var healthy []Seat
	for _, seat := range charter.Backups() {
		hello, seen := steward.alive(seat.Identity, steward.timing.BackupSilence+steward.timing.Beat)
		if seen && hello.Damage == "" && !hello.Restricted && !steward.failing(seat.Identity) {
			healthy = append(healthy, seat)
		}
	}
	return healthy
}

// anyLeaves tells whether one of the backups has said that it is about to end.
func (steward *Steward) anyLeaves(backups []Seat) bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	for _, seat := range backups {
		if known, found := steward.known[seat.Identity]; found && known.hello.Leaving {
			return true
		}
	}
	return false
}

// ensureBackups keeps as many copies in sync as are wanted: whoever takes the place
// of one that is gone gets a snapshot while commits stand still, and counts from
// the grant of the next charter on.
func (steward *Steward) ensureBackups() {
	charter := steward.Charter()
	wanted := steward.wanted()
	steward.mutex.Lock()
	restricted := steward.restricted
	steward.mutex.Unlock()
	healthy := steward.healthy(charter)
	whole := !charter.Backup.Empty() && !steward.unsettled && len(healthy) == len(charter.Backups())
	if whole && len(healthy) >= wanted && !steward.anyLeaves(healthy) && !steward.crowded(charter, wanted) {
		if restricted {
			steward.handOver(charter)
		}
		return
	}
	candidates := steward.backupCandidates(charter, wanted)
	if !steward.unsettled && !charter.Backup.Empty() && steward.asGoodAsItGets(charter, healthy, candidates, wanted) {
		return
	}
	if whole && !steward.copyAhead(charter, candidates, wanted) {
		return
	}
	if len(candidates) > 0 {
		snapshot, leading := steward.store.Freeze()
		if !leading {
			return
		}
		steward.unsettled = true
		installed := steward.install(charter, snapshot, candidates, wanted)
		if steward.mayGrant(charter, installed, wanted) {
			steward.grantPair(installed)
			return
		}
	}
	if steward.unsettled && steward.keeper.Charter().Primary.Identity == steward.keeper.Seat().Identity {
		// No backup can be had; the epoch is still asked for, so that reads and
		// holds go on from this copy.
		alone := len(candidates) == 0 && steward.short()
		won, err := steward.stand(func(base Charter) (Charter, bool) {
			if base.Primary.Identity != steward.keeper.Seat().Identity {
				return base, false
			}
			if steward.store.Hidden() && alone {
				return base.With(steward.recorded(steward.keeper.Seat()), nil), true
			}
			base.Primary = steward.recorded(steward.keeper.Seat())
			return base, true
		})
		if failure.KindOf(err) == failure.Deposed {
			steward.resign("deposed", won)
		} else if err == nil {
			if won.Backup.Empty() {
				steward.store.Show(won.Epoch)
			} else {
				steward.store.Renumber(won.Epoch)
			}
			steward.confirm(won)
		}
	}
}

// grantPair asks for the charter in which the installed copies are the backups.
func (steward *Steward) grantPair(installed []Seat) {
	won, err := steward.stand(func(base Charter) (Charter, bool) {
		if base.Primary.Identity != steward.keeper.Seat().Identity {
			return base, false
		}
		return base.With(steward.recorded(steward.keeper.Seat()), installed), true
	})
	if err != nil {
		steward.observe("pair_not_granted", "backups", installed, "cause", err)
		if failure.KindOf(err) == failure.Deposed {
			steward.resign("deposed", won)
		}
		return
	}
	steward.unsettled = false
	steward.shortSince = time.Time{}
	for _, seat := range installed {
		steward.BackupAnswered(seat.Identity, true)
	}
	steward.store.Thaw(won.Epoch)
	steward.observe("pair_granted", "epoch", won.Epoch, "backups", installed)
	steward.confirm(won)
}

// short tells whether copies have been too few for longer than the primary waits.
func (steward *Steward) short() bool {
	now := steward.turns.Now()
	if steward.shortSince.IsZero() {
		steward.shortSince = now
	}
	return now.Sub(steward.shortSince) >= steward.timing.FewerCopies
}

// mayGrant tells whether the installed copies may be the backups: there are no
// fewer than now, or no more can be had for some time.
func (steward *Steward) mayGrant(charter Charter, installed []Seat, wanted int) bool {
	if len(installed) == 0 {
		return false
	}
	return len(installed) >= min(wanted, max(len(charter.Backups()), 1)) || steward.short()
}

// asGoodAsItGets tells whether the backups that are there are those that would be
// chosen now, and none is dead, damaged or failing.
func (steward *Steward) asGoodAsItGets(charter Charter, healthy, candidates []Seat, wanted int) bool {
	if len(candidates) == 0 {
		return true
	}
	if wanted == 1 {
		// A backup that leaves stays until another can be had.
		return candidates[0].Identity == charter.Backup.Identity && hasSeat(healthy, charter.Backup.Identity)
	}
	chosen := candidates[:min(wanted, len(candidates))]
	for _, seat := range chosen {
		if !hasSeat(charter.Backups(), seat.Identity) {
			return false
		}
	}
	for _, seat := range charter.Backups() {
		if hasSeat(healthy, seat.Identity) {
			continue
		}
		// One that is only restricted, while no other can be had, may stay.
		hello, alive := steward.alive(seat.Identity, steward.timing.BackupSilence+steward.timing.Beat)
		if !alive || hello.Damage != "" || steward.failing(seat.Identity) {
			return false
		}
	}
	return true
}

// copyAhead brings newcomers a snapshot while commits go on, so that commits stand
// still only for what was written since. It tells whether a newcomer has it.
func (steward *Steward) copyAhead(charter Charter, candidates []Seat, wanted int) bool {
	snapshot, leading := steward.store.Snapshot()
	if !leading {
		return false
	}
	var newcomers []Seat
	steward.mutex.Lock()
	for _, seat := range candidates {
		failed, tried := steward.installFails[seat.Identity]
		if !hasSeat(charter.Backups(), seat.Identity) && !(tried && steward.turns.Now().Sub(failed) < applicantFresh) {
			newcomers = append(newcomers, seat)
		}
	}
	steward.mutex.Unlock()
	return len(steward.install(charter, snapshot, newcomers, max(wanted-len(charter.Backups()), 1))) > 0
}

// install brings the snapshot to as many candidates as are wanted at once. When one
// fails, or its disk takes its time, the next is tried beside it. The primary's hold
// is renewed meanwhile.
func (steward *Steward) install(charter Charter, snapshot Snapshot, candidates []Seat, wanted int) []Seat {
	var mutex sync.Mutex
	ended := map[Identity]error{}
	bell := steward.turns.NewBell()
	begun := 0
	begin := func() {
		seat := candidates[begun]
		begun++
		steward.turns.Go(func() {
			err := steward.peers.Install(steward.Address(seat), seat.Identity, snapshot)
			mutex.Lock()
			ended[seat.Identity] = err
			mutex.Unlock()
			bell.Ring()
		})
	}
	installed := func() []Seat {
		mutex.Lock()
		defer mutex.Unlock()
		var installed []Seat
		for _, seat := range candidates {
			if err, over := ended[seat.Identity]; over && err == nil && len(installed) < wanted {
				installed = append(installed, seat)
			}
		}
		return installed
	}
	running := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return begun - len(ended)
	}
	latest, confirmed := steward.turns.Now(), steward.turns.Now()
	ends := latest.Add(gatherPatience)
	for steward.turns.Now().Before(ends) {
		well := len(installed())
		for running() < wanted-well && begun < len(candidates) {
			begin()
		}
		before := running()
		if well >= wanted || before == 0 {
			break
		}
		// Every install ends by itself, later than any patience of this steward.
		over := bell.Wait(steward.timing.Lease/5, func() bool { return running() < before })
		now := steward.turns.Now()
		if now.Sub(confirmed) >= steward.timing.Lease/5 {
			confirmed = now
			steward.confirm(charter)
		}
		if over || now.Sub(latest) < installPatience {
			continue
		}
		if begun < len(candidates) {
			begin()
			latest = now
		} else if (well > 0 || !steward.unsettled) && now.Sub(latest) > steward.timing.FewerCopies {
			break
		}
	}
	chosen := installed()
	mutex.Lock()
	defer mutex.Unlock()
	steward.noteInstalls(candidates[:begun], ended)
	return chosen
}

// noteInstalls remembers who could not be brought a snapshot in time, and is tried
// last for a while.
func (steward *Steward) noteInstalls(tried []Seat, ended map[Identity]error) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	for _, seat := range tried {
		err, over := ended[seat.Identity]
		delete(steward.installFails, seat.Identity)
		if err != nil || !over {
			steward.installFails[seat.Identity] = steward.turns.Now()
			steward.observe("install_failed", "backup", seat.Name, "cause", err)
		}
	}
}

// candidate is an expediter that could be a backup. The lower its rank, the better;
// among equals the one in the district with the fewest copies goes first.
type candidate struct {
	seat  Seat
	rank  int
	crowd int
}

// backupCandidates lists the expediters that could be backups, the best first.
func (steward *Steward) backupCandidates(charter Charter, wanted int) []Seat {
	copies := charter.With(steward.recorded(steward.keeper.Seat()), charter.Backups()).Copies()
	var candidates []candidate
	steward.mutex.Lock()
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		if rank, may := steward.rank(charter, known, wanted > 1); may {
			candidates = append(candidates, candidate{seat: known.hello.Seat, rank: rank, crowd: inDistrict(copies, known.hello.Seat.District)})
		}
	}
	steward.mutex.Unlock()
	sort.SliceStable(candidates, func(left, right int) bool {
		if candidates[left].rank != candidates[right].rank {
			return candidates[left].rank < candidates[right].rank
		}
		return wanted > 1 && candidates[left].crowd < candidates[right].crowd
	})
	ordered := make([]Seat, 0, len(candidates))
	for _, candidate := range candidates {
		ordered = append(ordered, steward.recorded(candidate.seat))
	}
	if wanted > 1 {
		spreadOut(ordered, copies[0].District, wanted)
	}
	return ordered
}

// rank tells how well an acquaintance would do as a backup, or that it can't be one.
// The caller has the mutex.
func (steward *Steward) rank(charter Charter, known *acquaintance, several bool) (int, bool) {
	now := steward.turns.Now()
	identity, silence := known.hello.Seat.Identity, now.Sub(known.answered)
	if known.hello.Kind != membership.Expediter || silence >= steward.timing.BackupSilence+steward.timing.Beat {
		return 0, false
	}
	failing := steward.fails(identity)
	present := hasSeat(charter.Backups(), identity)
	rank := 2
	switch {
	case known.hello.Restricted && !several && !charter.Backup.Empty() && !steward.fails(charter.Backup.Identity) && !steward.unsettled:
		// A backup that is there is not exchanged for a restricted one.
		return 0, false
	case known.hello.Restricted:
		// It lacks an enabled flag. It keeps drawers that it does not read,
		// byte for byte, which is better than no second disk at all.
		rank = 5
		if several && present {
			rank = 4
		}
	case present && failing:
		rank = 3
	case present:
		rank = 0
	case charter.Keeps(identity) && !several:
		rank = 1
	}
	if failed, tried := steward.installFails[identity]; tried && now.Sub(failed) < applicantFresh {
		rank += 6
	}
	if known.hello.Leaving {
		// It has everything and ends soon: better than nobody.
		rank += 9
	}
	if silence > staleAnswer {
		// It may be gone already.
		rank += 12
	}
	return rank, true
}

// spreadOut brings a candidate of another district forward when all that would be
// chosen are in the primary's.
func spreadOut(candidates []Seat, district string, wanted int) {
	if district == "" || len(candidates) <= wanted || inDistrict(candidates[:wanted], district) < wanted {
		return
	}
	for position := wanted; position < len(candidates); position++ {
		if elsewhere := candidates[position]; elsewhere.District != district {
			copy(candidates[wanted:position+1], candidates[wanted-1:position])
			candidates[wanted-1] = elsewhere
			return
		}
	}
}

func inDistrict(seats []Seat, district string) int {
	count := 0
	for _, seat := range seats {
		if seat.District == district {
			count++
		}
	}
	return count
}

// crowded tells whether all copies are in one district and another could be had.
func (steward *Steward) crowded(charter Charter, wanted int) bool {
	if wanted == 1 {
		return false
	}
	district := steward.recorded(steward.keeper.Seat()).District
	if inDistrict(charter.Backups(), district) < len(charter.Backups()) {
		return false
	}
	candidates := steward.backupCandidates(charter, wanted)
	chosen := candidates[:min(wanted, len(candidates))]
	return inDistrict(chosen, district) < len(chosen)
}

// OldCopies lists the expediters out of the pair whose copies were older than
// the version when they were heard last.
//
// Example:
//
//	for _, seat := range steward.OldCopies(view.Version) { mend(seat) }
func (steward *Steward) OldCopies(version Version) []Seat {
	charter := steward.Charter()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var old []Seat
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		fresh := steward.turns.Now().Sub(known.lastSeen) < applicantFresh && !steward.superseded(known)
		if fresh && known.hello.Kind == membership.Expediter && !charter.InSync(identity) && known.hello.Version.Before(version) {
			old = append(old, known.hello.Seat)
		}
	}
	return old
}

// superseded tells whether another disk was heard at the acquaintance's address
// since: the old one is gone. The caller has the mutex.
func (steward *Steward) superseded(known *acquaintance) bool {
	for _, other := range steward.known {
		if other != known && other.hello.Seat.Address == known.hello.Seat.Address && other.lastSeen.After(known.lastSeen) {
			return true
		}
	}
	return false
}
