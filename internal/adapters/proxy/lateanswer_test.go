package proxy

import (
	"net/http"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// lateAnswers returns the respond function of a server that answers a call with respond, and then sends that
// answer again in the place of the answer to the next request on the connection.
func lateAnswers(respond func(inbound *http.Request, earlier int) string) func(*serverConnection, *http.Request) bool {
	earlier := 0
	return func(connection *serverConnection, inbound *http.Request) bool {
		if connection.late != "" {
			connection.writeText(connection.late)
		}
		answer := respond(inbound, earlier)
		earlier++
		connection.late = answer
		connection.writeText(answer)
		return true
	}
}

// sendTwice returns a decide function that has a call dispatched to the server twice, as the given kinds, and then
// ends it.
func sendTwice(server func() membership.Server, first, second scheduler.DecisionKind) func(int, scheduler.Outcome) scheduler.Decision {
	return func(number int, outcome scheduler.Outcome) scheduler.Decision {
		if number > 1 {
			return finalDecision(outcome)
		}
		kind := []scheduler.DecisionKind{first, second}[number]
		return scheduler.Decision{Kind: kind, Server: server(), Deadline: time.Now().Add(5 * time.Second), Priority: -1}
	}
}

// TestLateAnswerIsNotTakenForASecondSendingOfTheCall guards against a refusal for a call that runs: a late copy of the
// answer to the first sending of an ID was taken for the answer to its second sending on the same connection.
func TestLateAnswerIsNotTakenForASecondSendingOfTheCall(t *testing.T) {
	for name, test := range map[string]struct {
		first scheduler.DecisionKind
		early string
	}{
		"the server was full":       {scheduler.Generate, responseText(503, "call", "full", "Seamloom-Not-Started: 1")},
		"too many requests":         {scheduler.Generate, responseText(429, "call", "", "Seamloom-Not-Started: 1")},
		"the server's own failure":  {scheduler.Generate, responseText(500, "call", "oops")},
		"a prefill before the run":  {scheduler.Prefill, responseText(200, "call", `{"handle":"3fa09c41b7d5"}`)},
		"a prefill was turned away": {scheduler.Prefill, responseText(503, "call", "full", "Seamloom-Not-Started: 1")},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, lateAnswers(func(_ *http.Request, earlier int) string {
				if earlier == 0 {
					return test.early
				}
				return responseText(200, "call", "the answer")
			}))
			executor := &scriptedExecutor{}
			executor.decide = sendTwice(func() membership.Server { return server.record }, test.first, scheduler.Generate)
			got := newRouter(t, executor).send(t, "call", "body")
			if got.status != 200 || string(got.body) != "the answer" {
				t.Errorf("got %+v after %d requests, want the answer to the second", got, server.count())
			}
		})
	}
}

// TestConnectionIsKeptForOtherCalls checks that a call that is sent twice costs one connection: the one that carried it
// first serves the calls that follow.
func TestConnectionIsKeptForOtherCalls(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	router := newRouter(t, executor)
	for number, id := range []string{"a", "a", "b", "c", "b", "c", "a", "b"} {
		if got := router.send(t, id, "body"); got.status != 200 {
			t.Fatalf("call %d: got %+v, want status 200", number, got)
		}
	}
	if got := server.connectionCount(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// TestLateAnswersAroundTheReleaseOfAHandle guards against the same fault around a release, which has no ID: a late
// answer of a call is not taken for the answer to the release, and a late answer to the release not for a call's.
func TestLateAnswersAroundTheReleaseOfAHandle(t *testing.T) {
	const lapsed = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	answer := func(inbound *http.Request) string {
		return responseText(200, inbound.Header.Get("Seamloom-Call"), "the answer")
	}
	for name, test := range map[string]struct {
		respond func(connection *serverConnection, inbound *http.Request) bool
		// result is that of the call after the release.
		result scheduler.Result
	}{
		"the release gets a copy of the call's answer": {result: scheduler.Complete,
			respond: func(connection *serverConnection, inbound *http.Request) bool {
				if inbound.Method == http.MethodDelete {
					connection.writeText(responseText(200, "first", "the answer"))
					connection.late = lapsed
					return true
				}
				connection.writeText(connection.late + answer(inbound))
				return true
			}},
		"the next call gets a copy of the release's answer": {result: scheduler.Malformed,
			respond: func(connection *serverConnection, inbound *http.Request) bool {
				if inbound.Method == http.MethodDelete {
					connection.writeText(lapsed)
					connection.late = lapsed
					return true
				}
				connection.writeText(connection.late + answer(inbound))
				return true
			}},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, test.respond)
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			router := newRouter(t, executor)
			if got := router.send(t, "first", "body"); got.status != 200 {
				t.Fatalf("the first call: got %+v, want status 200", got)
			}
			router.handler.releaseHandle(server.record, "3fa09c41b7d5")
			if got := router.send(t, "second", "body"); executor.last().Result != test.result {
				t.Errorf("the call after the release: got %+v and outcome %+v, want %s", got, executor.last(), test.result)
			}
		})
	}
}
