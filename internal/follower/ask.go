package follower

import (
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// leaderResponse holds the fields that all responses of controllers contain.
type leaderResponse struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}

// AskPrimary finds the primary and sends it a request, through another router if this node cannot reach the
// primary. The response type must contain the fields of leaderResponse. The timeout applies to each
// address; all calls together end by the deadline, if it is not zero. An error comes from the primary, or
// has the code Unreachable, Garbage or NoPrimary if no primary responded.
func (f *Follower) AskPrimary(path string, request, response any, timeout time.Duration, deadline time.Time) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	reply, err := f.AskPrimaryRaw(path, body, timeout, deadline)
	if err != nil && noPrimaryReached(err) {
		reply, err = f.askThroughPeers(path, body, timeout, deadline)
	}
	if err != nil {
		return err
	}
	return failure.Wrap(failure.Garbage, msgpack.Unmarshal(reply, response))
}

// noPrimaryReached reports whether an error means that no primary responded, as opposed to an error
// that the primary returned.
func noPrimaryReached(err error) bool {
	switch failure.CodeOf(err) {
	case failure.Unreachable, failure.Garbage, failure.NoPrimary:
		return true
	}
	return false
}

// AskPrimaryRaw finds the primary and sends it an encoded request, without a relay. If a controller that is not
// primary responds, AskPrimaryRaw next asks the primary of the membership in that response. It asks each address
// at most once.
func (f *Follower) AskPrimaryRaw(path string, body []byte, timeout time.Duration, deadline time.Time) ([]byte, error) {
	asked := map[string]bool{}
	var last error = failure.New(failure.NoPrimary, "no controller is known")
	for _, address := range f.candidates() {
		for address != "" && !asked[address] && f.runtime.Alive() && f.remaining(timeout, deadline) > 0 {
			asked[address] = true
			reply, err := f.client.CallRaw(address, path, body, f.remaining(timeout, deadline))
			if err != nil {
				last = err
				if !noPrimaryReached(err) {
					return nil, err
				}
				f.forget(address)
				break
			}
			var response leaderResponse
			if err := msgpack.Unmarshal(reply, &response); err != nil {
				last = failure.Wrap(failure.Garbage, err)
				break
			}
			f.learn(address, response)
			if response.Leads {
				return reply, nil
			}
			last = failure.New(failure.NoPrimary, "no controller is primary")
			address = response.Membership.Primary.Address
		}
	}
	return nil, last
}

// LearnMembership stores a membership from a message that the Follower did not receive itself, if it is
// newer than the known one.
func (f *Follower) LearnMembership(membership replication.Membership) { f.learnMembership(membership) }

// learnMembership stores a membership if it is newer than the known one.
func (f *Follower) learnMembership(membership replication.Membership) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if membership.Epoch > f.membership.Epoch {
		f.membership = membership
	}
}

// learn stores the membership from a response, and whether the sender at the address is the primary.
func (f *Follower) learn(address string, response leaderResponse) {
	f.learnMembership(response.Membership)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case response.Leads && f.primary != address:
		f.primary, f.confirmed = address, false
	case !response.Leads && f.primary == address:
		f.primary, f.confirmed = "", false
	}
}

// forget marks an address as unreachable. If it is the address of the known primary, no primary is
// known from then on.
func (f *Follower) forget(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unreachable[address] = f.runtime.Now()
	if f.primary == address {
		f.primary, f.confirmed = "", false
	}
}

// candidates returns the addresses at which the primary may be, the most likely first.
func (f *Follower) candidates() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	candidates := []string{f.primary, f.membership.Primary.Address}
	for _, backup := range f.membership.Backups() {
		candidates = append(candidates, backup.Address)
	}
	for _, replica := range f.membership.Voters() {
		candidates = append(candidates, replica.Address)
	}
	candidates = append(candidates, f.seeds...)
	candidates = append(candidates, f.contacts...)
	// Addresses that did not respond recently are asked after all others.
	sort.SliceStable(candidates, func(left, right int) bool {
		return !f.isUnreachable(candidates[left]) && f.isUnreachable(candidates[right])
	})
	return candidates
}

// isUnreachable reports whether the address failed to respond within the last unreachableTTL. The caller
// holds the mutex.
func (f *Follower) isUnreachable(address string) bool {
	since, found := f.unreachable[address]
	return found && f.runtime.Now().Sub(since) < unreachableTTL
}

// remaining returns the timeout of a call, limited by the deadline if that is not zero.
func (f *Follower) remaining(timeout time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return timeout
	}
	return min(timeout, deadline.Sub(f.runtime.Now()))
}

// askThroughPeers sends an encoded request to the first MaxPeersTried peers, one after another, until
// one of them relays it to the primary.
func (f *Follower) askThroughPeers(path string, body []byte, timeout time.Duration, deadline time.Time) ([]byte, error) {
	f.mutex.Lock()
	relays := append([]string(nil), f.peers[:min(MaxPeersTried, len(f.peers))]...)
	f.mutex.Unlock()
	var last error = failure.New(failure.NoPrimary, "no router is known that could relay the request")
	for _, address := range relays {
		if f.remaining(timeout, deadline) <= 0 {
			break
		}
		var reply []byte
		// The additional 200 ms are for the hop from the relaying router to the primary.
		err := wire.Call(f.client, address, wire.RelayPath, wire.RelayRequest{Path: path, Body: body}, &reply,
			f.remaining(timeout+200*time.Millisecond, deadline))
		if err == nil || !noPrimaryReached(err) {
			return reply, err
		}
		last = err
	}
	return nil, last
}

// Relay forwards another node's request to the primary that this node knows. It fails with NoSuch for a
// path that is not relayed, and with NoPrimary if this node knows no primary.
func (f *Follower) Relay(request wire.RelayRequest) ([]byte, error) {
	switch request.Path {
	case wire.UpdatesPath, wire.ClaimPath, wire.OrdersPath:
	default:
		return nil, failure.New(failure.NoSuch, "this path is not relayed: "+request.Path)
	}
	address, known := f.knownPrimary()
	if !known {
		return nil, failure.New(failure.NoPrimary, "this node knows no primary")
	}
	reply, err := f.client.CallRaw(address, request.Path, request.Body, relayTimeout)
	if err != nil {
		return nil, err
	}
	var response leaderResponse
	if err := msgpack.Unmarshal(reply, &response); err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	f.learn(address, response)
	if !response.Leads {
		return nil, failure.New(failure.NoPrimary, "the controller that this node knew as primary is no longer primary")
	}
	return reply, nil
}
