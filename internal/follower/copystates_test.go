package follower

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// TestProvisionalConfigurationIsOnEveryCopyInSync expects choose to return the oldest configuration among
// the copies that the newest membership names, except damaged copies. choose may return a configuration only
// after a quorum of the witnesses has reported and each of these copies has reported or is known to be lost.
func TestProvisionalConfigurationIsOnEveryCopyInSync(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := func(name string) replication.Replica {
		return replication.Replica{Identity: replication.Identity("disk " + name), Address: name}
	}
	witnesses := []replication.Replica{replica("a"), replica("b"), replica("c")}
	pair := replication.Membership{Epoch: 4, Primary: replica("a"), Backup: replica("b"), Witnesses: witnesses}
	alone := replication.Membership{Epoch: 5, Primary: replica("b"), Witnesses: witnesses}
	five := replication.Membership{
		Epoch:          6,
		Primary:        replica("a"),
		Backup:         replica("b"),
		FurtherBackups: []replication.Replica{replica("d")},
		Witnesses:      append(append([]replication.Replica{}, witnesses...), replica("d"), replica("e")),
	}
	version := func(number uint64) replication.Version { return replication.Version{Epoch: 3, Number: number} }
	responseOf := func(name string, membership replication.Membership, number uint64) wire.UpdateResponse {
		return wire.UpdateResponse{
			Membership: membership,
			Copy:       &wire.CopyState{Identity: replication.Identity("disk " + name), Configuration: version(number)},
		}
	}
	damaged := responseOf("b", pair, 9)
	damaged.Copy.Damaged = true
	replacedDisk := responseOf("another", replication.Membership{}, 0)
	replacedDisk.Copy.Configuration = replication.Version{}
	noMembership := replication.Membership{}
	for _, row := range []struct {
		name      string
		responses map[string]wire.UpdateResponse
		// age is how long ago the responses arrived.
		age time.Duration
		// address and version are the expected result: address is empty if any address is correct, and version is
		// zero if no version may be chosen.
		address string
		version replication.Version
	}{
		{"no reports", nil, 0, "", replication.Version{}},
		{"both copies", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 7), "b": responseOf("b", pair, 7),
		}, 0, "", version(7)},
		{"a pending change on one copy", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 8), "b": responseOf("b", pair, 7),
		}, 0, "b", version(7)},
		{"an old copy that is not in sync", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 7), "b": responseOf("b", pair, 7), "c": responseOf("c", pair, 2),
		}, 0, "", version(7)},
		{"one copy has not reported", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 7), "c": responseOf("c", pair, 7),
		}, 0, "", replication.Version{}},
		{"one copy's disk was replaced", map[string]wire.UpdateResponse{
			"a": replacedDisk, "b": responseOf("b", pair, 7), "c": responseOf("c", pair, 2),
		}, 0, "b", version(7)},
		{"one copy's disk was replaced and a witness has not reported", map[string]wire.UpdateResponse{
			"a": replacedDisk, "b": responseOf("b", pair, 7),
		}, 0, "", replication.Version{}},
		{"one copy is damaged", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 7), "b": damaged,
		}, 0, "a", version(7)},
		{"a newer membership", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 8), "b": responseOf("b", alone, 7),
		}, 0, "b", version(7)},
		{"no quorum of five", map[string]wire.UpdateResponse{
			"a": responseOf("a", five, 7), "b": responseOf("b", five, 7),
		}, 0, "", replication.Version{}},
		{"three of five witnesses, a copy missing", map[string]wire.UpdateResponse{
			"a": responseOf("a", five, 7), "b": responseOf("b", five, 7), "c": responseOf("c", five, 7),
		}, 0, "", replication.Version{}},
		{"three of five witnesses, all copies", map[string]wire.UpdateResponse{
			"a": responseOf("a", five, 7), "b": responseOf("b", five, 7), "d": responseOf("d", five, 6),
		}, 0, "d", version(6)},
		{"expired reports", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 7), "b": responseOf("b", pair, 7),
		}, 2 * time.Second, "", replication.Version{}},
		{"responses without a membership", map[string]wire.UpdateResponse{
			"a": responseOf("a", noMembership, 7), "b": responseOf("b", noMembership, 7),
		}, 0, "", replication.Version{}},
		{"no configuration yet", map[string]wire.UpdateResponse{
			"a": {Membership: pair, Copy: &wire.CopyState{Identity: "disk a"}},
			"b": {Membership: pair, Copy: &wire.CopyState{Identity: "disk b"}},
		}, 0, "", replication.Version{}},
		{"one response without a copy state, as from an older release", map[string]wire.UpdateResponse{
			"a": responseOf("a", pair, 7), "b": {Membership: pair},
		}, 0, "", replication.Version{}},
	} {
		states := &copyStates{}
		for address, response := range row.responses {
			states.record(address, now.Add(-row.age), response)
		}
		address, chosen, found := states.choose(now)
		if chosen != row.version && found || found != (row.version != replication.Version{}) || row.address != "" && address != row.address {
			t.Errorf("%s: got version %s at %q, found %v, want version %s at %q", row.name, chosen, address, found, row.version, row.address)
		}
	}
}
