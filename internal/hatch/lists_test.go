package hatch

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
)

var listNoon = time.Unix(2_000_000, 0)

func atNoon(length time.Duration) time.Time { return listNoon.Add(length) }

// TestListsTellWhatTheAskerLacks follows a list and a report through their marks.
func TestListsTellWhatTheAskerLacks(t *testing.T) {
	var known lists
	asker := UpdateRequest{Lists: true, Loads: true}
	if known.newer(asker) {
		t.Error("nothing is known, and is news")
	}
	known.take(atNoon(0), []membership.Server{{Name: "a", Warming: 2 * time.Second}})
	if known.newer(asker) {
		t.Error("who does not lead has news")
	}
	known.begin(7)
	var answer UpdateResponse
	known.tell(atNoon(500*time.Millisecond), asker, &answer)
	if answer.Servers == nil || !answer.Servers.Sent || answer.Servers.Age != 500*time.Millisecond || answer.Servers.Servers[0].Warming != 1500*time.Millisecond || answer.Loads != nil {
		t.Fatalf("%+v", answer.Servers)
	}
	asker.ListMark = answer.Servers.Mark
	if known.newer(asker) {
		t.Error("the same list is news")
	}
	answer = UpdateResponse{}
	known.tell(atNoon(time.Second), asker, &answer)
	if answer.Servers == nil || answer.Servers.Sent || answer.Servers.Mark != asker.ListMark {
		t.Errorf("the list was told again: %+v", answer.Servers)
	}
	// A router asked, so reports are read, each server once at a time.
	if wanted := known.wanted(atNoon(time.Second)); len(wanted) != 1 {
		t.Errorf("wanted %v", wanted)
	}
	if wanted := known.wanted(atNoon(time.Second)); len(wanted) != 0 {
		t.Errorf("asked again while it is being asked: %v", wanted)
	}
	known.note(6, "a", atNoon(time.Second), scheduler.Load{Server: "a"}, nil)
	known.note(7, "a", atNoon(time.Second), scheduler.Load{Server: "another"}, nil)
	known.round(atNoon(time.Second))
	answer = UpdateResponse{}
	known.tell(atNoon(time.Second), asker, &answer)
	if answer.Loads == nil || len(answer.Loads.Lines) != 0 {
		t.Errorf("a report of another reign or server was told: %+v", answer.Loads)
	}
	known.wanted(atNoon(time.Second))
	known.note(7, "a", atNoon(time.Second), scheduler.Load{Server: "a", Running: 3, Age: 100 * time.Millisecond}, nil)
	known.round(atNoon(1100 * time.Millisecond))
	if !known.newer(asker) {
		t.Error("a round of reports is no news")
	}
	answer = UpdateResponse{}
	known.tell(atNoon(1200*time.Millisecond), asker, &answer)
	if answer.Loads == nil || len(answer.Loads.Lines) != 1 || answer.Loads.Lines[0].Load(50*time.Millisecond) != (scheduler.Load{Server: "a", Running: 3, Age: 350 * time.Millisecond}) {
		t.Errorf("%+v", answer.Loads)
	}
	asker.LoadsMark = answer.Loads.Mark
	if known.newer(asker) {
		t.Error("the same round is news")
	}
	// A server that does not report any more is left out after a while.
	known.wanted(atNoon(4 * time.Second))
	known.note(7, "a", atNoon(4*time.Second), scheduler.Load{}, failure.New(failure.Unreachable, ""))
	known.round(atNoon(4200 * time.Millisecond))
	answer = UpdateResponse{}
	known.tell(atNoon(4200*time.Millisecond), asker, &answer)
	if answer.Loads == nil || len(answer.Loads.Lines) != 0 {
		t.Errorf("an old report is told: %+v", answer.Loads)
	}
	if wanted := known.wanted(atNoon(10 * time.Second)); len(wanted) != 0 {
		t.Errorf("nobody follows reports, and %v are read", wanted)
	}
	// The next term's marks are others, though the list is the same.
	known.end()
	known.begin(8)
	if !known.newer(asker) {
		t.Error("the next reign's list has the old one's mark")
	}
	if known.newer(UpdateRequest{}) {
		t.Error("who follows no lists has news of them")
	}
}

// TestReportTravelsShort wants one server's report to stay a few dozen bytes.
func TestReportTravelsShort(t *testing.T) {
	line := ReportOf(scheduler.Load{Server: "i-7f3a91c2", Part: "decode", Changing: true, Orders: 2, Waiting: 100, Running: 60, MemoryUsed: 200_000, MemoryTotal: 319_972, Handles: 12}, 240*time.Millisecond)
	body, err := msgpack.Marshal(line)
	if err != nil || len(body) > 48 {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	var read LoadReport
	if err := msgpack.Unmarshal(body, &read); err != nil || read != line {
		t.Errorf("%+v, %v", read, err)
	}
}

// movingRuntime tell a time that the test moves.
type movingRuntime struct {
	runtime.Runtime
	now time.Time
}

func (rt *movingRuntime) Now() time.Time { return rt.now }

// TestFollowerTakesNothingForYoungerThanItIs: an age counts from the moment at which
// the question surely had not been answered.
func TestFollowerTakesNothingForYoungerThanItIs(t *testing.T) {
	rt := &movingRuntime{now: atNoon(0)}
	var heard Update
	follower := NewFollower(rt, nil, membership.Member{}, nil, func() replication.Version { return replication.Version{} }, func(update Update) { heard = update })
	follower.Follow(true, true)
	rt.now = atNoon(800 * time.Millisecond)
	l := []LoadReport{ReportOf(scheduler.Load{Server: "a"}, 200*time.Millisecond)}
	answer := UpdateResponse{Leads: true, Held: 600 * time.Millisecond, Servers: &ServersUpdate{Mark: 5, Age: 300 * time.Millisecond, Sent: true, Servers: []membership.Server{{Name: "a"}}},
		Loads: &LoadsUpdate{Mark: 9, Lines: l}}
	follower.Take(atNoon(0), answer)
	if heard.Servers == nil || !heard.Servers.At.Equal(atNoon(300*time.Millisecond)) {
		t.Errorf("the list was read at %+v", heard.Servers)
	}
	if len(heard.Loads) != 1 || heard.Loads[0].Age != 400*time.Millisecond {
		t.Errorf("the report is %+v", heard.Loads)
	}
	if question, _ := follower.pollRequest(); question.ListMark != 5 || question.LoadsMark != 9 || !question.Lists || !question.Loads {
		t.Errorf("asks with %+v", question)
	}
	// A confirmation makes it younger; another mark without the list says nothing.
	rt.now = atNoon(1200 * time.Millisecond)
	answer.Servers, answer.Loads = &ServersUpdate{Mark: 5, Age: 100 * time.Millisecond}, nil
	follower.Take(atNoon(800*time.Millisecond), UpdateResponse{Leads: true, Servers: answer.Servers})
	if heard.Servers == nil || !heard.Servers.At.Equal(atNoon(700*time.Millisecond)) || len(heard.Servers.Servers) != 1 {
		t.Errorf("confirmed as %+v", heard.Servers)
	}
	follower.Take(atNoon(800*time.Millisecond), UpdateResponse{Leads: true, Servers: &ServersUpdate{Mark: 6}})
	if heard.Servers != nil {
		t.Errorf("a list that was not told was taken: %+v", heard.Servers)
	}
	follower.ForgetList()
	if question, _ := follower.pollRequest(); question.ListMark != 0 {
		t.Error("the list is not told anew")
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
		"a change of part": {scheduler.Load{Server: "a", Changing: true}, false},
	} {
		var known lists
		known.begin(1)
		known.take(atNoon(0), []membership.Server{{Name: "a", Slots: 64}, {Name: "b"}})
		known.note(1, "a", atNoon(0), one.load, nil)
		if calm := known.calm(atNoon(0)); calm != one.calm {
			t.Errorf("%s: calm %v", name, calm)
		}
	}
}
