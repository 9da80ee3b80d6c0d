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

// TestRecordsOfGoneServersEnd lets a server vanish from the list, come back, and vanish
// for good: its duty is renewed until it is held to be gone, and its records go only
// when nobody can hold it any more.
func TestRecordsOfGoneServersEnd(t *testing.T) {
	term := newTerm(runtimetest.AtNoon(0))
	role := lease.Role{Key: lease.ServerKey("a"), Holder: "courier-1", FencingToken: 3}
	state := &replication.State{Roles: replication.Roles{Roles: map[string]lease.Role{role.Key: role, lease.PartsKey: {Key: lease.PartsKey}}},
		Orders: replication.Orders{Records: map[string]codec.Record{"a": {}, "b": {}}}}
	candidates := map[string]time.Duration{"courier-1": time.Minute}
	renewed := func(at time.Duration) bool {
		return len(term.keys.Renew(runtimetest.AtNoon(at), "courier-1", map[string]lease.Role{role.Key: role}, candidates)) > 0
	}
	listed := []membership.Server{{Name: "a"}, {Name: "b"}}
	at := func(length time.Duration, servers []membership.Server) []string {
		return term.goneServers(runtimetest.AtNoon(length), state, servers)
	}
	at(0, listed)
	at(time.Second, listed[1:])
	at(50*time.Second, listed)
	at(60*time.Second, listed[1:])
	if gone := at(115*time.Second, listed[1:]); len(gone) > 0 || !renewed(115*time.Second) {
		t.Errorf("a server that was back is gone: %v", gone)
	}
	if gone := at(121*time.Second, listed[1:]); len(gone) > 0 || renewed(121*time.Second) {
		t.Errorf("gone %v, or its duty is still renewed", gone)
	}
	if gone := at(131*time.Second, listed[1:]); !slices.Equal(gone, []string{"a"}) {
		t.Errorf("gone: %v", gone)
	}
	if timing := lease.DefaultTiming(); forgetTimeout-unlistedTimeout < timing.Lease+timing.Drift+timing.Cooldown {
		t.Error("a duty may still be held when its record goes")
	}
}

// TestSilentMembersAreThoseThatAskedNobody counts from the term's beginning.
func TestSilentMembersAreThoseThatAskedNobody(t *testing.T) {
	term := newTerm(runtimetest.AtNoon(0))
	state := &replication.State{Members: map[string]membership.Member{"a": {}, "b": {}, "c": {}}}
	term.lastPoll["a"] = runtimetest.AtNoon(50 * time.Second)
	term.lastPoll["b"] = runtimetest.AtNoon(-time.Minute)
	if silent := term.silent(runtimetest.AtNoon(59*time.Second), state, time.Minute); len(silent) > 0 {
		t.Errorf("silent: %v", silent)
	}
	if silent := term.silent(runtimetest.AtNoon(time.Minute), state, time.Minute); !slices.Equal(silent, []string{"b", "c"}) {
		t.Errorf("silent: %v", silent)
	}
}

// TestPollsDoNotCollectAllRouters wants the candidates for roles and the number of routers to cost a poll
// nothing while they are fresh, and to be collected anew when they are old or the state has changed.
func TestPollsDoNotCollectAllRouters(t *testing.T) {
	noon := runtimetest.AtNoon(0)
	term := newTerm(noon)
	members := map[string]membership.Member{}
	for number := range 300 {
		name := fmt.Sprint("router-", number)
		members[name] = membership.Member{Name: name, Kind: membership.Router}
		term.Grants.Grant(noon, name, 1)
	}
	state := &replication.State{Members: members}
	now := noon.Add(routerCountTime)
	for name := range members {
		term.Grants.Grant(now, name, 1)
	}
	look := func(state *replication.State) (candidates, routers int) {
		return len(term.candidates(now, state)), term.routers(now, state)
	}
	if candidates, routers := look(state); candidates != 300 || routers != 300 {
		t.Fatalf("%d candidates, %d routers", candidates, routers)
	}
	if allocations := testing.AllocsPerRun(100, func() { look(state) }); allocations > 0 {
		t.Errorf("%v allocations a poll", allocations)
	}
	fewer := &replication.State{Members: maps.Clone(members)}
	delete(fewer.Members, "router-7")
	if candidates, _ := look(fewer); candidates != 299 {
		t.Errorf("%d candidates after a member was removed", candidates)
	}
	term.Grants.Grant(now, "router-new", 1)
	fewer.Members["router-new"] = membership.Member{Name: "router-new", Kind: membership.Router}
	now = now.Add(candidatesTTL)
	if candidates, routers := look(fewer); candidates != 300 || routers != 301 {
		t.Errorf("%d candidates, %d routers, after one has come", candidates, routers)
	}
}
