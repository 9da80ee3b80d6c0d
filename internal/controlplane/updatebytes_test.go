package controlplane

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime/runtimetest"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// The deployment of the incident, and the share of the bound on leaving servers that the link of
// the primary may use up.
const (
	incidentFollowers  = 300
	incidentServers    = 256
	incidentLinkBytes  = 100e6 / 8
	incidentQueueBound = 500 * time.Millisecond
	// responseOverhead is for headers and packets, in bytes for each response.
	responseOverhead = 400
)

func incidentServer(number int) membership.Server {
	return membership.Server{
		Name:    fmt.Sprintf("kueche-llm-%08x", uint32(number)*2654435761),
		Address: fmt.Sprintf("127.3.%d.%d:%d", number/200, number%200, 20000+number*7),
		Zone:    []string{"wien-a", "wien-b", "linz-c", "graz-d", "salzburg-e", "klagenfurt-f"}[number%6],
		Service: "kueche-llm",
		Slots:   16,
	}
}

// busyLoad is a report of a server under steady work: all of its numbers change from round to round.
func busyLoad(random *rand.Rand, server string) scheduler.Load {
	return scheduler.Load{
		Server:      server,
		Running:     random.Intn(17),
		Waiting:     random.Intn(8),
		MemoryUsed:  random.Intn(286_794),
		MemoryTotal: 286_794,
		Handles:     random.Intn(20),
		Age:         time.Duration(random.Intn(200)) * time.Millisecond,
	}
}

// encodedSize is what a response takes on the wire.
func encodedSize(t *testing.T, response wire.UpdateResponse) int {
	t.Helper()
	encoded, err := msgpack.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	return len(s2.Encode(nil, encoded)) + responseOverhead
}

// replaceServers plays ten seconds in which half of the servers leave and are replaced, under
// load, and gives the bytes that one follower was sent and the longest queue that all followers'
// responses made on the primary's link.
func replaceServers(t *testing.T, acceptsChanges bool) (bytes map[string]int, queue time.Duration) {
	const (
		step       = 100 * time.Millisecond
		length     = 10 * time.Second
		replaced   = incidentServers / 2
		perReading = replaced / 20
	)
	random := rand.New(rand.NewSource(1))
	var known serverList
	var servers []membership.Server
	for number := range incidentServers {
		servers = append(servers, incidentServer(number))
	}
	known.update(runtimetest.AtNoon(0), servers)
	known.beginTerm(7)
	request := wire.UpdateRequest{WantServers: true, WantLoads: true, AcceptChanges: acceptsChanges}
	bytes = map[string]int{}
	queued := 0.0
	for at := time.Duration(0); at < length; at += step {
		now := runtimetest.AtNoon(at)
		if at%listInterval == 0 && at > 0 {
			round := int(at/listInterval) - 1
			for position := range perReading {
				servers[round*perReading+position].Leaving = true
				servers = append(servers, incidentServer(incidentServers+round*perReading+position))
			}
			known.update(now, servers)
		}
		if at%(3*step) == 0 {
			for _, server := range servers {
				known.endPoll(7, server.Name, now, busyLoad(random, server.Name), nil)
			}
			known.endRound(now)
		}
		queued = max(0, queued-incidentLinkBytes*step.Seconds())
		if !known.hasNewer(request) {
			continue
		}
		response := wire.UpdateResponse{Leads: true, Lease: time.Second}
		known.fill(now, request, &response)
		size := encodedSize(t, response)
		queued += float64(size * incidentFollowers)
		queue = max(queue, time.Duration(queued/incidentLinkBytes*float64(time.Second)))
		bytes["all"] += size
		if response.Servers != nil {
			request.ServersRevision = response.Servers.Revision
			bytes["servers"] += encodedSize(t, wire.UpdateResponse{Servers: response.Servers}) - responseOverhead
		}
		if response.Loads != nil {
			request.LoadsRevision = response.Loads.Revision
			bytes["loads"] += encodedSize(t, wire.UpdateResponse{Loads: response.Loads}) - responseOverhead
		}
	}
	return bytes, queue
}

// TestLeavingServersAreNotQueuedBehindWholeLists replaces half of the servers within ten seconds
// and wants the updates of all followers to leave the primary's link without a queue.
func TestLeavingServersAreNotQueuedBehindWholeLists(t *testing.T) {
	bytes, queue := replaceServers(t, true)
	perSecond := float64(bytes["all"]) / 10 * incidentFollowers
	t.Logf("bytes to one follower %v, %.2f MB/s to all, longest queue %v", bytes, perSecond/1e6, queue)
	if queue > incidentQueueBound {
		t.Errorf("updates wait %v on the primary's link", queue)
	}
	if perSecond > incidentLinkBytes/2 {
		t.Errorf("%.1f MB/s of updates on a link of %.1f", perSecond/1e6, incidentLinkBytes/1e6)
	}
}

// TestChangesAreSentOnlyToNodesThatTakeThem wants the complete list and all reports for an older
// release, a node of another term, and one that is too far behind.
func TestChangesAreSentOnlyToNodesThatTakeThem(t *testing.T) {
	var known serverList
	known.update(runtimetest.AtNoon(0), []membership.Server{{Name: "server-a"}, {Name: "server-b"}})
	known.beginTerm(7)
	advance := func(second, running int) {
		at := runtimetest.AtNoon(time.Duration(second) * time.Second)
		known.update(at, []membership.Server{{Name: "server-a", Slots: running}, {Name: "server-b"}})
		known.endPoll(7, "server-a", at, scheduler.Load{Server: "server-a", Running: running}, nil)
		known.endRound(at)
	}
	advance(1, 1)
	request := wire.UpdateRequest{WantServers: true, WantLoads: true, ServersRevision: known.revision(), LoadsRevision: known.reportsRevision()}
	accepting := request
	accepting.AcceptChanges = true
	otherTerm := accepting
	otherTerm.ServersRevision, otherTerm.LoadsRevision = revisionOf(6, 2), revisionOf(6, 1)
	advance(2, 2)
	for _, row := range []struct {
		name    string
		request wire.UpdateRequest
		changes bool
	}{
		{"an older release", request, false},
		{"a node one change behind", accepting, true},
		{"a node of another term", otherTerm, false},
	} {
		var response wire.UpdateResponse
		known.fill(runtimetest.AtNoon(2500*time.Millisecond), row.request, &response)
		if got := response.Servers.Changes != nil; got != row.changes || response.Servers.Sent == row.changes {
			t.Errorf("%s: %+v", row.name, response.Servers)
		}
		if got := response.Loads.Changes != nil; got != row.changes || (len(response.Loads.Reports) == 0) != row.changes || response.Loads.Age != 500 {
			t.Errorf("%s: %+v", row.name, response.Loads)
		}
		if row.changes && (len(response.Servers.Changes.Changed) != 1 || len(response.Servers.Changes.Removed) != 0) {
			t.Errorf("%s: %+v", row.name, response.Servers.Changes)
		}
	}
	for second := range 60 {
		advance(3+second, 3+second)
	}
	var response wire.UpdateResponse
	known.fill(runtimetest.AtNoon(64*time.Second), accepting, &response)
	if !response.Servers.Sent || response.Servers.Changes != nil || response.Loads.Changes != nil || len(response.Loads.Reports) != 1 {
		t.Errorf("a node too far behind: %+v, %+v", response.Servers, response.Loads)
	}
}

// TestBytesAreCountedByKind wants what was sent of lists and of loads to be counted apart, with the
// size that it has.
func TestBytesAreCountedByKind(t *testing.T) {
	var known serverList
	known.update(runtimetest.AtNoon(0), []membership.Server{{Name: "server-a"}})
	known.beginTerm(7)
	known.endPoll(7, "server-a", runtimetest.AtNoon(0), scheduler.Load{Server: "server-a"}, nil)
	known.endRound(runtimetest.AtNoon(0))
	var servers, loads uint64
	for range 2 {
		var response wire.UpdateResponse
		known.fill(runtimetest.AtNoon(0), wire.UpdateRequest{WantServers: true, WantLoads: true}, &response)
		for _, part := range []struct {
			sum    *uint64
			update any
		}{{&servers, response.Servers}, {&loads, response.Loads}} {
			encoded, err := msgpack.Marshal(part.update)
			if err != nil {
				t.Fatal(err)
			}
			*part.sum += uint64(len(encoded))
		}
	}
	if gotServers, gotLoads := known.sentBytes(); gotServers != servers || gotLoads != loads || servers == 0 || loads == 0 {
		t.Errorf("servers %d of %d, loads %d of %d", gotServers, servers, gotLoads, loads)
	}
}

// TestLoadsOfManyNodesStayUnderTheirShareOfTheLink lets nodes of an older release, which are sent all
// reports, poll after each round, and wants the rounds to come as seldom as their bytes need.
func TestLoadsOfManyNodesStayUnderTheirShareOfTheLink(t *testing.T) {
	for _, row := range []struct {
		nodes   int
		changes bool
		slower  bool
	}{{3, false, false}, {incidentFollowers, true, false}, {incidentFollowers, false, true}} {
		random := rand.New(rand.NewSource(1))
		var known serverList
		var servers []membership.Server
		for number := range incidentServers {
			servers = append(servers, incidentServer(number))
		}
		known.update(runtimetest.AtNoon(0), servers)
		known.beginTerm(7)
		request := wire.UpdateRequest{WantLoads: true, AcceptChanges: row.changes}
		at := time.Duration(0)
		for range 10 {
			now := runtimetest.AtNoon(at)
			for _, server := range servers {
				known.endPoll(7, server.Name, now, busyLoad(random, server.Name), nil)
			}
			known.endRound(now)
			var response wire.UpdateResponse
			for range row.nodes {
				response = wire.UpdateResponse{}
				known.fill(now, request, &response)
			}
			request.LoadsRevision = response.Loads.Revision
			at += known.reportPause(now)
		}
		_, sent := known.sentBytes()
		perSecond := float64(sent) / at.Seconds()
		t.Logf("%+v: %.2f MB/s, a round every %v", row, perSecond/1e6, at/10)
		// The first round is sent before its size is known.
		if first := float64(sent) / 10 / at.Seconds(); perSecond > loadsBytesPerSecond+first {
			t.Errorf("%+v: %.2f MB/s", row, perSecond/1e6)
		}
		if slower := at/10 > reportInterval*5/4; slower != row.slower {
			t.Errorf("%+v: a round every %v", row, at/10)
		}
	}
}

// TestRoundsOfTwoTermsInOneEpochAreNotMixed loses the lease and leads again in the same epoch: a node that has
// a round of before is not sent changes from a later one that is counted alike.
func TestRoundsOfTwoTermsInOneEpochAreNotMixed(t *testing.T) {
	var known serverList
	known.update(runtimetest.AtNoon(0), []membership.Server{{Name: "server-a"}, {Name: "server-b"}})
	round := func(second int, server string) {
		at := runtimetest.AtNoon(time.Duration(second) * time.Second)
		known.endPoll(7, server, at, scheduler.Load{Server: server, Running: second}, nil)
		known.endRound(at)
	}
	known.beginTerm(7)
	round(1, "server-a")
	request := wire.UpdateRequest{WantServers: true, WantLoads: true, AcceptChanges: true, ServersRevision: known.revision(), LoadsRevision: known.reportsRevision()}
	known.endTerm()
	known.update(runtimetest.AtNoon(2*time.Second), []membership.Server{{Name: "server-b"}})
	known.beginTerm(7)
	round(3, "server-b")
	round(4, "server-b")
	var response wire.UpdateResponse
	known.fill(runtimetest.AtNoon(4*time.Second), request, &response)
	if response.Loads == nil || response.Loads.Changes != nil || len(response.Loads.Reports) != 1 || response.Loads.Reports[0].Server != "server-b" {
		t.Errorf("%+v", response.Loads)
	}
	if servers := response.Servers; servers.Revision == request.ServersRevision {
		t.Errorf("the list of before has the revision of the newest: %+v", servers)
	}
}
