package replication

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// peerStatus is what the failure detector knows of another controller. A response also shows that
// the controller can be reached from here; a hello that it sent by itself does not.
type peerStatus struct {
	hello        Hello
	lastSeen     time.Time
	lastResponse time.Time
}

// knownIdentities lists the controllers that were ever heard, in order, so that the same messages
// lead to the same choices. The caller has locked the mutex.
func (c *Coordinator) knownIdentities() []Identity {
	identities := make([]Identity, 0, len(c.peerStatuses))
	for identity := range c.peerStatuses {
		identities = append(identities, identity)
	}
	sort.Slice(identities, func(i, j int) bool { return identities[i] < identities[j] })
	return identities
}

// alive returns the last hello of a controller that responded within the length of time.
func (c *Coordinator) alive(identity Identity, fresh time.Duration) (Hello, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	status, found := c.peerStatuses[identity]
	if !found || c.runtime.Now().Sub(status.lastResponse) > fresh {
		return Hello{}, false
	}
	return status.hello, true
}

// applicantAt returns the controller heard last at an address, and whether it is blank and may so
// become part of the first membership.
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

// Sees reports whether a controller at the address was heard within applicantFreshness.
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

// Address returns where the replica was heard last, or the address in the membership.
func (c *Coordinator) Address(replica Replica) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if status, found := c.peerStatuses[replica.Identity]; found {
		return status.hello.Replica.Address
	}
	return replica.Address
}

// diskReplaced reports whether another disk responds at the witness's address since the witness was
// heard last: its disk is lost, and nothing is to be waited for.
func (c *Coordinator) diskReplaced(replica Replica) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address, lastSeen := replica.Address, time.Time{}
	if status, found := c.peerStatuses[replica.Identity]; found {
		address, lastSeen = status.hello.Replica.Address, status.lastSeen
	}
	for identity, other := range c.peerStatuses {
		if identity != replica.Identity && other.hello.Kind == membership.Controller &&
			other.hello.Replica.Address == address && other.lastResponse.After(lastSeen) &&
			c.runtime.Now().Sub(other.lastResponse) <= applicantFreshness {
			return true
		}
	}
	return false
}
