package replication

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// SetDiskBusy tells the steward that a write to the own disk begins or has ended.
func (c *Coordinator) SetDiskBusy(busy bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !busy {
		c.diskBusy = time.Time{}
	} else if c.diskBusy.IsZero() {
		c.diskBusy = c.runtime.Now()
	}
}

func (c *Coordinator) diskStalled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.diskBusy.IsZero() && c.runtime.Now().Sub(c.diskBusy) > diskPatience
}

// RecordBackupResult tells the steward how the last write to a backup ended.
func (c *Coordinator) RecordBackupResult(backup Identity, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ok {
		delete(c.backupFails, backup)
	} else if _, known := c.backupFails[backup]; !known {
		c.backupFails[backup] = c.runtime.Now()
	}
}

// failing tells whether a backup's writes have failed for longer than it may.
func (c *Coordinator) backupFailing(backup Identity) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backupFailingLocked(backup)
}

func (c *Coordinator) backupFailingLocked(backup Identity) bool {
	since, known := c.backupFails[backup]
	return known && c.runtime.Now().Sub(since) > c.timing.BackupSilence
}

// healthy lists the backups that answer, whole and in time.
func (c *Coordinator) healthyBackups(membership Membership) []Replica {
	var healthy []Replica
	for _, replica := range membership.Backups() {
		hello, seen := c.alive(replica.Identity, c.timing.BackupSilence+c.timing.Beat)
		if seen && hello.Damage == "" && !hello.Restricted && !c.backupFailing(replica.Identity) {
			healthy = append(healthy, replica)
		}
	}
	return healthy
}

// anyLeaving tells whether one of the backups has said that it is about to end.
func (c *Coordinator) anyLeaving(backups []Replica) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, replica := range backups {
		if known, found := c.known[replica.Identity]; found && known.hello.Leaving {
			return true
		}
	}
	return false
}

// ensureBackups keeps as many copies in sync as are wanted: whoever takes the place
// of one that is gone gets a snapshot while commits stand still, and counts from
// the grant of the next membership on.
func (c *Coordinator) ensureBackups() {
	membership := c.Membership()
	wanted := c.wanted()
	c.mutex.Lock()
	restricted := c.restricted
	c.mutex.Unlock()
	healthy := c.healthyBackups(membership)
	complete := !membership.Backup.Empty() && !c.unsettled && len(healthy) == len(membership.Backups())
	if complete && len(healthy) >= wanted && !c.anyLeaving(healthy) && !c.canSpreadZones(membership, wanted) {
		if restricted {
			c.handOver(membership)
		}
		return
	}
	candidates := c.backupCandidates(membership, wanted)
	if !c.unsettled && !membership.Backup.Empty() && c.noBetterBackups(membership, healthy, candidates, wanted) {
		return
	}
	if complete && !c.installAhead(membership, candidates, wanted) {
		return
	}
	if len(candidates) > 0 {
		snapshot, leading := c.store.PauseCommits()
		if !leading {
			return
		}
		c.unsettled = true
		installed := c.installSnapshot(membership, snapshot, candidates, wanted)
		if c.mayGrant(membership, installed, wanted) {
			c.grantPair(installed)
			return
		}
	}
	if c.unsettled && c.witness.Membership().Primary.Identity == c.witness.Replica().Identity {
		// No backup can be had; the epoch is still asked for, so that reads and
		// holds go on from this copy.
		alone := len(candidates) == 0 && c.shortOfReplicas()
		won, err := c.elect(func(base Membership) (Membership, bool) {
			if base.Primary.Identity != c.witness.Replica().Identity {
				return base, false
			}
			if c.store.Hidden() && alone {
				return base.With(c.recorded(c.witness.Replica()), nil), true
			}
			base.Primary = c.recorded(c.witness.Replica())
			return base, true
		})
		if failure.CodeOf(err) == failure.Deposed {
			c.resign("deposed", won)
		} else if err == nil {
			if won.Backup.Empty() {
				c.store.Show(won.Epoch)
			} else {
				c.store.SetEpoch(won.Epoch)
			}
			c.confirm(won)
		}
	}
}

// grantPair asks for the membership in which the installed copies are the backups.
func (c *Coordinator) grantPair(installed []Replica) {
	won, err := c.elect(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != c.witness.Replica().Identity {
			return base, false
		}
		return base.With(c.recorded(c.witness.Replica()), installed), true
	})
	if err != nil {
		c.observe("pair_not_granted", "backups", installed, "cause", err)
		if failure.CodeOf(err) == failure.Deposed {
			c.resign("deposed", won)
		}
		return
	}
	c.unsettled = false
	c.shortSince = time.Time{}
	for _, replica := range installed {
		c.RecordBackupResult(replica.Identity, true)
	}
	c.store.ResumeCommits(won.Epoch)
	c.observe("pair_granted", "epoch", won.Epoch, "backups", installed)
	c.confirm(won)
}

// short tells whether copies have been too few for longer than the primary waits.
func (c *Coordinator) shortOfReplicas() bool {
	now := c.runtime.Now()
	if c.shortSince.IsZero() {
		c.shortSince = now
	}
	return now.Sub(c.shortSince) >= c.timing.FewerCopies
}

// mayGrant tells whether the installed copies may be the backups: there are no
// fewer than now, or no more can be had for some time.
func (c *Coordinator) mayGrant(membership Membership, installed []Replica, wanted int) bool {
	if len(installed) == 0 {
		return false
	}
	return len(installed) >= min(wanted, max(len(membership.Backups()), 1)) || c.shortOfReplicas()
}

// noBetterBackups tells whether the backups that are there are those that would be
// chosen now, and none is dead, damaged or failing.
func (c *Coordinator) noBetterBackups(membership Membership, healthy, candidates []Replica, wanted int) bool {
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
		hello, alive := c.alive(replica.Identity, c.timing.BackupSilence+c.timing.Beat)
		if !alive || hello.Damage != "" || c.backupFailing(replica.Identity) {
			return false
		}
	}
	return true
}

// installAhead brings newcomers a snapshot while commits go on, so that commits stand
// still only for what was written since. It tells whether a newcomer has it.
func (c *Coordinator) installAhead(membership Membership, candidates []Replica, wanted int) bool {
	snapshot, leading := c.store.Snapshot()
	if !leading {
		return false
	}
	var newcomers []Replica
	c.mutex.Lock()
	for _, replica := range candidates {
		failed, tried := c.installFails[replica.Identity]
		if !hasReplica(membership.Backups(), replica.Identity) && !(tried && c.runtime.Now().Sub(failed) < applicantFresh) {
			newcomers = append(newcomers, replica)
		}
	}
	c.mutex.Unlock()
	return len(c.installSnapshot(membership, snapshot, newcomers, max(wanted-len(membership.Backups()), 1))) > 0
}

// install brings the snapshot to as many candidates as are wanted at once. When one
// fails, or its disk takes its time, the next is tried beside it. The primary's hold
// is renewed meanwhile.
func (c *Coordinator) installSnapshot(membership Membership, snapshot Snapshot, candidates []Replica, wanted int) []Replica {
	var mutex sync.Mutex
	results := map[Identity]error{}
	cond := c.runtime.NewCond()
	started := 0
	start := func() {
		replica := candidates[started]
		started++
		c.runtime.Go(func() {
			err := c.peers.Install(c.Address(replica), replica.Identity, snapshot)
			mutex.Lock()
			results[replica.Identity] = err
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	installed := func() []Replica {
		mutex.Lock()
		defer mutex.Unlock()
		var installed []Replica
		for _, replica := range candidates {
			if err, over := results[replica.Identity]; over && err == nil && len(installed) < wanted {
				installed = append(installed, replica)
			}
		}
		return installed
	}
	running := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return started - len(results)
	}
	latest, confirmed := c.runtime.Now(), c.runtime.Now()
	deadline := latest.Add(gatherPatience)
	for c.runtime.Now().Before(deadline) {
		ok := len(installed())
		for running() < wanted-ok && started < len(candidates) {
			start()
		}
		before := running()
		if ok >= wanted || before == 0 {
			break
		}
		// Every install ends by itself, later than any patience of this steward.
		over := cond.Wait(c.timing.Lease/5, func() bool { return running() < before })
		now := c.runtime.Now()
		if now.Sub(confirmed) >= c.timing.Lease/5 {
			confirmed = now
			c.confirm(membership)
		}
		if over || now.Sub(latest) < installPatience {
			continue
		}
		if started < len(candidates) {
			start()
			latest = now
		} else if (ok > 0 || !c.unsettled) && now.Sub(latest) > c.timing.FewerCopies {
			break
		}
	}
	chosen := installed()
	mutex.Lock()
	defer mutex.Unlock()
	c.recordInstalls(candidates[:started], results)
	return chosen
}

// recordInstalls remembers who could not be brought a snapshot in time, and is tried
// last for a while.
func (c *Coordinator) recordInstalls(tried []Replica, results map[Identity]error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, replica := range tried {
		err, over := results[replica.Identity]
		delete(c.installFails, replica.Identity)
		if err != nil || !over {
			c.installFails[replica.Identity] = c.runtime.Now()
			c.observe("install_failed", "backup", replica.Name, "cause", err)
		}
	}
}

// candidate is a controller that could be a backup. The lower its rank, the better;
// among equals the one in the zone with the fewest copies goes first.
type backupCandidate struct {
	replica      Replica
	rank         int
	zoneReplicas int
}

// backupCandidates lists the controllers that could be backups, the best first.
func (c *Coordinator) backupCandidates(membership Membership, wanted int) []Replica {
	copies := membership.With(c.recorded(c.witness.Replica()), membership.Backups()).Copies()
	var candidates []backupCandidate
	c.mutex.Lock()
	for _, identity := range c.acquaintances() {
		known := c.known[identity]
		if rank, may := c.rank(membership, known, wanted > 1); may {
			candidates = append(candidates, backupCandidate{replica: known.hello.Seat, rank: rank, zoneReplicas: countInZone(copies, known.hello.Seat.Zone)})
		}
	}
	c.mutex.Unlock()
	sort.SliceStable(candidates, func(left, right int) bool {
		if candidates[left].rank != candidates[right].rank {
			return candidates[left].rank < candidates[right].rank
		}
		return wanted > 1 && candidates[left].zoneReplicas < candidates[right].zoneReplicas
	})
	ordered := make([]Replica, 0, len(candidates))
	for _, ca := range candidates {
		ordered = append(ordered, c.recorded(ca.replica))
	}
	if wanted > 1 {
		spreadZones(ordered, copies[0].Zone, wanted)
	}
	return ordered
}

// rank tells how well an acquaintance would do as a backup, or that it can't be one.
// The caller has the mutex.
func (c *Coordinator) rank(m Membership, known *acquaintance, several bool) (int, bool) {
	now := c.runtime.Now()
	identity, silence := known.hello.Seat.Identity, now.Sub(known.answered)
	if known.hello.Kind != membership.Controller || silence >= c.timing.BackupSilence+c.timing.Beat {
		return 0, false
	}
	failing := c.backupFailingLocked(identity)
	present := hasReplica(m.Backups(), identity)
	rank := 2
	switch {
	case known.hello.Restricted && !several && !m.Backup.Empty() && !c.backupFailingLocked(m.Backup.Identity) && !c.unsettled:
		// A backup that is there is not exchanged for a restricted one.
		return 0, false
	case known.hello.Restricted:
		// It lacks an enabled flag. It keeps sections that it does not read,
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
	if failed, tried := c.installFails[identity]; tried && now.Sub(failed) < applicantFresh {
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

// spreadZones brings a candidate of another zone forward when all that would be
// chosen are in the primary's.
func spreadZones(candidates []Replica, zone string, wanted int) {
	if zone == "" || len(candidates) <= wanted || countInZone(candidates[:wanted], zone) < wanted {
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

func countInZone(replicas []Replica, zone string) int {
	count := 0
	for _, replica := range replicas {
		if replica.Zone == zone {
			count++
		}
	}
	return count
}

// crowded tells whether all copies are in one zone and another could be had.
func (c *Coordinator) canSpreadZones(membership Membership, wanted int) bool {
	if wanted == 1 {
		return false
	}
	zone := c.recorded(c.witness.Replica()).Zone
	if countInZone(membership.Backups(), zone) < len(membership.Backups()) {
		return false
	}
	candidates := c.backupCandidates(membership, wanted)
	chosen := candidates[:min(wanted, len(candidates))]
	return countInZone(chosen, zone) < len(chosen)
}

// StaleReplicas lists the controllers out of the pair whose copies were older than
// the version when they were heard last.
func (c *Coordinator) StaleReplicas(version Version) []Replica {
	m := c.Membership()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var old []Replica
	for _, identity := range c.acquaintances() {
		known := c.known[identity]
		fresh := c.runtime.Now().Sub(known.lastSeen) < applicantFresh && !c.superseded(known)
		if fresh && known.hello.Kind == membership.Controller && !m.InSync(identity) && known.hello.Version.Before(version) {
			old = append(old, known.hello.Seat)
		}
	}
	return old
}

// superseded tells whether another disk was heard at the acquaintance's address
// since: the old one is gone. The caller has the mutex.
func (c *Coordinator) superseded(known *acquaintance) bool {
	for _, other := range c.known {
		if other != known && other.hello.Seat.Address == known.hello.Seat.Address && other.lastSeen.After(known.lastSeen) {
			return true
		}
	}
	return false
}
