package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/outlier"
)

// TestOutliersAreLeft wants no call at a server that failed other routers, until they say
// so no more.
func TestOutliersAreLeft(t *testing.T) {
	calls := opened(9)
	state, decision := calls.Arrive(noon, chatCall("first"))
	bad := decision.Server.Name
	calls.Ended(noon, state, Outcome{Result: ClientGone})
	calls.SetOutliers(noon, outlier.Advice{Ejected: []string{bad}})
	count := func(now time.Time) int {
		sent := 0
		for number := range 40 {
			now = now.Add(20 * time.Millisecond)
			call := chatCall(fmt.Sprint(now.UnixNano(), number))
			call.Segments = call.Segments[2:]
			callState, decision := calls.Arrive(now, call)
			if decision.Server.Name == bad {
				sent++
			}
			calls.Ended(now, callState, Outcome{Result: Complete, FirstByte: now})
		}
		return sent
	}
	if sent := count(noon); sent != 0 {
		t.Errorf("%d calls at an outlier", sent)
	}
	calls.SetOutliers(noon.Add(time.Second), outlier.Advice{})
	if sent := count(noon.Add(time.Second)); sent == 0 {
		t.Error("no calls at a server that is no outlier any more")
	}
	calls.SetOutliers(noon.Add(2*time.Second), outlier.Advice{Ejected: []string{bad}})
	if sent := count(noon.Add(2*time.Second + adviceTTL)); sent == 0 {
		t.Error("old advice still holds")
	}
}

// TestOwnSuccessOutweighsAdvice has a router that a server serves well go on using it.
func TestOwnSuccessOutweighsAdvice(t *testing.T) {
	calls := opened(9)
	b := calls.snapshot.Load().byName["stove-5"]
	b.health.succeed(noon)
	calls.SetOutliers(noon, outlier.Advice{Ejected: []string{"stove-5"}})
	if b.outlier(noon.Add(ownSuccessSpan)) {
		t.Error("a server that serves this router well is an outlier")
	}
	if !b.outlier(noon.Add(ownSuccessSpan + 1)) {
		t.Error("an old success outweighs the others' word")
	}
}

// TestFailingServersAreReported has a server that fails calls reported once, also when the call
// is not idempotent, and one that turns calls away not at all.
func TestFailingServersAreReported(t *testing.T) {
	calls := opened(9)
	state, decision := calls.Arrive(noon, chatCall("a"))
	failing := decision.Server.Name
	decision = calls.Ended(noon, state, Outcome{Result: ErrorResponse, Status: 500, FirstByte: noon})
	if decision.Kind != PassThrough {
		t.Fatalf("%+v", decision)
	}
	if to := calls.TakeFailures(); !slices.Equal(to, []string{failing}) {
		t.Errorf("told of %v", to)
	}
	state, decision = calls.Arrive(noon, chatCall("b"))
	if decision.Server.Name == failing {
		t.Error("the next call goes to the server that has just failed one")
	}
	calls.Ended(noon, state, Outcome{Result: NotStarted, Status: 503})
	if tl := calls.TakeFailures(); len(tl) != 0 {
		t.Errorf("told of %v", tl)
	}
}

// TestFewRoutersUseServersOnTrial has a server on trial used by some routers only.
func TestFewRoutersUseServersOnTrial(t *testing.T) {
	trying := 0
	for number := range 90 {
		calls := New(Options{Router: fmt.Sprint("courier-", number), Zone: "north"})
		calls.SetRouterCount(90)
		calls.SetRouteTable(Compile(plan(nil), 1, 1))
		calls.SetServers(noon, servers(9))
		calls.SetOutliers(noon, outlier.Advice{Trial: []string{"stove-5"}})
		if !calls.snapshot.Load().byName["stove-5"].outlier(noon) {
			trying++
		}
	}
	if trying < 3 || trying > 25 {
		t.Errorf("%d of 90 routers try", trying)
	}
}

// TestReasonsOfGivingUp wants the reason why a call is not retried.
func TestReasonsOfGivingUp(t *testing.T) {
	for want, given := range map[Reason]struct {
		call     func(string) *Call
		outcomes []Outcome
	}{
		MayHaveRun:   {chatCall, []Outcome{{Result: TimedOut}}},
		AttemptsUsed: {chatCall, []Outcome{{Result: NotStarted, Status: 503}}},
		BudgetUsed:   {func(id string) *Call { return longCall(id, 77) }, []Outcome{{Result: TimedOut}}},
	} {
		calls := opened(9)
		now := noon
		state, decision := calls.Arrive(now, given.call("a"))
		for _, outcome := range given.outcomes {
			decision = calls.Ended(now, state, outcome)
		}
		if decision.Reason != want {
			t.Errorf("%q, want %q: %+v", decision.Reason, want, decision)
		}
	}
	calls := opened(9)
	callState, _ := calls.Arrive(noon, longCall("a", 77))
	if decision := calls.Ended(noon.Add(time.Minute), callState, Outcome{Result: TimedOut}); decision.Reason != DeadlineReached {
		t.Errorf("%+v", decision)
	}
	if decision := calls.Ended(noon, callState, Outcome{Result: TimedOut}); decision.Kind != Done {
		t.Errorf("after its end: %+v", decision)
	}
}
