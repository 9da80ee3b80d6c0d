package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime/runtimetest"
)

// TestRecordsOfGoneServersAreRemoved lets a server disappear from the list, return, and disappear
// permanently. Its role must be renewed until unlistedTimeout has passed, and its records may be removed
// only when no router can have a valid lease on the role.
func TestRecordsOfGoneServersAreRemoved(t *testing.T) {
	term := newTerm(runtimetest.AfterStart(0))
	role := lease.Role{Key: lease.ServerKey("a"), Holder: "courier-1", FencingToken: 3}
	state := &replication.State{
		Roles:  replication.Roles{Roles: map[string]lease.Role{role.Key: role, lease.ServerRolesKey: {Key: lease.ServerRolesKey}}},
		Orders: replication.Orders{Records: map[string]codec.Record{"a": {}, "b": {}}},
	}
	candidates := map[string]time.Duration{"courier-1": time.Minute}
	renewed := func(at time.Duration) bool {
		return len(term.roleLeases.Renew(runtimetest.AfterStart(at), "courier-1", map[string]lease.Role{role.Key: role}, candidates)) > 0
	}
	listed := []membership.Server{{Name: "a"}, {Name: "b"}}
	goneAt := func(length time.Duration, servers []membership.Server) []string {
		return term.goneServers(runtimetest.AfterStart(length), state, servers)
	}
	goneAt(0, listed)
	goneAt(time.Second, listed[1:])
	goneAt(50*time.Second, listed)
	goneAt(60*time.Second, listed[1:])
	if gone := goneAt(115*time.Second, listed[1:]); len(gone) > 0 || !renewed(115*time.Second) {
		t.Errorf("a server that was listed again in between: got gone servers %v, want none, and a renewed role", gone)
	}
	if gone := goneAt(121*time.Second, listed[1:]); len(gone) > 0 || renewed(121*time.Second) {
		t.Errorf("after unlistedTimeout: got gone servers %v, want none, and a role that is not renewed", gone)
	}
	if gone := goneAt(131*time.Second, listed[1:]); !slices.Equal(gone, []string{"a"}) {
		t.Errorf("after forgetTimeout: got gone servers %v, want [a]", gone)
	}
	if timing := lease.DefaultTiming(); forgetTimeout-unlistedTimeout < timing.Lease+timing.Drift+timing.Cooldown {
		t.Error("a router may have a valid lease on a role when the records of its server are removed")
	}
}

// TestSilentCountsFromTheBeginningOfTheTerm expects that a member that has not polled since the term began
// is treated as if it had polled at the beginning of the term.
func TestSilentCountsFromTheBeginningOfTheTerm(t *testing.T) {
	term := newTerm(runtimetest.AfterStart(0))
	state := &replication.State{Members: map[string]membership.Member{"a": {}, "b": {}, "c": {}}}
	term.lastPoll["a"] = runtimetest.AfterStart(50 * time.Second)
	term.lastPoll["b"] = runtimetest.AfterStart(-time.Minute)
	if silent := term.silent(runtimetest.AfterStart(59*time.Second), state, time.Minute); len(silent) > 0 {
		t.Errorf("silent members after 59s: got %v, want none", silent)
	}
	if silent := term.silent(runtimetest.AfterStart(time.Minute), state, time.Minute); !slices.Equal(silent, []string{"b", "c"}) {
		t.Errorf("silent members after a minute: got %v, want [b c]", silent)
	}
}

// TestPollsUseCachedCandidates expects that the candidates for roles and the number of routers are cached, so
// that a poll allocates nothing for them, and that they are computed again when the cache is old or the
// state has changed.
func TestPollsUseCachedCandidates(t *testing.T) {
	start := runtimetest.AfterStart(0)
	term := newTerm(start)
	members := map[string]membership.Member{}
	for number := range 300 {
		name := fmt.Sprint("router-", number)
		members[name] = membership.Member{Name: name, Kind: membership.Router}
		term.RouterLeases.Grant(start, name, 1)
	}
	state := &replication.State{Members: members}
	now := start.Add(routerCountTime)
	for name := range members {
		term.RouterLeases.Grant(now, name, 1)
	}
	collect := func(state *replication.State) (candidates, routers int) {
		return len(term.candidates(now, state)), term.routers(now, state)
	}
	if candidates, routers := collect(state); candidates != 300 || routers != 300 {
		t.Fatalf("got %d candidates and %d routers, want 300 of each", candidates, routers)
	}
	if allocations := testing.AllocsPerRun(100, func() { collect(state) }); allocations > 0 {
		t.Errorf("allocations per poll: got %v, want none", allocations)
	}
	fewer := &replication.State{Members: maps.Clone(members)}
	delete(fewer.Members, "router-7")
	if candidates, _ := collect(fewer); candidates != 299 {
		t.Errorf("after a member was removed: got %d candidates, want 299", candidates)
	}
	term.RouterLeases.Grant(now, "router-new", 1)
	fewer.Members["router-new"] = membership.Member{Name: "router-new", Kind: membership.Router}
	now = now.Add(candidatesTTL)
	if candidates, routers := collect(fewer); candidates != 300 || routers != 301 {
		t.Errorf("after a router has joined: got %d candidates and %d routers, want 300 and 301", candidates, routers)
	}
}
