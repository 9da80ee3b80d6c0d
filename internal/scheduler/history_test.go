package scheduler

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// history drives one scheduler with random events, and checks each decision against the previous
// dispatches of the call and their outcomes.
type history struct {
	test                *testing.T
	random              *rand.Rand
	sched               *Scheduler
	now                 time.Time
	list                []membership.Server
	evacuatedZones      map[string]bool
	configurationNumber uint64
	openCalls           []*trackedCall
	decisions           []Decision
}

// trackedCall is one call of a history.
type trackedCall struct {
	call     *Call
	state    *CallState
	decision Decision
	route    *config.CallRoute
	// attempts is the number of dispatches that count as attempts. prefills is the number of
	// completed prefills. runs is the number of runs that a server may have begun.
	attempts, prefills, runs int
	streamBegun              bool
	// stalled is set while the call has a stalled stream that is not its dispatch in flight.
	stalled bool
	// handles maps the handle of each KV cache to 1 until the cache is used or released, and to 0 afterwards.
	handles map[string]int
	// decisionCount is the number of decisions on the call.
	decisionCount int
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{test: t, random: rand.New(rand.NewPCG(seed, 11)), now: noon, list: servers(9),
		evacuatedZones: map[string]bool{}, configurationNumber: 1,
		sched: New(Options{Router: "courier-1", Zone: "north", Retries: RetryAllowance{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}})}
	h.sched.SetRouterCount(3)
	h.configure()
	h.sched.SetServers(h.now, h.list)
	return h
}

// configure puts a new version of the configuration in force.
func (h *history) configure() {
	h.sched.SetRouteTable(Compile(testConfiguration(func(configuration *config.Configuration) {
		for zone := range h.evacuatedZones {
			configuration.Evacuations = map[string]config.Evacuation{zone: {}}
		}
		configuration.Routes[0].Calls.MaxAttempts = 3
		configuration.Routes = append(configuration.Routes,
			config.Route{Name: "plain", Match: config.Match{Host: "plain.example", PathPrefix: "/"},
				Calls: &config.CallRoute{Shares: []config.Share{{Service: "desk", Weight: 3}, {Service: "other", Weight: 1}},
					Timeout: 5 * time.Second, MaxAttempts: 3}},
			config.Route{Name: "again", Match: config.Match{Host: "again.example", PathPrefix: "/"},
				Calls: &config.CallRoute{Shares: []config.Share{{Service: "desk", Weight: 1}},
					Timeout: 5 * time.Second, MaxAttempts: 2, Idempotent: true}})
	}), 1, h.configurationNumber))
	h.configurationNumber++
}

// step lets some time pass and causes at most one random event.
func (h *history) step(number int) {
	h.now = h.now.Add(time.Duration(h.random.IntN(30)) * time.Millisecond)
	switch draw := h.random.IntN(100); {
	case draw < 35 && len(h.openCalls) < 60:
		h.arrive(number)
	case draw < 90 && len(h.openCalls) > 0:
		position := h.random.IntN(len(h.openCalls))
		h.end(h.openCalls[position])
	case draw < 93:
		h.changeServers()
	case draw < 96:
		h.report()
	case draw < 97:
		if len(h.evacuatedZones) > 0 {
			h.evacuatedZones = map[string]bool{}
		} else {
			h.evacuatedZones = map[string]bool{[]string{"north", "south", "west"}[h.random.IntN(3)]: true}
		}
		h.configure()
	}
}

// arrive lets a random call arrive at the scheduler.
func (h *history) arrive(number int) {
	id := fmt.Sprintf("call-%d", number)
	var call *Call
	switch h.random.IntN(4) {
	case 0:
		call = chatCall(id)
	case 1:
		call = longCall(id, uint64(h.random.IntN(20)))
	default:
		call = longCall(id, uint64(h.random.IntN(20)))
		call.Host = []string{"plain.example", "again.example"}[h.random.IntN(2)]
	}
	call.Deadline = h.now.Add(time.Duration(100+h.random.IntN(4000)) * time.Millisecond)
	state, decision := h.sched.Arrive(h.now, call)
	tracked := &trackedCall{call: call, state: state, handles: map[string]int{}}
	if state != nil {
		tracked.route = state.Route().Calls
		h.openCalls = append(h.openCalls, tracked)
	} else if decision.Kind != Refuse {
		h.test.Fatalf("got no state with the decision %+v, want a refusal", decision)
	}
	h.check(tracked, decision)
}

// check records and checks a decision.
func (h *history) check(tracked *trackedCall, decision Decision) {
	h.decisions = append(h.decisions, decision)
	tracked.decision = decision
	tracked.decisionCount++
	fail := func(format string, arguments ...any) {
		h.test.Helper()
		h.test.Fatalf("%s: %s: %+v", tracked.call.ID, fmt.Sprintf(format, arguments...), decision)
	}
	for _, source := range decision.Release {
		tracked.handles[source.Handle]--
		if tracked.handles[source.Handle] < 0 {
			fail("a KV cache is released twice or after its use")
		}
	}
	if tracked.decisionCount > 20 {
		fail("more than 20 decisions")
	}
	switch decision.Kind {
	case Prefill, Generate:
		server := decision.Server
		if server.Leaving || h.evacuatedZones[server.Zone] || server.Service != tracked.state.service.Name {
			fail("the server is leaving, in an evacuated zone or of another service")
		}
		if (decision.Kind == Prefill) != (server.Role == prefill) {
			fail("the server has the wrong role")
		}
		if tracked.attempts >= tracked.route.MaxAttempts {
			fail("more attempts than %d", tracked.route.MaxAttempts)
		}
		idempotent := tracked.route.Idempotent || tracked.route.Resumable
		if tracked.runs > 0 && !idempotent {
			fail("the call may have run and is not idempotent")
		}
		if tracked.streamBegun && !tracked.route.Resumable {
			fail("the stream has begun and can't be resumed")
		}
		if decision.Deadline.After(tracked.call.Deadline) || !h.now.Before(decision.Deadline) {
			fail("the deadline has passed or is later than the call's")
		}
		if decision.Source != nil {
			if tracked.handles[decision.Source.Handle] != 1 {
				fail("the KV cache was used or released before")
			}
		}
		return
	case Continue:
		if !tracked.stalled {
			fail("no stream has stalled")
		}
		// The stalled dispatch is in flight again: it counts as an attempt when it ends.
		tracked.stalled = false
		tracked.attempts--
		return
	case Done:
	default:
		if tracked.stalled {
			fail("the call is given up while its stalled stream may go on")
		}
	}
	switch decision.Kind {
	case Refuse:
		if decision.Cause.NeverRan() == (tracked.runs > 0) {
			fail("the cause doesn't fit %d possible runs", tracked.runs)
		}
		if left := tracked.call.Deadline.Sub(h.now); left > 0 && decision.RetryAfter > left/3 {
			fail("RetryAfter is longer than a third of the time until the call's deadline")
		}
		if tracked.streamBegun {
			fail("the router responds though part of an answer was forwarded")
		}
	case BreakStream:
		if !tracked.streamBegun {
			fail("no stream has begun")
		}
	}
	for handle, left := range tracked.handles {
		if left != 0 {
			fail("KV cache %s was not released", handle)
		}
	}
	for position, other := range h.openCalls {
		if other == tracked {
			h.openCalls = append(h.openCalls[:position], h.openCalls[position+1:]...)
			break
		}
	}
}

// end ends a call's dispatch in a random way.
func (h *history) end(tracked *trackedCall) {
	decision := tracked.decision
	outcome := Outcome{Result: Complete}
	kinds := []Result{
		Complete, Complete, Complete, Complete, Unreachable, NotStarted,
		Misdirected, TimedOut, Malformed, ErrorResponse, Interrupted, ClientGone,
	}
	if decision.Kind == Continue {
		kinds = []Result{Complete, Interrupted, ClientGone}
	}
	outcome.Result = kinds[h.random.IntN(len(kinds))]
	if decision.Kind == Prefill && outcome.Result == Interrupted {
		outcome.Result = TimedOut
	}
	h.stall(tracked, &outcome)
	if h.random.IntN(4) == 0 {
		outcome.Load = &ResponseLoad{Running: h.random.IntN(70), Waiting: h.random.IntN(3), Slots: 64}
	}
	if h.random.IntN(20) == 0 {
		outcome.Warming = time.Second
	}
	if outcome.Result == ErrorResponse {
		outcome.Status = []int{400, 500, 504}[h.random.IntN(3)]
	}
	// Every dispatch that reached a server is an attempt, except the first completed prefill.
	if outcome.Result != Unreachable && (decision.Kind != Prefill || outcome.Result != Complete || tracked.prefills > 0) {
		tracked.attempts++
	}
	if decision.Kind == Prefill {
		if outcome.Result == Complete {
			tracked.prefills++
			outcome.Handle = fmt.Sprintf("%s-%d", tracked.call.ID, tracked.prefills)
			tracked.handles[outcome.Handle] = 1
		}
	} else {
		outcome.FirstByte = h.now
		switch outcome.Result {
		case Unreachable, NotStarted, Misdirected:
		case Interrupted, Stalled:
			tracked.streamBegun = true
			tracked.runs++
		default:
			tracked.runs++
		}
		if decision.Source != nil {
			switch outcome.Result {
			case Unreachable, NotStarted, Misdirected, Superseded, ClientGone:
				// The server may still have the KV cache, which has to be used or released.
			default:
				tracked.handles[decision.Source.Handle]--
			}
		}
	}
	next := h.sched.Ended(h.now, tracked.state, outcome)
	if outcome.Result == Superseded && next.Kind != Continue {
		h.test.Fatalf("%s: got %+v after its stalled stream went on, want to continue it", tracked.call.ID, next)
	}
	if outcome.Result == ClientGone || outcome.Result == Complete && decision.Kind != Prefill {
		if next.Kind != Done {
			h.test.Fatalf("%s: got %+v after the result %s, want done", tracked.call.ID, next, outcome.Result)
		}
	}
	h.check(tracked, next)
}

// stall lets streams stall, and stalled streams go on, break off or be taken over, at random.
func (h *history) stall(tracked *trackedCall, outcome *Outcome) {
	decision := tracked.decision
	if tracked.stalled {
		switch draw := h.random.IntN(4); {
		case draw == 0:
			outcome.Result = Superseded
			return
		case draw == 1:
			outcome.StalledEnded, tracked.stalled = true, false
		case decision.Kind == Generate && (outcome.Result == Complete || outcome.Result == Interrupted):
			h.sched.Began(h.now, tracked.state)
			tracked.stalled = false
		}
	}
	if decision.Kind != Prefill && decision.StreamTimeout > 0 && !tracked.stalled && h.random.IntN(3) == 0 {
		outcome.Result, outcome.StalledEnded, tracked.stalled = Stalled, false, true
	}
}

// changeServers changes the list of servers at random.
func (h *history) changeServers() {
	next := append([]membership.Server(nil), h.list...)
	position := h.random.IntN(len(next))
	switch h.random.IntN(4) {
	case 0:
		next[position].Leaving = true
	case 1:
		next = append(next[:position], next[position+1:]...)
	case 2:
		next[position].Warming = time.Second
	default:
		next = servers(9)
	}
	if len(next) < 4 {
		next = servers(9)
	}
	h.list = next
	h.sched.SetServers(h.now, next)
}

// report sends random load reports.
func (h *history) report() {
	var loads []Load
	for _, server := range h.list {
		loads = append(loads, Load{Server: server.Name, Role: server.Role, Waiting: h.random.IntN(3), Running: h.random.IntN(66),
			MemoryUsed: h.random.IntN(300_000), MemoryTotal: 295_740, Age: 300 * time.Millisecond})
	}
	h.sched.SetLoads(h.now, loads)
}

// play causes random events, ends all calls and checks that the scheduler's counters are zero.
func (h *history) play(steps int) {
	for number := range steps {
		h.step(number)
	}
	for len(h.openCalls) > 0 {
		h.end(h.openCalls[0])
	}
	if left := h.sched.InFlight(); left != 0 {
		h.test.Fatalf("got %d calls in flight at the end, want none", left)
	}
	for _, b := range h.sched.snapshot.Load().all {
		if b.prefilling.Load() != 0 || b.running.Load() != 0 || b.prefillTokens.Load() != 0 || b.serverState.memory.Load() != 0 {
			h.test.Fatalf("%s still has work counted at the end", b.server.Name)
		}
	}
}

// TestHistories checks the decisions of many random histories, and that the same events give the same
// decisions.
func TestHistories(t *testing.T) {
	seeds := uint64(100)
	if testing.Short() {
		seeds = 30
	}
	continued := 0
	for seed := range seeds {
		first, second := newHistory(t, seed), newHistory(t, seed)
		first.play(1500)
		second.play(1500)
		if !reflect.DeepEqual(first.decisions, second.decisions) {
			t.Fatalf("seed %d: the same events gave different decisions", seed)
		}
		for _, decision := range first.decisions {
			if decision.Kind == Continue {
				continued++
			}
		}
	}
	if continued < 100 {
		t.Errorf("%d stalled streams went on, want 100 at least for a meaningful test", continued)
	}
}
