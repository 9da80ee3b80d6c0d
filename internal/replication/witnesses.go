package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// reconcileWitnesses replaces witnesses that are gone or leaving, in two grants as in joint
// consensus: the first needs majorities of both sets (Incoming), after the second only the new set
// votes.
//
// Invariant: the second grant is derived only from a first one that this primary saw granted, so
// that two successive memberships always have intersecting majorities.
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
		plan := c.planReplacement
		if wanted := c.wantedBackups(); wanted > 1 {
			plan = func(m Membership) ([]Replica, bool) { return c.planAcrossZones(m, 2*wanted+1) }
		}
		incoming, change := plan(membership)
		if !change {
			return
		}
		next.Incoming = incoming
	}
	granted, err := c.proposeMembership(func(base Membership) (Membership, bool) {
		// The next membership may be derived only from one that this primary has seen granted.
		return next, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		c.observe("witnesses_not_granted", "cause", err)
		c.membershipUnknown = true
		return
	}
	c.store.ResumeCommits(granted.Epoch)
	c.renewLease(granted)
	c.observe("witnesses_granted", "epoch", granted.Epoch, "witnesses", granted.Witnesses, "incoming", granted.Incoming)
}

// witnessToReplace returns the first witness that is gone, or else the last witness that is leaving.
// It never returns the witness of this controller.
func (c *Coordinator) witnessToReplace(membership Membership) (Replica, bool) {
	var leaving Replica
	for _, replica := range membership.Witnesses {
		if replica.Identity == c.witness.Replica().Identity {
			continue
		}
		hello, alive := c.alive(replica.Identity, c.timing.WitnessTimeout)
		if !alive || c.diskReplaced(replica) {
			return replica, true
		}
		if hello.Leaving {
			leaving = replica
		}
	}
	return leaving, !leaving.Empty()
}

// planReplacement plans the witnesses where one loss is tolerated: a controller that is not a witness
// replaces a witness that is gone or leaving. A responding controller at the address of that witness is
// preferred. Otherwise the controller with the lowest identity is chosen, among this primary and the
// controllers that respond. The result is false when nothing has to change or no controller is available.
func (c *Coordinator) planReplacement(m Membership) ([]Replica, bool) {
	outgoing, found := c.witnessToReplace(m)
	if !found {
		return nil, false
	}
	own := c.witness.Replica().Identity
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var newcomer Replica
	if !m.HasVoter(own) {
		// A primary that is not a witness is available without having to respond.
		newcomer = c.witness.Replica()
	}
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		hello := status.hello
		able := hello.Kind == membership.Controller && !hello.Leaving && !m.HasVoter(hello.Replica.Identity)
		if !able || c.runtime.Now().Sub(status.lastResponse) > peerFreshness {
			continue
		}
		if newcomer.Empty() || hello.Replica.Address == outgoing.Address || hello.Replica.Identity < newcomer.Identity {
			newcomer = hello.Replica
		}
	}
	if newcomer.Empty() {
		return nil, false
	}
	var incoming []Replica
	for _, replica := range m.Witnesses {
		if replica.Identity == outgoing.Identity {
			replica = newcomer
		}
		incoming = append(incoming, replica)
	}
	return incoming, true
}

// planAcrossZones plans the witnesses where several losses are tolerated. Controllers that respond
// replace the witnesses that are gone or leaving. There are as many witnesses as wanted if enough
// controllers are available. No zone gets so many witnesses that its loss would leave no majority.
func (c *Coordinator) planAcrossZones(m Membership, wanted int) ([]Replica, bool) {
	c.mutex.Lock()
	heardFromAll := c.runtime.Now().Sub(c.leadsSince) >= c.timing.WitnessTimeout
	c.mutex.Unlock()
	plan := witnessPlan{wanted: wanted}
	for _, replica := range m.Witnesses {
		lastHello, alive := c.alive(replica.Identity, c.timing.WitnessTimeout)
		if replica.Identity == c.witness.Replica().Identity {
			replica, alive = c.withZone(c.witness.Replica()), true
		} else if hello, known := c.alive(replica.Identity, time.Minute); known {
			replica = c.withZone(hello.Replica)
		}
		// A primary that has just taken over has not heard from all controllers yet.
		gone := !alive && heardFromAll || alive && lastHello.Leaving || c.diskReplaced(replica)
		plan.witnesses = append(plan.witnesses, plannedWitness{replica: replica, gone: gone})
	}
	if own := c.witness.Replica(); !m.HasVoter(own.Identity) {
		plan.spares = append(plan.spares, c.withZone(own))
	}
	c.mutex.Lock()
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		if status.hello.Kind == membership.Controller && !status.hello.Leaving && !m.HasVoter(identity) &&
			c.runtime.Now().Sub(status.lastResponse) <= responseFreshness {
			plan.spares = append(plan.spares, status.hello.Replica)
		}
	}
	c.mutex.Unlock()
	return plan.next()
}
