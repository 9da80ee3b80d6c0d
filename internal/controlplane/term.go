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

// Term is the state that a controller keeps for as long as it is primary.
type Term struct {
	// Since is when the term began.
	Since time.Time
	// RouterLeases tracks the leases of routers, and roleLeases the leases on roles.
	RouterLeases *lease.RouterLeases
	roleLeases   *lease.RoleLeases
	deltas       deltaCache
	// membersVersion is the version of the recorded members, and membersStableSince when housekeeping first
	// saw this version.
	membersVersion     replication.Version
	membersStableSince time.Time
	// horizonMovedAt is when the claims' horizon was last advanced.
	horizonMovedAt time.Time
	// lastPoll is when each node last polled, by its name.
	lastPoll map[string]time.Time
	// unlistedSince is when each recorded server that the platform no longer lists was first missing, by
	// its name.
	unlistedSince map[string]time.Time
	zoneOrders    *zoneOrders
	roleGrant     roleGrant
	routerTable   routerTable
	// state caches the decoded state of stateVersion.
	state        *replication.State
	stateVersion replication.Version
}

func newTerm(now time.Time) *Term {
	return &Term{
		Since:              now,
		RouterLeases:       lease.NewRouterLeases(lease.DefaultTiming(), now),
		roleLeases:         lease.NewRoleLeases(lease.DefaultTiming()),
		lastPoll:           map[string]time.Time{},
		unlistedSince:      map[string]time.Time{},
		zoneOrders:         newZoneOrders(now),
		membersStableSince: now,
	}
}

// roleGrantInterval is the minimum time between two batches that grant roles. A server whose role has
// no holder continues to serve requests; it only gets its commands later.
const roleGrantInterval = time.Second

// roleGrant records when roles were last granted in a term, and whether the outcome is pending.
type roleGrant struct {
	mutex   sync.Mutex
	at      time.Time
	pending bool
}

// roleGrantDue reports whether roles may be granted now: the outcome of the last grant, if any, is
// known, and that grant was made at least roleGrantInterval ago.
func (t *Term) roleGrantDue(now time.Time) bool {
	t.roleGrant.mutex.Lock()
	defer t.roleGrant.mutex.Unlock()
	return !t.roleGrant.pending && (t.roleGrant.at.IsZero() || now.Sub(t.roleGrant.at) >= roleGrantInterval)
}

// beginRoleGrant records that a grant of roles is queued.
func (t *Term) beginRoleGrant(now time.Time) {
	t.roleGrant.mutex.Lock()
	defer t.roleGrant.mutex.Unlock()
	t.roleGrant.at, t.roleGrant.pending = now, true
}

// endRoleGrant records that the outcome of the queued grant is known.
func (t *Term) endRoleGrant() {
	t.roleGrant.mutex.Lock()
	defer t.roleGrant.mutex.Unlock()
	t.roleGrant.pending = false
}

// candidatesTTL is how long a routerTable is valid. A new router may wait this much longer for its
// first role.
const candidatesTTL = 100 * time.Millisecond

// routerTable caches values that are computed from all routers, since each poll needs them. They
// are valid for one state and until candidatesTTL has passed since at.
type routerTable struct {
	mutex sync.Mutex
	at    time.Time
	state *replication.State
	// candidates is never modified after it is set, since callers share it.
	candidates map[string]time.Duration
	// seen is the number of routers that polled recently, recorded the number of routers among the
	// members.
	seen, recorded int
}

// collect returns the candidates for roles and the numbers of routers that polled recently and that are
// recorded. It computes them again when they are older than candidatesTTL or the state has changed.
func (t *Term) collect(now time.Time, state *replication.State) (candidates map[string]time.Duration, seen, recorded int) {
	t.routerTable.mutex.Lock()
	defer t.routerTable.mutex.Unlock()
	table := &t.routerTable
	if table.candidates == nil || table.state != state || now.Sub(table.at) >= candidatesTTL {
		table.at, table.state = now, state
		table.candidates = t.collectCandidates(now, state)
		table.seen = len(t.RouterLeases.SeenWithin(now, routerCountTime))
		table.recorded = len(membership.RouterNames(state.Members))
	}
	return table.candidates, table.seen, table.recorded
}

// candidates returns the live routers that support all enabled flags, each with the time for which it
// has been live. Callers share the map and must not modify it.
func (t *Term) candidates(now time.Time, state *replication.State) map[string]time.Duration {
	candidates, _, _ := t.collect(now, state)
	return candidates
}

// collectCandidates computes the result of candidates.
func (t *Term) collectCandidates(now time.Time, state *replication.State) map[string]time.Duration {
	live := t.RouterLeases.Live(now)
	for name := range live {
		member, found := state.Members[name]
		if !found || member.Kind != membership.Router || member.Restricted(state.Flags.Enabled) {
			delete(live, name)
		}
	}
	return live
}

// silent returns the sorted names of the recorded members that have not polled for the given length
// of time. A new primary counts all members as having polled at the beginning of its term. The caller
// holds the controller's mutex.
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

// A server that has been missing from the platform's list for unlistedTimeout counts as removed: its
// role is not renewed from then on. Its records are removed after forgetTimeout, when no router can
// have a valid lease on the role.
const (
	unlistedTimeout = time.Minute
	forgetTimeout   = unlistedTimeout + 10*time.Second
)

// goneServers returns the sorted names of the recorded servers that have been unlisted for
// forgetTimeout, whose records may be removed. It also releases the roles of servers that have been
// unlisted for unlistedTimeout. The caller holds the controller's mutex.
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
			t.roleLeases.Release(now, role)
		}
		if now.Sub(since) >= forgetTimeout {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// routerCountTime is how long a router that has stopped polling still counts as one of the routers
// that share the servers. A new primary counts all recorded routers for the same time.
const routerCountTime = 10 * time.Second

// routers returns the number of routers that share the servers.
func (t *Term) routers(now time.Time, state *replication.State) int {
	_, seen, recorded := t.collect(now, state)
	if now.Sub(t.Since) >= routerCountTime {
		return seen
	}
	return max(seen, recorded)
}

// laggingSeenWithin returns the routers that polled within the given length of time and have not
// confirmed the version.
func (t *Term) laggingSeenWithin(now time.Time, version replication.Version, within time.Duration) []string {
	return t.RouterLeases.LaggingSeenWithin(now, version.Number, within)
}

// Lagging returns the routers that may still admit requests under a configuration older than the
// version.
func (t *Term) Lagging(now time.Time, version replication.Version, state *replication.State) []string {
	return t.RouterLeases.Lagging(now, version.Number, membership.RouterNames(state.Members))
}

// tick runs the coordinator once, and begins or ends the term when the leadership has changed.
func (c *Controller) tick() {
	c.coordinator.Tick()
	c.noticeWait()
	c.resetLedger()
	// Leading may wait for the disk, so it is called without the mutex.
	leading := c.store.Leading()
	epoch := c.coordinator.Membership().Epoch
	c.mutex.Lock()
	epochChanged := epoch != c.epoch
	c.epoch = epoch
	began, ended := leading && c.term == nil, !leading && c.term != nil
	if began {
		c.term = newTerm(c.runtime.Now())
	}
	if ended {
		c.term = nil
	}
	c.mutex.Unlock()
	if began {
		c.serverList.beginTerm(c.coordinator.Membership().Epoch)
		c.termBegan.Broadcast()
	}
	if ended {
		c.serverList.endTerm()
	}
	if ended || epochChanged {
		c.updated.Broadcast()
	}
}

// Leading returns the term and the committed view if this controller is primary now. It fails with
// NoPrimary otherwise.
func (c *Controller) Leading() (*Term, *replication.View, error) {
	c.mutex.Lock()
	term := c.term
	c.mutex.Unlock()
	view := c.store.View()
	if term == nil || view == nil || !c.coordinator.HasLease() {
		return nil, nil, failure.New(failure.NoPrimary, "this controller is not primary")
	}
	return term, view, nil
}

// Read returns the term and the committed view and state for a linearizable read. The lease is checked
// after the view was taken, so the view was the newest at some time during the call. Read also starts
// the repair of copies that are older than the view.
func (c *Controller) Read() (*Term, *replication.View, *replication.State, error) {
	term, view, err := c.Leading()
	if err != nil {
		return nil, nil, nil, err
	}
	state, err := c.state(term, view)
	if err != nil {
		return nil, nil, nil, err
	}
	if !c.coordinator.HasLease() {
		return nil, nil, nil, failure.New(failure.NoPrimary, "the lease expired during the read")
	}
	c.runtime.Go(func() { c.repairCopies(view) })
	return term, view, state, nil
}

// state returns the decoded state of a committed view. It decodes each version once.
func (c *Controller) state(term *Term, view *replication.View) (*replication.State, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if term.state != nil && term.stateVersion == view.Version {
		return term.state, nil
	}
	// Claims and records of changes are left out: they are numerous and rarely needed.
	sections := map[string]replication.Section{}
	for _, name := range []string{
		replication.ConfigurationSection,
		replication.MembersSection,
		replication.FlagsSection,
		replication.RolesSection,
		replication.OrdersSection,
	} {
		if section, found := view.Sections[name]; found {
			sections[name] = section
		}
	}
	state, err := replication.ReadState(sections)
	if err != nil {
		return nil, err
	}
	term.state, term.stateVersion = state, view.Version
	return state, nil
}
