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

// history drives one scheduler with random events and judges each decision by what a
// call's dispatches were and how they ended.
type history struct {
	test     *testing.T
	random   *rand.Rand
	calls    *Scheduler
	now      time.Time
	list     []membership.Server
	evacuees map[string]bool
	number   uint64
	open     []*followed
	log      []Decision
}

// followed is one call of a history.
type followed struct {
	call     *Call
	state    *CallState
	decision Decision
	route    *config.CallRoute
	// arrivals are dispatches that may have reached a server, taken the reads that a
	// server took up, runs those that may have run.
	arrivals, taken, runs int
	passed                bool
	handles               map[string]int
	steps                 int
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{test: t, random: rand.New(rand.NewPCG(seed, 11)), now: noon, list: servers(9), evacuees: map[string]bool{}, number: 1,
		calls: New(Options{Router: "courier-1", Zone: "north", Retries: RetryAllowance{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}})}
	h.calls.SetRouterCount(3)
	h.configure()
	h.calls.SetServers(h.now, h.list)
	return h
}

func (h *history) configure() {
	h.calls.SetRouteTable(Compile(plan(func(configuration *config.Configuration) {
		for zone := range h.evacuees {
			configuration.Evacuations = map[string]config.Evacuation{zone: {}}
		}
		configuration.Routes[0].Calls.MaxAttempts = 3
		configuration.Routes = append(configuration.Routes, config.Route{Name: "plain", Match: config.Match{Host: "plain.example", PathPrefix: "/"},
			Calls: &config.CallRoute{Shares: []config.Share{{Service: "desk", Weight: 3}, {Service: "other", Weight: 1}}, Timeout: 5 * time.Second, MaxAttempts: 3}},
			config.Route{Name: "again", Match: config.Match{Host: "again.example", PathPrefix: "/"},
				Calls: &config.CallRoute{Shares: []config.Share{{Service: "desk", Weight: 1}}, Timeout: 5 * time.Second, MaxAttempts: 2, Idempotent: true}})
	}), 1, h.number))
	h.number++
}

func (h *history) step(number int) {
	h.now = h.now.Add(time.Duration(h.random.IntN(30)) * time.Millisecond)
	switch draw := h.random.IntN(100); {
	case draw < 35 && len(h.open) < 60:
		h.arrive(number)
	case draw < 90 && len(h.open) > 0:
		position := h.random.IntN(len(h.open))
		h.end(h.open[position])
	case draw < 93:
		h.relist()
	case draw < 96:
		h.report()
	case draw < 97:
		if len(h.evacuees) > 0 {
			h.evacuees = map[string]bool{}
		} else {
			h.evacuees = map[string]bool{[]string{"north", "south", "west"}[h.random.IntN(3)]: true}
		}
		h.configure()
	}
}

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
	state, decision := h.calls.Arrive(h.now, call)
	f := &followed{call: call, state: state, handles: map[string]int{}}
	if state != nil {
		f.route = state.Route().Calls
		h.open = append(h.open, f)
	} else if decision.Kind != Refuse {
		h.test.Fatalf("no ticket with %+v", decision)
	}
	h.judge(f, decision)
}

// judge checks a decision when it is made.
func (h *history) judge(f *followed, decision Decision) {
	h.log = append(h.log, decision)
	f.decision = decision
	f.steps++
	fail := func(format string, arguments ...any) {
		h.test.Helper()
		h.test.Fatalf("%s: %s: %+v", f.call.ID, fmt.Sprintf(format, arguments...), decision)
	}
	for _, source := range decision.Release {
		f.handles[source.Handle]--
		if f.handles[source.Handle] < 0 {
			fail("given back twice")
		}
	}
	if f.steps > 20 {
		fail("no end")
	}
	switch decision.Kind {
	case Prefill, Generate:
		server := decision.Server
		if server.Leaving || h.evacuees[server.Zone] || server.Service != f.state.service.Name {
			fail("a server that is not open to the call")
		}
		if (decision.Kind == Prefill) != (server.Part == prefill) {
			fail("the wrong part")
		}
		if f.arrivals >= f.route.MaxAttempts {
			fail("more tries than %d", f.route.MaxAttempts)
		}
		idempotent := f.route.Idempotent || f.route.Resumable
		if f.runs > 0 && !idempotent {
			fail("it may have run")
		}
		if f.passed && !f.route.Resumable {
			fail("a stream that may not go on elsewhere")
		}
		if decision.Deadline.After(f.call.Deadline) || !h.now.Before(decision.Deadline) {
			fail("the limit")
		}
		if decision.Source != nil {
			if f.handles[decision.Source.Handle] != 1 {
				fail("memory that there is not")
			}
		}
		return
	case Refuse:
		if decision.Cause.NeverRan() == (f.runs > 0) {
			fail("a promise after %d runs", f.runs)
		}
		if left := f.call.Deadline.Sub(h.now); left > 0 && decision.RetryAfter > left/3 {
			fail("to come back later than an origin waits")
		}
		if f.passed {
			fail("a word of our own behind an answer that began")
		}
	case BreakStream:
		if !f.passed {
			fail("nothing to break")
		}
	}
	for handle, left := range f.handles {
		if left != 0 {
			fail("memory %s is left over", handle)
		}
	}
	for position, other := range h.open {
		if other == f {
			h.open = append(h.open[:position], h.open[position+1:]...)
			break
		}
	}
}

// end ends a call's dispatch in a random way.
func (h *history) end(f *followed) {
	decision := f.decision
	outcome := Outcome{Result: Complete}
	kinds := []Result{
		Complete, Complete, Complete, Complete, Unreachable, NotStarted,
		Misdirected, TimedOut, Malformed, ErrorResponse, Interrupted, ClientGone,
	}
	outcome.Result = kinds[h.random.IntN(len(kinds))]
	if decision.Kind == Prefill && outcome.Result == Interrupted {
		outcome.Result = TimedOut
	}
	if h.random.IntN(4) == 0 {
		outcome.Load = &ResponseLoad{Running: h.random.IntN(70), Waiting: h.random.IntN(3), Slots: 64}
	}
	if h.random.IntN(20) == 0 {
		outcome.Warming = time.Second
	}
	if outcome.Result == ErrorResponse {
		outcome.Status = []int{400, 500, 504}[h.random.IntN(3)]
	}
	if outcome.Result != Unreachable && (decision.Kind == Generate || outcome.Result != Complete || f.taken > 0) {
		f.arrivals++
	}
	if decision.Kind == Prefill {
		if outcome.Result == Complete {
			f.taken++
			outcome.Handle = fmt.Sprintf("%s-%d", f.call.ID, f.taken)
			f.handles[outcome.Handle] = 1
		}
	} else {
		outcome.FirstByte = h.now
		switch outcome.Result {
		case Unreachable, NotStarted, Misdirected:
		case Interrupted:
			f.passed = true
			f.runs++
		default:
			f.runs++
		}
		if decision.Source != nil {
			switch outcome.Result {
			case Unreachable, NotStarted, Misdirected, ClientGone:
				// It is still there, or may be: it is used or given back.
			default:
				f.handles[decision.Source.Handle]--
			}
		}
	}
	next := h.calls.Ended(h.now, f.state, outcome)
	if outcome.Result == ClientGone || outcome.Result == Complete && decision.Kind == Generate {
		if next.Kind != Done {
			h.test.Fatalf("%s: %s and then %+v", f.call.ID, outcome.Result, next)
		}
	}
	h.judge(f, next)
}

func (h *history) relist() {
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
	h.calls.SetServers(h.now, next)
}

func (h *history) report() {
	var loads []Load
	for _, server := range h.list {
		loads = append(loads, Load{Server: server.Name, Role: server.Part, Waiting: h.random.IntN(3), Running: h.random.IntN(66),
			MemoryUsed: h.random.IntN(300_000), MemoryTotal: 295_740, Age: 300 * time.Millisecond})
	}
	h.calls.SetLoads(h.now, loads)
}

func (h *history) play(steps int) {
	for number := range steps {
		h.step(number)
	}
	for len(h.open) > 0 {
		h.end(h.open[0])
	}
	if left := h.calls.InFlight(); left != 0 {
		h.test.Fatalf("%d calls in flight at the end", left)
	}
	for _, b := range h.calls.snapshot.Load().all {
		if b.prefilling.Load() != 0 || b.running.Load() != 0 || b.prefillTokens.Load() != 0 || b.serverState.memory.Load() != 0 {
			h.test.Fatalf("%s keeps work on its account", b.server.Name)
		}
	}
}

// TestHistories plays many random histories, each twice.
func TestHistories(t *testing.T) {
	seeds := uint64(100)
	if testing.Short() {
		seeds = 30
	}
	for seed := range seeds {
		first, second := newHistory(t, seed), newHistory(t, seed)
		first.play(1500)
		second.play(1500)
		if !reflect.DeepEqual(first.log, second.log) {
			t.Fatalf("seed %d: the same events gave other decisions", seed)
		}
	}
}
