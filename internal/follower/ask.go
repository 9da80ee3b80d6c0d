package follower

import (
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// leaderResponse is what all responses of controllers have in common.
type leaderResponse struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}

// Ask sends a request to the primary, wherever it is, or through another router if it can't be
// reached. The response must say whether its sender leads. Each address has the timeout; all
// calls together end by the deadline, if it is not zero. Errors are the primary's own, or
// Unreachable, Garbage or NoPrimary when no primary responded.
func (f *Follower) Ask(path string, request, response any, timeout time.Duration, deadline time.Time) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	reply, err := f.AskRaw(path, body, timeout, deadline)
	if err != nil && noPrimaryReached(err) {
		reply, err = f.askThroughPeers(path, body, timeout, deadline)
	}
	if err != nil {
		return err
	}
	return failure.Wrap(failure.Garbage, msgpack.Unmarshal(reply, response))
}

// noPrimaryReached tells whether an error says only that no primary responded, and is not the
// primary's own.
func noPrimaryReached(err error) bool {
	switch failure.CodeOf(err) {
	case failure.Unreachable, failure.Garbage, failure.NoPrimary:
		return true
	}
	return false
}

// AskRaw sends an encoded request to the primary, not through other routers. It follows the
// memberships in the responses, and asks no address twice.
func (f *Follower) AskRaw(path string, body []byte, timeout time.Duration, deadline time.Time) ([]byte, error) {
	asked := map[string]bool{}
	var last error = failure.New(failure.NoPrimary, "no expediter is known")
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
			last = failure.New(failure.NoPrimary, "no expediter leads")
			address = response.Membership.Primary.Address
		}
	}
	return nil, last
}

// LearnMembership takes a membership that came with another message, if it is newer than the one known.
func (f *Follower) LearnMembership(membership replication.Membership) { f.learnMembership(membership) }

// learnMembership takes a membership that is newer than the one known.
func (f *Follower) learnMembership(membership replication.Membership) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if membership.Epoch > f.membership.Epoch {
		f.membership = membership
	}
}

// learn takes from a response whether its sender is the primary, and the membership.
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

// forget marks an address that did not respond.
func (f *Follower) forget(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unreachable[address] = f.runtime.Now()
	if f.primary == address {
		f.primary, f.confirmed = "", false
	}
}

// candidates are the addresses that may be the primary's, the likeliest first.
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
	// Addresses that did not respond lately are asked after all others.
	sort.SliceStable(candidates, func(left, right int) bool {
		return !f.isUnreachable(candidates[left]) && f.isUnreachable(candidates[right])
	})
	return candidates
}

func (f *Follower) isUnreachable(address string) bool {
	since, found := f.unreachable[address]
	return found && f.runtime.Now().Sub(since) < unreachableTTL
}

// remaining is the timeout of a call, cut short by the deadline if there is one.
func (f *Follower) remaining(timeout time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return timeout
	}
	return min(timeout, deadline.Sub(f.runtime.Now()))
}

// askThroughPeers has the nearest routers relay an encoded request, one after another.
func (f *Follower) askThroughPeers(path string, body []byte, timeout time.Duration, deadline time.Time) ([]byte, error) {
	f.mutex.Lock()
	relays := append([]string(nil), f.peers[:min(Neighbours, len(f.peers))]...)
	f.mutex.Unlock()
	var last error = failure.New(failure.NoPrimary, "no neighbour is known")
	for _, address := range relays {
		if f.remaining(timeout, deadline) <= 0 {
			break
		}
		var reply []byte
		err := wire.Call(f.client, address, wire.RelayPath, wire.RelayRequest{Path: path, Body: body}, &reply, f.remaining(timeout+200*time.Millisecond, deadline))
		if err == nil || !noPrimaryReached(err) {
			return reply, err
		}
		last = err
	}
	return nil, last
}

// Relay sends another node's request on to the primary that this node knows. It fails with
// NoSuch for a path that is not relayed and NoPrimary if this node knows no primary.
func (f *Follower) Relay(request wire.RelayRequest) ([]byte, error) {
	switch request.Path {
	case wire.UpdatesPath, wire.ClaimPath, wire.OrdersPath:
	default:
		return nil, failure.New(failure.NoSuch, "no such path to relay: "+request.Path)
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
		return nil, failure.New(failure.NoPrimary, "the primary that this node knew leads no more")
	}
	return reply, nil
}
