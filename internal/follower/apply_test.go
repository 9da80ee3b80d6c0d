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

// TestFollowerAsksForTheSectionWhenADeltaDoesNotFit applies a delta with a wrong checksum. The node must drop
// the delta and ask for the complete section. With that section, the same delta with the right checksum must apply.
func TestFollowerAsksForTheSectionWhenADeltaDoesNotFit(t *testing.T) {
	applied := 0
	follower := New(runtimetest.Fixed{}, nil, membership.Member{}, nil,
		func() replication.Version { return replication.Version{} }, func(Update) { applied++ })
	first := replication.Section{Version: replication.Version{Epoch: 1, Number: 1}, Content: bytes.Repeat([]byte("a"), 5000)}
	second := replication.Section{Version: replication.Version{Epoch: 1, Number: 2}, Content: append(bytes.Repeat([]byte("a"), 5000), 'b')}
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{
		Leads:         true,
		Configuration: first.Version,
		Sections:      map[string]replication.Section{replication.ConfigurationSection: first},
	})
	delta := wire.NewDelta(first, second)
	delta.Checksum++
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{
		Leads:         true,
		Configuration: second.Version,
		Deltas:        map[string]wire.Delta{replication.ConfigurationSection: delta},
	})
	request, _ := follower.pollRequest()
	if _, has := request.Have[replication.ConfigurationSection]; has || applied != 1 {
		t.Fatalf("after a delta that does not fit: got %d applied responses, want 1; the node has %v", applied, request.Have)
	}
	delta.Checksum--
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{
		Leads:         true,
		Configuration: first.Version,
		Sections:      map[string]replication.Section{replication.ConfigurationSection: first},
	})
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{
		Leads:         true,
		Configuration: second.Version,
		Deltas:        map[string]wire.Delta{replication.ConfigurationSection: delta},
	})
	if got := follower.Section(replication.ConfigurationSection); got.Version != second.Version || !bytes.Equal(got.Content, second.Content) {
		t.Fatalf("after the delta: got version %s with %d bytes, want version %s and its content", got.Version, len(got.Content), second.Version)
	}
}

// TestFollowerDropsOlderUpdates applies a response of a newer primary, and then two of an older primary, which
// must have no effect.
func TestFollowerDropsOlderUpdates(t *testing.T) {
	applied := 0
	follower := New(runtimetest.Fixed{}, nil, membership.Member{}, nil,
		func() replication.Version { return replication.Version{} }, func(Update) { applied++ })
	newer, older := replication.Version{Epoch: 3, Number: 9}, replication.Version{Epoch: 2, Number: 8}
	update := func(version replication.Version) wire.UpdateResponse {
		return wire.UpdateResponse{
			Leads:         true,
			Configuration: version,
			Sections:      map[string]replication.Section{replication.ConfigurationSection: {Version: version}},
		}
	}
	follower.Apply(runtimetest.Fixed{}.Now(), update(newer))
	follower.Apply(runtimetest.Fixed{}.Now(), update(older))
	follower.Apply(runtimetest.Fixed{}.Now(), wire.UpdateResponse{Leads: true, Configuration: older})
	if got := follower.Section(replication.ConfigurationSection).Version; applied != 1 || got != newer {
		t.Fatalf("got %d applied responses, want 1; the node has version %s", applied, got)
	}
}

// TestAgesCountFromTheEarliestTimeOfTheResponse expects that the ages in a response count from the earliest
// time at which the response can have been made, so that a list or a load never appears younger than it is.
func TestAgesCountFromTheEarliestTimeOfTheResponse(t *testing.T) {
	rt := &runtimetest.Moving{Time: runtimetest.AfterStart(0)}
	var last Update
	follower := New(rt, nil, membership.Member{}, nil,
		func() replication.Version { return replication.Version{} }, func(update Update) { last = update })
	follower.Follow(true, true)
	rt.Time = runtimetest.AfterStart(800 * time.Millisecond)
	reports := []wire.LoadReport{wire.NewLoadReport(scheduler.Load{Server: "a"}, 200*time.Millisecond)}
	response := wire.UpdateResponse{
		Leads:  true,
		Waited: 600 * time.Millisecond,
		Servers: &wire.ServersUpdate{
			Revision: 5,
			Age:      300 * time.Millisecond,
			Sent:     true,
			Servers:  []membership.Server{{Name: "a"}},
		},
		Loads: &wire.LoadsUpdate{Revision: 9, Reports: reports},
	}
	follower.Apply(runtimetest.AfterStart(0), response)
	if last.Servers == nil || !last.Servers.ReadAt.Equal(runtimetest.AfterStart(300*time.Millisecond)) {
		t.Errorf("got list %+v, want one that was read at 300ms", last.Servers)
	}
	if len(last.Loads) != 1 || last.Loads[0].Age != 400*time.Millisecond {
		t.Errorf("got loads %+v, want one with an age of 400ms", last.Loads)
	}
	if request, _ := follower.pollRequest(); request.ServersRevision != 5 || request.LoadsRevision != 9 ||
		!request.WantServers || !request.WantLoads {
		t.Errorf("got request %+v, want revisions 5 and 9 and both lists wanted", request)
	}
	// A response that only confirms the revision updates the time at which the list was read. A response
	// with another revision and without a list results in no list.
	rt.Time = runtimetest.AfterStart(1200 * time.Millisecond)
	response.Servers, response.Loads = &wire.ServersUpdate{Revision: 5, Age: 100 * time.Millisecond}, nil
	follower.Apply(runtimetest.AfterStart(800*time.Millisecond), wire.UpdateResponse{Leads: true, Servers: response.Servers})
	if last.Servers == nil || !last.Servers.ReadAt.Equal(runtimetest.AfterStart(700*time.Millisecond)) || len(last.Servers.Servers) != 1 {
		t.Errorf("got list %+v after a confirmation of its revision, want one that was read at 700ms", last.Servers)
	}
	follower.Apply(runtimetest.AfterStart(800*time.Millisecond), wire.UpdateResponse{Leads: true, Servers: &wire.ServersUpdate{Revision: 6}})
	if last.Servers != nil {
		t.Errorf("got list %+v after another revision without a list, want none", last.Servers)
	}
	follower.ForgetList()
	if request, _ := follower.pollRequest(); request.ServersRevision != 0 {
		t.Error("the request after ForgetList does not ask for the complete list")
	}
}
