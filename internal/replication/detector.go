package replication

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// peerStatus is what the failure detector knows about another controller. A response to a hello
// shows that the controller can be reached from here; a hello that it sent by itself does not.
type peerStatus struct {
	hello        Hello
	lastSeen     time.Time
	lastResponse time.Time
}

// knownIdentities returns the sorted identities of all controllers from which a hello ever arrived.
// They are sorted so that the same messages always lead to the same decisions. The caller holds the
// mutex.
func (c *Coordinator) knownIdentities() []Identity {
	identities := make([]Identity, 0, len(c.peerStatuses))
	for identity := range c.peerStatuses {
		identities = append(identities, identity)
	}
	sort.Slice(identities, func(i, j int) bool { return identities[i] < identities[j] })
	return identities
}

// alive returns the last hello of a controller that responded within the given time.
func (c *Coordinator) alive(identity Identity, within time.Duration) (Hello, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	status, found := c.peerStatuses[identity]
	if !found || c.runtime.Now().Sub(status.lastResponse) > within {
		return Hello{}, false
	}
	return status.hello, true
}

// peerAt returns the sender of the last hello from an address, and whether it is a blank controller,
// which may become part of the first membership. If no hello arrived from the address within
// peerFreshness, peerAt returns an empty replica and false.
func (c *Coordinator) peerAt(address string) (Replica, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found *peerStatus
	for _, identity := range c.knownIdentities() {
		status := c.peerStatuses[identity]
		if status.hello.Replica.Address == address && (found == nil || status.lastSeen.After(found.lastSeen)) {
			found = status
		}
	}
	if found == nil || c.runtime.Now().Sub(found.lastSeen) > peerFreshness {
		return Replica{}, false
	}
	return found.hello.Replica, found.hello.Blank && found.hello.Kind == membership.Controller
}

// HeardRecently reports whether a hello from the address arrived within peerFreshness. It returns true
// for the address of this controller.
func (c *Coordinator) HeardRecently(address string) bool {
	if address == c.witness.Replica().Address {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, status := range c.peerStatuses {
		if status.hello.Replica.Address == address && c.runtime.Now().Sub(status.lastSeen) < peerFreshness {
			return true
		}
	}
	return false
}

// Address returns the address in the last hello of the replica's controller or, without a hello, the
// address in the given replica.
func (c *Coordinator) Address(replica Replica) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if status, found := c.peerStatuses[replica.Identity]; found {
		return status.hello.Replica.Address
	}
	return replica.Address
}

// diskReplaced reports whether another disk has responded at the witness's address since the last
// hello of the witness. The witness's disk is then lost, and the witness can be replaced without
// waiting for a time-out.
func (c *Coordinator) diskReplaced(witness Replica) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address, lastSeen := witness.Address, time.Time{}
	if status, found := c.peerStatuses[witness.Identity]; found {
		address, lastSeen = status.hello.Replica.Address, status.lastSeen
	}
	for identity, other := range c.peerStatuses {
		if identity != witness.Identity && other.hello.Kind == membership.Controller &&
			other.hello.Replica.Address == address && other.lastResponse.After(lastSeen) &&
			c.runtime.Now().Sub(other.lastResponse) <= peerFreshness {
			return true
		}
	}
	return false
}
