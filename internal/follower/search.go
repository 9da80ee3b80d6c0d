package follower

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// search is one search for the primary, at a node's start or after the primary was lost. All known
// addresses are asked in parallel, since any of them may not respond.
type search struct {
	mutex    sync.Mutex
	cond     runtime.Cond
	attempts map[string]*attempts
	copies   copyStates
	leader   *leaderUpdate
	rounds   int
}

// attempts tracks the calls to one address.
type attempts struct {
	inFlight int
	lastAt   time.Time
	// epoch is the epoch of the newest membership that was known at the last call.
	epoch uint64
	// answeredAt is when the address last responded without being primary.
	answeredAt time.Time
}

// leaderUpdate is a primary's response, and when it was requested.
type leaderUpdate struct {
	requestedAt time.Time
	response    wire.UpdateResponse
}

const (
	// searchRoundTimeout is how long a search round waits for a response that ends the round.
	searchRoundTimeout = 100 * time.Millisecond
	// retryAfter is the time after which an address that has not responded is called again while the
	// first call is pending: a call to a machine without power hangs even after the machine is back.
	// At most maxInFlight calls to one address are pending. After fastRounds rounds, slowRetryAfter
	// replaces retryAfter, so that a node that is cut off for long sends fewer calls.
	retryAfter     = 150 * time.Millisecond
	slowRetryAfter = 300 * time.Millisecond
	fastRounds     = 30
	maxInFlight    = 3
	// answeredRetryAfter is the time after which an address that responded without being primary is
	// called again. answeredRetryPerRouter is added for each router, since all routers call the
	// controllers at once. An address that a newer membership names as primary is called without a
	// delay.
	answeredRetryAfter     = 150 * time.Millisecond
	answeredRetryPerRouter = time.Millisecond
	// coreTimeout is the time without a response from any candidate after which peers are asked for
	// the membership. A node that knows no membership asks peers from the second round on.
	coreTimeout = 250 * time.Millisecond
	// peersPerRound is the number of peers that are asked in each round that asks peers for the
	// membership. Successive rounds go through all peers in turn.
	peersPerRound = 3
	// In every relayRounds-th round the first MaxPeersTried peers are asked to relay, unless the
	// controller that the membership names as primary has responded within coreTimeout.
	relayRounds = 4
)

func newSearch(rt runtime.Runtime) *search {
	return &search{cond: rt.NewCond(), attempts: map[string]*attempts{}}
}

// begin records the start of a call to an address and returns true. It returns false if the address must
// not be called yet. The number of routers determines the delay between calls.
func (s *search) begin(address string, now time.Time, membership replication.Membership, routers int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if address == "" {
		return false
	}
	current := s.attempts[address]
	if current == nil {
		current = &attempts{}
		s.attempts[address] = current
	}
	newlyNamed := membership.Epoch > current.epoch && membership.Primary.Address == address
	if current.inFlight >= maxInFlight || !newlyNamed && now.Before(s.due(current, routers)) {
		return false
	}
	current.inFlight++
	current.lastAt, current.epoch = now, membership.Epoch
	return true
}

// due returns when an address may be called again. The caller holds the mutex.
func (s *search) due(current *attempts, routers int) time.Time {
	if !current.answeredAt.IsZero() && !current.answeredAt.Before(current.lastAt) {
		return current.answeredAt.Add(answeredRetryAfter + time.Duration(routers)*answeredRetryPerRouter)
	}
	if current.inFlight == 0 {
		return time.Time{}
	}
	if s.rounds > fastRounds {
		return current.lastAt.Add(slowRetryAfter)
	}
	return current.lastAt.Add(retryAfter)
}

// end records the end of a call to an address.
func (s *search) end(address string, requestedAt, now time.Time, response wire.UpdateResponse, err error) {
	s.mutex.Lock()
	current := s.attempts[address]
	current.inFlight--
	if err == nil && !response.Leads {
		current.answeredAt = now
	}
	s.mutex.Unlock()
	if err == nil {
		s.record(address, requestedAt, now, response)
	}
	s.cond.Broadcast()
}

// answeredWithin reports whether one of the addresses responded, without being primary, within the given
// length of time before now.
func (s *search) answeredWithin(addresses []string, now time.Time, length time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, address := range addresses {
		if current := s.attempts[address]; current != nil && !current.answeredAt.IsZero() && now.Sub(current.answeredAt) <= length {
			return true
		}
	}
	return false
}

// record stores the response of a primary, or the state of the copy from the response of another controller.
func (s *search) record(address string, requestedAt, now time.Time, response wire.UpdateResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if response.Leads {
		s.leader = &leaderUpdate{requestedAt: requestedAt, response: response}
		return
	}
	s.copies.record(address, now, response)
}

// hasLeader reports whether there is a response of a primary that takeLeader has not returned yet.
func (s *search) hasLeader() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leader != nil
}

// takeLeader returns the response of a primary, or nil, and clears it.
func (s *search) takeLeader() *leaderUpdate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update := s.leader
	s.leader = nil
	return update
}

// choose returns the result of copyStates.choose for the copies that have responded.
func (s *search) choose(now time.Time) (string, replication.Version, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.copies.choose(now)
}

// SetProvisional sets whether a node without any configuration may use the configuration of a copy while
// there is no primary.
func (f *Follower) SetProvisional(allowed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.provisional = allowed
}

// needsConfiguration reports whether the node has no configuration and may use a provisional one.
func (f *Follower) needsConfiguration() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, hasConfiguration := f.sections[replication.ConfigurationSection]
	return f.provisional && !hasConfiguration
}

// search looks for the primary until its address is known or a relayed response of the primary was applied.
func (f *Follower) search() {
	s := newSearch(f.runtime)
	for f.runtime.Alive() && !f.searchOnce(s) {
	}
}

// searchOnce runs one round of the search and reports whether the search has ended.
func (f *Follower) searchOnce(s *search) bool {
	began := f.runtime.Now()
	candidates := f.candidates()
	request := f.leaderRequest()
	for _, address := range candidates {
		f.askOne(s, address, request)
	}
	if s.rounds > 0 && (f.Membership().Blank() || !s.answeredWithin(candidates, began, coreTimeout)) {
		f.askPeers(s, request)
	}
	s.rounds++
	if s.rounds%relayRounds == 0 && !s.answeredWithin([]string{f.Membership().Primary.Address}, began, coreTimeout) {
		f.askRelays(s)
	}
	f.awaitRound(s)
	if _, known := f.knownPrimary(); known {
		return true
	}
	if update := s.takeLeader(); update != nil && update.response.Lease > 0 && f.Apply(update.requestedAt, update.response) {
		return true
	}
	if f.needsConfiguration() {
		if address, version, found := s.choose(f.runtime.Now()); found {
			f.fetch(address, version)
		}
	}
	if left := retryInterval - f.runtime.Now().Sub(began); left > 0 {
		runtime.Sleep(f.runtime, left)
	}
	return false
}

// awaitRound waits for a response that ends the round: the response of a primary, or the response with
// which a provisional configuration becomes available.
func (f *Follower) awaitRound(s *search) {
	s.cond.Wait(searchRoundTimeout, func() bool {
		if s.hasLeader() || !f.needsConfiguration() {
			return s.hasLeader()
		}
		_, _, found := s.choose(f.runtime.Now())
		return found
	})
}

// askPeers asks peersPerRound peers for the membership, different ones in each round. A peer that followed
// the primary for longer than this node did may know a newer membership.
func (f *Follower) askPeers(s *search, request wire.UpdateRequest) {
	request.WantProvisional = false
	f.mutex.Lock()
	peers := f.peers
	f.mutex.Unlock()
	for position := range min(peersPerRound, len(peers)) {
		next := (s.rounds-1)*peersPerRound + position
		f.askOne(s, peers[next%len(peers)], request)
	}
}

// askOne calls an address in a new goroutine, unless the address must not be called yet.
func (f *Follower) askOne(s *search, address string, request wire.UpdateRequest) {
	f.mutex.Lock()
	membership, routers := f.membership, len(f.peers)
	f.mutex.Unlock()
	if !s.begin(address, f.runtime.Now(), membership, routers) {
		return
	}
	f.runtime.Go(func() {
		requestedAt := f.runtime.Now()
		var response wire.UpdateResponse
		err := wire.Call(f.client, address, wire.UpdatesPath, request, &response, searchTimeout)
		if err == nil {
			f.learn(address, leaderResponse{Leads: response.Leads, Membership: response.Membership})
		}
		s.end(address, requestedAt, f.runtime.Now(), response, err)
	})
}

// askRelays asks the first MaxPeersTried peers to relay a request to the primary that they know. They may
// reach the primary although this node is cut off from it.
func (f *Follower) askRelays(s *search) {
	request := f.searchRequest()
	request.WantProvisional = false
	body, err := msgpack.Marshal(request)
	if err != nil {
		return
	}
	f.mutex.Lock()
	relays := append([]string(nil), f.peers[:min(MaxPeersTried, len(f.peers))]...)
	f.mutex.Unlock()
	for _, address := range relays {
		f.runtime.Go(func() { f.askRelay(s, address, body) })
	}
}

// askRelay sends an encoded request through a peer and records the response if a primary sent it.
func (f *Follower) askRelay(s *search, address string, body []byte) {
	requestedAt := f.runtime.Now()
	var reply []byte
	if wire.Call(f.client, address, wire.RelayPath, wire.RelayRequest{Path: wire.UpdatesPath, Body: body}, &reply, relayTimeout) != nil {
		return
	}
	var response wire.UpdateResponse
	if msgpack.Unmarshal(reply, &response) != nil || !response.Leads {
		return
	}
	f.learnMembership(response.Membership)
	s.record(address, requestedAt, f.runtime.Now(), response)
	s.cond.Broadcast()
}

// fetch requests the configuration in the given version from the copy at an address and applies it. The
// configuration comes without a lease, and fetching it acknowledges nothing.
func (f *Follower) fetch(address string, version replication.Version) {
	request := f.searchRequest()
	request.WantedVersion = version
	requestedAt := f.runtime.Now()
	var response wire.UpdateResponse
	if err := wire.Call(f.client, address, wire.UpdatesPath, request, &response, firstTimeout); err != nil {
		return
	}
	if response.Leads {
		f.learn(address, leaderResponse{Leads: true, Membership: response.Membership})
		f.Apply(requestedAt, response)
		return
	}
	if response.Copy == nil || response.Copy.Sections[replication.ConfigurationSection].Version != version {
		return
	}
	f.ApplyProvisional(requestedAt, response)
}

// ApplyProvisional applies the configuration of a copy, unless the node already has a configuration or
// provisional configurations are not allowed. The primary later confirms this configuration or replaces it
// by a newer one. It cannot be replaced by an older one, since Apply drops older sections.
func (f *Follower) ApplyProvisional(requestedAt time.Time, response wire.UpdateResponse) {
	f.mutex.Lock()
	if _, hasConfiguration := f.sections[replication.ConfigurationSection]; hasConfiguration || !f.provisional {
		f.mutex.Unlock()
		return
	}
	// Of the copy's sections only the configuration is stored, so that the primary later sends all
	// other sections.
	section := response.Copy.Sections[replication.ConfigurationSection]
	f.sections[replication.ConfigurationSection] = section
	f.unconfirmed = section.Version
	update := Update{
		RequestedAt: requestedAt,
		Response:    wire.UpdateResponse{Servers: response.Servers},
		Changed:     response.Copy.Sections,
		Provisional: true,
	}
	f.applyLists(&update)
	f.mutex.Unlock()
	f.onUpdate(update)
}
