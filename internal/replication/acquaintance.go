package replication

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Own is the hello that this expediter says.
//
// Example:
//
//	answer := steward.Own()
func (steward *Steward) Own() Hello {
	// These may wait for the disk, and nobody may wait for them.
	charter, seat := steward.keeper.Charter(), steward.keeper.Seat()
	blank, holder := charter.Blank(), steward.keeper.Holder()
	version, damage := steward.store.Copy().Version(), steward.store.Copy().Damage()
	left := steward.keeper.HoldEnds().Sub(steward.turns.Now())
	leads := steward.Holds()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if steward.charter.Epoch > charter.Epoch {
		charter = steward.charter
	}
	if steward.borne > 1 {
		seat.District = steward.district
	}
	return Hello{Seat: seat, Kind: steward.kind, Blank: blank, Restricted: steward.restricted,
		Charter: charter, Leads: leads, HoldLeft: max(left, 0), Holder: holder,
		Version: version, Damage: damage, Leaving: steward.leaving}
}

// Greet takes another's hello and answers it.
//
// Example:
//
//	answer := steward.Greet(hello)
func (steward *Steward) Greet(hello Hello) Hello {
	if hello.Seat.Empty() {
		// Somebody who only wants to know who leads.
		return steward.Own()
	}
	steward.note(hello, false)
	charter := steward.Charter()
	steward.mutex.Lock()
	steward.greeted = steward.turns.Now()
	if hello.Leads && hello.Seat.Identity == charter.Primary.Identity {
		steward.ledBy = steward.greeted
	}
	steward.mutex.Unlock()
	return steward.Own()
}

// note takes a hello. A node that keeps nothing has no seat, but may know of a newer
// charter.
func (steward *Steward) note(hello Hello, answered bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if hello.Charter.Epoch > steward.charter.Epoch {
		steward.charter = hello.Charter
	}
	if hello.Seat.Empty() || hello.Seat.Identity == steward.keeper.Seat().Identity {
		return
	}
	known, found := steward.known[hello.Seat.Identity]
	if !found {
		known = &acquaintance{}
		steward.known[hello.Seat.Identity] = known
	}
	known.hello, known.lastSeen = hello, steward.turns.Now()
	if answered {
		known.answered = known.lastSeen
	}
}

// greetAll says hello to every address that may have an expediter.
func (steward *Steward) greetAll() {
	own := steward.Own()
	if steward.rests() {
		return
	}
	if steward.quiet() {
		primary := steward.Charter().Primary
		if hello, err := steward.peers.Hello(steward.Address(primary), own); err == nil {
			steward.note(hello, true)
		}
		return
	}
	addresses := map[string]bool{}
	for _, seat := range steward.Charter().Electors() {
		addresses[seat.Address] = true
	}
	steward.mutex.Lock()
	for _, address := range steward.seeds {
		addresses[address] = true
	}
	for _, address := range steward.contacts {
		addresses[address] = true
	}
	for _, known := range steward.known {
		if steward.turns.Now().Sub(known.lastSeen) < time.Minute {
			addresses[known.hello.Seat.Address] = true
		}
	}
	steward.mutex.Unlock()
	for _, address := range steward.strangers() {
		addresses[address] = true
	}
	delete(addresses, own.Seat.Address)
	// One waits here only for those who should answer: the others' hellos are
	// noted whenever they come.
	var seats []Seat
	for address := range addresses {
		seats = append(seats, Seat{Address: address})
	}
	sort.Slice(seats, func(left, right int) bool { return seats[left].Address < seats[right].Address })
	answered := 0
	gatherWithin(steward.turns, helloPatience, seats, func(seat Seat) (Hello, error) {
		hello, err := steward.peers.Hello(seat.Address, own)
		if err == nil {
			steward.note(hello, true)
		}
		return hello, err
	}, func(_ Seat, _ Hello, err error) {
		if err == nil {
			answered++
		}
	}, func() bool { return answered >= 2 })
}

// strangersPerRound is how many recorded members are greeted in a round while no majority
// of the witnesses answers. The rounds go through all of them in turn.
const strangersPerRound = 3

// strangers are recorded members to be greeted now: none while a majority of the
// witnesses answers.
func (steward *Steward) strangers() []string {
	charter := steward.Charter()
	if !charter.Blank() && steward.reaches(charter) {
		return nil
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var strangers []string
	for range min(strangersPerRound, len(steward.recordedAt)) {
		strangers = append(strangers, steward.recordedAt[steward.nextPeer%len(steward.recordedAt)])
		steward.nextPeer++
	}
	return strangers
}

func (steward *Steward) seenAt(address string) (Seat, bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var found *acquaintance
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		if known.hello.Seat.Address == address && (found == nil || known.lastSeen.After(found.lastSeen)) {
			found = known
		}
	}
	if found == nil || steward.turns.Now().Sub(found.lastSeen) > applicantFresh {
		return Seat{}, false
	}
	return found.hello.Seat, found.hello.Blank && found.hello.Kind == membership.Expediter
}

func (steward *Steward) alive(identity Identity, fresh time.Duration) (Hello, bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	known, found := steward.known[identity]
	if !found || steward.turns.Now().Sub(known.answered) > fresh {
		return Hello{}, false
	}
	return known.hello, true
}

// Address is where the seat's identity was heard from last.
//
// Example:
//
//	address := steward.Address(charter.Backup)
func (steward *Steward) Address(seat Seat) string {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if known, found := steward.known[seat.Identity]; found {
		return known.hello.Seat.Address
	}
	return seat.Address
}

// Sees tells whether an expediter at the address was heard a moment ago.
//
// Example:
//
//	running := steward.Sees("127.0.0.1:7102")
func (steward *Steward) Sees(address string) bool {
	if address == steward.keeper.Seat().Address {
		return true
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	for _, known := range steward.known {
		if known.hello.Seat.Address == address && steward.turns.Now().Sub(known.lastSeen) < applicantFresh {
			return true
		}
	}
	return false
}

// acquaintances are the identities that were ever heard, in order, so that the
// same messages lead to the same choices. The caller has the mutex.
func (steward *Steward) acquaintances() []Identity {
	identities := make([]Identity, 0, len(steward.known))
	for identity := range steward.known {
		identities = append(identities, identity)
	}
	sort.Slice(identities, func(left, right int) bool { return identities[left] < identities[right] })
	return identities
}
