package controlplane

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime/runtimetest"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// TestServerListSendsOnlyMissingUpdates follows a list and a load report through their revisions. A node
// must be sent exactly the updates that it does not have.
func TestServerListSendsOnlyMissingUpdates(t *testing.T) {
	var list serverList
	request := wire.UpdateRequest{WantServers: true, WantLoads: true}
	if list.hasNewer(request) {
		t.Error("an empty list has an update")
	}
	list.update(runtimetest.AfterStart(0), []membership.Server{{Name: "a", Warming: 2 * time.Second}})
	if list.hasNewer(request) {
		t.Error("a controller that is not primary has an update")
	}
	list.beginTerm(7)
	var response wire.UpdateResponse
	list.fill(runtimetest.AfterStart(500*time.Millisecond), request, &response)
	if response.Servers == nil || !response.Servers.Sent || response.Servers.Age != 500*time.Millisecond ||
		response.Servers.Servers[0].Warming != 1500*time.Millisecond || response.Loads != nil {
		t.Fatalf("got %+v, want the list with age 500ms and 1.5s of warming, and no loads", response.Servers)
	}
	request.ServersRevision = response.Servers.Revision
	if list.hasNewer(request) {
		t.Error("the revision that the node has counts as an update")
	}
	response = wire.UpdateResponse{}
	list.fill(runtimetest.AfterStart(time.Second), request, &response)
	if response.Servers == nil || response.Servers.Sent || response.Servers.Revision != request.ServersRevision {
		t.Errorf("got %+v, want only a confirmation of the revision", response.Servers)
	}
	// A router has requested loads, so the servers are polled, each by at most one call at a time.
	if wanted := list.startPolls(runtimetest.AfterStart(time.Second)); len(wanted) != 1 {
		t.Errorf("servers to poll: got %v, want one", wanted)
	}
	if wanted := list.startPolls(runtimetest.AfterStart(time.Second)); len(wanted) != 0 {
		t.Errorf("servers to poll while a poll is in progress: got %v, want none", wanted)
	}
	list.endPoll(6, "a", runtimetest.AfterStart(time.Second), scheduler.Load{Server: "a"}, nil)
	list.endPoll(7, "a", runtimetest.AfterStart(time.Second), scheduler.Load{Server: "another"}, nil)
	list.endCycle(runtimetest.AfterStart(time.Second))
	response = wire.UpdateResponse{}
	list.fill(runtimetest.AfterStart(time.Second), request, &response)
	if response.Loads == nil || len(response.Loads.Reports) != 0 {
		t.Errorf("reports of another term or server: got %+v, want none", response.Loads)
	}
	list.startPolls(runtimetest.AfterStart(time.Second))
	list.endPoll(7, "a", runtimetest.AfterStart(time.Second), scheduler.Load{Server: "a", Running: 3, Age: 100 * time.Millisecond}, nil)
	list.endCycle(runtimetest.AfterStart(1100 * time.Millisecond))
	if !list.hasNewer(request) {
		t.Error("a poll cycle with a new report is no update")
	}
	response = wire.UpdateResponse{}
	list.fill(runtimetest.AfterStart(1200*time.Millisecond), request, &response)
	if response.Loads == nil || len(response.Loads.Reports) != 1 ||
		response.Loads.Reports[0].Load(50*time.Millisecond) != (scheduler.Load{Server: "a", Running: 3, Age: 350 * time.Millisecond}) {
		t.Errorf("got %+v, want one report with 3 running requests and an age of 350ms", response.Loads)
	}
	request.LoadsRevision = response.Loads.Revision
	if list.hasNewer(request) {
		t.Error("the poll cycle that the node has counts as an update")
	}
	// The report of a server that stops responding is left out after reportTTL.
	list.startPolls(runtimetest.AfterStart(4 * time.Second))
	list.endPoll(7, "a", runtimetest.AfterStart(4*time.Second), scheduler.Load{}, failure.New(failure.Unreachable, ""))
	list.endCycle(runtimetest.AfterStart(4200 * time.Millisecond))
	response = wire.UpdateResponse{}
	list.fill(runtimetest.AfterStart(4200*time.Millisecond), request, &response)
	if response.Loads == nil || len(response.Loads.Reports) != 0 {
		t.Errorf("reports after reportTTL: got %+v, want none", response.Loads)
	}
	if wanted := list.startPolls(runtimetest.AfterStart(10 * time.Second)); len(wanted) != 0 {
		t.Errorf("servers to poll while no node wants loads: got %v, want none", wanted)
	}
	// The revisions of the next term differ, even though the list is the same.
	list.endTerm()
	list.beginTerm(8)
	if !list.hasNewer(request) {
		t.Error("the list of the next term has the revision of the previous term")
	}
	if list.hasNewer(wire.UpdateRequest{}) {
		t.Error("a node that wants no lists has an update")
	}
}

// TestEncodedLoadReportIsSmall expects the encoded report of one server to take at most 48 bytes.
func TestEncodedLoadReportIsSmall(t *testing.T) {
	sent := wire.NewLoadReport(scheduler.Load{
		Server:       "i-7f3a91c2",
		Role:         "decode",
		ChangingRole: true,
		Orders:       2,
		Waiting:      100,
		Running:      60,
		MemoryUsed:   200_000,
		MemoryTotal:  319_972,
		Handles:      12,
	}, 240*time.Millisecond)
	body, err := msgpack.Marshal(sent)
	if err != nil || len(body) > 48 {
		t.Errorf("encoded report: got %d bytes, want at most 48; error %v", len(body), err)
	}
	var received wire.LoadReport
	if err := msgpack.Unmarshal(body, &received); err != nil || received != sent {
		t.Errorf("the decoded report differs: got %+v, error %v", received, err)
	}
}

// TestServersAreIdleOnlyWithoutWork expects the list not to be idle, so that the servers are polled at
// reportInterval, as soon as a single server has running requests in more than a sixth of its slots, a
// waiting request or a change of role in progress.
func TestServersAreIdleOnlyWithoutWork(t *testing.T) {
	for name, row := range map[string]struct {
		load   scheduler.Load
		isIdle bool
	}{
		"no requests":                    {scheduler.Load{Server: "a"}, true},
		"up to a sixth of the slots":     {scheduler.Load{Server: "a", Running: 10}, true},
		"more than a sixth of the slots": {scheduler.Load{Server: "a", Running: 11}, false},
		"a waiting request":              {scheduler.Load{Server: "a", Waiting: 1}, false},
		"a change of role":               {scheduler.Load{Server: "a", ChangingRole: true}, false},
	} {
		var list serverList
		list.beginTerm(1)
		list.update(runtimetest.AfterStart(0), []membership.Server{{Name: "a", Slots: 64}, {Name: "b"}})
		list.endPoll(1, "a", runtimetest.AfterStart(0), row.load, nil)
		if isIdle := list.idle(runtimetest.AfterStart(0)); isIdle != row.isIdle {
			t.Errorf("%s: got idle %v, want %v", name, isIdle, row.isIdle)
		}
	}
}
