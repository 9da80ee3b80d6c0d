package follower

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// TestProvisionalConfigurationIsOnEveryCopyInSync wants the oldest configuration among
// the copies that the newest membership names, and none before each of them has spoken or
// is known to be lost and a quorum of the keepers has.
func TestProvisionalConfigurationIsOnEveryCopyInSync(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := func(name string) replication.Replica {
		return replication.Replica{Identity: replication.Identity("disk " + name), Address: name}
	}
	owners := []replication.Replica{replica("a"), replica("b"), replica("c")}
	pair := replication.Membership{Epoch: 4, Primary: replica("a"), Backup: replica("b"), Witnesses: owners}
	alone := replication.Membership{Epoch: 5, Primary: replica("b"), Witnesses: owners}
	five := replication.Membership{Epoch: 6, Primary: replica("a"), Backup: replica("b"), Further: []replication.Replica{replica("d")},
		Witnesses: append(append([]replication.Replica{}, owners...), replica("d"), replica("e"))}
	version := func(number uint64) replication.Version { return replication.Version{Epoch: 3, Number: number} }
	says := func(name string, membership replication.Membership, number uint64) wire.UpdateResponse {
		return wire.UpdateResponse{Membership: membership, Copy: &wire.CopyState{Identity: replication.Identity("disk " + name), Configuration: version(number)}}
	}
	damaged := says("b", pair, 9)
	damaged.Copy.Damaged = true
	other := says("another", replication.Membership{}, 0)
	other.Copy.Configuration = replication.Version{}
	blank := replication.Membership{}
	for _, row := range []struct {
		name    string
		said    map[string]wire.UpdateResponse
		age     time.Duration
		address string
		version replication.Version
	}{
		{"nobody", nil, 0, "", replication.Version{}},
		{"both copies", map[string]wire.UpdateResponse{"a": says("a", pair, 7), "b": says("b", pair, 7)}, 0, "", version(7)},
		{"a change under way on one copy", map[string]wire.UpdateResponse{"a": says("a", pair, 8), "b": says("b", pair, 7)}, 0, "b", version(7)},
		{"an old copy out of the pair", map[string]wire.UpdateResponse{"a": says("a", pair, 7), "b": says("b", pair, 7), "c": says("c", pair, 2)}, 0, "", version(7)},
		{"one copy has not spoken", map[string]wire.UpdateResponse{"a": says("a", pair, 7), "c": says("c", pair, 7)}, 0, "", replication.Version{}},
		{"one copy's disk is lost", map[string]wire.UpdateResponse{"a": other, "b": says("b", pair, 7), "c": says("c", pair, 2)}, 0, "b", version(7)},
		{"one copy's disk is lost, a keeper has not spoken", map[string]wire.UpdateResponse{"a": other, "b": says("b", pair, 7)}, 0, "", replication.Version{}},
		{"one copy is damaged", map[string]wire.UpdateResponse{"a": says("a", pair, 7), "b": damaged}, 0, "a", version(7)},
		{"a newer charter", map[string]wire.UpdateResponse{"a": says("a", pair, 8), "b": says("b", alone, 7)}, 0, "b", version(7)},
		{"no quorum of five", map[string]wire.UpdateResponse{"a": says("a", five, 7), "b": says("b", five, 7)}, 0, "", replication.Version{}},
		{"three of five, a copy missing", map[string]wire.UpdateResponse{"a": says("a", five, 7), "b": says("b", five, 7), "c": says("c", five, 7)}, 0, "", replication.Version{}},
		{"three of five, all copies", map[string]wire.UpdateResponse{"a": says("a", five, 7), "b": says("b", five, 7), "d": says("d", five, 6)}, 0, "d", version(6)},
		{"what was said long ago", map[string]wire.UpdateResponse{"a": says("a", pair, 7), "b": says("b", pair, 7)}, 2 * time.Second, "", replication.Version{}},
		{"no charter", map[string]wire.UpdateResponse{"a": says("a", blank, 7), "b": says("b", blank, 7)}, 0, "", replication.Version{}},
		{"no configuration yet", map[string]wire.UpdateResponse{"a": {Membership: pair, Copy: &wire.CopyState{Identity: "disk a"}}, "b": {Membership: pair, Copy: &wire.CopyState{Identity: "disk b"}}}, 0, "", replication.Version{}},
		{"an older release", map[string]wire.UpdateResponse{"a": says("a", pair, 7), "b": {Membership: pair}}, 0, "", replication.Version{}},
	} {
		told := &copyStates{}
		for address, response := range row.said {
			told.record(address, now.Add(-row.age), response)
		}
		address, chosen, found := told.choose(now)
		if chosen != row.version && found || found != (row.version != replication.Version{}) || row.address != "" && address != row.address {
			t.Errorf("%s: %s at %q, %v", row.name, chosen, address, found)
		}
	}
}
