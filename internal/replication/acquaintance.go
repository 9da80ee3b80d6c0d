package replication

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Own is the hello that this controller says.
func (c *Coordinator) Own() Hello {
	// These may wait for the disk, and nobody may wait for them.
	membership, replica := c.witness.Membership(), c.witness.Replica()
	blank, holder := membership.Blank(), c.witness.Holder()
	version, damage := c.store.LocalReplica().Version(), c.store.LocalReplica().Damage()
	left := c.witness.LeaseEnds().Sub(c.runtime.Now())
	leads := c.HasLease()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.membership.Epoch > membership.Epoch {
		membership = c.membership
	}
	if c.borne > 1 {
		replica.Zone = c.zone
	}
	return Hello{Seat: replica, Kind: c.kind, Blank: blank, Restricted: c.restricted,
		Membership: membership, Leads: leads, LeaseLeft: max(left, 0), Holder: holder,
		Version: version, Damage: damage, Leaving: c.leaving}
}

// Greet takes another's hello and answers it.
func (c *Coordinator) Greet(hello Hello) Hello {
	if hello.Seat.Empty() {
		// Somebody who only wants to know who leads.
		return c.Own()
	}
	c.note(hello, false)
	membership := c.Membership()
	c.mutex.Lock()
	c.greeted = c.runtime.Now()
	if hello.Leads && hello.Seat.Identity == membership.Primary.Identity {
		c.ledBy = c.greeted
	}
	c.mutex.Unlock()
	return c.Own()
}

// note takes a hello. A node that keeps nothing has no seat, but may know of a newer
// membership.
func (c *Coordinator) note(hello Hello, answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if hello.Membership.Epoch > c.membership.Epoch {
		c.membership = hello.Membership
	}
	if hello.Seat.Empty() || hello.Seat.Identity == c.witness.Replica().Identity {
		return
	}
	known, found := c.known[hello.Seat.Identity]
	if !found {
		known = &acquaintance{}
		c.known[hello.Seat.Identity] = known
	}
	known.hello, known.lastSeen = hello, c.runtime.Now()
	if answered {
		known.answered = known.lastSeen
	}
}

// greetAll says hello to every address that may have a controller.
func (c *Coordinator) greetAll() {
	own := c.Own()
	if c.rests() {
		return
	}
	if c.quiet() {
		primary := c.Membership().Primary
		if hello, err := c.peers.Hello(c.Address(primary), own); err == nil {
			c.note(hello, true)
		}
		return
	}
	addresses := map[string]bool{}
	for _, replica := range c.Membership().Electors() {
		addresses[replica.Address] = true
	}
	c.mutex.Lock()
	for _, address := range c.seeds {
		addresses[address] = true
	}
	for _, address := range c.contacts {
		addresses[address] = true
	}
	for _, known := range c.known {
		if c.runtime.Now().Sub(known.lastSeen) < time.Minute {
			addresses[known.hello.Seat.Address] = true
		}
	}
	c.mutex.Unlock()
	for _, address := range c.strangers() {
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
	gatherWithin(c.runtime, helloPatience, replicas, func(replica Replica) (Hello, error) {
		hello, err := c.peers.Hello(replica.Address, own)
		if err == nil {
			c.note(hello, true)
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
func (c *Coordinator) strangers() []string {
	membership := c.Membership()
	if !membership.Blank() && c.reaches(membership) {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var strangers []string
	for range min(strangersPerRound, len(c.recordedAt)) {
		strangers = append(strangers, c.recordedAt[c.nextPeer%len(c.recordedAt)])
		c.nextPeer++
	}
	return strangers
}

func (c *Coordinator) seenAt(address string) (Replica, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found *acquaintance
	for _, identity := range c.acquaintances() {
		known := c.known[identity]
		if known.hello.Seat.Address == address && (found == nil || known.lastSeen.After(found.lastSeen)) {
			found = known
		}
	}
	if found == nil || c.runtime.Now().Sub(found.lastSeen) > applicantFresh {
		return Replica{}, false
	}
	return found.hello.Seat, found.hello.Blank && found.hello.Kind == membership.Controller
}

func (c *Coordinator) alive(identity Identity, fresh time.Duration) (Hello, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, found := c.known[identity]
	if !found || c.runtime.Now().Sub(known.answered) > fresh {
		return Hello{}, false
	}
	return known.hello, true
}

// Address is where the seat's identity was heard from last.
func (c *Coordinator) Address(replica Replica) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known, found := c.known[replica.Identity]; found {
		return known.hello.Seat.Address
	}
	return replica.Address
}

// Sees tells whether a controller at the address was heard a moment ago.
func (c *Coordinator) Sees(address string) bool {
	if address == c.witness.Replica().Address {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, known := range c.known {
		if known.hello.Seat.Address == address && c.runtime.Now().Sub(known.lastSeen) < applicantFresh {
			return true
		}
	}
	return false
}

// acquaintances are the identities that were ever heard, in order, so that the
// same messages lead to the same choices. The caller has the mutex.
func (c *Coordinator) acquaintances() []Identity {
	identities := make([]Identity, 0, len(c.known))
	for identity := range c.known {
		identities = append(identities, identity)
	}
	sort.Slice(identities, func(left, right int) bool { return identities[left] < identities[right] })
	return identities
}
