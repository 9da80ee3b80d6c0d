package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// ensureKeepers exchanges a keeper that is gone for an expediter that is
// there: first both sets must agree, then only the new one.
func (steward *Steward) ensureKeepers() {
	charter := steward.Charter()
	if steward.unsettled || !steward.store.Leading() || charter.Backup.Empty() {
		return
	}
	next := charter
	if len(charter.Incoming) > 0 {
		next.Keepers, next.Incoming = charter.Incoming, nil
	} else {
		exchange := steward.exchange
		if wanted := steward.wanted(); wanted > 1 {
			exchange = func(charter Charter) ([]Seat, bool) { return steward.spread(charter, 2*wanted+1) }
		}
		incoming, change := exchange(charter)
		if !change {
			return
		}
		next.Incoming = incoming
	}
	won, err := steward.stand(func(base Charter) (Charter, bool) {
		// Only the charter that this steward has seen granted may be built on.
		return next, base.Epoch == charter.Epoch && base.Primary.Identity == charter.Primary.Identity
	})
	if err != nil {
		steward.observe("keepers_not_granted", "cause", err)
		steward.unsettled = true
		return
	}
	steward.store.Thaw(won.Epoch)
	steward.confirm(won)
	steward.observe("keepers_granted", "epoch", won.Epoch, "keepers", won.Keepers, "incoming", won.Incoming)
}

// replaced tells whether another disk answers at the keeper's address since the
// keeper was heard last: its own is lost, and nothing is to be waited for.
func (steward *Steward) replaced(seat Seat) bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	address, lastSeen := seat.Address, time.Time{}
	if known, found := steward.known[seat.Identity]; found {
		address, lastSeen = known.hello.Seat.Address, known.lastSeen
	}
	for identity, other := range steward.known {
		if identity != seat.Identity && other.hello.Kind == membership.Expediter && other.hello.Seat.Address == address &&
			other.answered.After(lastSeen) && steward.turns.Now().Sub(other.answered) <= applicantFresh {
			return true
		}
	}
	return false
}

// vacantSeat is a keeper's seat that another should have: that of one that is gone, or
// else of one that is about to end.
func (steward *Steward) vacantSeat(charter Charter) (Seat, bool) {
	var vacant Seat
	for _, seat := range charter.Keepers {
		if seat.Identity == steward.keeper.Seat().Identity {
			continue
		}
		hello, alive := steward.alive(seat.Identity, steward.timing.WitnessSilence)
		if !alive || steward.replaced(seat) {
			return seat, true
		}
		if hello.Leaving {
			vacant = seat
		}
	}
	return vacant, !vacant.Empty()
}

// exchange plans the next keepers where one loss is borne: whoever is gone or leaves gives
// way to an expediter that is there.
func (steward *Steward) exchange(charter Charter) ([]Seat, bool) {
	gone, found := steward.vacantSeat(charter)
	if !found {
		return nil, false
	}
	own := steward.keeper.Seat().Identity
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var newcomer Seat
	if !charter.Keeps(own) {
		// A primary that came as a newcomer itself.
		newcomer = steward.keeper.Seat()
	}
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		hello := known.hello
		if hello.Kind != membership.Expediter || hello.Leaving || charter.Keeps(hello.Seat.Identity) || steward.turns.Now().Sub(known.answered) > applicantFresh {
			continue
		}
		if newcomer.Empty() || hello.Seat.Address == gone.Address || hello.Seat.Identity < newcomer.Identity {
			newcomer = hello.Seat
		}
	}
	if newcomer.Empty() {
		return nil, false
	}
	var incoming []Seat
	for _, seat := range charter.Keepers {
		if seat.Identity == gone.Identity {
			seat = newcomer
		}
		incoming = append(incoming, seat)
	}
	return incoming, true
}

// spread plans the next keepers where several losses are borne: those that are gone
// give way to expediters that are there, there are as many as wanted if they can be
// had, and no district has so many that its loss would leave no majority.
func (steward *Steward) spread(charter Charter, wanted int) ([]Seat, bool) {
	steward.mutex.Lock()
	settled := steward.turns.Now().Sub(steward.leadsFrom) >= steward.timing.WitnessSilence
	steward.mutex.Unlock()
	plan := keeperPlan{wanted: wanted}
	for _, seat := range charter.Keepers {
		said, alive := steward.alive(seat.Identity, steward.timing.WitnessSilence)
		if seat.Identity == steward.keeper.Seat().Identity {
			seat, alive = steward.recorded(steward.keeper.Seat()), true
		} else if hello, known := steward.alive(seat.Identity, time.Minute); known {
			seat = steward.recorded(hello.Seat)
		}
		// A primary that has just begun has not heard from everybody yet.
		plan.keepers = append(plan.keepers, plannedKeeper{seat: seat, gone: !alive && settled || alive && said.Leaving || steward.replaced(seat)})
	}
	if own := steward.keeper.Seat(); !charter.Keeps(own.Identity) {
		plan.spares = append(plan.spares, steward.recorded(own))
	}
	steward.mutex.Lock()
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		if known.hello.Kind == membership.Expediter && !known.hello.Leaving && !charter.Keeps(identity) && steward.turns.Now().Sub(known.answered) <= staleAnswer {
			plan.spares = append(plan.spares, known.hello.Seat)
		}
	}
	steward.mutex.Unlock()
	return plan.next()
}
