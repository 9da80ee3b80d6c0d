// Package follower keeps a node up to date with the primary: it finds the primary, polls it for newer
// versions of the replicated sections, and passes the sections and the lease in a response to the node.
// Nodes of both planes use it and provide callbacks.
//
// Invariant: a node never returns to an older version. If a response contains an older version of any
// section, nothing of it is applied and its lease is not used, since a deposed primary sent it.
package follower

import (
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// Follower keeps one node up to date. It polls the primary with the versions that the node has; the
// primary responds when there are newer versions or when the poll's maximum wait has passed.
type Follower struct {
	runtime runtime.Runtime
	client  wire.Client
	// member describes this node to the primary.
	member   membership.Member
	inForce  func() replication.Version
	onUpdate func(Update)

	mutex sync.Mutex
	// primary is the address of the known primary, or "".
	primary string
	// confirmed is set once a response of the current primary was applied.
	confirmed bool
	// seeds are the addresses of the configured seeds, and contacts those of other controllers. peers are
	// the addresses of processes that relay requests to the primary and may know the membership: the
	// configured neighbours, then the other routers in the order of rendezvous hashing.
	seeds    []string
	contacts []string
	peers    []string
	// sections are the sections that the node has, by name.
	sections   map[string]replication.Section
	membership replication.Membership
	// lastUpdateAt is when a response of a primary was last applied.
	lastUpdateAt time.Time
	// unreachable is when each address last failed to respond.
	unreachable map[string]time.Time

	// provisional allows the node to use a configuration from a copy. unconfirmed is the version of
	// such a configuration.
	provisional bool
	unconfirmed replication.Version

	// applyWithin is how soon a change must be in force after it was acknowledged.
	applyWithin time.Duration

	// failing returns the servers that failed requests since its last call; nil if the node reports
	// none.
	failing func() []string

	wantServers, wantLoads bool
	serversRevision        uint64
	loadsRevision          uint64
	listing                membership.ServerList
	// reports are the load reports of the poll cycle loadsRevision, with their ages as of its end.
	reports []wire.LoadReport
}

// Update is one response of the primary in the form in which the node applies it.
type Update struct {
	// RequestedAt is when the node sent the request.
	RequestedAt time.Time
	Response    wire.UpdateResponse
	// Changed holds the complete sections from the response, with deltas applied.
	Changed map[string]replication.Section
	// Provisional is set if the sections are from a copy and no primary has confirmed them.
	Provisional bool
	// Servers is the primary's list of servers; nil if the response neither contains nor confirms it.
	Servers *ServerList
	// Loads are the loads of the servers, if the response contains newer ones. LoadsReadAt is the end
	// of the poll cycle in which they were read, and Outliers the advice that accompanies them.
	Loads       []scheduler.Load
	LoadsReadAt time.Time
	Outliers    outlier.Advice
}

// ServerList is a list of servers and when it was read.
type ServerList struct {
	ReadAt  time.Time
	Servers []membership.Server
}

// MaxPeersTried is the maximum number of peers that a node asks to relay a request to the primary: the first
// of the peers passed to SetContacts. It is also the maximum number of routers to which a router tries to send
// its records: the first in the order of rendezvous hashing.
const MaxPeersTried = 3

const (
	// UpdateWait is how long the primary holds back a poll for which it has no update.
	UpdateWait = 600 * time.Millisecond
	// LoadsWait is the corresponding wait of a node that wants load reports. It is slightly longer than
	// the poll interval for idle servers, so that each poll cycle needs only one response.
	LoadsWait = UpdateWait + 200*time.Millisecond
	// responseMargin is how much longer than the poll's maximum wait the response may take. After
	// that the primary counts as lost.
	responseMargin = 300 * time.Millisecond
	// firstTimeout is the timeout of the first poll of a newly found primary. fullTimeout replaces it
	// if the node has no configuration yet: the primary may then be sending a large configuration to
	// all nodes at once.
	firstTimeout = 1200 * time.Millisecond
	fullTimeout  = 2 * time.Second
	// relayTimeout is the timeout of a relayed request.
	relayTimeout = 1200 * time.Millisecond
	// searchTimeout is the timeout for each address during a search for the primary. It allows for the
	// sync of the node's registration: a primary of an older release ignores LeaderOnly and registers
	// the node before it responds.
	searchTimeout = 500 * time.Millisecond
	// retryInterval is the minimum time from the start of one search round to the start of the next, and
	// the pause after a poll that the primary refused or whose response could not be applied.
	retryInterval = 80 * time.Millisecond
	// unreachableTTL is how long an address that did not respond is asked only after all others.
	unreachableTTL = 3 * time.Second
)

// New returns a follower for a member. The follower calls inForce for the version that the node has in
// force, and onUpdate for every response that it applies, one at a time.
func New(
	rt runtime.Runtime,
	client wire.Client,
	member membership.Member,
	seeds []string,
	inForce func() replication.Version,
	onUpdate func(Update),
) *Follower {
	return &Follower{
		runtime:     rt,
		client:      client,
		member:      member,
		seeds:       seeds,
		inForce:     inForce,
		onUpdate:    onUpdate,
		sections:    map[string]replication.Section{},
		unreachable: map[string]time.Time{},
		applyWithin: DefaultApplyWithin,
	}
}

// DefaultApplyWithin is how soon a change must be in force after it was acknowledged, unless SetApplyWithin
// sets another time.
const DefaultApplyWithin = 2 * time.Second

// SetApplyWithin sets how soon a change must be in force after it was acknowledged. The loss of a primary that
// has already responded to a poll is detected within 11/20 of this time, and within 1.1 s at most.
// The remaining time is for finding the next primary. Zero means the default.
func (f *Follower) SetApplyWithin(bound time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applyWithin = bound
	if bound <= 0 {
		f.applyWithin = DefaultApplyWithin
	}
}

// pollTimes returns how long the primary may hold back a poll, and how much longer the response may take.
// The caller holds the mutex.
func (f *Follower) pollTimes() (maxWait, margin time.Duration) {
	maxWait = UpdateWait
	if f.wantLoads {
		maxWait = LoadsWait
	}
	return min(maxWait, f.applyWithin*2/5), min(responseMargin, f.applyWithin*3/20)
}

// Follow sets whether the node also wants the list of servers and their load reports.
func (f *Follower) Follow(servers, loads bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.wantServers, f.wantLoads = servers, loads
}

// SetFailing sets the function that returns the servers that failed requests since its last call. Each
// poll reports these servers to the primary.
func (f *Follower) SetFailing(failing func() []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failing = failing
}

// ForgetList makes the primary send its complete list of servers again.
func (f *Follower) ForgetList() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.serversRevision = 0
}

// SetContacts sets the addresses of the controllers that the platform lists or that are recorded
// (contacts), and of the processes that relay messages to the primary and know the membership (peers):
// the configured neighbours, then the other routers in the order of rendezvous hashing.
func (f *Follower) SetContacts(contacts, peers []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.contacts, f.peers = contacts, peers
}

// SetSeeds replaces the seeds, after a reload of the settings.
func (f *Follower) SetSeeds(seeds []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.seeds = seeds
}

// Membership returns the newest membership that the node knows.
func (f *Follower) Membership() replication.Membership {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.membership
}

// LastUpdateAt returns when a response of a primary was last applied.
func (f *Follower) LastUpdateAt() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastUpdateAt
}

// Section returns a section in the newest version that the node has.
func (f *Follower) Section(name string) replication.Section {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.sections[name]
}

// Run polls the primary while one is known and searches for it otherwise, until the process ends.
func (f *Follower) Run() {
	for f.runtime.Alive() {
		if address, known := f.knownPrimary(); known {
			f.poll(address)
			continue
		}
		f.search()
	}
}

// knownPrimary returns the address of the controller that last responded as primary. It returns false
// after a request to this controller got no response of a primary (noPrimaryReached), or after the
// controller responded that it is not primary.
func (f *Follower) knownPrimary() (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.primary, f.primary != ""
}

// poll polls the primary once and applies its response. Without a response the follower searches again,
// since a successor may have been elected.
func (f *Follower) poll(address string) {
	request, timeout := f.pollRequest()
	requestedAt := f.runtime.Now()
	var response wire.UpdateResponse
	err := wire.Call(f.client, address, wire.UpdatesPath, request, &response, timeout)
	if err != nil {
		if noPrimaryReached(err) {
			f.forget(address)
			return
		}
		runtime.Sleep(f.runtime, retryInterval)
		return
	}
	f.learn(address, leaderResponse{Leads: response.Leads, Membership: response.Membership})
	if response.Leads && !f.Apply(requestedAt, response) {
		runtime.Sleep(f.runtime, retryInterval)
	}
}

// leaderRequest returns a request for only the current primary and, if the node may use a provisional
// configuration, the state of the copies. The response is kept small because all nodes send this request at
// once after the loss of a primary.
func (f *Follower) leaderRequest() wire.UpdateRequest {
	request := f.searchRequest()
	request.LeaderOnly = true
	return request
}

// searchRequest returns a request that is answered without a wait (MaxWait is zero), so that a short timeout
// is sufficient.
func (f *Follower) searchRequest() wire.UpdateRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	request := f.request()
	request.WantProvisional = f.provisional && len(request.Have) == 0
	return request
}

// pollRequest returns a poll request and its timeout. The primary holds the poll back until there is an
// update, except for the first poll, whose response may contain a complete configuration.
func (f *Follower) pollRequest() (wire.UpdateRequest, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	request := f.request()
	_, hasConfiguration := f.sections[replication.ConfigurationSection]
	switch {
	case !f.confirmed && !hasConfiguration:
		return request, fullTimeout
	case !f.confirmed:
		return request, firstTimeout
	}
	maxWait, margin := f.pollTimes()
	request.MaxWait = maxWait
	if f.failing != nil {
		request.Failing = f.failing()
	}
	return request, maxWait + margin
}

// request returns a request with the versions that the node has. The caller holds the mutex.
func (f *Follower) request() wire.UpdateRequest {
	have := map[string]replication.Version{}
	for name, section := range f.sections {
		have[name] = section.Version
	}
	return wire.UpdateRequest{
		Member:          f.member,
		Have:            have,
		InForce:         f.inForce(),
		AcceptDeltas:    true,
		AcceptChanges:   true,
		MembershipEpoch: f.membership.Epoch,
		WantServers:     f.wantServers,
		ServersRevision: f.serversRevision,
		WantLoads:       f.wantLoads,
		LoadsRevision:   f.loadsRevision,
	}
}

// Apply applies a primary's response and reports whether it did. A response with an older version than the
// node's was sent by a deposed primary and is dropped with its lease. A response with a delta that does not
// fit the node's section is dropped as well, and the next request asks for the complete section.
func (f *Follower) Apply(requestedAt time.Time, response wire.UpdateResponse) bool {
	f.mutex.Lock()
	for name, delta := range response.Deltas {
		section, fits := delta.Apply(f.sections[name])
		if !fits {
			// The next request contains no version of this section, so that the primary sends the complete section.
			delete(f.sections, name)
			f.mutex.Unlock()
			return false
		}
		if response.Sections == nil {
			response.Sections = map[string]replication.Section{}
		}
		response.Sections[name] = section
	}
	for name, section := range response.Sections {
		if section.Version.Before(f.sections[name].Version) {
			f.mutex.Unlock()
			return false
		}
	}
	if have := f.sections[replication.ConfigurationSection].Version; response.Configuration.Before(have) && have != f.unconfirmed {
		f.mutex.Unlock()
		return false
	}
	for name, section := range response.Sections {
		f.sections[name] = section
	}
	f.lastUpdateAt = f.runtime.Now()
	f.confirmed = f.primary != ""
	update := Update{RequestedAt: requestedAt, Response: response, Changed: response.Sections}
	f.applyLists(&update)
	f.mutex.Unlock()
	f.onUpdate(update)
	return true
}

// applyLists adds the list of servers and their loads from the response to the update. The caller holds the
// mutex. The response was made no earlier than RequestedAt plus the time for which the request was held
// back. Ages count from that time, so that nothing appears younger than it is.
func (f *Follower) applyLists(update *Update) {
	respondedAt := update.RequestedAt.Add(update.Response.Waited)
	if list := update.Response.Servers; list != nil {
		at := respondedAt.Add(-list.Age)
		f.applyServers(at, list)
		if list.Revision == f.serversRevision {
			f.listing.Confirm(at)
			update.Servers = &ServerList{ReadAt: at, Servers: f.listing.Servers(at)}
		}
	}
	if loads := update.Response.Loads; loads != nil && f.wantLoads && f.applyReports(loads) {
		update.Outliers = loads.Outliers
		update.LoadsReadAt = respondedAt.Add(-time.Duration(loads.Age) * time.Millisecond)
		sinceCycleEnd := f.runtime.Now().Sub(update.LoadsReadAt)
		for _, report := range f.reports {
			update.Loads = append(update.Loads, report.Load(sinceCycleEnd))
		}
	}
}

// applyServers stores a complete list, or applies the changes of a list. Changes from another revision than
// the follower's are dropped, and the next request asks for the complete list.
func (f *Follower) applyServers(at time.Time, list *wire.ServersUpdate) {
	servers := warmingAtReading(list.Servers, list.Age)
	switch {
	case list.Sent:
	case list.Changes == nil:
		return
	case f.serversRevision == 0 || list.Changes.Base != f.serversRevision:
		f.serversRevision = 0
		return
	default:
		changes := *list.Changes
		changes.Changed = warmingAtReading(changes.Changed, list.Age)
		servers = changes.Apply(f.listing.Servers(at))
	}
	f.listing = membership.ServerList{}
	f.listing.Update(at, servers)
	f.serversRevision = list.Revision
}

// warmingAtReading returns the servers with their remaining warm-up time as of when the list was read. In a
// response, the remaining time is as of when the response was made.
func warmingAtReading(servers []membership.Server, age time.Duration) []membership.Server {
	servers = slices.Clone(servers)
	for position := range servers {
		if servers[position].Warming > 0 {
			servers[position].Warming += age
		}
	}
	return servers
}

// applyReports stores the reports of a poll cycle, or applies the changes from the follower's cycle, and
// reports whether the changes fit. If they do not, the next request asks for all reports.
func (f *Follower) applyReports(loads *wire.LoadsUpdate) bool {
	reports, fits := slices.Clone(loads.Reports), true
	for position := range reports {
		reports[position].Age -= loads.Age
	}
	if loads.Changes != nil {
		fits = false
		if f.loadsRevision != 0 && loads.Changes.Base == f.loadsRevision {
			reports, fits = loads.Changes.Apply(f.reports)
		}
	}
	if !fits {
		f.loadsRevision, f.reports = 0, nil
		return false
	}
	f.loadsRevision, f.reports = loads.Revision, reports
	return true
}
