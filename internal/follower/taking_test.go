package follower

import (
	"bytes"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime/runtimetest"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// TestFollowerAsksAnewWhenADeltaDoesNotFit gives a node a delta whose checksum is
// wrong: it must not take it, and must ask for the whole.
func TestFollowerAsksAnewWhenADeltaDoesNotFit(t *testing.T) {
	taken := 0
	follower := New(runtimetest.Fixed{}, nil, membership.Member{}, nil, func() replication.Version { return replication.Version{} }, func(Update) { taken++ })
	first := replication.Section{Version: replication.Version{Epoch: 1, Number: 1}, Content: bytes.Repeat([]byte("a"), 5000)}
	second := replication.Section{Version: replication.Version{Epoch: 1, Number: 2}, Content: append(bytes.Repeat([]byte("a"), 5000), 'b')}
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{Leads: true, Configuration: first.Version, Sections: map[string]replication.Section{replication.ConfigurationSection: first}})
	delta := wire.NewDelta(first, second)
	delta.Checksum++
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{Leads: true, Configuration: second.Version, Deltas: map[string]wire.Delta{replication.ConfigurationSection: delta}})
	request, _ := follower.pollRequest()
	if _, told := request.Have[replication.ConfigurationSection]; told || taken != 1 {
		t.Fatalf("a delta that does not fit was taken: %d answers, the node says that it has %v", taken, request.Have)
	}
	delta.Checksum--
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{Leads: true, Configuration: first.Version, Sections: map[string]replication.Section{replication.ConfigurationSection: first}})
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{Leads: true, Configuration: second.Version, Deltas: map[string]wire.Delta{replication.ConfigurationSection: delta}})
	if got := follower.Section(replication.ConfigurationSection); got.Version != second.Version || !bytes.Equal(got.Content, second.Content) {
		t.Fatalf("the node has %s after the delta", got.Version)
	}
}

// TestFollowerPassesOlderUpdateOver brings a node an older primary's word after a
// newer one's.
func TestFollowerPassesOlderUpdateOver(t *testing.T) {
	taken := 0
	follower := New(runtimetest.Fixed{}, nil, membership.Member{}, nil, func() replication.Version { return replication.Version{} }, func(Update) { taken++ })
	newer, older := replication.Version{Epoch: 3, Number: 9}, replication.Version{Epoch: 2, Number: 8}
	update := func(version replication.Version) wire.UpdateResponse {
		return wire.UpdateResponse{Leads: true, Configuration: version, Sections: map[string]replication.Section{replication.ConfigurationSection: {Version: version}}}
	}
	follower.Apply(runtimetest.Fixed{}.Now(), update(newer))
	follower.Apply(runtimetest.Fixed{}.Now(), update(older))
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{Leads: true, Configuration: older})
	if got := follower.Section(replication.ConfigurationSection).Version; taken != 1 || got != newer {
		t.Fatalf("%d answers were taken, the node has %s", taken, got)
	}
}

// TestFollowerTakesNothingForYoungerThanItIs: an age counts from the moment at which
// the question surely had not been answered.
func TestFollowerTakesNothingForYoungerThanItIs(t *testing.T) {
	rt := &runtimetest.Moving{Time: runtimetest.AtNoon(0)}
	var heard Update
	follower := New(rt, nil, membership.Member{}, nil, func() replication.Version { return replication.Version{} }, func(update Update) { heard = update })
	follower.Follow(true, true)
	rt.Time = runtimetest.AtNoon(800 * time.Millisecond)
	l := []wire.LoadReport{wire.NewLoadReport(scheduler.Load{Server: "a"}, 200*time.Millisecond)}
	response := wire.UpdateResponse{Leads: true, Waited: 600 * time.Millisecond, Servers: &wire.ServersUpdate{Revision: 5, Age: 300 * time.Millisecond, Sent: true, Servers: []membership.Server{{Name: "a"}}},
		Loads: &wire.LoadsUpdate{Revision: 9, Reports: l}}
	follower.Apply(runtimetest.AtNoon(0), response)
	if heard.Servers == nil || !heard.Servers.ReadAt.Equal(runtimetest.AtNoon(300*time.Millisecond)) {
		t.Errorf("the list was read at %+v", heard.Servers)
	}
	if len(heard.Loads) != 1 || heard.Loads[0].Age != 400*time.Millisecond {
		t.Errorf("the report is %+v", heard.Loads)
	}
	if request, _ := follower.pollRequest(); request.ServersRevision != 5 || request.LoadsRevision != 9 || !request.WantServers || !request.WantLoads {
		t.Errorf("asks with %+v", request)
	}
	// A confirmation makes it younger; another mark without the list says nothing.
	rt.Time = runtimetest.AtNoon(1200 * time.Millisecond)
	response.Servers, response.Loads = &wire.ServersUpdate{Revision: 5, Age: 100 * time.Millisecond}, nil
	follower.Apply(runtimetest.AtNoon(800*time.Millisecond), wire.UpdateResponse{Leads: true, Servers: response.Servers})
	if heard.Servers == nil || !heard.Servers.ReadAt.Equal(runtimetest.AtNoon(700*time.Millisecond)) || len(heard.Servers.Servers) != 1 {
		t.Errorf("confirmed as %+v", heard.Servers)
	}
	follower.Apply(runtimetest.AtNoon(800*time.Millisecond), wire.UpdateResponse{Leads: true, Servers: &wire.ServersUpdate{Revision: 6}})
	if heard.Servers != nil {
		t.Errorf("a list that was not told was taken: %+v", heard.Servers)
	}
	follower.ForgetList()
	if req, _ := follower.pollRequest(); req.ServersRevision != 0 {
		t.Error("the list is not told anew")
	}
}
