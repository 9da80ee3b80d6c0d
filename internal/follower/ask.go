package follower

import (
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// leaderResponse is the part that all answers of controllers have in common.
type leaderResponse struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}

// Ask sends a message to the primary, wherever it is, or through a neighbour
// when it can't be reached. The answer must say whether its giver leads. Each
// address is given the patience; altogether it ends by a moment, if one is given.
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

// unheard tells whether a failure says only that no primary was reached, and
// not what the primary said.
func noPrimaryReached(err error) bool {
	switch failure.CodeOf(err) {
	case failure.Unreachable, failure.Garbage, failure.NoPrimary:
		return true
	}
	return false
}

// AskRaw sends an encoded message to the primary without a neighbour's help.
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
			var said leaderResponse
			if err := msgpack.Unmarshal(reply, &said); err != nil {
				last = failure.Wrap(failure.Garbage, err)
				break
			}
			f.learn(address, said)
			if said.Leads {
				return reply, nil
			}
			last = failure.New(failure.NoPrimary, "no expediter leads")
			address = said.Membership.Primary.Address
		}
	}
	return nil, last
}

// learnMembership takes a membership that is newer than the one known.
func (f *Follower) learnMembership(membership replication.Membership) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if membership.Epoch > f.membership.Epoch {
		f.membership = membership
	}
}

func (f *Follower) learn(address string, said leaderResponse) {
	f.learnMembership(said.Membership)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case said.Leads && f.primary != address:
		f.primary, f.confirmed = address, false
	case !said.Leads && f.primary == address:
		f.primary, f.confirmed = "", false
	}
}

func (f *Follower) forget(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unreachable[address] = f.runtime.Now()
	if f.primary == address {
		f.primary, f.confirmed = "", false
	}
}

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
	// Who did not answer just now is asked after all others.
	sort.SliceStable(candidates, func(left, right int) bool {
		return !f.isUnreachable(candidates[left]) && f.isUnreachable(candidates[right])
	})
	return candidates
}

func (f *Follower) isUnreachable(address string) bool {
	since, found := f.unreachable[address]
	return found && f.runtime.Now().Sub(since) < unreachableTTL
}

// left is how long a call may take that is given so much patience and must end
// by a moment, if one is given.
func (f *Follower) remaining(timeout time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return timeout
	}
	return min(timeout, deadline.Sub(f.runtime.Now()))
}

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

// Relay passes another node's message to the primary that this node knows.
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
	var said leaderResponse
	if err := msgpack.Unmarshal(reply, &said); err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	f.learn(address, said)
	if !said.Leads {
		return nil, failure.New(failure.NoPrimary, "the primary that this node knew leads no more")
	}
	return reply, nil
}
