package replication

import (
	"sort"

	"seamloom.example/seamloom/internal/membership"
)

// backupCandidate is a controller that could become a backup. A lower rank is better. Where several
// backups are wanted, the candidate whose zone has the fewest replicas in sync comes first among equal
// ranks.
type backupCandidate struct {
	replica Replica
	rank    int
	// zoneReplicas is the number of replicas in sync in the candidate's zone.
	zoneReplicas int
}

// The ranks of backup candidates, the best first, and the penalties that are added to them.
const (
	// rankPresent: the candidate is already a backup, and writes to it do not fail.
	rankPresent = 0
	// rankWitness: the candidate is a witness, and only one backup is wanted.
	rankWitness = 1
	rankOther   = 2
	// rankFailing: the candidate is already a backup, but writes to it fail.
	rankFailing = 3
	// rankRestrictedPresent and rankRestricted: the candidate lacks an enabled flag. In the first case
	// it is already a backup, and several backups are wanted.
	rankRestrictedPresent = 4
	rankRestricted        = 5

	// penaltyInstallFailed: a snapshot could not be installed on the candidate recently.
	penaltyInstallFailed = 6
	// penaltyLeaving: the candidate stops soon, which is still better than no backup.
	penaltyLeaving = 9
	// penaltyStale: the candidate has not responded recently and may be gone already.
	penaltyStale = 12
)

// backupCandidates returns the controllers that could become backups, the best first.
func (c *Coordinator) backupCandidates(membership Membership, wanted int) []Replica {
	inSync := membership.WithReplicas(c.withZone(c.witness.Replica()), membership.Backups()).InSyncReplicas()
	var candidates []backupCandidate
	c.mutex.Lock()
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		if rank, eligible := c.rank(membership, status, wanted > 1); eligible {
			candidates = append(candidates, backupCandidate{
				replica:      status.hello.Replica,
				rank:         rank,
				zoneReplicas: countInZone(inSync, status.hello.Replica.Zone),
			})
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
	for _, candidate := range candidates {
		ordered = append(ordered, c.withZone(candidate.replica))
	}
	if wanted > 1 {
		spreadZones(ordered, inSync[0].Zone, wanted)
	}
	return ordered
}

// rank returns the rank of a controller as a backup candidate, or false if it can't be a backup.
// several is set if more than one backup is wanted. The caller has locked the mutex.
func (c *Coordinator) rank(m Membership, status *peerStatus, several bool) (int, bool) {
	now := c.runtime.Now()
	identity, sinceResponse := status.hello.Replica.Identity, now.Sub(status.lastResponse)
	if status.hello.Kind != membership.Controller || sinceResponse >= c.timing.BackupTimeout+c.timing.MaxHeartbeatGap {
		return 0, false
	}
	failing := c.backupFailingLocked(identity)
	present := hasReplica(m.Backups(), identity)
	rank := rankOther
	switch {
	case status.hello.Restricted && !several && !m.Backup.Empty() && !c.backupFailingLocked(m.Backup.Identity) && !c.membershipUnknown:
		// A working backup is not replaced by a restricted controller.
		return 0, false
	case status.hello.Restricted:
		// A restricted controller lacks an enabled flag, so that it may be unable to decode some
		// sections. It stores those unchanged, which is better than no backup at all.
		rank = rankRestricted
		if several && present {
			rank = rankRestrictedPresent
		}
	case present && failing:
		rank = rankFailing
	case present:
		rank = rankPresent
	case m.HasVoter(identity) && !several:
		rank = rankWitness
	}
	if failed, tried := c.installFails[identity]; tried && now.Sub(failed) < peerFreshness {
		rank += penaltyInstallFailed
	}
	if status.hello.Leaving {
		rank += penaltyLeaving
	}
	if sinceResponse > responseFreshness {
		rank += penaltyStale
	}
	return rank, true
}

// spreadZones ensures, if possible, that the first wanted candidates are not all in the primary's
// zone: if they are, it moves the first candidate of another zone to the last of these places.
func spreadZones(candidates []Replica, primaryZone string, wanted int) {
	if primaryZone == "" || len(candidates) <= wanted || countInZone(candidates[:wanted], primaryZone) < wanted {
		return
	}
	for position := wanted; position < len(candidates); position++ {
		if candidate := candidates[position]; candidate.Zone != primaryZone {
			copy(candidates[wanted:position+1], candidates[wanted-1:position])
			candidates[wanted-1] = candidate
			return
		}
	}
}

// countInZone returns the number of replicas in a zone.
func countInZone(replicas []Replica, zone string) int {
	count := 0
	for _, replica := range replicas {
		if replica.Zone == zone {
			count++
		}
	}
	return count
}

// canSpreadZones reports whether all replicas in sync are in one zone and a candidate in another
// zone could replace one of them.
func (c *Coordinator) canSpreadZones(membership Membership, wanted int) bool {
	if wanted == 1 {
		return false
	}
	zone := c.withZone(c.witness.Replica()).Zone
	if countInZone(membership.Backups(), zone) < len(membership.Backups()) {
		return false
	}
	candidates := c.backupCandidates(membership, wanted)
	chosen := candidates[:min(wanted, len(candidates))]
	return countInZone(chosen, zone) < len(chosen)
}
