package follower

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime/runtimetest"
	"seamloom.example/seamloom/internal/wire"
)

// listSource simulates the list of servers and the load reports of a primary. lists and reports hold
// the list and the reports of each revision, including those of earlier primaries.
type listSource struct {
	epoch   uint64
	list    membership.ServerList
	lists   map[uint64][]membership.Server
	reports map[uint64][]wire.LoadReport
	cycle   uint64
}

func (s *listSource) revision(count uint64) uint64 { return s.epoch<<32 | count }

// change replaces the list and the reports by random ones and advances the poll cycle.
func (s *listSource) change(random *rand.Rand, now time.Time) {
	var servers []membership.Server
	s.cycle++
	var reports []wire.LoadReport
	for number := range 10 {
		if name := fmt.Sprintf("server-%d", number); random.Intn(4) > 0 {
			servers = append(servers, membership.Server{Name: name, Leaving: random.Intn(20) == 0, Slots: random.Intn(3)})
			reports = append(reports, wire.LoadReport{Server: name, Running: random.Intn(16)})
		}
	}
	s.list.Update(now, servers)
	s.lists[s.revision(s.list.Changes())] = s.list.Servers(now)
	s.reports[s.revision(s.cycle)] = reports
}

// respond returns the primary's response to a request. The response contains the changes since the node's revisions, or
// the complete list and all reports if complete is set or the changes aren't known. If the node has the newest list of
// servers, the response contains neither the list nor changes of it.
func (s *listSource) respond(now time.Time, request wire.UpdateRequest, complete bool) wire.UpdateResponse {
	current := s.revision(s.list.Changes())
	servers := &wire.ServersUpdate{Revision: current}
	changed, removed, known := s.list.ChangesSince(now, request.ServersRevision&0xffffffff)
	switch {
	case request.ServersRevision == current:
	case !complete && known && request.ServersRevision>>32 == s.epoch:
		servers.Changes = &wire.ServerChanges{Base: request.ServersRevision, Changed: changed, Removed: removed}
	default:
		servers.Sent, servers.Servers = true, s.list.Servers(now)
	}
	newest := s.reports[s.revision(s.cycle)]
	loads := &wire.LoadsUpdate{Revision: s.revision(s.cycle)}
	if base, found := s.reports[request.LoadsRevision]; found && !complete {
		changes := wire.NewLoadChanges(request.LoadsRevision, base, newest)
		loads.Changes = &changes
	} else {
		loads.Reports = newest
	}
	return wire.UpdateResponse{Leads: true, Servers: servers, Loads: loads}
}

// TestOlderChangesDoNotRestoreRemovedServers loses, repeats and delays responses of primaries that take
// over from each other. The node's list and reports must always equal those of the revision that its
// requests contain. After the last requests were answered, the list must equal the newest list.
func TestOlderChangesDoNotRestoreRemovedServers(t *testing.T) {
	for seed := range int64(100) {
		random := rand.New(rand.NewSource(seed))
		rt := &runtimetest.Moving{Time: runtimetest.AfterStart(0)}
		var applied Update
		follower := New(rt, nil, membership.Member{}, nil,
			func() replication.Version { return replication.Version{} }, func(update Update) { applied = update })
		follower.Follow(true, true)
		source := &listSource{epoch: 1, lists: map[uint64][]membership.Server{}, reports: map[uint64][]wire.LoadReport{}}
		lists, reports := source.lists, source.reports
		source.change(random, rt.Time)
		var responses []wire.UpdateResponse
		for range 200 {
			rt.Time = rt.Time.Add(300 * time.Millisecond)
			switch random.Intn(6) {
			case 0, 1:
				source.change(random, rt.Time)
			case 2:
				if random.Intn(5) == 0 {
					source = &listSource{epoch: source.epoch + 1, lists: lists, reports: reports}
					source.change(random, rt.Time)
				}
			}
			request, _ := follower.pollRequest()
			if !request.AcceptChanges {
				t.Fatal("the request does not accept changes")
			}
			response := source.respond(rt.Time, request, random.Intn(8) == 0)
			responses = append(responses, response)
			switch random.Intn(4) {
			case 0:
				continue
			case 1:
				// An earlier response arrives late or a second time.
				response = responses[random.Intn(len(responses))]
			}
			follower.Apply(rt.Time, response)
			if applied.Servers != nil && !reflect.DeepEqual(applied.Servers.Servers, lists[follower.serversRevision]) {
				t.Fatalf("seed %d: the list of revision %x: got\n%+v\nwant\n%+v", seed, follower.serversRevision,
					applied.Servers.Servers, lists[follower.serversRevision])
			}
			if follower.loadsRevision != 0 && len(follower.reports)+len(reports[follower.loadsRevision]) > 0 &&
				!reflect.DeepEqual(follower.reports, reports[follower.loadsRevision]) {
				t.Fatalf("seed %d: the reports differ from those of their revision", seed)
			}
		}
		for range 2 {
			// After changes that did not fit, the second request asks for the complete lists.
			request, _ := follower.pollRequest()
			follower.Apply(rt.Time, source.respond(rt.Time, request, false))
		}
		if !reflect.DeepEqual(applied.Servers.Servers, source.list.Servers(rt.Time)) {
			t.Fatalf("seed %d: after the last response the list differs from the newest list", seed)
		}
	}
}

// TestWarmingServersDoNotCountAsWarmTooEarly expects that a server counts as warming up for the remaining
// time that the response contains, regardless of the age of the list. This must hold for a complete list,
// for changes, and for a confirmation, which contains only the revision and the age of the list that the node has.
func TestWarmingServersDoNotCountAsWarmTooEarly(t *testing.T) {
	const age, remaining = 700 * time.Millisecond, 2 * time.Second
	rt := &runtimetest.Moving{Time: runtimetest.AfterStart(0)}
	var applied Update
	follower := New(rt, nil, membership.Member{}, nil,
		func() replication.Version { return replication.Version{} }, func(update Update) { applied = update })
	follower.Follow(true, false)
	warming := []membership.Server{{Name: "server-a", Warming: remaining}}
	for _, row := range []struct {
		name    string
		servers wire.ServersUpdate
	}{
		{"a complete list", wire.ServersUpdate{Revision: 5, Age: age, Sent: true, Servers: warming}},
		{"changes", wire.ServersUpdate{Revision: 6, Age: age, Changes: &wire.ServerChanges{Base: 5, Changed: warming}}},
		{"a confirmation", wire.ServersUpdate{Revision: 6, Age: age}},
	} {
		follower.Apply(rt.Time, wire.UpdateResponse{Leads: true, Servers: &row.servers})
		warm := applied.Servers.ReadAt.Add(applied.Servers.Servers[0].Warming)
		if !warm.Equal(rt.Time.Add(remaining)) {
			t.Errorf("%s: remaining warm-up time: got %v, want %v", row.name, warm.Sub(rt.Time), remaining)
		}
	}
}
