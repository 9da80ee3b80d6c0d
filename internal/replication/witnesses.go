package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// reconcileWitnesses replaces witnesses that are gone or leave, in two grants as in joint consensus:
// first majorities of both sets must agree (Incoming), then only of the new one.
//
// Invariant: the second grant is built only on a first that this primary saw granted, so that the
// sets of two neighbouring memberships always have intersecting majorities.
// docs/design/control-safety.md, point 3.
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
		// Only the membership that this primary has seen granted may be built on.
		return next, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		c.observe("witnesses_not_granted", "cause", err)
		c.membershipUnknown = true
		return
	}
	c.store.ResumeCommits(won.Epoch)
	c.renewLease(won)
	c.observe("witnesses_granted", "epoch", won.Epoch, "witnesses", won.Witnesses, "incoming", won.Incoming)
}

// witnessToReplace returns the first witness that is gone, or else one that leaves.
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

// planReplacement plans the witnesses where one loss is tolerated: a controller that responds takes
// the place of one that is gone or leaves. The result is false when nothing is to be changed.
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
		// A primary that is no witness itself comes first.
		newcomer = c.witness.Replica()
	}
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		hello := status.hello
		able := hello.Kind == membership.Controller && !hello.Leaving && !m.HasVoter(hello.Replica.Identity)
		if !able || c.runtime.Now().Sub(status.lastResponse) > applicantFreshness {
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

// planAcrossZones plans the witnesses where several losses are tolerated: controllers that respond
// take the place of those that are gone, there are as many as wanted if they can be had, and no
// zone has so many that its loss would leave no majority.
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
		// A primary that has just taken over has not heard from everybody yet.
		gone := !alive && heardFromAll || alive && said.Leaving || c.diskReplaced(replica)
		plan.witnesses = append(plan.witnesses, plannedWitness{replica: replica, gone: gone})
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
