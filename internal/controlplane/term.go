package controlplane

import (
	"slices"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// Term is what a primary remembers for as long as it is primary.
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
	state         *replication.State
	stateVersion  replication.Version
}

func newTerm(now time.Time) *Term {
	return &Term{Since: now, Grants: lease.NewRouterLeases(lease.DefaultTiming(), now), keys: lease.NewRoleLeases(lease.DefaultTiming()), lastPoll: map[string]time.Time{}, unlistedSince: map[string]time.Time{}, membersStableSince: now}
}

// candidates are the live routers that lack no enabled flag, with how long
// each has been live.
func (t *Term) candidates(now time.Time, state *replication.State) map[string]time.Duration {
	live := t.Grants.Live(now)
	for name := range live {
		member, found := state.Members[name]
		if !found || member.Kind != membership.Router || member.Restricted(state.Flags.Enabled) {
			delete(live, name)
		}
	}
	return live
}

// silent lists the recorded members that have not asked for news for a time. A new
// primary takes all to have asked when it began. The caller has the controller's mutex.
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

// gone lists the recorded servers that were not listed for so long that their records
// may go, and lets go of the duties of those that were not listed for a while. The
// caller has the controller's mutex.
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
	heard := len(t.Grants.SeenWithin(now, routerCountTime))
	if now.Sub(t.Since) >= routerCountTime {
		return heard
	}
	return max(heard, len(membership.RouterNames(state.Members)))
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
