package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/outlier"
)

// TestOutliersAreAvoided checks that a server which fails other routers' requests gets no calls, until the
// advice changes or expires.
func TestOutliersAreAvoided(t *testing.T) {
	sched := newTestScheduler(9)
	state, decision := sched.Arrive(noon, chatCall("first"))
	outlierName := decision.Server.Name
	sched.Ended(noon, state, Outcome{Result: ClientGone})
	sched.SetOutliers(noon, outlier.Advice{Ejected: []string{outlierName}})
	count := func(now time.Time) int {
		sent := 0
		for number := range 40 {
			now = now.Add(20 * time.Millisecond)
			call := chatCall(fmt.Sprint(now.UnixNano(), number))
			// Without the shared segments, rendezvous hashing spreads the calls over the servers.
			call.Segments = call.Segments[2:]
			callState, decision := sched.Arrive(now, call)
			if decision.Server.Name == outlierName {
				sent++
			}
			sched.Ended(now, callState, Outcome{Result: Complete, FirstByte: now})
		}
		return sent
	}
	if sent := count(noon); sent != 0 {
		t.Errorf("got %d calls at an outlier, want none", sent)
	}
	sched.SetOutliers(noon.Add(time.Second), outlier.Advice{})
	if sent := count(noon.Add(time.Second)); sent == 0 {
		t.Error("a server that is no longer an outlier got no calls")
	}
	sched.SetOutliers(noon.Add(2*time.Second), outlier.Advice{Ejected: []string{outlierName}})
	if sent := count(noon.Add(2*time.Second + adviceTTL)); sent == 0 {
		t.Error("the server got no calls though the advice has expired")
	}
}

// TestOwnSuccessOverridesAdvice checks that a router goes on using a server that has just served it
// successfully.
func TestOwnSuccessOverridesAdvice(t *testing.T) {
	sched := newTestScheduler(9)
	b := sched.snapshot.Load().byName["stove-5"]
	b.health.succeed(noon)
	sched.SetOutliers(noon, outlier.Advice{Ejected: []string{"stove-5"}})
	if b.outlier(noon.Add(ownSuccessSpan)) {
		t.Error("a server counts as an outlier in spite of a recent success")
	}
	if !b.outlier(noon.Add(ownSuccessSpan + 1)) {
		t.Error("an old success overrides the advice")
	}
}

// TestFailingServersAreReported checks that a server that fails a call is reported once, even if the call is
// not idempotent, and that a server that rejects a call is not reported.
func TestFailingServersAreReported(t *testing.T) {
	sched := newTestScheduler(9)
	state, decision := sched.Arrive(noon, chatCall("a"))
	failing := decision.Server.Name
	decision = sched.Ended(noon, state, Outcome{Result: ErrorResponse, Status: 500, FirstByte: noon})
	if decision.Kind != PassThrough {
		t.Fatalf("got %+v, want the error response to be passed through", decision)
	}
	if reported := sched.TakeFailures(); !slices.Equal(reported, []string{failing}) {
		t.Errorf("got failures of %v, want %s only", reported, failing)
	}
	state, decision = sched.Arrive(noon, chatCall("b"))
	if decision.Server.Name == failing {
		t.Error("the next call goes to the server that has just failed a call")
	}
	sched.Ended(noon, state, Outcome{Result: NotStarted, Status: 503})
	if reported := sched.TakeFailures(); len(reported) != 0 {
		t.Errorf("got failures of %v, want none", reported)
	}
}

// TestFewRoutersUseServersOnTrial checks that only a small part of the routers uses a server on trial.
func TestFewRoutersUseServersOnTrial(t *testing.T) {
	using := 0
	for number := range 90 {
		sched := New(Options{Router: fmt.Sprint("courier-", number), Zone: "north"})
		sched.SetRouterCount(90)
		sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
		sched.SetServers(noon, servers(9))
		sched.SetOutliers(noon, outlier.Advice{Trial: []string{"stove-5"}})
		if !sched.snapshot.Load().byName["stove-5"].outlier(noon) {
			using++
		}
	}
	if using < 3 || using > 25 {
		t.Errorf("got %d of 90 routers that use the server, want 3 to 25", using)
	}
}

// TestReasonsForNotRetrying checks the field Reason of decisions not to retry a call.
func TestReasonsForNotRetrying(t *testing.T) {
	for want, given := range map[Reason]struct {
		call     func(string) *Call
		outcomes []Outcome
	}{
		MayHaveRun:   {chatCall, []Outcome{{Result: TimedOut}}},
		AttemptsUsed: {chatCall, []Outcome{{Result: NotStarted, Status: 503}}},
		BudgetUsed:   {func(id string) *Call { return longCall(id, 77) }, []Outcome{{Result: TimedOut}}},
	} {
		sched := newTestScheduler(9)
		now := noon
		state, decision := sched.Arrive(now, given.call("a"))
		for _, outcome := range given.outcomes {
			decision = sched.Ended(now, state, outcome)
		}
		if decision.Reason != want {
			t.Errorf("got reason %q, want %q: %+v", decision.Reason, want, decision)
		}
	}
	sched := newTestScheduler(9)
	callState, _ := sched.Arrive(noon, longCall("a", 77))
	if decision := sched.Ended(noon.Add(time.Minute), callState, Outcome{Result: TimedOut}); decision.Reason != DeadlineReached {
		t.Errorf("got %+v after the deadline, want the reason %s", decision, DeadlineReached)
	}
	if decision := sched.Ended(noon, callState, Outcome{Result: TimedOut}); decision.Kind != Done {
		t.Errorf("got %+v for an ended call, want done", decision)
	}
}
