package replication

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// OwnHello is the hello that this controller says.
func (c *Coordinator) OwnHello() Hello {
	// These may wait for the disk, and nobody may wait for them.
	membership, replica := c.witness.Membership(), c.witness.Replica()
	blank, holder := membership.Blank(), c.witness.LeaseHolder()
	version, damage := c.store.LocalReplica().Version(), c.store.LocalReplica().Damage()
	left := c.witness.LeaseEnds().Sub(c.runtime.Now())
	leads := c.HasLease()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.membership.Epoch > membership.Epoch {
		membership = c.membership
	}
	if c.lossesTolerated > 1 {
		replica.Zone = c.zone
	}
	return Hello{Replica: replica, Kind: c.kind, Blank: blank, Restricted: c.restricted,
		Membership: membership, Leads: leads, LeaseLeft: max(left, 0), LeaseHolder: holder,
		Version: version, Damage: damage, Leaving: c.leaving}
}

// HandleHello takes another's hello and answers it.
func (c *Coordinator) HandleHello(hello Hello) Hello {
	if hello.Replica.Empty() {
		// Somebody who only wants to know who leads.
		return c.OwnHello()
	}
	c.recordHello(hello, false)
	membership := c.Membership()
	c.mutex.Lock()
	c.helloReceivedAt = c.runtime.Now()
	if hello.Leads && hello.Replica.Identity == membership.Primary.Identity {
		c.primaryHelloAt = c.helloReceivedAt
	}
	c.mutex.Unlock()
	return c.OwnHello()
}

// note takes a hello. A node that keeps nothing has no seat, but may know of a newer
// membership.
func (c *Coordinator) recordHello(hello Hello, answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if hello.Membership.Epoch > c.membership.Epoch {
		c.membership = hello.Membership
	}
	if hello.Replica.Empty() || hello.Replica.Identity == c.witness.Replica().Identity {
		return
	}
	status, found := c.peerStatuses[hello.Replica.Identity]
	if !found {
		status = &peerStatus{}
		c.peerStatuses[hello.Replica.Identity] = status
	}
	status.hello, status.lastSeen = hello, c.runtime.Now()
	if answered {
		status.lastResponse = status.lastSeen
	}
}

// exchangeHellos says hello to every address that may have a controller.
func (c *Coordinator) exchangeHellos() {
	own := c.OwnHello()
	if c.skipsRound() {
		return
	}
	if c.followsPrimary() {
		primary := c.Membership().Primary
		if hello, err := c.peers.Hello(c.Address(primary), own); err == nil {
			c.recordHello(hello, true)
		}
		return
	}
	addresses := map[string]bool{}
	for _, replica := range c.Membership().Voters() {
		addresses[replica.Address] = true
	}
	c.mutex.Lock()
	for _, address := range c.seeds {
		addresses[address] = true
	}
	for _, address := range c.discovered {
		addresses[address] = true
	}
	for _, status := range c.peerStatuses {
		if c.runtime.Now().Sub(status.lastSeen) < time.Minute {
			addresses[status.hello.Replica.Address] = true
		}
	}
	c.mutex.Unlock()
	for _, address := range c.membersToGreet() {
		addresses[address] = true
	}
	delete(addresses, own.Replica.Address)
	// One waits here only for those who should answer: the others' hellos are
	// noted whenever they come.
	var replicas []Replica
	for address := range addresses {
		replicas = append(replicas, Replica{Address: address})
	}
	sort.Slice(replicas, func(left, right int) bool { return replicas[left].Address < replicas[right].Address })
	answered := 0
	gatherWithin(c.runtime, helloTimeout, replicas, func(replica Replica) (Hello, error) {
		hello, err := c.peers.Hello(replica.Address, own)
		if err == nil {
			c.recordHello(hello, true)
		}
		return hello, err
	}, func(_ Replica, _ Hello, err error) {
		if err == nil {
			answered++
		}
	}, func() bool { return answered >= 2 })
}

// membersPerRound is how many recorded members are greeted in a round while no majority
// of the witnesses answers. The rounds go through all of them in turn.
const membersPerRound = 3

// strangers are recorded members to be greeted now: none while a majority of the
// witnesses answers.
func (c *Coordinator) membersToGreet() []string {
	membership := c.Membership()
	if !membership.Blank() && c.reachesQuorum(membership) {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var members []string
	for range min(membersPerRound, len(c.memberAddresses)) {
		members = append(members, c.memberAddresses[c.nextMember%len(c.memberAddresses)])
		c.nextMember++
	}
	return members
}

func (c *Coordinator) applicantAt(address string) (Replica, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found *peerStatus
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		if status.hello.Replica.Address == address && (found == nil || status.lastSeen.After(found.lastSeen)) {
			found = status
		}
	}
	if found == nil || c.runtime.Now().Sub(found.lastSeen) > applicantFreshness {
		return Replica{}, false
	}
	return found.hello.Replica, found.hello.Blank && found.hello.Kind == membership.Controller
}

func (c *Coordinator) alive(identity Identity, fresh time.Duration) (Hello, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	status, found := c.peerStatuses[identity]
	if !found || c.runtime.Now().Sub(status.lastResponse) > fresh {
		return Hello{}, false
	}
	return status.hello, true
}

// Address is where the seat's identity was heard from last.
func (c *Coordinator) Address(replica Replica) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if status, found := c.peerStatuses[replica.Identity]; found {
		return status.hello.Replica.Address
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
	for _, status := range c.peerStatuses {
		if status.hello.Replica.Address == address && c.runtime.Now().Sub(status.lastSeen) < applicantFreshness {
			return true
		}
	}
	return false
}

// acquaintances are the identities that were ever heard, in order, so that the
// same messages lead to the same choices. The caller has the mutex.
func (c *Coordinator) knownIdentities() []Identity {
	identities := make([]Identity, 0, len(c.peerStatuses))
	for identity := range c.peerStatuses {
		identities = append(identities, identity)
	}
	sort.Slice(identities, func(left, right int) bool { return identities[left] < identities[right] })
	return identities
}
