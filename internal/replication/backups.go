package replication

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// OwnDisk tells the steward that a write to the own disk begins or has ended.
func (coordinator *Coordinator) OwnDisk(busy bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if !busy {
		coordinator.diskBusy = time.Time{}
	} else if coordinator.diskBusy.IsZero() {
		coordinator.diskBusy = coordinator.runtime.Now()
	}
}

func (coordinator *Coordinator) ownDiskStalls() bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return !coordinator.diskBusy.IsZero() && coordinator.runtime.Now().Sub(coordinator.diskBusy) > diskPatience
}

// BackupAnswered tells the steward how the last write to a backup ended.
func (coordinator *Coordinator) BackupAnswered(backup Identity, well bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if well {
		delete(coordinator.backupFails, backup)
	} else if _, known := coordinator.backupFails[backup]; !known {
		coordinator.backupFails[backup] = coordinator.runtime.Now()
	}
}

// failing tells whether a backup's writes have failed for longer than it may.
func (coordinator *Coordinator) failing(backup Identity) bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	return coordinator.fails(backup)
}

func (coordinator *Coordinator) fails(backup Identity) bool {
	since, known := coordinator.backupFails[backup]
	return known && coordinator.runtime.Now().Sub(since) > coordinator.timing.BackupSilence
}

// healthy lists the backups that answer, whole and in time.
func (coordinator *Coordinator) healthy(membership Membership) []Replica {
	var healthy []Replica
	for _, replica := range membership.Backups() {
		hello, seen := coordinator.alive(replica.Identity, coordinator.timing.BackupSilence+coordinator.timing.Beat)
		if seen && hello.Damage == "" && !hello.Restricted && !coordinator.failing(replica.Identity) {
			healthy = append(healthy, replica)
		}
	}
	return healthy
}

// anyLeaves tells whether one of the backups has said that it is about to end.
func (coordinator *Coordinator) anyLeaves(backups []Replica) bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	for _, replica := range backups {
		if known, found := coordinator.known[replica.Identity]; found && known.hello.Leaving {
			return true
		}
	}
	return false
}

// ensureBackups keeps as many copies in sync as are wanted: whoever takes the place
// of one that is gone gets a snapshot while commits stand still, and counts from
// the grant of the next charter on.
func (coordinator *Coordinator) ensureBackups() {
	membership := coordinator.Membership()
	wanted := coordinator.wanted()
	coordinator.mutex.Lock()
	restricted := coordinator.restricted
	coordinator.mutex.Unlock()
	healthy := coordinator.healthy(membership)
	whole := !membership.Backup.Empty() && !coordinator.unsettled && len(healthy) == len(membership.Backups())
	if whole && len(healthy) >= wanted && !coordinator.anyLeaves(healthy) && !coordinator.crowded(membership, wanted) {
		if restricted {
			coordinator.handOver(membership)
		}
		return
	}
	candidates := coordinator.backupCandidates(membership, wanted)
	if !coordinator.unsettled && !membership.Backup.Empty() && coordinator.asGoodAsItGets(membership, healthy, candidates, wanted) {
		return
	}
	if whole && !coordinator.copyAhead(membership, candidates, wanted) {
		return
	}
	if len(candidates) > 0 {
		snapshot, leading := coordinator.store.Freeze()
		if !leading {
			return
		}
		coordinator.unsettled = true
		installed := coordinator.install(membership, snapshot, candidates, wanted)
		if coordinator.mayGrant(membership, installed, wanted) {
			coordinator.grantPair(installed)
			return
		}
	}
	if coordinator.unsettled && coordinator.witness.Membership().Primary.Identity == coordinator.witness.Replica().Identity {
		// No backup can be had; the epoch is still asked for, so that reads and
		// holds go on from this copy.
		alone := len(candidates) == 0 && coordinator.short()
		won, err := coordinator.elect(func(base Membership) (Membership, bool) {
			if base.Primary.Identity != coordinator.witness.Replica().Identity {
				return base, false
			}
			if coordinator.store.Hidden() && alone {
				return base.With(coordinator.recorded(coordinator.witness.Replica()), nil), true
			}
			base.Primary = coordinator.recorded(coordinator.witness.Replica())
			return base, true
		})
		if failure.KindOf(err) == failure.Deposed {
			coordinator.resign("deposed", won)
		} else if err == nil {
			if won.Backup.Empty() {
				coordinator.store.Show(won.Epoch)
			} else {
				coordinator.store.Renumber(won.Epoch)
			}
			coordinator.confirm(won)
		}
	}
}

// grantPair asks for the charter in which the installed copies are the backups.
func (coordinator *Coordinator) grantPair(installed []Replica) {
	won, err := coordinator.elect(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != coordinator.witness.Replica().Identity {
			return base, false
		}
		return base.With(coordinator.recorded(coordinator.witness.Replica()), installed), true
	})
	if err != nil {
		coordinator.observe("pair_not_granted", "backups", installed, "cause", err)
		if failure.KindOf(err) == failure.Deposed {
			coordinator.resign("deposed", won)
		}
		return
	}
	coordinator.unsettled = false
	coordinator.shortSince = time.Time{}
	for _, replica := range installed {
		coordinator.BackupAnswered(replica.Identity, true)
	}
	coordinator.store.Thaw(won.Epoch)
	coordinator.observe("pair_granted", "epoch", won.Epoch, "backups", installed)
	coordinator.confirm(won)
}

// short tells whether copies have been too few for longer than the primary waits.
func (coordinator *Coordinator) short() bool {
	now := coordinator.runtime.Now()
	if coordinator.shortSince.IsZero() {
		coordinator.shortSince = now
	}
	return now.Sub(coordinator.shortSince) >= coordinator.timing.FewerCopies
}

// mayGrant tells whether the installed copies may be the backups: there are no
// fewer than now, or no more can be had for some time.
func (coordinator *Coordinator) mayGrant(membership Membership, installed []Replica, wanted int) bool {
	if len(installed) == 0 {
		return false
	}
	return len(installed) >= min(wanted, max(len(membership.Backups()), 1)) || coordinator.short()
}

// asGoodAsItGets tells whether the backups that are there are those that would be
// chosen now, and none is dead, damaged or failing.
func (coordinator *Coordinator) asGoodAsItGets(membership Membership, healthy, candidates []Replica, wanted int) bool {
	if len(candidates) == 0 {
		return true
	}
	if wanted == 1 {
		// A backup that leaves stays until another can be had.
		return candidates[0].Identity == membership.Backup.Identity && hasReplica(healthy, membership.Backup.Identity)
	}
	chosen := candidates[:min(wanted, len(candidates))]
	for _, replica := range chosen {
		if !hasReplica(membership.Backups(), replica.Identity) {
			return false
		}
	}
	for _, replica := range membership.Backups() {
		if hasReplica(healthy, replica.Identity) {
			continue
		}
		// One that is only restricted, while no other can be had, may stay.
		hello, alive := coordinator.alive(replica.Identity, coordinator.timing.BackupSilence+coordinator.timing.Beat)
		if !alive || hello.Damage != "" || coordinator.failing(replica.Identity) {
			return false
		}
	}
	return true
}

// copyAhead brings newcomers a snapshot while commits go on, so that commits stand
// still only for what was written since. It tells whether a newcomer has it.
func (coordinator *Coordinator) copyAhead(membership Membership, candidates []Replica, wanted int) bool {
	snapshot, leading := coordinator.store.Snapshot()
	if !leading {
		return false
	}
	var newcomers []Replica
	coordinator.mutex.Lock()
	for _, replica := range candidates {
		failed, tried := coordinator.installFails[replica.Identity]
		if !hasReplica(membership.Backups(), replica.Identity) && !(tried && coordinator.runtime.Now().Sub(failed) < applicantFresh) {
			newcomers = append(newcomers, replica)
		}
	}
	coordinator.mutex.Unlock()
	return len(coordinator.install(membership, snapshot, newcomers, max(wanted-len(membership.Backups()), 1))) > 0
}

// install brings the snapshot to as many candidates as are wanted at once. When one
// fails, or its disk takes its time, the next is tried beside it. The primary's hold
// is renewed meanwhile.
func (coordinator *Coordinator) install(membership Membership, snapshot Snapshot, candidates []Replica, wanted int) []Replica {
	var mutex sync.Mutex
	ended := map[Identity]error{}
	cond := coordinator.runtime.NewCond()
	begun := 0
	begin := func() {
		replica := candidates[begun]
		begun++
		coordinator.runtime.Go(func() {
			err := coordinator.peers.Install(coordinator.Address(replica), replica.Identity, snapshot)
			mutex.Lock()
			ended[replica.Identity] = err
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	installed := func() []Replica {
		mutex.Lock()
		defer mutex.Unlock()
		var installed []Replica
		for _, replica := range candidates {
			if err, over := ended[replica.Identity]; over && err == nil && len(installed) < wanted {
				installed = append(installed, replica)
			}
		}
		return installed
	}
	running := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return begun - len(ended)
	}
	latest, confirmed := coordinator.runtime.Now(), coordinator.runtime.Now()
	ends := latest.Add(gatherPatience)
	for coordinator.runtime.Now().Before(ends) {
		well := len(installed())
		for running() < wanted-well && begun < len(candidates) {
			begin()
		}
		before := running()
		if well >= wanted || before == 0 {
			break
		}
		// Every install ends by itself, later than any patience of this steward.
		over := cond.Wait(coordinator.timing.Lease/5, func() bool { return running() < before })
		now := coordinator.runtime.Now()
		if now.Sub(confirmed) >= coordinator.timing.Lease/5 {
			confirmed = now
			coordinator.confirm(membership)
		}
		if over || now.Sub(latest) < installPatience {
			continue
		}
		if begun < len(candidates) {
			begin()
			latest = now
		} else if (well > 0 || !coordinator.unsettled) && now.Sub(latest) > coordinator.timing.FewerCopies {
			break
		}
	}
	chosen := installed()
	mutex.Lock()
	defer mutex.Unlock()
	coordinator.noteInstalls(candidates[:begun], ended)
	return chosen
}

// noteInstalls remembers who could not be brought a snapshot in time, and is tried
// last for a while.
func (coordinator *Coordinator) noteInstalls(tried []Replica, ended map[Identity]error) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	for _, replica := range tried {
		err, over := ended[replica.Identity]
		delete(coordinator.installFails, replica.Identity)
		if err != nil || !over {
			coordinator.installFails[replica.Identity] = coordinator.runtime.Now()
			coordinator.observe("install_failed", "backup", replica.Name, "cause", err)
		}
	}
}

// candidate is an expediter that could be a backup. The lower its rank, the better;
// among equals the one in the district with the fewest copies goes first.
type candidate struct {
	seat  Replica
	rank  int
	crowd int
}

// backupCandidates lists the expediters that could be backups, the best first.
func (coordinator *Coordinator) backupCandidates(membership Membership, wanted int) []Replica {
	copies := membership.With(coordinator.recorded(coordinator.witness.Replica()), membership.Backups()).Copies()
	var candidates []candidate
	coordinator.mutex.Lock()
	for _, identity := range coordinator.acquaintances() {
		known := coordinator.known[identity]
		if rank, may := coordinator.rank(membership, known, wanted > 1); may {
			candidates = append(candidates, candidate{seat: known.hello.Seat, rank: rank, crowd: inZone(copies, known.hello.Seat.Zone)})
		}
	}
	coordinator.mutex.Unlock()
	sort.SliceStable(candidates, func(left, right int) bool {
		if candidates[left].rank != candidates[right].rank {
			return candidates[left].rank < candidates[right].rank
		}
		return wanted > 1 && candidates[left].crowd < candidates[right].crowd
	})
	ordered := make([]Replica, 0, len(candidates))
	for _, candidate := range candidates {
		ordered = append(ordered, coordinator.recorded(candidate.seat))
	}
	if wanted > 1 {
		spreadOut(ordered, copies[0].Zone, wanted)
	}
	return ordered
}

// rank tells how well an acquaintance would do as a backup, or that it can't be one.
// The caller has the mutex.
func (coordinator *Coordinator) rank(m Membership, known *acquaintance, several bool) (int, bool) {
	now := coordinator.runtime.Now()
	identity, silence := known.hello.Seat.Identity, now.Sub(known.answered)
	if known.hello.Kind != membership.Controller || silence >= coordinator.timing.BackupSilence+coordinator.timing.Beat {
		return 0, false
	}
	failing := coordinator.fails(identity)
	present := hasReplica(m.Backups(), identity)
	rank := 2
	switch {
	case known.hello.Restricted && !several && !m.Backup.Empty() && !coordinator.fails(m.Backup.Identity) && !coordinator.unsettled:
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
	case m.Keeps(identity) && !several:
		rank = 1
	}
	if failed, tried := coordinator.installFails[identity]; tried && now.Sub(failed) < applicantFresh {
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
func spreadOut(candidates []Replica, zone string, wanted int) {
	if zone == "" || len(candidates) <= wanted || inZone(candidates[:wanted], zone) < wanted {
		return
	}
	for position := wanted; position < len(candidates); position++ {
		if elsewhere := candidates[position]; elsewhere.Zone != zone {
			copy(candidates[wanted:position+1], candidates[wanted-1:position])
			candidates[wanted-1] = elsewhere
			return
		}
	}
}

func inZone(replicas []Replica, zone string) int {
	count := 0
	for _, replica := range replicas {
		if replica.Zone == zone {
			count++
		}
	}
	return count
}

// crowded tells whether all copies are in one district and another could be had.
func (coordinator *Coordinator) crowded(membership Membership, wanted int) bool {
	if wanted == 1 {
		return false
	}
	zone := coordinator.recorded(coordinator.witness.Replica()).Zone
	if inZone(membership.Backups(), zone) < len(membership.Backups()) {
		return false
	}
	candidates := coordinator.backupCandidates(membership, wanted)
	chosen := candidates[:min(wanted, len(candidates))]
	return inZone(chosen, zone) < len(chosen)
}

// OldCopies lists the expediters out of the pair whose copies were older than
// the version when they were heard last.
func (coordinator *Coordinator) OldCopies(version Version) []Replica {
	m := coordinator.Membership()
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	var old []Replica
	for _, identity := range coordinator.acquaintances() {
		known := coordinator.known[identity]
		fresh := coordinator.runtime.Now().Sub(known.lastSeen) < applicantFresh && !coordinator.superseded(known)
		if fresh && known.hello.Kind == membership.Controller && !m.InSync(identity) && known.hello.Version.Before(version) {
			old = append(old, known.hello.Seat)
		}
	}
	return old
}

// superseded tells whether another disk was heard at the acquaintance's address
// since: the old one is gone. The caller has the mutex.
func (coordinator *Coordinator) superseded(known *acquaintance) bool {
	for _, other := range coordinator.known {
		if other != known && other.hello.Seat.Address == known.hello.Seat.Address && other.lastSeen.After(known.lastSeen) {
			return true
		}
	}
	return false
}
