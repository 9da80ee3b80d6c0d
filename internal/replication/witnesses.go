package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// ensureWitnesses exchanges a keeper that is gone for a controller that is
// there: first both sets must agree, then only the new one.
func (c *Coordinator) ensureWitnesses() {
	membership := c.Membership()
	if c.unsettled || !c.store.Leading() || membership.Backup.Empty() {
		return
	}
	next := membership
	if len(membership.Incoming) > 0 {
		next.Witnesses, next.Incoming = membership.Incoming, nil
	} else {
		exchange := c.exchange
		if wanted := c.wanted(); wanted > 1 {
			exchange = func(m Membership) ([]Replica, bool) { return c.spread(m, 2*wanted+1) }
		}
		incoming, change := exchange(membership)
		if !change {
			return
		}
		next.Incoming = incoming
	}
	won, err := c.elect(func(base Membership) (Membership, bool) {
		// Only the membership that this steward has seen granted may be built on.
		return next, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		c.observe("keepers_not_granted", "cause", err)
		c.unsettled = true
		return
	}
	c.store.ResumeCommits(won.Epoch)
	c.confirm(won)
	c.observe("keepers_granted", "epoch", won.Epoch, "keepers", won.Witnesses, "incoming", won.Incoming)
}

// replaced tells whether another disk answers at the keeper's address since the
// keeper was heard last: its own is lost, and nothing is to be waited for.
func (c *Coordinator) replaced(replica Replica) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address, lastSeen := replica.Address, time.Time{}
	if known, found := c.known[replica.Identity]; found {
		address, lastSeen = known.hello.Seat.Address, known.lastSeen
	}
	for identity, other := range c.known {
		if identity != replica.Identity && other.hello.Kind == membership.Controller && other.hello.Seat.Address == address &&
			other.answered.After(lastSeen) && c.runtime.Now().Sub(other.answered) <= applicantFresh {
			return true
		}
	}
	return false
}

// vacantSeat is a keeper's seat that another should have: that of one that is gone, or
// else of one that is about to end.
func (c *Coordinator) vacantSeat(membership Membership) (Replica, bool) {
	var vacant Replica
	for _, replica := range membership.Witnesses {
		if replica.Identity == c.witness.Replica().Identity {
			continue
		}
		hello, alive := c.alive(replica.Identity, c.timing.WitnessSilence)
		if !alive || c.replaced(replica) {
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
func (c *Coordinator) exchange(m Membership) ([]Replica, bool) {
	gone, found := c.vacantSeat(m)
	if !found {
		return nil, false
	}
	own := c.witness.Replica().Identity
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var newcomer Replica
	if !m.Keeps(own) {
		// A primary that came as a newcomer itself.
		newcomer = c.witness.Replica()
	}
	for _, identity := range c.acquaintances() {
		known := c.known[identity]
		hello := known.hello
		if hello.Kind != membership.Controller || hello.Leaving || m.Keeps(hello.Seat.Identity) || c.runtime.Now().Sub(known.answered) > applicantFresh {
			continue
		}
		if newcomer.Empty() || hello.Seat.Address == gone.Address || hello.Seat.Identity < newcomer.Identity {
			newcomer = hello.Seat
		}
	}
	if newcomer.Empty() {
		return nil, false
	}
	var incoming []Replica
	for _, replica := range m.Witnesses {
		if replica.Identity == gone.Identity {
			replica = newcomer
		}
		incoming = append(incoming, replica)
	}
	return incoming, true
}

// spread plans the next keepers where several losses are borne: those that are gone
// give way to controllers that are there, there are as many as wanted if they can be
// had, and no zone has so many that its loss would leave no majority.
func (c *Coordinator) spread(m Membership, wanted int) ([]Replica, bool) {
	c.mutex.Lock()
	settled := c.runtime.Now().Sub(c.leadsFrom) >= c.timing.WitnessSilence
	c.mutex.Unlock()
	plan := witnessPlan{wanted: wanted}
	for _, replica := range m.Witnesses {
		said, alive := c.alive(replica.Identity, c.timing.WitnessSilence)
		if replica.Identity == c.witness.Replica().Identity {
			replica, alive = c.recorded(c.witness.Replica()), true
		} else if hello, known := c.alive(replica.Identity, time.Minute); known {
			replica = c.recorded(hello.Seat)
		}
		// A primary that has just begun has not heard from everybody yet.
		plan.keepers = append(plan.keepers, plannedWitness{seat: replica, gone: !alive && settled || alive && said.Leaving || c.replaced(replica)})
	}
	if own := c.witness.Replica(); !m.Keeps(own.Identity) {
		plan.spares = append(plan.spares, c.recorded(own))
	}
	c.mutex.Lock()
	for _, identity := range c.acquaintances() {
		known := c.known[identity]
		if known.hello.Kind == membership.Controller && !known.hello.Leaving && !m.Keeps(identity) && c.runtime.Now().Sub(known.answered) <= staleAnswer {
			plan.spares = append(plan.spares, known.hello.Seat)
		}
	}
	c.mutex.Unlock()
	return plan.next()
}
