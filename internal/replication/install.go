package replication

import (
	"sync"

	"seamloom.example/seamloom/internal/runtime"
)

// installBeforePause installs a snapshot on new backups while commits continue, so that the later
// pause of commits has to cover only what is written in the meantime. It reports whether any new backup
// has installed the snapshot.
func (c *Coordinator) installBeforePause(membership Membership, candidates []Replica, wanted int) bool {
	snapshot, leading := c.store.Snapshot()
	if !leading {
		return false
	}
	var newcomers []Replica
	c.mutex.Lock()
	for _, replica := range candidates {
		failed, tried := c.installFails[replica.Identity]
		if !hasReplica(membership.Backups(), replica.Identity) && !(tried && c.runtime.Now().Sub(failed) < peerFreshness) {
			newcomers = append(newcomers, replica)
		}
	}
	c.mutex.Unlock()
	return len(c.installSnapshot(membership, snapshot, newcomers, max(wanted-len(membership.Backups()), 1))) > 0
}

// installation is the installation of one snapshot on several candidates in parallel.
type installation struct {
	candidates []Replica
	wanted     int
	// started counts the candidates that were sent the snapshot; only the goroutine that waits for
	// the installation uses it.
	started int
	cond    runtime.Cond

	mutex sync.Mutex
	// results holds the outcomes of the installs that have ended.
	results map[Identity]error
}

// installed returns the candidates that have the snapshot, at most as many as wanted.
func (i *installation) installed() []Replica {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var installed []Replica
	for _, replica := range i.candidates {
		if err, ended := i.results[replica.Identity]; ended && err == nil && len(installed) < i.wanted {
			installed = append(installed, replica)
		}
	}
	return installed
}

// running returns the number of installs that have not ended.
func (i *installation) running() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.started - len(i.results)
}

// startInstall sends the snapshot to the next candidate.
func (c *Coordinator) startInstall(i *installation, snapshot Snapshot) {
	replica := i.candidates[i.started]
	i.started++
	c.runtime.Go(func() {
		err := c.peers.Install(c.Address(replica), replica.Identity, snapshot)
		i.mutex.Lock()
		i.results[replica.Identity] = err
		i.mutex.Unlock()
		i.cond.Broadcast()
	})
}

// installSnapshot installs the snapshot in parallel on as many candidates as are wanted, and returns
// the candidates that have installed it. When an install fails or is slow, the next candidate is tried in
// parallel. Meanwhile the primary's lease is renewed.
func (c *Coordinator) installSnapshot(
	membership Membership,
	snapshot Snapshot,
	candidates []Replica,
	wanted int,
) []Replica {
	i := &installation{
		candidates: candidates,
		wanted:     wanted,
		cond:       c.runtime.NewCond(),
		results:    map[Identity]error{},
	}
	// lastStart is when the first installs were started, or the last one that was added because others are
	// slow. An install that replaces a failed one does not change it.
	lastStart, lastRenewal := c.runtime.Now(), c.runtime.Now()
	deadline := lastStart.Add(gatherTimeout)
	for c.runtime.Now().Before(deadline) {
		installed := len(i.installed())
		for i.running() < wanted-installed && i.started < len(candidates) {
			c.startInstall(i, snapshot)
		}
		before := i.running()
		if installed >= wanted || before == 0 {
			break
		}
		// Every install ends by itself, but possibly too late for the next renewal of the lease.
		ended := i.cond.Wait(c.timing.Lease/5, func() bool { return i.running() < before })
		now := c.runtime.Now()
		if now.Sub(lastRenewal) >= c.timing.Lease/5 {
			lastRenewal = now
			c.renewLease(membership)
		}
		if ended || now.Sub(lastStart) < installTimeout {
			continue
		}
		// Once all candidates have been tried, the wait for slow installs ends ReplacementTimeout after
		// lastStart. It lasts until the deadline if no install has succeeded and membershipUnknown is set,
		// because commits are then paused and resume only with a backup.
		if i.started < len(candidates) {
			c.startInstall(i, snapshot)
			lastStart = now
		} else if (installed > 0 || !c.membershipUnknown) && now.Sub(lastStart) > c.timing.ReplacementTimeout {
			break
		}
	}
	chosen := i.installed()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	c.recordInstalls(candidates[:i.started], i.results)
	return chosen
}

// recordInstalls records the candidates on which the snapshot could not be installed in time. For
// peerFreshness they are then ranked lower as candidates, and installBeforePause leaves them out.
func (c *Coordinator) recordInstalls(tried []Replica, results map[Identity]error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, replica := range tried {
		err, ended := results[replica.Identity]
		delete(c.installFails, replica.Identity)
		if err != nil || !ended {
			c.installFails[replica.Identity] = c.runtime.Now()
			c.observe("install_failed", "backup", replica.Name, "cause", err)
		}
	}
}
