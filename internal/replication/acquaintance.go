package replication

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Own is the hello that this expediter says.
func (coordinator *Coordinator) Own() Hello {
	// These may wait for the disk, and nobody may wait for them.
	membership, replica := coordinator.witness.Membership(), coordinator.witness.Replica()
	blank, holder := membership.Blank(), coordinator.witness.Holder()
	version, damage := coordinator.store.Copy().Version(), coordinator.store.Copy().Damage()
	left := coordinator.witness.HoldEnds().Sub(coordinator.runtime.Now())
	leads := coordinator.Holds()
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if coordinator.membership.Epoch > membership.Epoch {
		membership = coordinator.membership
	}
	if coordinator.borne > 1 {
		replica.Zone = coordinator.zone
	}
	return Hello{Seat: replica, Kind: coordinator.kind, Blank: blank, Restricted: coordinator.restricted,
		Membership: membership, Leads: leads, HoldLeft: max(left, 0), Holder: holder,
		Version: version, Damage: damage, Leaving: coordinator.leaving}
}

// Greet takes another's hello and answers it.
func (coordinator *Coordinator) Greet(hello Hello) Hello {
	if hello.Seat.Empty() {
		// Somebody who only wants to know who leads.
		return coordinator.Own()
	}
	coordinator.note(hello, false)
	membership := coordinator.Membership()
	coordinator.mutex.Lock()
	coordinator.greeted = coordinator.runtime.Now()
	if hello.Leads && hello.Seat.Identity == membership.Primary.Identity {
		coordinator.ledBy = coordinator.greeted
	}
	coordinator.mutex.Unlock()
	return coordinator.Own()
}

// note takes a hello. A node that keeps nothing has no seat, but may know of a newer
// charter.
func (coordinator *Coordinator) note(hello Hello, answered bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if hello.Membership.Epoch > coordinator.membership.Epoch {
		coordinator.membership = hello.Membership
	}
	if hello.Seat.Empty() || hello.Seat.Identity == coordinator.witness.Replica().Identity {
		return
	}
	known, found := coordinator.known[hello.Seat.Identity]
	if !found {
		known = &acquaintance{}
		coordinator.known[hello.Seat.Identity] = known
	}
	known.hello, known.lastSeen = hello, coordinator.runtime.Now()
	if answered {
		known.answered = known.lastSeen
	}
}

// greetAll says hello to every address that may have an expediter.
func (coordinator *Coordinator) greetAll() {
	own := coordinator.Own()
	if coordinator.rests() {
		return
	}
	if coordinator.quiet() {
		primary := coordinator.Membership().Primary
		if hello, err := coordinator.peers.Hello(coordinator.Address(primary), own); err == nil {
			coordinator.note(hello, true)
		}
		return
	}
	addresses := map[string]bool{}
	for _, replica := range coordinator.Membership().Electors() {
		addresses[replica.Address] = true
	}
	coordinator.mutex.Lock()
	for _, address := range coordinator.seeds {
		addresses[address] = true
	}
	for _, address := range coordinator.contacts {
		addresses[address] = true
	}
	for _, known := range coordinator.known {
		if coordinator.runtime.Now().Sub(known.lastSeen) < time.Minute {
			addresses[known.hello.Seat.Address] = true
		}
	}
	coordinator.mutex.Unlock()
	for _, address := range coordinator.strangers() {
		addresses[address] = true
	}
	delete(addresses, own.Seat.Address)
	// One waits here only for those who should answer: the others' hellos are
	// noted whenever they come.
	var replicas []Replica
	for address := range addresses {
		replicas = append(replicas, Replica{Address: address})
	}
	sort.Slice(replicas, func(left, right int) bool { return replicas[left].Address < replicas[right].Address })
	answered := 0
	gatherWithin(coordinator.runtime, helloPatience, replicas, func(replica Replica) (Hello, error) {
		hello, err := coordinator.peers.Hello(replica.Address, own)
		if err == nil {
			coordinator.note(hello, true)
		}
		return hello, err
	}, func(_ Replica, _ Hello, err error) {
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
func (coordinator *Coordinator) strangers() []string {
	membership := coordinator.Membership()
	if !membership.Blank() && coordinator.reaches(membership) {
		return nil
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	var strangers []string
	for range min(strangersPerRound, len(coordinator.recordedAt)) {
		strangers = append(strangers, coordinator.recordedAt[coordinator.nextPeer%len(coordinator.recordedAt)])
		coordinator.nextPeer++
	}
	return strangers
}

func (coordinator *Coordinator) seenAt(address string) (Replica, bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	var found *acquaintance
	for _, identity := range coordinator.acquaintances() {
		known := coordinator.known[identity]
		if known.hello.Seat.Address == address && (found == nil || known.lastSeen.After(found.lastSeen)) {
			found = known
		}
	}
	if found == nil || coordinator.runtime.Now().Sub(found.lastSeen) > applicantFresh {
		return Replica{}, false
	}
	return found.hello.Seat, found.hello.Blank && found.hello.Kind == membership.Controller
}

func (coordinator *Coordinator) alive(identity Identity, fresh time.Duration) (Hello, bool) {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	known, found := coordinator.known[identity]
	if !found || coordinator.runtime.Now().Sub(known.answered) > fresh {
		return Hello{}, false
	}
	return known.hello, true
}

// Address is where the seat's identity was heard from last.
func (coordinator *Coordinator) Address(replica Replica) string {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if known, found := coordinator.known[replica.Identity]; found {
		return known.hello.Seat.Address
	}
	return replica.Address
}

// Sees tells whether an expediter at the address was heard a moment ago.
func (coordinator *Coordinator) Sees(address string) bool {
	if address == coordinator.witness.Replica().Address {
		return true
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	for _, known := range coordinator.known {
		if known.hello.Seat.Address == address && coordinator.runtime.Now().Sub(known.lastSeen) < applicantFresh {
			return true
		}
	}
	return false
}

// acquaintances are the identities that were ever heard, in order, so that the
// same messages lead to the same choices. The caller has the mutex.
func (coordinator *Coordinator) acquaintances() []Identity {
	identities := make([]Identity, 0, len(coordinator.known))
	for identity := range coordinator.known {
		identities = append(identities, identity)
	}
	sort.Slice(identities, func(left, right int) bool { return identities[left] < identities[right] })
	return identities
}
