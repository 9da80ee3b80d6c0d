package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// SetDiskBusy records that a write to the local disk begins, or that the last one has succeeded.
func (c *Coordinator) SetDiskBusy(busy bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !busy {
		c.diskBusy = time.Time{}
	} else if c.diskBusy.IsZero() {
		c.diskBusy = c.runtime.Now()
	}
}

// diskStalled reports whether a write to the local disk takes longer than diskTimeout.
func (c *Coordinator) diskStalled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.diskBusy.IsZero() && c.runtime.Now().Sub(c.diskBusy) > diskTimeout
}

// backupWrites describes the writes to a backup since the last one that succeeded: since is when the
// first of them began, failed whether any of them has failed. The time is recorded at the beginning,
// because a call to a machine without power fails only long after the write was sent.
type backupWrites struct {
	since  time.Time
	failed bool
}

// RecordBackupWrite records that a write to a backup begins.
func (c *Coordinator) RecordBackupWrite(backup Identity) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, waiting := c.unsynced[backup]; !waiting {
		c.unsynced[backup] = backupWrites{since: c.runtime.Now()}
	}
}

// RecordBackupResult records whether the last write to a backup succeeded.
func (c *Coordinator) RecordBackupResult(backup Identity, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ok {
		delete(c.unsynced, backup)
		return
	}
	writes, waiting := c.unsynced[backup]
	if !waiting {
		writes.since = c.runtime.Now()
	}
	writes.failed = true
	c.unsynced[backup] = writes
}

// backupFailing reports whether the backup has to be replaced, in one of two cases:
//   - A write has failed, and none has succeeded for longer than Timing.BackupTimeout.
//   - A write has been pending for longer than half of BackupTimeout, and the backup has not responded
//     to any message for longer than BackupTimeout, although another controller has.
//
// A backup that responds while a write is pending has a slow disk, and is not replaced for that. If no
// other controller responds, the primary proposes no replacement: its proposals may still arrive, and
// the promises that witnesses make for them would be missing for another candidate.
func (c *Coordinator) backupFailing(backup Identity) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backupFailingLocked(backup)
}

// backupFailingLocked is backupFailing for callers that have locked the mutex.
func (c *Coordinator) backupFailingLocked(backup Identity) bool {
	writes, waiting := c.unsynced[backup]
	if !waiting {
		return false
	}
	now := c.runtime.Now()
	if writes.failed {
		return now.Sub(writes.since) > c.timing.BackupTimeout
	}
	status, heard := c.peerStatuses[backup]
	silent := heard && now.Sub(status.lastResponse) > c.timing.BackupTimeout
	return silent && now.Sub(writes.since) > c.timing.BackupTimeout/2 && c.otherPeerResponds(backup)
}

// otherPeerResponds reports whether a controller other than the excluded one has responded within
// Timing.BackupTimeout. The caller has locked the mutex.
func (c *Coordinator) otherPeerResponds(excluded Identity) bool {
	now := c.runtime.Now()
	for identity, status := range c.peerStatuses {
		if identity != excluded && now.Sub(status.lastResponse) <= c.timing.BackupTimeout {
			return true
		}
	}
	return false
}

// healthyBackups returns the backups that respond in time, are neither damaged nor restricted, and
// whose writes succeed.
func (c *Coordinator) healthyBackups(membership Membership) []Replica {
	var healthy []Replica
	for _, replica := range membership.Backups() {
		hello, seen := c.alive(replica.Identity, c.timing.BackupTimeout+c.timing.MaxHeartbeatGap)
		if seen && hello.Damage == "" && !hello.Restricted && !c.backupFailing(replica.Identity) {
			healthy = append(healthy, replica)
		}
	}
	return healthy
}

// anyLeaving reports whether the last hello of any of the backups said that it is leaving.
func (c *Coordinator) anyLeaving(backups []Replica) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, replica := range backups {
		if status, found := c.peerStatuses[replica.Identity]; found && status.hello.Leaving {
			return true
		}
	}
	return false
}

// ensureBackups keeps as many backups in sync as are wanted. A new backup installs a snapshot
// while commits are paused, and counts as in sync from the grant of the next membership on. So
// every replica that a membership names has every acknowledged change, and the primary acknowledges
// nothing that is not on all of them.
func (c *Coordinator) ensureBackups() {
	membership := c.Membership()
	wanted := c.wantedBackups()
	c.mutex.Lock()
	restricted := c.restricted
	c.mutex.Unlock()
	healthy := c.healthyBackups(membership)
	complete := !membership.Backup.Empty() && !c.membershipUnknown && len(healthy) == len(membership.Backups())
	if complete && len(healthy) >= wanted && !c.anyLeaving(healthy) && !c.canSpreadZones(membership, wanted) {
		if restricted {
			c.transferLeadership(membership)
		}
		return
	}
	candidates := c.backupCandidates(membership, wanted)
	if !c.membershipUnknown && !membership.Backup.Empty() && c.noBetterBackups(membership, healthy, candidates, wanted) {
		return
	}
	if complete && !c.installBeforePause(membership, candidates, wanted) {
		return
	}
	if len(candidates) > 0 {
		snapshot, leading := c.store.PauseCommits()
		if !leading {
			return
		}
		c.membershipUnknown = true
		installed := c.installSnapshot(membership, snapshot, candidates, wanted)
		if c.mayGrant(membership, installed, wanted) {
			c.grantBackups(installed)
			return
		}
	}
	if c.membershipUnknown && c.witness.Membership().Primary.Identity == c.witness.Replica().Identity {
		c.grantUnchangedBackups()
	}
}

// grantUnchangedBackups proposes the membership again because no backup could be installed. The backups
// stay in it, whether they respond or not: each of them has every acknowledged change and may lead if the
// primary's disk is lost.
func (c *Coordinator) grantUnchangedBackups() {
	granted, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != c.witness.Replica().Identity {
			return base, false
		}
		base.Primary = c.withZone(c.witness.Replica())
		return base, true
	})
	if failure.CodeOf(err) == failure.Deposed {
		c.stepDown("deposed", granted)
	} else if err == nil {
		c.store.SetEpoch(granted.Epoch)
		c.renewLease(granted)
	}
}

// grantBackups proposes the membership in which the installed replicas are the backups, and resumes
// commits with it.
func (c *Coordinator) grantBackups(installed []Replica) {
	granted, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		if base.Primary.Identity != c.witness.Replica().Identity {
			return base, false
		}
		return base.WithReplicas(c.withZone(c.witness.Replica()), installed), true
	})
	if err != nil {
		c.observe("backups_not_granted", "backups", installed, "cause", err)
		if failure.CodeOf(err) == failure.Deposed {
			c.stepDown("deposed", granted)
		}
		return
	}
	c.membershipUnknown = false
	c.shortSince = time.Time{}
	for _, replica := range installed {
		c.RecordBackupResult(replica.Identity, true)
	}
	c.store.ResumeCommits(granted.Epoch)
	c.observe("backups_granted", "epoch", granted.Epoch, "backups", installed)
	c.renewLease(granted)
}

// shortOfReplicas reports whether there have been too few replicas for Timing.ReplacementTimeout.
// The first call starts that time.
func (c *Coordinator) shortOfReplicas() bool {
	now := c.runtime.Now()
	if c.shortSince.IsZero() {
		c.shortSince = now
	}
	return now.Sub(c.shortSince) >= c.timing.ReplacementTimeout
}

// mayGrant reports whether the installed replicas may become the backups: there are at least as many of
// them as present backups or as wanted, whichever is less, or no more could be installed for
// Timing.ReplacementTimeout.
func (c *Coordinator) mayGrant(membership Membership, installed []Replica, wanted int) bool {
	if len(installed) == 0 {
		return false
	}
	return len(installed) >= min(wanted, max(len(membership.Backups()), 1)) || c.shortOfReplicas()
}

// noBetterBackups reports whether there are no candidates, or the candidates that would be selected
// are already backups and no backup is dead, damaged or failing. If only one backup is wanted, that
// backup must not be restricted either.
func (c *Coordinator) noBetterBackups(membership Membership, healthy, candidates []Replica, wanted int) bool {
	if len(candidates) == 0 {
		return true
	}
	if wanted == 1 {
		// A backup that is leaving stays until another is available.
		return candidates[0].Identity == membership.Backup.Identity && hasReplica(healthy, membership.Backup.Identity)
	}
	selected := candidates[:min(wanted, len(candidates))]
	for _, replica := range selected {
		if !hasReplica(membership.Backups(), replica.Identity) {
			return false
		}
	}
	for _, replica := range membership.Backups() {
		if hasReplica(healthy, replica.Identity) {
			continue
		}
		// A backup that is only restricted may stay while no other is available.
		hello, alive := c.alive(replica.Identity, c.timing.BackupTimeout+c.timing.MaxHeartbeatGap)
		if !alive || hello.Damage != "" || c.backupFailing(replica.Identity) {
			return false
		}
	}
	return true
}

// StaleReplicas returns the controllers that are not in sync and whose last hello reported a
// replica older than the version.
func (c *Coordinator) StaleReplicas(version Version) []Replica {
	m := c.Membership()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var stale []Replica
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		fresh := c.runtime.Now().Sub(status.lastSeen) < peerFreshness && !c.superseded(status)
		if fresh && status.hello.Kind == membership.Controller && !m.InSync(identity) && status.hello.Version.Before(version) {
			stale = append(stale, status.hello.Replica)
		}
	}
	return stale
}

// superseded reports whether a controller with another disk sent a later hello from the same address,
// which means that the disk of the given status is gone. The caller has locked the mutex.
func (c *Coordinator) superseded(status *peerStatus) bool {
	for _, other := range c.peerStatuses {
		if other != status && other.hello.Replica.Address == status.hello.Replica.Address && other.lastSeen.After(status.lastSeen) {
			return true
		}
	}
	return false
}
