package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// pausingServer returns a decode server that answers each call with six events, and pauses after the second one. The
// pause is longer than the stream timeout of a route without a maximum gap (800 ms).
func pausingServer(t *testing.T) *fakeServer {
	return decodeServer(t, "pausing", func(connection *serverConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		connection.writeText(streamHead(id) + chunk(joinedEvents(1, 2)))
		time.Sleep(1100 * time.Millisecond)
		connection.writeText(chunk(joinedEvents(3, 4, 5, 6)) + "0\r\n\r\n")
		return true
	})
}

// decodeServer returns a fake server of the service "desk" that generates answers.
func decodeServer(t *testing.T, name string, respond func(*serverConnection, *http.Request) bool) *fakeServer {
	server := newFakeServer(t, respond)
	server.record.Name, server.record.Role, server.record.Service, server.record.Zone = name, "decode", "desk", "north"
	server.record.Slots, server.record.Models = 64, []string{"m"}
	return server
}

// TestStreamOfAPausingServerIsComplete guards against a stream that is cut off while its server is still at work: the
// server pauses within the stream, and no other server takes the call over.
func TestStreamOfAPausingServerIsComplete(t *testing.T) {
	turnsAway := func(status int, headers ...string) func(*serverConnection, *http.Request) bool {
		return func(connection *serverConnection, inbound *http.Request) bool {
			connection.writeText(responseText(status, inbound.Header.Get("Seamloom-Call"), "no", headers...))
			return true
		}
	}
	for name, test := range map[string]struct {
		other   func(*serverConnection, *http.Request) bool
		retries scheduler.RetryAllowance
	}{
		"there is no other server":         {nil, scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second}},
		"the other server is full":         {turnsAway(503, "Seamloom-Not-Started: 1", "Seamloom-Load: 64,3,64"), scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second}},
		"the other server is misaddressed": {turnsAway(421), scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second}},
		"the other server fails":           {turnsAway(500), scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second}},
		"the other server refuses":         {turnsAway(400), scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second}},
		"the other server resets": {func(connection *serverConnection, _ *http.Request) bool { connection.reset(); return false },
			scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second}},
		"the retry budget is used up": {turnsAway(503, "Seamloom-Not-Started: 1"), scheduler.RetryAllowance{Window: time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pausing := pausingServer(t)
			servers := []membership.Server{pausing.record}
			address, callScheduler := startCalls(t, servers, test.retries)
			outbound := resumableCall(address, "call")
			results := make(chan reply, 1)
			go func() { results <- send(outbound) }()
			waitUntil(t, "the first server has the call", func() bool { return pausing.count() == 1 })
			if test.other != nil {
				callScheduler.SetServers(time.Now(), append(servers, decodeServer(t, "other", test.other).record))
			}
			if got := <-results; got.failure != nil || got.status != 200 || string(got.body) != joinedEvents(1, 2, 3, 4, 5, 6) {
				t.Errorf("got %+v, want all six events of the pausing server", got)
			}
			waitUntil(t, "no call is in flight", func() bool { return callScheduler.InFlight() == 0 })
		})
	}
}

// resumableCall returns a request for the route whose streams may be resumed.
func resumableCall(address, id string) *http.Request {
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+address+"/again/x", strings.NewReader("body"))
	outbound.Host = "calls.example"
	for name, value := range map[string]string{"Seamloom-Call": id, "Seamloom-Limit-Milliseconds": "3000",
		"Seamloom-Model": "m", "Seamloom-Tokens": "100,6"} {
		outbound.Header.Set(name, value)
	}
	return outbound
}

// TestSlowServerIsNotLeftBeforeItsFirstEvent wants an answer that has not begun to be waited for in the same way: no other
// server takes the call over, and the first one answers within the deadline.
func TestSlowServerIsNotLeftBeforeItsFirstEvent(t *testing.T) {
	slow := decodeServer(t, "slow", func(connection *serverConnection, inbound *http.Request) bool {
		// Longer than the minimum of the time in which a run's first event is expected, 1 s.
		time.Sleep(1500 * time.Millisecond)
		connection.writeText(streamHead(inbound.Header.Get("Seamloom-Call")) + chunk(joinedEvents(1, 2)) + "0\r\n\r\n")
		return true
	})
	address, callScheduler := startCalls(t, []membership.Server{slow.record}, scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second})
	results := make(chan reply, 1)
	go func() { results <- send(resumableCall(address, "call")) }()
	waitUntil(t, "the slow server has the call", func() bool { return slow.count() == 1 })
	full := decodeServer(t, "full", func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(503, inbound.Header.Get("Seamloom-Call"), "full", "Seamloom-Not-Started: 1", "Seamloom-Load: 64,3,64"))
		return true
	})
	callScheduler.SetServers(time.Now(), []membership.Server{slow.record, full.record})
	if got := <-results; got.failure != nil || got.status != 200 || string(got.body) != joinedEvents(1, 2) {
		t.Errorf("got %+v, want the two events of the slow server", got)
	}
}

// stallRace is a play of a stalled stream against the stream that is to take it over, and the results expected of the
// second dispatch and of the call.
type stallRace struct {
	// first and second respond at the two servers; each may wait for events of the other one.
	first, second func(race *raceEvents, connection *serverConnection) bool
	// afterSecond is the decision that follows the second dispatch, whose result must be wanted; empty for any.
	afterSecond scheduler.DecisionKind
	wanted      scheduler.Result
	body        string
	complete    bool
}

// raceEvents are the events of a stallRace, each closed when it has happened.
type raceEvents struct {
	secondAsked, firstWentOn, secondSent chan struct{}
}

// TestOneOfBothStreamsReachesTheClient plays the orders in which a stalled stream and its successor may go on: no event
// may be missing or come twice, and the loser's connection is closed.
func TestOneOfBothStreamsReachesTheClient(t *testing.T) {
	head := streamHead("call")
	end := "0\r\n\r\n"
	untilClosed := func(connection *serverConnection) bool { _, _ = connection.reader.Peek(1); return false }
	for name, test := range map[string]stallRace{
		"the second server has an event first": {
			first: func(_ *raceEvents, connection *serverConnection) bool {
				connection.writeText(head + chunk(joinedEvents(1, 2)))
				return untilClosed(connection)
			},
			second: func(_ *raceEvents, connection *serverConnection) bool {
				connection.writeText(head + chunk(joinedEvents(2, 3, 4)) + end)
				return true
			},
			afterSecond: scheduler.Done, wanted: scheduler.Complete, body: joinedEvents(1, 2, 3, 4), complete: true,
		},
		"the first server goes on before the second answers": {
			first: func(race *raceEvents, connection *serverConnection) bool {
				connection.writeText(head + chunk(joinedEvents(1, 2)))
				<-race.secondAsked
				connection.writeText(chunk(joinedEvents(3, 4)) + end)
				return true
			},
			second:      func(_ *raceEvents, connection *serverConnection) bool { return untilClosed(connection) },
			afterSecond: scheduler.Continue, wanted: scheduler.Superseded, body: joinedEvents(1, 2, 3, 4), complete: true,
		},
		"the first server goes on after the second has accepted": {
			first: func(race *raceEvents, connection *serverConnection) bool {
				connection.writeText(head + chunk(joinedEvents(1, 2)))
				<-race.secondSent
				connection.writeText(chunk(joinedEvents(3, 4)) + end)
				return true
			},
			second: func(race *raceEvents, connection *serverConnection) bool {
				// Events that the client has are no progress.
				connection.writeText(head + chunk(joinedEvents(1, 2)))
				close(race.secondSent)
				return untilClosed(connection)
			},
			afterSecond: scheduler.Continue, wanted: scheduler.Superseded, body: joinedEvents(1, 2, 3, 4), complete: true,
		},
		"the second server is turned away after the first has gone on": {
			first: func(race *raceEvents, connection *serverConnection) bool {
				connection.writeText(head + chunk(joinedEvents(1, 2)))
				<-race.secondAsked
				connection.writeText(chunk(joinedEvents(3)))
				close(race.firstWentOn)
				connection.writeText(chunk(joinedEvents(4)) + end)
				return true
			},
			second: func(race *raceEvents, connection *serverConnection) bool {
				<-race.firstWentOn
				connection.writeText(responseText(503, "call", "full", "Seamloom-Not-Started: 1"))
				return true
			},
			afterSecond: scheduler.Continue, body: joinedEvents(1, 2, 3, 4), complete: true,
		},
		"the first server breaks off, and the second turns the call away": {
			first: func(race *raceEvents, connection *serverConnection) bool {
				connection.writeText(head + chunk(joinedEvents(1, 2)))
				<-race.secondAsked
				connection.reset()
				close(race.firstWentOn)
				return false
			},
			second: func(race *raceEvents, connection *serverConnection) bool {
				<-race.firstWentOn
				connection.writeText(responseText(503, "call", "full", "Seamloom-Not-Started: 1"))
				return true
			},
			// Whether the router has noticed the end of the first stream by then or not, the call is broken off.
			afterSecond: scheduler.Continue, body: joinedEvents(1, 2),
		},
		"the first server ends its stream regularly while the second is asked": {
			first: func(race *raceEvents, connection *serverConnection) bool {
				connection.writeText(head + chunk(joinedEvents(1, 2)))
				<-race.secondAsked
				connection.writeText(end)
				return true
			},
			second:      func(_ *raceEvents, connection *serverConnection) bool { return untilClosed(connection) },
			afterSecond: scheduler.Continue, wanted: scheduler.Superseded, body: joinedEvents(1, 2), complete: true,
		},
	} {
		t.Run(name, func(t *testing.T) { test.play(t) })
	}
}

// play runs the race with a scripted executor and checks its results.
func (r stallRace) play(t *testing.T) {
	race := &raceEvents{secondAsked: make(chan struct{}), firstWentOn: make(chan struct{}), secondSent: make(chan struct{})}
	first := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool { return r.first(race, connection) })
	second := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		close(race.secondAsked)
		return r.second(race, connection)
	})
	second.record.Name = "server-2"
	deadline := time.Now().Add(5 * time.Second)
	executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
		run := scheduler.Decision{Kind: scheduler.Generate, Deadline: deadline, Priority: -1}
		switch {
		case number == 0:
			run.Server, run.StreamTimeout = first.record, 30*time.Millisecond
			return run
		case number == 1:
			run.Server = second.record
			return run
		case number == 2:
			return scheduler.Decision{Kind: r.afterSecond, Deadline: deadline}
		}
		return finalDecision(outcome)
	}}
	got := newRouter(t, executor).send(t, "call", "body")
	if string(got.body) != r.body || (got.failure == nil) != r.complete {
		t.Errorf("got %+v, want events %q, complete %v", got, r.body, r.complete)
	}
	waitUntil(t, "the call ends", func() bool { return executor.active.Load() == 0 })
	secondOutcome := executor.outcomes[1]
	if r.wanted != "" && secondOutcome.Result != r.wanted {
		t.Errorf("the second dispatch: got outcome %+v, want %s", secondOutcome, r.wanted)
	}
}

// TestStreamsThatPauseAtRandomAreComplete sends calls to two servers that pause within their streams at random, and accept
// or turn away further calls: each stream must be complete, with each event once. Only a stream whose server breaks it off
// may end early.
func TestStreamsThatPauseAtRandomAreComplete(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	for play := range 60 {
		pauses := [2]time.Duration{time.Duration(random.IntN(60)) * time.Millisecond, time.Duration(random.IntN(60)) * time.Millisecond}
		turnsAway, resets := random.IntN(3) == 0, random.IntN(4) == 0
		respond := func(number int) func(*serverConnection, *http.Request) bool {
			return func(connection *serverConnection, inbound *http.Request) bool {
				last, _ := strconv.Atoi(inbound.Header.Get("Last-Event-Id"))
				if number == 1 && turnsAway {
					connection.writeText(responseText(503, "call", "full", "Seamloom-Not-Started: 1"))
					return true
				}
				connection.writeText(streamHead("call"))
				for id := last + 1; id <= eventCount; id++ {
					if id == last+2 || number == 1 && id == last+1 {
						time.Sleep(pauses[number])
						if number == 0 && resets {
							connection.reset()
							return false
						}
					}
					connection.writeText(chunk(event(id)))
				}
				connection.writeText("0\r\n\r\n")
				return true
			}
		}
		servers := []*fakeServer{newFakeServer(t, respond(0)), newFakeServer(t, respond(1))}
		executor := &scriptedExecutor{decide: func(_ int, outcome scheduler.Outcome) scheduler.Decision {
			decision := scheduler.Decision{Kind: scheduler.Generate, Server: servers[0].record, Deadline: time.Now().Add(5 * time.Second),
				StreamTimeout: 20 * time.Millisecond, Priority: -1}
			switch outcome.Result {
			case "":
			case scheduler.Stalled:
				decision.Server, decision.StreamTimeout = servers[1].record, 0
			case scheduler.Superseded, scheduler.NotStarted:
				if outcome.StalledEnded {
					return scheduler.Decision{Kind: scheduler.BreakStream}
				}
				decision.Kind, decision.StreamTimeout = scheduler.Continue, 0
			default:
				return finalDecision(outcome)
			}
			return decision
		}}
		got := newRouter(t, executor).send(t, "call", "body")
		whole := got.failure == nil && string(got.body) == joinedEvents(1, 2, 3, 4, 5, 6)
		broken := got.failure != nil && strings.HasPrefix(joinedEvents(1, 2, 3, 4, 5, 6), string(got.body))
		if !whole && !(resets && broken) {
			t.Fatalf("play %d, pauses %v, turned away %v, resets %v: got %+v, want events 1 to 6 once each", play, pauses, turnsAway, resets, got)
		}
	}
}
