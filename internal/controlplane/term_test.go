package controlplane

import (
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
