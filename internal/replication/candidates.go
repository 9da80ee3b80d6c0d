package replication

import (
	"sort"

	"seamloom.example/seamloom/internal/membership"
)

// backupCandidate is a controller that could be a backup. The lower its rank, the better;
// among equals the one in the zone with the fewest replicas in sync goes first.
type backupCandidate struct {
	replica Replica
	rank    int
	// zoneReplicas is how many replicas in sync its zone has.
	zoneReplicas int
}

// The ranks of backup candidates, the best first, and what is added to them.
const (
	rankPresent           = 0
	rankWitness           = 1
	rankOther             = 2
	rankFailing           = 3
	rankRestrictedPresent = 4
	rankRestricted        = 5

	// penaltyInstallFailed: a snapshot could not be brought to it lately.
	penaltyInstallFailed = 6
	// penaltyLeaving: it ends soon, which is better than nobody.
	penaltyLeaving = 9
	// penaltyStale: it has not responded lately and may be gone already.
	penaltyStale = 12
)

// backupCandidates lists the controllers that could be backups, the best first.
func (c *Coordinator) backupCandidates(membership Membership, wanted int) []Replica {
	copies := membership.WithReplicas(c.withZone(c.witness.Replica()), membership.Backups()).InSyncReplicas()
	var candidates []backupCandidate
	c.mutex.Lock()
	for _, identity := range c.knownIdentities() {
		known := c.peerStatuses[identity]
		if rank, may := c.rank(membership, known, wanted > 1); may {
			candidates = append(candidates, backupCandidate{
				replica:      known.hello.Replica,
				rank:         rank,
				zoneReplicas: countInZone(copies, known.hello.Replica.Zone),
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
		spreadZones(ordered, copies[0].Zone, wanted)
	}
	return ordered
}

// rank tells how well an acquaintance would do as a backup, or false if it can't be one.
// The caller has the mutex.
func (c *Coordinator) rank(m Membership, known *peerStatus, several bool) (int, bool) {
	now := c.runtime.Now()
	identity, silence := known.hello.Replica.Identity, now.Sub(known.lastResponse)
	if known.hello.Kind != membership.Controller || silence >= c.timing.BackupTimeout+c.timing.MaxHeartbeatGap {
		return 0, false
	}
	failing := c.backupFailingLocked(identity)
	present := hasReplica(m.Backups(), identity)
	rank := rankOther
	switch {
	case known.hello.Restricted && !several && !m.Backup.Empty() && !c.backupFailingLocked(m.Backup.Identity) && !c.membershipUnknown:
		// A backup that works is not exchanged for a restricted one.
		return 0, false
	case known.hello.Restricted:
		// It lacks an enabled flag. It stores sections that it can't decode byte for
		// byte, which is better than no second disk at all.
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
	if failed, tried := c.installFails[identity]; tried && now.Sub(failed) < applicantFreshness {
		rank += penaltyInstallFailed
	}
	if known.hello.Leaving {
		rank += penaltyLeaving
	}
	if silence > responseFreshness {
		rank += penaltyStale
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

// countInZone counts the replicas in a zone.
func countInZone(replicas []Replica, zone string) int {
	count := 0
	for _, replica := range replicas {
		if replica.Zone == zone {
			count++
		}
	}
	return count
}

// canSpreadZones tells whether all replicas in sync are in one zone and a candidate in
// another could take the place of one.
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
