package replication

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Hello is the heartbeat that controllers exchange: the state of the sender and the newest
// membership that it knows. A sender that stores nothing, such as a redirector, has no replica.
type Hello struct {
	Replica    Replica             `msgpack:"seat"`
	Kind       membership.NodeKind `msgpack:"kind"`
	Blank      bool                `msgpack:"blank"`
	Restricted bool                `msgpack:"restricted"`
	Membership Membership          `msgpack:"charter"`
	Leads      bool                `msgpack:"leads"`
	LeaseLeft  time.Duration       `msgpack:"hold_left"`
	// LeaseHolder is the primary to which the sender's witness granted its lease, which ends after
	// LeaseLeft.
	LeaseHolder Identity `msgpack:"holder,omitempty"`
	Version     Version  `msgpack:"version"`
	Damage      string   `msgpack:"damage,omitempty"`
	// Leaving reports that the process is about to stop and hands over its roles.
	Leaving bool `msgpack:"leaving,omitempty"`
}

// OwnHello returns the hello of this controller.
func (c *Coordinator) OwnHello() Hello {
	// These calls may wait for a write to the disk. They are therefore made before the coordinator's
	// mutex is locked, so that the mutex is not held during that wait.
	membership, replica := c.witness.Membership(), c.witness.Replica()
	blank, holder := membership.Blank(), c.witness.LeaseHolder()
	version, damage := c.store.LocalReplica().Version(), c.store.LocalReplica().Damage()
	leaseLeft := c.witness.LeaseEnds().Sub(c.runtime.Now())
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
		Membership: membership, Leads: leads, LeaseLeft: max(leaseLeft, 0), LeaseHolder: holder,
		Version: version, Damage: damage, Leaving: c.departure.began}
}

// HandleHello records the hello of another controller and returns the hello of this one.
func (c *Coordinator) HandleHello(hello Hello) Hello {
	if hello.Replica.Empty() {
		// The sender stores nothing and only asks who leads.
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

// recordHello records a hello. answered is set if the hello came as a response, which shows that its
// sender can be reached. A sender without a replica may still know a newer membership.
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

// exchangeHellos sends a hello to each address that may have a controller. While this controller
// follows a primary, it sends hellos only to the primary, so that the number of hellos does not grow with the
// square of the number of controllers.
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
	// The round ends after two responses or helloTimeout, so that machines without power don't
	// delay it. Later responses are recorded as they arrive.
	replicas := c.helloTargets(own.Replica.Address, c.membersForHello())
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

// helloTargets returns the addresses that may have a controller, sorted and without duplicates: those
// of the witnesses, the seeds, the controllers that the platform lists, the controllers whose
// last hello is more recent than peerMemory, and the given members. The controller's own address is left out.
func (c *Coordinator) helloTargets(own string, members []string) []Replica {
	addresses := map[string]bool{}
	for _, replica := range c.Membership().Voters() {
		addresses[replica.Address] = true
	}
	for _, address := range members {
		addresses[address] = true
	}
	c.mutex.Lock()
	for _, address := range c.seeds {
		addresses[address] = true
	}
	for _, address := range c.discovered {
		addresses[address] = true
	}
	for _, status := range c.peerStatuses {
		if c.runtime.Now().Sub(status.lastSeen) < peerMemory {
			addresses[status.hello.Replica.Address] = true
		}
	}
	c.mutex.Unlock()
	delete(addresses, own)
	replicas := make([]Replica, 0, len(addresses))
	for address := range addresses {
		replicas = append(replicas, Replica{Address: address})
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].Address < replicas[j].Address })
	return replicas
}

// membersPerRound is how many recorded members are sent a hello in each round while no majority of
// the witnesses responds. Successive rounds cycle through all of them.
const membersPerRound = 3

// membersForHello returns the recorded members that are sent a hello in this round: none while a
// majority of the witnesses responds.
func (c *Coordinator) membersForHello() []string {
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

// followsPrimary reports whether a hello of the primary arrived within the last 5/3 heartbeat
// intervals, so that this controller need not look for others.
func (c *Coordinator) followsPrimary() bool {
	if c.store.Leading() {
		return false
	}
	membership := c.Membership()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return membership.Primary.Identity != c.witness.Replica().Identity && !c.primaryHelloAt.IsZero() &&
		c.runtime.Now().Sub(c.primaryHelloAt) < c.timing.HeartbeatInterval*5/3
}

// skipsRound reports whether this controller sends no hellos in this round. The primary sends hellos
// once per HeartbeatInterval, and a controller that follows the primary once per two HeartbeatIntervals.
// All others, and a controller with membershipUnknown, send hellos in every round.
func (c *Coordinator) skipsRound() bool {
	if c.membershipUnknown {
		return false
	}
	interval := time.Duration(0)
	if c.store.Leading() {
		interval = c.timing.HeartbeatInterval
	} else if c.followsPrimary() {
		interval = 2 * c.timing.HeartbeatInterval
	}
	if now := c.runtime.Now(); now.Sub(c.roundStartedAt) >= interval {
		c.roundStartedAt = now
		return false
	}
	return true
}
