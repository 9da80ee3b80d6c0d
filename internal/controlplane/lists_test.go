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

// TestListsSendWhatTheAskerLacks follows a list and a report through their marks.
func TestListsSendWhatTheAskerLacks(t *testing.T) {
	var known serverList
	asker := wire.UpdateRequest{WantServers: true, WantLoads: true}
	if known.hasNewer(asker) {
		t.Error("nothing is known, and is news")
	}
	known.update(runtimetest.AtNoon(0), []membership.Server{{Name: "a", Warming: 2 * time.Second}})
	if known.hasNewer(asker) {
		t.Error("who does not lead has news")
	}
	known.beginTerm(7)
	var response wire.UpdateResponse
	known.fill(runtimetest.AtNoon(500*time.Millisecond), asker, &response)
	if response.Servers == nil || !response.Servers.Sent || response.Servers.Age != 500*time.Millisecond || response.Servers.Servers[0].Warming != 1500*time.Millisecond || response.Loads != nil {
		t.Fatalf("%+v", response.Servers)
	}
	asker.ServersRevision = response.Servers.Revision
	if known.hasNewer(asker) {
		t.Error("the same list is news")
	}
	response = wire.UpdateResponse{}
	known.fill(runtimetest.AtNoon(time.Second), asker, &response)
	if response.Servers == nil || response.Servers.Sent || response.Servers.Revision != asker.ServersRevision {
		t.Errorf("the list was told again: %+v", response.Servers)
	}
	// A router asked, so reports are read, each server once at a time.
	if wanted := known.startPolls(runtimetest.AtNoon(time.Second)); len(wanted) != 1 {
		t.Errorf("wanted %v", wanted)
	}
	if wanted := known.startPolls(runtimetest.AtNoon(time.Second)); len(wanted) != 0 {
		t.Errorf("asked again while it is being asked: %v", wanted)
	}
	known.endPoll(6, "a", runtimetest.AtNoon(time.Second), scheduler.Load{Server: "a"}, nil)
	known.endPoll(7, "a", runtimetest.AtNoon(time.Second), scheduler.Load{Server: "another"}, nil)
	known.endRound(runtimetest.AtNoon(time.Second))
	response = wire.UpdateResponse{}
	known.fill(runtimetest.AtNoon(time.Second), asker, &response)
	if response.Loads == nil || len(response.Loads.Reports) != 0 {
		t.Errorf("a report of another reign or server was told: %+v", response.Loads)
	}
	known.startPolls(runtimetest.AtNoon(time.Second))
	known.endPoll(7, "a", runtimetest.AtNoon(time.Second), scheduler.Load{Server: "a", Running: 3, Age: 100 * time.Millisecond}, nil)
	known.endRound(runtimetest.AtNoon(1100 * time.Millisecond))
	if !known.hasNewer(asker) {
		t.Error("a round of reports is no news")
	}
	response = wire.UpdateResponse{}
	known.fill(runtimetest.AtNoon(1200*time.Millisecond), asker, &response)
	if response.Loads == nil || len(response.Loads.Reports) != 1 || response.Loads.Reports[0].Load(50*time.Millisecond) != (scheduler.Load{Server: "a", Running: 3, Age: 350 * time.Millisecond}) {
		t.Errorf("%+v", response.Loads)
	}
	asker.LoadsRevision = response.Loads.Revision
	if known.hasNewer(asker) {
		t.Error("the same round is news")
	}
	// A server that does not report any more is left out after a while.
	known.startPolls(runtimetest.AtNoon(4 * time.Second))
	known.endPoll(7, "a", runtimetest.AtNoon(4*time.Second), scheduler.Load{}, failure.New(failure.Unreachable, ""))
	known.endRound(runtimetest.AtNoon(4200 * time.Millisecond))
	response = wire.UpdateResponse{}
	known.fill(runtimetest.AtNoon(4200*time.Millisecond), asker, &response)
	if response.Loads == nil || len(response.Loads.Reports) != 0 {
		t.Errorf("an old report is told: %+v", response.Loads)
	}
	if wanted := known.startPolls(runtimetest.AtNoon(10 * time.Second)); len(wanted) != 0 {
		t.Errorf("nobody follows reports, and %v are read", wanted)
	}
	// The next term's marks are others, though the list is the same.
	known.endTerm()
	known.beginTerm(8)
	if !known.hasNewer(asker) {
		t.Error("the next reign's list has the old one's mark")
	}
	if known.hasNewer(wire.UpdateRequest{}) {
		t.Error("who follows no lists has news of them")
	}
}

// TestReportTravelsShort wants one server's report to stay a few dozen bytes.
func TestReportTravelsShort(t *testing.T) {
	line := wire.NewLoadReport(scheduler.Load{Server: "i-7f3a91c2", Role: "decode", ChangingRole: true, Orders: 2, Waiting: 100, Running: 60, MemoryUsed: 200_000, MemoryTotal: 319_972, Handles: 12}, 240*time.Millisecond)
	body, err := msgpack.Marshal(line)
	if err != nil || len(body) > 48 {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	var read wire.LoadReport
	if err := msgpack.Unmarshal(body, &read); err != nil || read != line {
		t.Errorf("%+v, %v", read, err)
	}
}

// TestReportsAreReadSeldomWhileServersHaveLittleToDo wants work, waiting or a change of
// part at one server to be enough for the usual pace.
func TestReportsAreReadSeldomWhileServersHaveLittleToDo(t *testing.T) {
	for name, one := range map[string]struct {
		load scheduler.Load
		calm bool
	}{
		"nothing to do":    {scheduler.Load{Server: "a"}, true},
		"a little":         {scheduler.Load{Server: "a", Running: 10}, true},
		"more than a part": {scheduler.Load{Server: "a", Running: 11}, false},
		"a call waits":     {scheduler.Load{Server: "a", Waiting: 1}, false},
		"a change of part": {scheduler.Load{Server: "a", ChangingRole: true}, false},
	} {
		var known serverList
		known.beginTerm(1)
		known.update(runtimetest.AtNoon(0), []membership.Server{{Name: "a", Slots: 64}, {Name: "b"}})
		known.endPoll(1, "a", runtimetest.AtNoon(0), one.load, nil)
		if calm := known.idle(runtimetest.AtNoon(0)); calm != one.calm {
			t.Errorf("%s: calm %v", name, calm)
		}
	}
}
