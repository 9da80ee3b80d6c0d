// Package follower keeps a node up to date with the primary: it finds the primary, polls it
// for newer versions of the replicated sections, and holds the lease that comes with a
// response. Nodes of both planes use it; it knows them only by the callbacks that they give it.
//
// Its invariant: a node never goes back to an older version. Of a response that holds an older
// version of any section, nothing is applied and no lease is used: it is a deposed primary's.
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

// Follower keeps one node up to date: it polls the primary with the versions that it has, and
// has the response when there are newer ones or the poll's wait is over.
type Follower struct {
	runtime  runtime.Runtime
	client   wire.Client
	member   membership.Member
	inForce  func() replication.Version
	onUpdate func(Update)

	mutex   sync.Mutex
	primary string
	// confirmed tells that the present primary has responded in full.
	confirmed   bool
	seeds       []string
	contacts    []string
	peers       []string
	sections    map[string]replication.Section
	membership  replication.Membership
	heard       time.Time
	unreachable map[string]time.Time

	// provisional tells that a configuration may be taken from copies, unconfirmed is
	// the version of one that no primary has confirmed yet.
	provisional bool
	unconfirmed replication.Version

	// applyWithin is how soon a change has to be in force after its acknowledgement.
	applyWithin time.Duration

	// failing gives the servers that failed requests lately; nil: the node sends none.
	failing func() []string

	wantServers, wantLoads bool
	serversRevision        uint64
	loadsRevision          uint64
	listing                membership.ServerList
	// reports are those of the round LoadsRevision, with their ages as of its end.
	reports []wire.LoadReport
}

// Update is one response of the primary, as the node applies it.
type Update struct {
	RequestedAt time.Time
	Response    wire.UpdateResponse
	Changed     map[string]replication.Section
	// Provisional tells that the sections are those of a copy that no primary has confirmed.
	Provisional bool
	// Servers is the list as the primary has it, if it has one.
	Servers *ServerList
	// Loads are the servers' reports, if there are newer ones, LoadsReadAt is the end of the
	// round in which they were read, and Outliers what comes with them.
	Loads       []scheduler.Load
	LoadsReadAt time.Time
	Outliers    outlier.Advice
}

// ServerList is a list of servers and when it was read.
type ServerList struct {
	ReadAt  time.Time
	Servers []membership.Server
}

// Neighbours is how many of the nearest routers a node uses as relays to the primary, and how
// many keep replicas of a router's records. The value is ours.
const Neighbours = 3

const (
	// UpdateWait is how long the primary holds a poll back that it has no update for.
	UpdateWait = 600 * time.Millisecond
	// LoadsWait is that of a node that follows reports: a little longer than reports
	// come while the servers are idle, so that each round needs one response only.
	LoadsWait = UpdateWait + 200*time.Millisecond
	// responseMargin is how much longer than the poll's wait the response may take. After
	// that the primary counts as lost.
	responseMargin = 300 * time.Millisecond
	// firstTimeout is how long a primary that was just found may take to respond, and
	// fullTimeout how long when the node has no configuration yet: a large one goes to
	// all nodes at once then.
	firstTimeout = 1200 * time.Millisecond
	fullTimeout  = 2 * time.Second
	// relayTimeout is how long the primary may take to answer a relayed message.
	relayTimeout = 1200 * time.Millisecond
	// searchTimeout is how long each address may take while the primary is
	// looked for. It leaves room for a registration's sync.
	searchTimeout = 500 * time.Millisecond
	// retryInterval is the least time from one round of a search to the next.
	retryInterval = 80 * time.Millisecond
	// unreachableTTL is how long an address that did not respond is asked after all others.
	unreachableTTL = 3 * time.Second
)

// New makes a follower for a member. InForce gives the version that the node has in force;
// onUpdate is called for every response that is applied, one after another.
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

// DefaultApplyWithin is how soon after its acknowledgement a change has to be in force if
// SetApplyWithin was not called.
const DefaultApplyWithin = 2 * time.Second

// SetApplyWithin sets how soon after its acknowledgement a change has to be in force: the loss
// of the primary is noticed within eleven twentieths of that, 1.1 s at most, and the rest is
// left to find the next one. Zero means the default.
func (f *Follower) SetApplyWithin(bound time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applyWithin = bound
	if bound <= 0 {
		f.applyWithin = DefaultApplyWithin
	}
}

// pollTimes are how long the primary may hold a poll back, and how much longer its response
// may take. The caller has the mutex.
func (f *Follower) pollTimes() (maxWait, margin time.Duration) {
	maxWait = UpdateWait
	if f.wantLoads {
		maxWait = LoadsWait
	}
	return min(maxWait, f.applyWithin*2/5), min(responseMargin, f.applyWithin*3/20)
}

// Follow chooses whether the node wants the list of servers and their load reports, too.
func (f *Follower) Follow(servers, loads bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.wantServers, f.wantLoads = servers, loads
}

// SetFailing sets the source of the servers that failed requests since it was called last;
// each poll reports them to the primary.
func (f *Follower) SetFailing(failing func() []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failing = failing
}

// ForgetList has the primary send its list of servers anew.
func (f *Follower) ForgetList() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.serversRevision = 0
}

// SetContacts sets the addresses of the controllers that the platform lists or that are
// recorded, and of the other routers, the nearest first: those relay messages to the primary,
// and know the membership.
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

// Membership is the newest membership heard of.
func (f *Follower) Membership() replication.Membership {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.membership
}

// Heard is when a response of a primary was applied last.
func (f *Follower) Heard() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.heard
}

// Section is the newest content of a section that the node has.
func (f *Follower) Section(name string) replication.Section {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.sections[name]
}

// Run polls the primary while it responds and searches for one while it does not, until the
// process ends.
func (f *Follower) Run() {
	for f.runtime.Alive() {
		if address, known := f.knownPrimary(); known {
			f.poll(address)
			continue
		}
		f.search()
	}
}

// knownPrimary is the address of the primary that responded last, until a call to it fails or
// it says that it leads no more.
func (f *Follower) knownPrimary() (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.primary, f.primary != ""
}

// poll polls the primary once and applies its response. If there is none the follower searches
// anew: a successor may have been elected.
func (f *Follower) poll(address string) {
	request, timeout := f.pollRequest()
	asked := f.runtime.Now()
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
	if response.Leads && !f.Apply(asked, response) {
		runtime.Sleep(f.runtime, retryInterval)
	}
}

// leaderRequest asks only who leads, and for the state of the copies, to keep the response
// small: all nodes send it at once after the loss of a primary.
func (f *Follower) leaderRequest() wire.UpdateRequest {
	request := f.searchRequest()
	request.LeaderOnly = true
	return request
}

// searchRequest is to be answered at once (MaxWait is zero), so that a short timeout will do.
func (f *Follower) searchRequest() wire.UpdateRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	request := f.request()
	request.WantProvisional = f.provisional && len(request.Have) == 0
	return request
}

// pollRequest is a poll and its timeout. The primary holds it back until there is an update,
// but for the first one, which may bring a complete configuration.
func (f *Follower) pollRequest() (wire.UpdateRequest, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	request := f.request()
	_, has := f.sections[replication.ConfigurationSection]
	switch {
	case !f.confirmed && !has:
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

// request tells what the node has. The caller has the mutex.
func (f *Follower) request() wire.UpdateRequest {
	have := map[string]replication.Version{}
	for name, section := range f.sections {
		have[name] = section.Version
	}
	return wire.UpdateRequest{Member: f.member, Have: have, InForce: f.inForce(), AcceptDeltas: true, AcceptChanges: true, Membership: f.membership.Epoch,
		WantServers: f.wantServers, ServersRevision: f.serversRevision, WantLoads: f.wantLoads, LoadsRevision: f.loadsRevision}
}

// Apply applies a primary's response and tells whether it did. A response with an older
// version than the node's is a deposed primary's, and is dropped with its lease; so is one
// with a delta that does not fit, whose section the next request asks for in full.
func (f *Follower) Apply(asked time.Time, response wire.UpdateResponse) bool {
	f.mutex.Lock()
	for name, delta := range response.Deltas {
		section, fits := delta.Apply(f.sections[name])
		if !fits {
			// The next request asks for the complete section; this lease is not used.
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
	f.heard = f.runtime.Now()
	f.confirmed = f.primary != ""
	update := Update{RequestedAt: asked, Response: response, Changed: response.Sections}
	f.applyLists(&update)
	f.mutex.Unlock()
	f.onUpdate(update)
	return true
}

// applyLists takes the list of servers and their reports out of a response. The caller has
// the mutex. Ages count from RequestedAt and the time for which the request was held back: the
// response was made no earlier, so nothing counts as younger than it is.
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
		delay := f.runtime.Now().Sub(update.LoadsReadAt)
		for _, report := range f.reports {
			update.Loads = append(update.Loads, report.Load(delay))
		}
	}
}

// applyServers takes a list that was sent, or its changes. Changes of another list than the
// follower's are dropped, and the next request asks for the complete one.
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

// warmingAtReading gives servers with their warming as of when the list was read. A response has
// it as of when it was made.
func warmingAtReading(servers []membership.Server, age time.Duration) []membership.Server {
	servers = slices.Clone(servers)
	for position := range servers {
		if servers[position].Warming > 0 {
			servers[position].Warming += age
		}
	}
	return servers
}

// applyReports takes a round of reports, or its changes from the follower's round, and tells
// whether it did. After changes that do not fit the next request asks for all reports.
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
