package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// reconcileWitnesses exchanges a keeper that is gone for a controller that is
// there: first both sets must agree, then only the new one.
func (c *Coordinator) reconcileWitnesses() {
	membership := c.Membership()
	if c.membershipUnknown || !c.store.Leading() || membership.Backup.Empty() {
		return
	}
	next := membership
	if len(membership.Incoming) > 0 {
		next.Witnesses, next.Incoming = membership.Incoming, nil
	} else {
		exchange := c.planReplacement
		if wanted := c.wantedBackups(); wanted > 1 {
			exchange = func(m Membership) ([]Replica, bool) { return c.planAcrossZones(m, 2*wanted+1) }
		}
		incoming, change := exchange(membership)
		if !change {
			return
		}
		next.Incoming = incoming
	}
	won, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		// Only the membership that this steward has seen granted may be built on.
		return next, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		c.observe("keepers_not_granted", "cause", err)
		c.membershipUnknown = true
		return
	}
	c.store.ResumeCommits(won.Epoch)
	c.renewLease(won)
	c.observe("keepers_granted", "epoch", won.Epoch, "keepers", won.Witnesses, "incoming", won.Incoming)
}

// replaced tells whether another disk answers at the keeper's address since the
// keeper was heard last: its own is lost, and nothing is to be waited for.
func (c *Coordinator) diskReplaced(replica Replica) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address, lastSeen := replica.Address, time.Time{}
	if status, found := c.peerStatuses[replica.Identity]; found {
		address, lastSeen = status.hello.Replica.Address, status.lastSeen
	}
	for identity, other := range c.peerStatuses {
		if identity != replica.Identity && other.hello.Kind == membership.Controller && other.hello.Replica.Address == address &&
			other.lastResponse.After(lastSeen) && c.runtime.Now().Sub(other.lastResponse) <= applicantFreshness {
			return true
		}
	}
	return false
}

// witnessToReplace is a keeper's seat that another should have: that of one that is gone, or
// else of one that is about to end.
func (c *Coordinator) witnessToReplace(membership Membership) (Replica, bool) {
	var vacant Replica
	for _, replica := range membership.Witnesses {
		if replica.Identity == c.witness.Replica().Identity {
			continue
		}
		hello, alive := c.alive(replica.Identity, c.timing.WitnessTimeout)
		if !alive || c.diskReplaced(replica) {
			return replica, true
		}
		if hello.Leaving {
			vacant = replica
		}
	}
	return vacant, !vacant.Empty()
}

// exchange plans the next keepers where one loss is borne: whoever is gone or leaves gives
// way to a controller that is there.
func (c *Coordinator) planReplacement(m Membership) ([]Replica, bool) {
	vacant, found := c.witnessToReplace(m)
	if !found {
		return nil, false
	}
	own := c.witness.Replica().Identity
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var newcomer Replica
	if !m.HasVoter(own) {
		// A primary that came as a newcomer itself.
		newcomer = c.witness.Replica()
	}
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		hello := status.hello
		if hello.Kind != membership.Controller || hello.Leaving || m.HasVoter(hello.Replica.Identity) || c.runtime.Now().Sub(status.lastResponse) > applicantFreshness {
			continue
		}
		if newcomer.Empty() || hello.Replica.Address == vacant.Address || hello.Replica.Identity < newcomer.Identity {
			newcomer = hello.Replica
		}
	}
	if newcomer.Empty() {
		return nil, false
	}
	var incoming []Replica
	for _, replica := range m.Witnesses {
		if replica.Identity == vacant.Identity {
			replica = newcomer
		}
		incoming = append(incoming, replica)
	}
	return incoming, true
}

// spread plans the next keepers where several losses are borne: those that are gone
// give way to controllers that are there, there are as many as wanted if they can be
// had, and no zone has so many that its loss would leave no majority.
func (c *Coordinator) planAcrossZones(m Membership, wanted int) ([]Replica, bool) {
	c.mutex.Lock()
	heardFromAll := c.runtime.Now().Sub(c.leadsSince) >= c.timing.WitnessTimeout
	c.mutex.Unlock()
	plan := witnessPlan{wanted: wanted}
	for _, replica := range m.Witnesses {
		said, alive := c.alive(replica.Identity, c.timing.WitnessTimeout)
		if replica.Identity == c.witness.Replica().Identity {
			replica, alive = c.withZone(c.witness.Replica()), true
		} else if hello, known := c.alive(replica.Identity, time.Minute); known {
			replica = c.withZone(hello.Replica)
		}
		// A primary that has just begun has not heard from everybody yet.
		plan.witnesses = append(plan.witnesses, plannedWitness{replica: replica, gone: !alive && heardFromAll || alive && said.Leaving || c.diskReplaced(replica)})
	}
	if own := c.witness.Replica(); !m.HasVoter(own.Identity) {
		plan.spares = append(plan.spares, c.withZone(own))
	}
	c.mutex.Lock()
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		if status.hello.Kind == membership.Controller && !status.hello.Leaving && !m.HasVoter(identity) && c.runtime.Now().Sub(status.lastResponse) <= responseFreshness {
			plan.spares = append(plan.spares, status.hello.Replica)
		}
	}
	c.mutex.Unlock()
	return plan.next()
}
