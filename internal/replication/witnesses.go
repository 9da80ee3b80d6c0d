package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// ensureWitnesses exchanges a keeper that is gone for an expediter that is
// there: first both sets must agree, then only the new one.
func (coordinator *Coordinator) ensureWitnesses() {
	membership := coordinator.Membership()
	if coordinator.unsettled || !coordinator.store.Leading() || membership.Backup.Empty() {
		return
	}
	next := membership
	if len(membership.Incoming) > 0 {
		next.Witnesses, next.Incoming = membership.Incoming, nil
	} else {
		exchange := coordinator.exchange
		if wanted := coordinator.wanted(); wanted > 1 {
			exchange = func(m Membership) ([]Replica, bool) { return coordinator.spread(m, 2*wanted+1) }
		}
		incoming, change := exchange(membership)
		if !change {
			return
		}
		next.Incoming = incoming
	}
	won, err := coordinator.elect(func(base Membership) (Membership, bool) {
		// Only the charter that this steward has seen granted may be built on.
		return next, base.Epoch == membership.Epoch && base.Primary.Identity == membership.Primary.Identity
	})
	if err != nil {
		coordinator.observe("keepers_not_granted", "cause", err)
		coordinator.unsettled = true
		return
	}
	coordinator.store.Thaw(won.Epoch)
	coordinator.confirm(won)
	coordinator.observe("keepers_granted", "epoch", won.Epoch, "keepers", won.Witnesses, "incoming", won.Incoming)
}

// replaced tells whether another disk answers at the keeper's address since the
// keeper was heard last: its own is lost, and nothing is to be waited for.
func (coordinator *Coordinator) replaced(replica Replica) bool {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	address, lastSeen := replica.Address, time.Time{}
	if known, found := coordinator.known[replica.Identity]; found {
		address, lastSeen = known.hello.Seat.Address, known.lastSeen
	}
	for identity, other := range coordinator.known {
		if identity != replica.Identity && other.hello.Kind == membership.Controller && other.hello.Seat.Address == address &&
			other.answered.After(lastSeen) && coordinator.runtime.Now().Sub(other.answered) <= applicantFresh {
			return true
		}
	}
	return false
}

// vacantSeat is a keeper's seat that another should have: that of one that is gone, or
// else of one that is about to end.
func (coordinator *Coordinator) vacantSeat(membership Membership) (Replica, bool) {
	var vacant Replica
	for _, replica := range membership.Witnesses {
		if replica.Identity == coordinator.witness.Replica().Identity {
			continue
		}
		hello, alive := coordinator.alive(replica.Identity, coordinator.timing.WitnessSilence)
		if !alive || coordinator.replaced(replica) {
			return replica, true
		}
		if hello.Leaving {
			vacant = replica
		}
	}
	return vacant, !vacant.Empty()
}

// exchange plans the next keepers where one loss is borne: whoever is gone or leaves gives
// way to an expediter that is there.
func (coordinator *Coordinator) exchange(m Membership) ([]Replica, bool) {
	gone, found := coordinator.vacantSeat(m)
	if !found {
		return nil, false
	}
	own := coordinator.witness.Replica().Identity
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	var newcomer Replica
	if !m.Keeps(own) {
		// A primary that came as a newcomer itself.
		newcomer = coordinator.witness.Replica()
	}
	for _, identity := range coordinator.acquaintances() {
		known := coordinator.known[identity]
		hello := known.hello
		if hello.Kind != membership.Controller || hello.Leaving || m.Keeps(hello.Seat.Identity) || coordinator.runtime.Now().Sub(known.answered) > applicantFresh {
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
// give way to expediters that are there, there are as many as wanted if they can be
// had, and no district has so many that its loss would leave no majority.
func (coordinator *Coordinator) spread(m Membership, wanted int) ([]Replica, bool) {
	coordinator.mutex.Lock()
	settled := coordinator.runtime.Now().Sub(coordinator.leadsFrom) >= coordinator.timing.WitnessSilence
	coordinator.mutex.Unlock()
	plan := witnessPlan{wanted: wanted}
	for _, replica := range m.Witnesses {
		said, alive := coordinator.alive(replica.Identity, coordinator.timing.WitnessSilence)
		if replica.Identity == coordinator.witness.Replica().Identity {
			replica, alive = coordinator.recorded(coordinator.witness.Replica()), true
		} else if hello, known := coordinator.alive(replica.Identity, time.Minute); known {
			replica = coordinator.recorded(hello.Seat)
		}
		// A primary that has just begun has not heard from everybody yet.
		plan.keepers = append(plan.keepers, plannedWitness{seat: replica, gone: !alive && settled || alive && said.Leaving || coordinator.replaced(replica)})
	}
	if own := coordinator.witness.Replica(); !m.Keeps(own.Identity) {
		plan.spares = append(plan.spares, coordinator.recorded(own))
	}
	coordinator.mutex.Lock()
	for _, identity := range coordinator.acquaintances() {
		known := coordinator.known[identity]
		if known.hello.Kind == membership.Controller && !known.hello.Leaving && !m.Keeps(identity) && coordinator.runtime.Now().Sub(known.answered) <= staleAnswer {
			plan.spares = append(plan.spares, known.hello.Seat)
		}
	}
	coordinator.mutex.Unlock()
	return plan.next()
}
