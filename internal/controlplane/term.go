package controlplane

import (
	"slices"
	"strings"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// Term is the state that a primary has for as long as it is primary.
type Term struct {
	Since              time.Time
	Grants             *lease.RouterLeases
	keys               *lease.RoleLeases
	deltas             deltaCache
	membersVersion     replication.Version
	membersStableSince time.Time
	horizonMovedAt     time.Time
	lastPoll           map[string]time.Time
	// unlisted is since when a recorded server is not on the platform's list.
	unlistedSince map[string]time.Time
	zoneOrders    *zoneOrders
	roleGrant     roleGrant
	routerTable   routerTable
	state         *replication.State
	stateVersion  replication.Version
}

func newTerm(now time.Time) *Term {
	return &Term{
		Since:              now,
		Grants:             lease.NewRouterLeases(lease.DefaultTiming(), now),
		keys:               lease.NewRoleLeases(lease.DefaultTiming()),
		lastPoll:           map[string]time.Time{},
		unlistedSince:      map[string]time.Time{},
		zoneOrders:         newZoneOrders(now),
		membersStableSince: now,
	}
}

// roleGrantInterval is the least time between two batches that grant roles: a server without a role's
// holder goes on serving and is only commanded later.
const roleGrantInterval = time.Second

// roleGrant is the last grant of roles of a term.
type roleGrant struct {
	mutex   sync.Mutex
	at      time.Time
	pending bool
}

// roleGrantDue tells whether roles may be granted: the last grant was committed, or failed, and was made
// long enough ago.
func (t *Term) roleGrantDue(now time.Time) bool {
	t.roleGrant.mutex.Lock()
	defer t.roleGrant.mutex.Unlock()
	return !t.roleGrant.pending && (t.roleGrant.at.IsZero() || now.Sub(t.roleGrant.at) >= roleGrantInterval)
}

// beginRoleGrant notes that a grant of roles is queued.
func (t *Term) beginRoleGrant(now time.Time) {
	t.roleGrant.mutex.Lock()
	defer t.roleGrant.mutex.Unlock()
	t.roleGrant.at, t.roleGrant.pending = now, true
}

// endRoleGrant notes that its outcome is known.
func (t *Term) endRoleGrant() {
	t.roleGrant.mutex.Lock()
	defer t.roleGrant.mutex.Unlock()
	t.roleGrant.pending = false
}

// candidatesTTL is how long the candidates for roles and the number of routers are kept: each poll asks
// for both, and a router that has just come may wait as long for its first role.
const candidatesTTL = 100 * time.Millisecond

// routerTable is what polls ask of all routers at a moment and a state.
type routerTable struct {
	mutex sync.Mutex
	at    time.Time
	state *replication.State
	// candidates are not altered once they are there.
	candidates map[string]time.Duration
	// heard and recorded count the routers heard lately and those among the members.
	heard, recorded int
}

// collect returns the candidates and the numbers of routers heard lately and recorded, collected anew when
// they are old or the state has changed.
func (t *Term) collect(now time.Time, state *replication.State) (candidates map[string]time.Duration, heard, recorded int) {
	t.routerTable.mutex.Lock()
	defer t.routerTable.mutex.Unlock()
	table := &t.routerTable
	if table.candidates == nil || table.state != state || now.Sub(table.at) >= candidatesTTL {
		table.at, table.state = now, state
		table.candidates = t.collectCandidates(now, state)
		table.heard = len(t.Grants.SeenWithin(now, routerCountTime))
		table.recorded = len(membership.RouterNames(state.Members))
	}
	return table.candidates, table.heard, table.recorded
}

// candidates are the live routers that lack no enabled flag, with how long
// each has been live. The map is shared.
func (t *Term) candidates(now time.Time, state *replication.State) map[string]time.Duration {
	candidates, _, _ := t.collect(now, state)
	return candidates
}

func (t *Term) collectCandidates(now time.Time, state *replication.State) map[string]time.Duration {
	live := t.Grants.Live(now)
	for name := range live {
		member, found := state.Members[name]
		if !found || member.Kind != membership.Router || member.Restricted(state.Flags.Enabled) {
			delete(live, name)
		}
	}
	return live
}

// silent lists the recorded members that have not polled for a time. A new primary counts all
// as having polled at the beginning of its term. The caller has the controller's mutex.
func (t *Term) silent(now time.Time, state *replication.State, length time.Duration) []string {
	var silent []string
	for name := range state.Members {
		last := t.lastPoll[name]
		if last.Before(t.Since) {
			last = t.Since
		}
		if now.Sub(last) >= length {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// A server that has not been on the list for unlistedTimeout is gone for good. Its duty is
// renewed no more then, and its records go when nobody can hold it any more. The
// values are ours.
const (
	unlistedTimeout = time.Minute
	forgetTimeout   = unlistedTimeout + 10*time.Second
)

// goneServers lists the recorded servers that were unlisted for forgetTimeout, whose records may
// be removed, and releases the roles of those unlisted for unlistedTimeout. The caller has the
// controller's mutex.
func (t *Term) goneServers(now time.Time, state *replication.State, listed []membership.Server) []string {
	recorded := map[string]bool{}
	for key := range state.Roles.Roles {
		if name, found := strings.CutPrefix(key, lease.ServerKey("")); found {
			recorded[name] = true
		}
	}
	for name := range state.Orders.Records {
		recorded[name] = true
	}
	for _, server := range listed {
		delete(recorded, server.Name)
	}
	for name := range t.unlistedSince {
		if !recorded[name] {
			delete(t.unlistedSince, name)
		}
	}
	var gone []string
	for name := range recorded {
		since, found := t.unlistedSince[name]
		if !found {
			t.unlistedSince[name] = now
			continue
		}
		if role, found := state.Roles.Roles[lease.ServerKey(name)]; found && now.Sub(since) >= unlistedTimeout {
			t.keys.Release(now, role)
		}
		if now.Sub(since) >= forgetTimeout {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// routerCountTime is how long a router that is not heard from any more counts among
// those that share the servers; for as long a new primary counts all that are
// recorded. The value is ours.
const routerCountTime = 10 * time.Second

// routers is how many routers share the servers.
func (t *Term) routers(now time.Time, state *replication.State) int {
	_, heard, recorded := t.collect(now, state)
	if now.Sub(t.Since) >= routerCountTime {
		return heard
	}
	return max(heard, recorded)
}

// behind lists the routers that were heard from within a time and have not
// confirmed a version.
func (t *Term) behind(now time.Time, version replication.Version, within time.Duration) []string {
	return t.Grants.LaggingSeenWithin(now, version.Number, within)
}

// Lagging lists the routers that may still admitted under a configuration older
// than the version.
func (t *Term) Lagging(now time.Time, version replication.Version, state *replication.State) []string {
	return t.Grants.Lagging(now, version.Number, membership.RouterNames(state.Members))
}

func (c *Controller) tick() {
	c.coordinator.Tick()
	c.noticeWait()
	c.resetLedger()
	// It may wait for the disk, and nobody may wait for that here.
	leading := c.store.Leading()
	epoch := c.coordinator.Membership().Epoch
	c.mutex.Lock()
	moved := epoch != c.epoch
	c.epoch = epoch
	begun, ended := leading && c.term == nil, !leading && c.term != nil
	if begun {
		c.term = newTerm(c.runtime.Now())
	}
	if ended {
		c.term = nil
	}
	c.mutex.Unlock()
	if begun {
		c.serverList.beginTerm(c.coordinator.Membership().Epoch)
		c.termBegan.Broadcast()
	}
	if ended {
		c.serverList.endTerm()
	}
	if ended || moved {
		c.updated.Broadcast()
	}
}

// Leading gives the term and the committed view if this controller is primary at
// this moment.
func (c *Controller) Leading() (*Term, *replication.View, error) {
	c.mutex.Lock()
	current := c.term
	c.mutex.Unlock()
	view := c.store.View()
	if current == nil || view == nil || !c.coordinator.HasLease() {
		return nil, nil, failure.New(failure.NoPrimary, "this expediter is not primary")
	}
	return current, view, nil
}

// Read is the committed state for a reader: the hold is checked after the view
// was taken, so that it was the newest at some moment of the call. The copies
// that it finds old are mended.
func (c *Controller) Read() (*Term, *replication.View, *replication.State, error) {
	current, view, err := c.Leading()
	if err != nil {
		return nil, nil, nil, err
	}
	state, err := c.state(current, view)
	if err != nil {
		return nil, nil, nil, err
	}
	if !c.coordinator.HasLease() {
		return nil, nil, nil, failure.New(failure.NoPrimary, "the hold ran out")
	}
	c.runtime.Go(func() { c.repairCopies(view) })
	return current, view, state, nil
}

// state is the committed state, decoded once for each version.
func (c *Controller) state(current *Term, view *replication.View) (*replication.State, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if current.state != nil && current.stateVersion == view.Version {
		return current.state, nil
	}
	// Claims and records of changes are many and asked for seldom.
	sections := map[string]replication.Section{}
	for _, name := range []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection, replication.RolesSection, replication.OrdersSection} {
		if section, found := view.Sections[name]; found {
			sections[name] = section
		}
	}
	state, err := replication.ReadState(sections)
	if err != nil {
		return nil, err
	}
	current.state, current.stateVersion = state, view.Version
	return state, nil
}
