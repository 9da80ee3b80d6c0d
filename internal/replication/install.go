package replication

import (
	"sync"

	"seamloom.example/seamloom/internal/runtime"
)

// installAhead brings newcomers a snapshot while commits continue, so that commits pause only
// for what was written since. It tells whether a newcomer has it.
func (c *Coordinator) installAhead(membership Membership, candidates []Replica, wanted int) bool {
	snapshot, leading := c.store.Snapshot()
	if !leading {
		return false
	}
	var newcomers []Replica
	c.mutex.Lock()
	for _, replica := range candidates {
		failed, tried := c.installFails[replica.Identity]
		if !hasReplica(membership.Backups(), replica.Identity) && !(tried && c.runtime.Now().Sub(failed) < applicantFreshness) {
			newcomers = append(newcomers, replica)
		}
	}
	c.mutex.Unlock()
	return len(c.installSnapshot(membership, snapshot, newcomers, max(wanted-len(membership.Backups()), 1))) > 0
}

// installation brings one snapshot to several candidates at once.
type installation struct {
	candidates []Replica
	wanted     int
	// started counts the candidates that were sent the snapshot; only the thread that
	// waits uses it.
	started int
	cond    runtime.Cond

	mutex sync.Mutex
	// results are the outcomes of the installs that have ended.
	results map[Identity]error
}

// installed lists those who have the snapshot, as many as are wanted at most.
func (i *installation) installed() []Replica {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var installed []Replica
	for _, replica := range i.candidates {
		if err, over := i.results[replica.Identity]; over && err == nil && len(installed) < i.wanted {
			installed = append(installed, replica)
		}
	}
	return installed
}

// running counts the installs that have not ended.
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

// installSnapshot brings the snapshot to as many candidates as are wanted at once, and lists
// those who have it. When one fails, or its disk takes its time, the next is tried beside it.
// The primary's lease is renewed meanwhile.
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
	latest, confirmed := c.runtime.Now(), c.runtime.Now()
	deadline := latest.Add(gatherTimeout)
	for c.runtime.Now().Before(deadline) {
		installed := len(i.installed())
		for i.running() < wanted-installed && i.started < len(candidates) {
			c.startInstall(i, snapshot)
		}
		before := i.running()
		if installed >= wanted || before == 0 {
			break
		}
		// Every install ends by itself, but later than this thread may wait.
		ended := i.cond.Wait(c.timing.Lease/5, func() bool { return i.running() < before })
		now := c.runtime.Now()
		if now.Sub(confirmed) >= c.timing.Lease/5 {
			confirmed = now
			c.renewLease(membership)
		}
		if ended || now.Sub(latest) < installTimeout {
			continue
		}
		if i.started < len(candidates) {
			c.startInstall(i, snapshot)
			latest = now
		} else if (installed > 0 || !c.membershipUnknown) && now.Sub(latest) > c.timing.ReplacementTimeout {
			break
		}
	}
	chosen := i.installed()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	c.recordInstalls(candidates[:i.started], i.results)
	return chosen
}

// recordInstalls remembers who could not be brought a snapshot in time, so that it is tried
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
