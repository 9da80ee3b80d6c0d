package replay

import (
	"strconv"
	"testing"
	"time"
)

// seededDay builds the events of a day without violations, and further events relative to its start.
type seededDay struct{ start time.Time }

// at returns the time that is the given number of milliseconds after the start of the day.
func (day seededDay) at(milliseconds int) time.Time {
	return day.start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// version returns a version with the given routes. From revision 7 on, r-verdict is served by annexe.
func (day seededDay) version(revision int, routes ...string) *Version {
	version := &Version{Revision: revision, Routes: map[string]RouteRule{}}
	for _, route := range routes {
		service := "desk"
		if route == "r-verdict" && revision >= 7 {
			service = "annexe"
		}
		version.Routes[route] = RouteRule{Class: "chat", Deadline: 3000, Services: map[string]int{service: 1}}
	}
	return version
}

// callEvents returns the events of a request that is prefilled on one server, decoded on another, and
// completed.
func (day seededDay) callEvents(name string, at int, route, service string, idempotent bool) []Event {
	seal, source := "seal-"+name, "handle-"+name
	return []Event{
		{
			At:         day.at(at),
			Kind:       AttemptSent,
			Machine:    "edge-2",
			AttemptID:  name,
			Request:    "request-" + name,
			Class:      "chat",
			Route:      route,
			Idempotent: idempotent,
			Digest:     "digest-" + name,
			Deadline:   3 * time.Second,
			Target:     time.Second,
			Began:      day.at(at),
		},
		{
			At:        day.at(at + 1),
			Kind:      RequestArrived,
			AttemptID: name,
			Server:    "i-read",
			Service:   service,
			Zone:      "quay-hall",
			WorkPhase: phasePrefill,
			Digest:    "digest-" + name,
			Deadline:  2900 * time.Millisecond,
		},
		{
			At:        day.at(at + 2),
			Kind:      PromptPrefilled,
			AttemptID: name,
			Server:    "i-read",
			Service:   service,
			WorkPhase: phasePrefill,
			Digest:    "digest-" + name,
			Handle:    source,
			Tokens:    100,
		},
		{At: day.at(at + 3), Kind: HandleTaken, Server: "i-make", AttemptID: name, Request: name, Handle: source},
		{
			At:        day.at(at + 3),
			Kind:      RequestArrived,
			AttemptID: name,
			Server:    "i-make",
			Service:   service,
			Zone:      "hill-hall",
			WorkPhase: phaseDecode,
			Digest:    "digest-" + name,
			Deadline:  2900 * time.Millisecond,
		},
		{
			At:        day.at(at + 4),
			Kind:      RunStarted,
			AttemptID: name,
			Server:    "i-make",
			Service:   service,
			WorkPhase: phaseDecode,
			Seal:      seal,
			Digest:    "digest-" + name,
		},
		{
			At:        day.at(at + 5),
			Kind:      RunEnded,
			AttemptID: name,
			Server:    "i-make",
			Seal:      seal,
			Complete:  true,
			Status:    200,
			Tokens:    3,
		},
		{
			At:              day.at(at + 6),
			Kind:            AttemptEnded,
			Machine:         "edge-2",
			AttemptID:       name,
			Request:         "request-" + name,
			Class:           "chat",
			Route:           route,
			Status:          200,
			Seal:            seal,
			AnsweredAttempt: name,
			Complete:        true,
			FirstEventAt:    day.at(at + 4),
			Spans: []Span{{
				ID:            2,
				From:          1,
				To:            2,
				Run:           seal,
				RequestDigest: "digest-" + name,
			}, {ID: 3, From: 3, To: 3, Run: seal, RequestDigest: "digest-" + name}},
		},
	}
}

// cleanEvents returns the events of a day without violations.
func (day seededDay) cleanEvents() []Event {
	events := []Event{
		{At: day.at(0), Kind: MachineUp, Machine: "edge-1", Core: true}, {At: day.at(0), Kind: MachineUp, Machine: "edge-2"},
		{At: day.at(0), Kind: MachineUp, Machine: "edge-3"},
		{At: day.at(10), Kind: ChangeSent, Change: "a", Revision: 3, Version: day.version(3, "r-chat", "r-verdict")},
		{
			At:       day.at(20),
			Kind:     ChangeClosed,
			Change:   "a",
			Revision: 3,
			Cause:    string(acknowledged),
			Version:  day.version(3, "r-chat", "r-verdict"),
		},
		{
			At:       day.at(11_000),
			Kind:     ChangeSent,
			Change:   "b",
			Revision: 5,
			Base:     3,
			Version:  day.version(5, "r-chat", "r-verdict", "r-late-1"),
		},
		{At: day.at(11_020), Kind: ChangeClosed, Change: "b", Revision: 5, Base: 3, Cause: string(acknowledged)},
		{
			At:       day.at(12_000),
			Kind:     ChangeSent,
			Change:   "c",
			Revision: 6,
			Base:     5,
			Version:  day.version(6, "r-chat", "r-verdict", "r-lost"),
		},
		{At: day.at(12_020), Kind: ChangeClosed, Change: "c", Revision: 6, Base: 5, Cause: string(refused)},
		{At: day.at(20_000), Kind: ShownLeaving, Server: "i-old", Cause: stateDraining},
		{
			At:   day.at(20_000),
			Kind: EvacuationSent,
			Zone: "mill-hall",
		}, {At: day.at(20_010), Kind: Evacuated, Zone: "mill-hall"},
		{At: day.at(21_000), Kind: OrderReceived, Server: "i-read", Owner: "edge-1", FencingToken: 4, Status: 202},
		{At: day.at(25_000), Kind: OrderReceived, Server: "i-read", Owner: "edge-3", FencingToken: 5, Status: 202},
		{At: day.at(90_000), Kind: ReadBack, Revision: 5, Complete: true},
	}
	events = append(events, day.callEvents("one", 10_000, "r-chat", "desk", false)...)
	events = append(events, day.callEvents("two", 14_000, "r-verdict", "desk", true)...)
	events = append(events, day.callEvents("three", 15_000, "r-late-1", "desk", false)...)
	return events
}

// TestEachCheckerCatchesASeededViolation adds a violation for each checker to a day without
// violations, and checks that the checker finds it. It also checks that no checker reports a
// violation on the day without violations.
func TestEachCheckerCatchesASeededViolation(t *testing.T) {
	day := seededDay{start: time.Unix(1_700_000_000, 0)}
	verdictOf := func(events []Event) Verdict {
		log := &EventLog{}
		for _, event := range events {
			log.Append(event)
		}
		return CheckEvents(log.Events(), SmallSite())
	}
	if verdict := verdictOf(day.cleanEvents()); verdict.Violations() != 0 {
		t.Fatalf("a day without violations got this verdict:\n%s", verdict)
	}
	// call returns the events of a call after it has changed the event at the position.
	call := func(position int, change func(event *Event)) []Event {
		events := day.callEvents("four", 30_000, "r-chat", "desk", false)
		change(&events[position])
		return events
	}
	// laterArrival returns the arrival of the attempt "one" at another server.
	laterArrival := func(at int, server string) Event {
		return Event{
			At:        day.at(at),
			Kind:      RequestArrived,
			AttemptID: "one",
			Server:    server,
			Service:   "desk",
			Zone:      "quay-hall",
			WorkPhase: phaseDecode,
			Deadline:  time.Millisecond,
		}
	}
	repeated := func(count int, generate func(number int) []Event) []Event {
		var events []Event
		for number := range count {
			events = append(events, generate(number)...)
		}
		return events
	}
	cases := map[string][]Event{
		"MIXED answers": call(7, func(event *Event) { event.Seal = "seal-one" }),
		"MIXED handles": call(3, func(event *Event) { event.Request = "one" }),
		"UNASKED":       call(5, func(event *Event) { event.Digest = "other" }),
		"TWICE": {{
			At:        day.at(10_100),
			Kind:      RunStarted,
			AttemptID: "one",
			Server:    "i-other",
			Service:   "desk",
			Digest:    "digest-one",
			Seal:      "x",
		}},
		"REFUSED":       call(7, func(event *Event) { event.Status, event.Seal, event.Spans = 503, "", nil }),
		"ROUTE":         call(5, func(event *Event) { event.Service = "nowhere" }),
		"DRAIN servers": {laterArrival(23_200, "i-old")},
		"DRAIN readiness": {{
			At:      day.at(40_000),
			Kind:    MachineTerminated,
			Machine: "edge-2",
		}, {
			At:      day.at(44_500),
			Kind:    ReadinessProbed,
			Machine: "edge-2",
			Status:  200,
		}, {
			At:      day.at(40_000),
			Kind:    MachineTerminated,
			Machine: "edge-3",
		}, {At: day.at(44_500), Kind: ReadinessProbed, Machine: "edge-3", Status: 200}},
		"LOST": append(call(7, func(event *Event) {
			event.Status, event.Seal, event.Spans, event.Complete, event.Cause = 200, "seal-four", nil, false, "unexpected EOF"
		}),
			Event{At: day.at(29_900), Kind: MachineTerminated, Machine: "edge-2", Planned: true}),
		"CONFIG applied": append(day.callEvents("four", 30_000, "r-verdict", "desk", false),
			Event{
				At:       day.at(25_000),
				Kind:     ChangeSent,
				Change:   "d",
				Revision: 7,
				Base:     5,
				Version:  day.version(7, "r-chat", "r-verdict", "r-late-1"),
			},
			Event{
				At:       day.at(25_010),
				Kind:     ChangeClosed,
				Change:   "d",
				Revision: 7,
				Base:     5,
				Cause:    string(acknowledged),
			}, Event{At: day.at(90_001), Kind: ReadBack, Revision: 7, Complete: true}),
		"CONFIG later routes": repeated(25, func(number int) []Event {
			events := day.callEvents("four-"+strconv.Itoa(number), 30_000+number, "r-late-1", "desk", true)
			events[7].Status, events[7].Seal, events[7].Spans = 504, "", nil
			return events
		}),
		"CONFIG back": append(append(day.callEvents("four", 25_200, "r-verdict", "annexe", false),
			day.callEvents("five", 25_800, "r-verdict", "desk", false)...),
			Event{
				At:       day.at(25_000),
				Kind:     ChangeSent,
				Change:   "d",
				Revision: 7,
				Base:     5,
				Version:  day.version(7, "r-chat", "r-verdict", "r-late-1"),
			},
			Event{
				At:       day.at(25_700),
				Kind:     ChangeClosed,
				Change:   "d",
				Revision: 7,
				Base:     5,
				Cause:    string(acknowledged),
			}, Event{At: day.at(90_001), Kind: ReadBack, Revision: 7, Complete: true}),
		"CONFIG refused": day.callEvents("four", 30_000, "r-lost", "desk", false),
		"CONFIG acknowledged": {{
			At:       day.at(13_000),
			Kind:     ChangeSent,
			Change:   "d",
			Revision: 8,
			Base:     3,
			Version:  day.version(8, "r-chat", "r-verdict", "r-late-1"),
		},
			{At: day.at(13_020), Kind: ChangeClosed, Change: "d", Revision: 8, Base: 3, Cause: string(acknowledged)}},
		"CONFIG read back": {{At: day.at(90_010), Kind: ReadBack, Revision: 3, Complete: true}},
		"CONFIG held": repeated(9, func(number int) []Event {
			events := day.callEvents("four-"+strconv.Itoa(number), 30_000+number, "r-chat", "desk", true)
			events[7].At = day.at(34_000)
			return events
		}),
		"BUDGET": repeated(70, func(number int) []Event { return []Event{laterArrival(30_000+number, "i-make")} }),
		"BUDGET servers": repeated(4, func(number int) []Event {
			name := "four-" + strconv.Itoa(number)
			second := Event{
				At:        day.at(30_100 + number),
				Kind:      RunStarted,
				AttemptID: name,
				Server:    "i-other",
				Service:   "desk",
				Digest:    "digest-" + name,
				Seal:      "x",
			}
			third := second
			third.Server = "i-third"
			return append(day.callEvents(name, 30_000+number, "r-chat", "desk", true), second, third)
		}),
		"BUDGET deadline": repeated(21, func(number int) []Event {
			events := day.callEvents("four-"+strconv.Itoa(number), 30_000+number, "r-chat", "desk", true)
			events[4].Deadline = 5 * time.Second
			return events
		}),
		"ORDER": call(7, func(event *Event) { event.Spans[1].From, event.Spans[1].ID, event.Spans[1].To = 4, 4, 4 }),
		"FAILBACK": repeated(24, func(number int) []Event {
			events := day.callEvents("four-"+strconv.Itoa(number), 30_000+number, "r-chat", "desk", true)
			events[4].Cold = true
			return events
		}),
		"EVAC": {{
			At:        day.at(26_000),
			Kind:      RequestArrived,
			AttemptID: "one",
			Server:    "i-make",
			Service:   "desk",
			Zone:      "mill-hall",
			WorkPhase: phaseDecode,
			Deadline:  time.Millisecond,
		}},
		"RECOVER": append(repeated(4, func(number int) []Event {
			name := "four-" + strconv.Itoa(number)
			events := day.callEvents(name, 60_000+number, "r-chat", "desk", true)
			events[7].Status, events[7].Seal, events[7].Spans = 504, "", nil
			return events
		}), Event{At: day.at(40_000), Kind: ClosingFault}, Event{At: day.at(41_000), Kind: ClosingFaultEnded}),
		"ONE": {{At: day.at(26_000), Kind: OrderReceived, Server: "i-read", Owner: "edge-1", FencingToken: 6, Status: 202}},
		"GONE": repeated(8, func(number int) []Event {
			name := "four-" + strconv.Itoa(number)
			events := day.callEvents(name, 30_000+number, "r-chat", "desk", true)
			events[7].GaveUp, events[7].Complete, events[7].Cause = true, false, causeClientLeft
			events[6].At = events[7].At.Add(time.Second)
			return events
		}),
		"ACKS": {{
			At:       day.at(30_000),
			Kind:     ChangeSent,
			Change:   "d",
			Revision: 8,
			Base:     5,
			Version:  day.version(5, "r-chat", "r-verdict", "r-late-1"),
		},
			{At: day.at(36_000), Kind: ChangeClosed, Change: "d", Revision: 8, Base: 5, Cause: string(unclear)}},
		"DENIED": repeated(7, func(number int) []Event {
			events := day.callEvents("four-"+strconv.Itoa(number), 30_000+number, "r-chat", "desk", true)
			events[7].Status, events[7].Seal, events[7].Spans = 404, "", nil
			return events[:1:1]
		}),
		"ENDED": {{At: day.at(30_000), Kind: ProcessExited, Machine: "edge-2", Cause: "courier: exit status 2"}},
	}
	// A request that a machine rejects with 404 has no events of servers.
	var denied []Event
	for number := range 7 {
		events := day.callEvents("four-"+strconv.Itoa(number), 30_000+number, "r-chat", "desk", true)
		events[7].Status, events[7].Seal, events[7].Spans = 404, "", nil
		denied = append(denied, events[0], events[7])
	}
	cases["DENIED"] = denied
	for _, checker := range checkers {
		violating, found := cases[checker.name]
		if !found {
			t.Errorf("there is no test case for the checker %s", checker.name)
			continue
		}
		verdict := verdictOf(append(day.cleanEvents(), violating...))
		if verdict.Finding(checker.name).Violations == 0 {
			t.Errorf("%s did not find its violation:\n%s", checker.name, verdict)
		}
	}
}

// TestTimeLimitsApplyOnlyToMachinesInContact kills a machine shortly before an event that would break a
// time limit if the machine were in contact, and checks that the event counts as no violation.
func TestTimeLimitsApplyOnlyToMachinesInContact(t *testing.T) {
	day := seededDay{start: time.Unix(1_700_000_000, 0)}
	events := append(day.cleanEvents(),
		Event{
			At:        day.at(23_200),
			Kind:      RequestArrived,
			AttemptID: "one",
			Server:    "i-old",
			Service:   "desk",
			Zone:      "quay-hall",
			WorkPhase: phaseDecode,
			Deadline:  time.Millisecond,
		},
		Event{
			At:      day.at(22_000),
			Kind:    MachineKilled,
			Machine: "edge-2",
		}, Event{At: day.at(22_500), Kind: MachineUp, Machine: "edge-2"})
	log := &EventLog{}
	for _, event := range events {
		log.Append(event)
	}
	if finding := CheckEvents(log.Events(), SmallSite()).Finding("DRAIN servers"); finding.Violations != 0 || finding.Checked == 0 {
		t.Errorf("got %+v, want events checked without violations", finding)
	}
}
