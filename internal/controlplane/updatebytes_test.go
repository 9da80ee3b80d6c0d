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

// The size of a deployment in which responses to polls once queued on the primary's link.
const (
	incidentFollowers = 300
	incidentServers   = 256
	// incidentLinkBytes is the rate of the primary's link, in bytes per second.
	incidentLinkBytes = 100e6 / 8
	// incidentQueueBound is how long responses may queue on that link. It is a part of the time
	// within which routers must learn that a server leaves.
	incidentQueueBound = 500 * time.Millisecond
	// responseOverhead is the number of bytes for headers and packets of one response.
	responseOverhead = 400
)

// incidentServer returns the server with the given number in that deployment.
func incidentServer(number int) membership.Server {
	return membership.Server{
		Name:    fmt.Sprintf("kueche-llm-%08x", uint32(number)*2654435761),
		Address: fmt.Sprintf("127.3.%d.%d:%d", number/200, number%200, 20000+number*7),
		Zone:    []string{"wien-a", "wien-b", "linz-c", "graz-d", "salzburg-e", "klagenfurt-f"}[number%6],
		Service: "kueche-llm",
		Slots:   16,
	}
}

// busyLoad returns the load of a server under steady work. Its numbers change with each poll cycle.
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

// encodedSize returns the number of bytes of a response on the wire.
func encodedSize(t *testing.T, response wire.UpdateResponse) int {
	t.Helper()
	encoded, err := msgpack.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	return len(s2.Encode(nil, encoded)) + responseOverhead
}

// replaceServers simulates ten seconds in which half of the servers leave and are replaced under load.
// It returns the bytes that were sent to one follower, by kind, and the longest time for which
// responses queued on the primary's link.
func replaceServers(t *testing.T, acceptsChanges bool) (bytes map[string]int, longestQueue time.Duration) {
	const (
		step            = 100 * time.Millisecond
		length          = 10 * time.Second
		replaced        = incidentServers / 2
		replacedPerRead = replaced / 20
	)
	random := rand.New(rand.NewSource(1))
	var list serverList
	var servers []membership.Server
	for number := range incidentServers {
		servers = append(servers, incidentServer(number))
	}
	list.update(runtimetest.AfterStart(0), servers)
	list.beginTerm(7)
	request := wire.UpdateRequest{WantServers: true, WantLoads: true, AcceptChanges: acceptsChanges}
	bytes = map[string]int{}
	queuedBytes := 0.0
	for at := time.Duration(0); at < length; at += step {
		now := runtimetest.AfterStart(at)
		if at%listInterval == 0 && at > 0 {
			reads := int(at/listInterval) - 1
			for position := range replacedPerRead {
				servers[reads*replacedPerRead+position].Leaving = true
				servers = append(servers, incidentServer(incidentServers+reads*replacedPerRead+position))
			}
			list.update(now, servers)
		}
		if at%(3*step) == 0 {
			for _, server := range servers {
				list.endPoll(7, server.Name, now, busyLoad(random, server.Name), nil)
			}
			list.endCycle(now)
		}
		queuedBytes = max(0, queuedBytes-incidentLinkBytes*step.Seconds())
		if !list.hasNewer(request) {
			continue
		}
		response := wire.UpdateResponse{Leads: true, Lease: time.Second}
		list.fill(now, request, &response)
		size := encodedSize(t, response)
		queuedBytes += float64(size * incidentFollowers)
		longestQueue = max(longestQueue, time.Duration(queuedBytes/incidentLinkBytes*float64(time.Second)))
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
	return bytes, longestQueue
}

// TestLeavingServersAreNotQueuedBehindCompleteLists replaces half of the servers within ten seconds. The
// updates to all followers must queue on the primary's link for at most incidentQueueBound, and take at most
// half of the link's rate. Complete lists would queue there.
func TestLeavingServersAreNotQueuedBehindCompleteLists(t *testing.T) {
	bytes, longestQueue := replaceServers(t, true)
	perSecond := float64(bytes["all"]) / 10 * incidentFollowers
	t.Logf("bytes to one follower: %v; %.2f MB/s to all followers; longest queue %v", bytes, perSecond/1e6, longestQueue)
	if longestQueue > incidentQueueBound {
		t.Errorf("updates queue for %v on the primary's link, want at most %v", longestQueue, incidentQueueBound)
	}
	if perSecond > incidentLinkBytes/2 {
		t.Errorf("updates take %.1f MB/s of a link of %.1f MB/s, want at most half", perSecond/1e6, incidentLinkBytes/1e6)
	}
}

// TestChangesAreSentOnlyToNodesThatAcceptThem expects the complete list and all reports for a node of an
// older release, for a node with revisions of another term, and for a node that is too far behind.
func TestChangesAreSentOnlyToNodesThatAcceptThem(t *testing.T) {
	var list serverList
	list.update(runtimetest.AfterStart(0), []membership.Server{{Name: "server-a"}, {Name: "server-b"}})
	list.beginTerm(7)
	advance := func(second, running int) {
		at := runtimetest.AfterStart(time.Duration(second) * time.Second)
		list.update(at, []membership.Server{{Name: "server-a", Slots: running}, {Name: "server-b"}})
		list.endPoll(7, "server-a", at, scheduler.Load{Server: "server-a", Running: running}, nil)
		list.endCycle(at)
	}
	advance(1, 1)
	request := wire.UpdateRequest{
		WantServers:     true,
		WantLoads:       true,
		ServersRevision: list.revision(),
		LoadsRevision:   list.reportsRevision(),
	}
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
		list.fill(runtimetest.AfterStart(2500*time.Millisecond), row.request, &response)
		if got := response.Servers.Changes != nil; got != row.changes || response.Servers.Sent == row.changes {
			t.Errorf("%s: got list update %+v, want changes %t", row.name, response.Servers, row.changes)
		}
		if got := response.Loads.Changes != nil; got != row.changes || (len(response.Loads.Reports) == 0) != row.changes ||
			response.Loads.Age != 500 {
			t.Errorf("%s: got loads update %+v, want changes %t and age 500", row.name, response.Loads, row.changes)
		}
		if row.changes && (len(response.Servers.Changes.Changed) != 1 || len(response.Servers.Changes.Removed) != 0) {
			t.Errorf("%s: got changes %+v, want one changed server and none removed", row.name, response.Servers.Changes)
		}
	}
	for second := range 60 {
		advance(3+second, 3+second)
	}
	var response wire.UpdateResponse
	list.fill(runtimetest.AfterStart(64*time.Second), accepting, &response)
	if !response.Servers.Sent || response.Servers.Changes != nil || response.Loads.Changes != nil || len(response.Loads.Reports) != 1 {
		t.Errorf("a node too far behind: got %+v and %+v, want the complete list and all reports", response.Servers, response.Loads)
	}
}

// TestBytesAreCountedByKind expects the encoded sizes of the sent lists and of the sent loads to be counted
// separately.
func TestBytesAreCountedByKind(t *testing.T) {
	var list serverList
	list.update(runtimetest.AfterStart(0), []membership.Server{{Name: "server-a"}})
	list.beginTerm(7)
	list.endPoll(7, "server-a", runtimetest.AfterStart(0), scheduler.Load{Server: "server-a"}, nil)
	list.endCycle(runtimetest.AfterStart(0))
	var servers, loads uint64
	for range 2 {
		var response wire.UpdateResponse
		list.fill(runtimetest.AfterStart(0), wire.UpdateRequest{WantServers: true, WantLoads: true}, &response)
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
	if gotServers, gotLoads := list.sentBytes(); gotServers != servers || gotLoads != loads || servers == 0 || loads == 0 {
		t.Errorf("bytes of servers: got %d, want %d; bytes of loads: got %d, want %d", gotServers, servers, gotLoads, loads)
	}
}

// TestLoadsOfManyNodesStayUnderTheirShareOfTheLink lets many nodes poll after each poll cycle of the
// primary. If they are of an older release and are sent all reports, the interval between poll cycles must
// grow so that the loads stay below loadsBytesPerSecond.
func TestLoadsOfManyNodesStayUnderTheirShareOfTheLink(t *testing.T) {
	for _, row := range []struct {
		nodes   int
		changes bool
		slower  bool
	}{{3, false, false}, {incidentFollowers, true, false}, {incidentFollowers, false, true}} {
		random := rand.New(rand.NewSource(1))
		var list serverList
		var servers []membership.Server
		for number := range incidentServers {
			servers = append(servers, incidentServer(number))
		}
		list.update(runtimetest.AfterStart(0), servers)
		list.beginTerm(7)
		request := wire.UpdateRequest{WantLoads: true, AcceptChanges: row.changes}
		at := time.Duration(0)
		for range 10 {
			now := runtimetest.AfterStart(at)
			for _, server := range servers {
				list.endPoll(7, server.Name, now, busyLoad(random, server.Name), nil)
			}
			list.endCycle(now)
			var response wire.UpdateResponse
			for range row.nodes {
				response = wire.UpdateResponse{}
				list.fill(now, request, &response)
			}
			request.LoadsRevision = response.Loads.Revision
			at += list.pollInterval(now)
		}
		_, sent := list.sentBytes()
		perSecond := float64(sent) / at.Seconds()
		t.Logf("%+v: %.2f MB/s, a poll cycle every %v", row, perSecond/1e6, at/10)
		// The first cycle is sent before its size is known, so its bytes are allowed in addition.
		if first := float64(sent) / 10 / at.Seconds(); perSecond > loadsBytesPerSecond+first {
			t.Errorf("%+v: %.2f MB/s of loads, want at most %.2f MB/s", row, perSecond/1e6, (loadsBytesPerSecond+first)/1e6)
		}
		if slower := at/10 > reportInterval*5/4; slower != row.slower {
			t.Errorf("%+v: a poll cycle every %v: got slower %v, want %v", row, at/10, slower, row.slower)
		}
	}
}

// TestPollCyclesOfTwoTermsInOneEpochAreNotMixed lets a primary lose its lease and lead again in the same
// epoch. A node that has a poll cycle of the first term must not be sent changes that start from a cycle of
// the second term with the same number.
func TestPollCyclesOfTwoTermsInOneEpochAreNotMixed(t *testing.T) {
	var list serverList
	list.update(runtimetest.AfterStart(0), []membership.Server{{Name: "server-a"}, {Name: "server-b"}})
	pollOnce := func(second int, server string) {
		at := runtimetest.AfterStart(time.Duration(second) * time.Second)
		list.endPoll(7, server, at, scheduler.Load{Server: server, Running: second}, nil)
		list.endCycle(at)
	}
	list.beginTerm(7)
	pollOnce(1, "server-a")
	request := wire.UpdateRequest{
		WantServers:     true,
		WantLoads:       true,
		AcceptChanges:   true,
		ServersRevision: list.revision(),
		LoadsRevision:   list.reportsRevision(),
	}
	list.endTerm()
	list.update(runtimetest.AfterStart(2*time.Second), []membership.Server{{Name: "server-b"}})
	list.beginTerm(7)
	pollOnce(3, "server-b")
	pollOnce(4, "server-b")
	var response wire.UpdateResponse
	list.fill(runtimetest.AfterStart(4*time.Second), request, &response)
	if response.Loads == nil || response.Loads.Changes != nil || len(response.Loads.Reports) != 1 ||
		response.Loads.Reports[0].Server != "server-b" {
		t.Errorf("got loads update %+v, want all reports, which is only the report of server-b", response.Loads)
	}
	if servers := response.Servers; servers.Revision == request.ServersRevision {
		t.Errorf("the list of the first term and the newest list have the same revision: %+v", servers)
	}
}
