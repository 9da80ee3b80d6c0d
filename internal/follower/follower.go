package follower

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// Follower keeps one node up to date: it asks the primary with the versions that
// it has and is answered when there is news.
type Follower struct {
	runtime  runtime.Runtime
	client   wire.Client
	member   membership.Member
	inForce  func() replication.Version
	onUpdate func(Update)

	mutex   sync.Mutex
	primary string
	// current tells that the present primary has answered in full.
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

	// failing gives the servers that failed requests lately; nil: nobody knows.
	failing func() []string

	wantServers, wantLoads bool
	serversRevision        uint64
	loadsRevision          uint64
	listing                membership.ServerList
}

// Update is one answer of the primary, as the node takes it.
type Update struct {
	RequestedAt time.Time
	Response    wire.UpdateResponse
	Changed     map[string]replication.Section
	// Provisional tells that the sections are those of a copy and no primary's word.
	Provisional bool
	// Servers is the list as the primary has it, if it has one.
	Servers *ServerList
	// Loads are the servers' reports, if there are newer ones, Outliers what comes with
	// them.
	Loads    []scheduler.Load
	Outliers outlier.Advice
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
	// UpdateWait is how long the primary holds a question back without news.
	UpdateWait = 600 * time.Millisecond
	// LoadsWait is that of a node that follows reports: a little longer than reports
	// come in calm times, so that each round needs one answer only.
	LoadsWait = UpdateWait + 200*time.Millisecond
	// responseMargin is how much longer than the primary may hold a question back the
	// answer may take. After that the primary counts as silent.
	responseMargin = 300 * time.Millisecond
	// firstTimeout is how long a primary that was just found may take to answer, and
	// fullTimeout how long when the node has no configuration yet: a large one goes to
	// the whole fleet at once then.
	firstTimeout = 1200 * time.Millisecond
	fullTimeout  = 2 * time.Second
	// relayTimeout is how long the primary may take to answer a relayed message.
	relayTimeout = 1200 * time.Millisecond
	// searchTimeout is how long each address may take while the primary is
	// looked for. It leaves room for a registration's sync.
	searchTimeout = 500 * time.Millisecond
	// retryInterval is the pause after a round in which nobody led.
	retryInterval = 80 * time.Millisecond
	// unreachableTTL is how long an address that did not answer is asked last.
	unreachableTTL = 3 * time.Second
)

// New makes a follower for a member. Take is called for every answer,
// in turn.
func New(rt runtime.Runtime, client wire.Client, member membership.Member, seeds []string, inForce func() replication.Version, take func(Update)) *Follower {
	return &Follower{runtime: rt, client: client, member: member, seeds: seeds, inForce: inForce, onUpdate: take,
		sections: map[string]replication.Section{}, unreachable: map[string]time.Time{}, applyWithin: DefaultApplyWithin}
}

// DefaultApplyWithin is how soon a change has to be in force when nobody said.
const DefaultApplyWithin = 2 * time.Second

// SetApplyWithin tells how soon after its acknowledgement a change has to be in force: a
// primary's silence is noticed within eleven twentieths of that, 1.1 s at most, and the rest
// is left to find the next one. Zero means the default.
func (f *Follower) SetApplyWithin(bound time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applyWithin = bound
	if bound <= 0 {
		f.applyWithin = DefaultApplyWithin
	}
}

// waits are how long a question may be held back, and how much longer its answer may take.
// The caller has the mutex.
func (f *Follower) pollTimes() (held, margin time.Duration) {
	held = UpdateWait
	if f.wantLoads {
		held = LoadsWait
	}
	return min(held, f.applyWithin*2/5), min(responseMargin, f.applyWithin*3/20)
}

// Follow chooses whether the list of servers and their reports are followed, too.
func (f *Follower) Follow(l, loads bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.wantServers, f.wantLoads = l, loads
}

// SetFailing gives the way to the servers that failed requests lately: each is told once.
func (f *Follower) SetFailing(failing func() []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failing = failing
}

// ForgetList has the primary tell its list of servers anew.
func (f *Follower) ForgetList() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.serversRevision = 0
}

// SetContacts gives the controllers' addresses that the platform or the record lists,
// and the other routers, the nearest first: they may relay, and tell where the core is.
func (f *Follower) SetContacts(contacts, p []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.contacts, f.peers = contacts, p
}

// SetSeeds exchanges the seeds, after a reload.
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

// Heard is when the primary answered last.
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

// Run asks until the process ends: the primary while it answers, and all that may know
// it while it does not.
func (f *Follower) Run() {
	for f.runtime.Alive() {
		if address, known := f.knownPrimary(); known {
			f.poll(address)
			continue
		}
		f.search()
	}
}

// knownPrimary is the address of the primary that answered last, until it is silent or
// says that it leads no more.
func (f *Follower) knownPrimary() (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.primary, f.primary != ""
}

// poll asks the primary once and takes its answer. One that is silent is looked for
// anew: its successor may have been elected.
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

// leaderRequest asks only who leads, and what the copies are like: a whole fleet asks it at
// once after a loss.
func (f *Follower) leaderRequest() wire.UpdateRequest {
	request := f.searchRequest()
	request.LeaderOnly = true
	return request
}

// searchRequest is to be answered at once, so that those who are dark cost little time.
func (f *Follower) searchRequest() wire.UpdateRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	request := f.request()
	request.WantProvisional = f.provisional && len(request.Have) == 0
	return request
}

// pollRequest is held back by the primary until there is news. The first one to a primary
// is answered at once; it may bring a whole configuration.
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
	held, margin := f.pollTimes()
	request.MaxWait = held
	if f.failing != nil {
		request.Failing = f.failing()
	}
	return request, held + margin
}

// question tells what the node has. The caller has the mutex.
func (f *Follower) request() wire.UpdateRequest {
	have := map[string]replication.Version{}
	for name, section := range f.sections {
		have[name] = section.Version
	}
	return wire.UpdateRequest{Member: f.member, Have: have, InForce: f.inForce(), AcceptDeltas: true, Membership: f.membership.Epoch,
		WantServers: f.wantServers, ServersRevision: f.serversRevision, WantLoads: f.wantLoads, LoadsRevision: f.loadsRevision}
}

// Apply takes a primary's answer and tells whether it did: an older primary's word
// is passed over, since versions never go back.
func (f *Follower) Apply(asked time.Time, response wire.UpdateResponse) bool {
	f.mutex.Lock()
	for name, delta := range response.Deltas {
		section, fits := delta.Apply(f.sections[name])
		if !fits {
			// The next question asks for the whole; this answer's hold is not used.
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

// applyLists takes the list of servers and their reports out of an answer. The caller
// has the mutex. An age counts from the latest moment at which the question surely
// had not been answered yet, so that nothing is taken for younger than it is.
func (f *Follower) applyLists(update *Update) {
	told := update.RequestedAt.Add(update.Response.Waited)
	if said := update.Response.Servers; said != nil {
		at := told.Add(-said.Age)
		if said.Sent {
			f.listing = membership.ServerList{}
			f.listing.Update(at, said.Servers)
			f.serversRevision = said.Revision
		}
		if said.Revision == f.serversRevision {
			f.listing.Confirm(at)
			update.Servers = &ServerList{ReadAt: at, Servers: f.listing.Servers(at)}
		}
	}
	if said := update.Response.Loads; said != nil && f.wantLoads {
		f.loadsRevision = said.Revision
		update.Outliers = said.Outliers
		late := f.runtime.Now().Sub(told)
		for _, client := range said.Reports {
			update.Loads = append(update.Loads, client.Load(late))
		}
	}
}
