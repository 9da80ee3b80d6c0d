package larder

import "seamloom.example/seamloom/internal/roster"

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
		incoming, change := steward.exchange(charter)
		if !change {
			return
		}
		next.Incoming = incoming
	}
	won, failure := steward.stand(func(base Charter) (Charter, bool) {
		// Only the charter that this steward has seen granted may be built on.
		return next, base.Epoch == charter.Epoch && base.Primary.Identity == charter.Primary.Identity
	})
	if failure != nil {
		steward.observe("keepers_not_granted", "cause", failure)
		steward.unsettled = true
		return
	}
	steward.store.Thaw(won.Epoch)
	steward.confirm(won)
	steward.observe("keepers_granted", "epoch", won.Epoch, "keepers", won.Keepers, "incoming", won.Incoming)
}

func (steward *Steward) exchange(charter Charter) ([]Seat, bool) {
	var gone Seat
	own := steward.keeper.Seat().Identity
	for _, seat := range charter.Keepers {
		if seat.Identity == own {
			continue
		}
		if _, alive := steward.alive(seat.Identity, keeperPatience); !alive {
			gone = seat
		}
	}
	if gone.Empty() {
		return nil, false
	}
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
		if hello.Kind != roster.Expediter || charter.Keeps(hello.Seat.Identity) || steward.turns.Now().Sub(known.answered) > applicantFresh {
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
