package dataplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/scheduler"
)

// scriptedExchange is an exchange that returns the given outcomes of dispatches in order and records
// the calls of its methods in actions.
type scriptedExchange struct {
	outcomes []scheduler.Outcome
	// canForwardFailure is the result of ForwardFailure.
	canForwardFailure bool
	actions           []string
	refusal           Refusal
	released          []scheduler.Source
	reason            scheduler.Reason
}

func (s *scriptedExchange) next(kind string) scheduler.Outcome {
	s.actions = append(s.actions, kind)
	outcome := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return outcome
}

func (s *scriptedExchange) Prefill(scheduler.Decision) scheduler.Outcome {
	return s.next("prefill")
}

func (s *scriptedExchange) Generate(*config.CallRoute, scheduler.Decision, func()) scheduler.Outcome {
	return s.next("generate")
}

func (s *scriptedExchange) ContinueStream(scheduler.Decision) scheduler.Outcome {
	return s.next("continue")
}

func (s *scriptedExchange) Refuse(refusal Refusal) {
	s.actions, s.refusal = append(s.actions, "refuse"), refusal
}

func (s *scriptedExchange) ForwardFailure() bool {
	s.actions = append(s.actions, "forward failure")
	return s.canForwardFailure
}

func (s *scriptedExchange) OnGiveUp(reason scheduler.Reason) { s.reason = reason }

func (s *scriptedExchange) Abort() { s.actions = append(s.actions, "abort") }

func (s *scriptedExchange) ReleaseHandle(source scheduler.Source) {
	s.released = append(s.released, source)
}

// newCalls returns the call service of a router, with one server for each of the given roles. The
// calls of its route "again" are idempotent, those of its route "once" are not.
func newCalls(t *testing.T, roles ...string) (*Calls, *osruntime.Runtime) {
	t.Helper()
	rt := osruntime.New(t.Context(), osruntime.NewClock())
	calls := NewCalls(rt, scheduler.New(scheduler.Options{
		Router:  "courier-1",
		Zone:    "north",
		Retries: scheduler.RetryAllowance{Ratio: 9, Slack: 1000, Window: time.Second},
	}), func([]membership.Server) {})
	configuration := config.Empty()
	configuration.Services = map[string]config.Service{"desk": {
		Name:        "desk",
		Connections: 300,
		Engine: config.Engine{
			Slots:             64,
			MemoryTokens:      300_000,
			TokenBytes:        18_000,
			LinkBitsPerSecond: 5e11,
			TokensPerChunk:    5,
			HandleLifetime:    5 * time.Second,
			Models:            []string{"m"},
		},
	}}
	configuration.Limits.BodyBytes = 7
	for name, idempotent := range map[string]bool{"once": false, "again": true} {
		configuration.Routes = append(configuration.Routes, config.Route{
			Name:  name,
			Match: config.Match{Host: "h", PathPrefix: "/" + name + "/"},
			Calls: &config.CallRoute{
				Shares:        []config.Share{{Service: "desk", Weight: 1}},
				Timeout:       3 * time.Second,
				LatencyTarget: 400 * time.Millisecond,
				MaxAttempts:   2,
				Idempotent:    idempotent,
			},
		})
	}
	calls.SetConfiguration(configuration, replication.Version{Epoch: 1, Number: 1})
	var servers []membership.Server
	for _, role := range roles {
		name := "stove-" + string(rune('a'+len(servers)))
		servers = append(servers, membership.Server{
			Name:    name,
			Address: name + ":1",
			Zone:    "north",
			Service: "desk",
			Role:    role,
			Slots:   64,
			Models:  []string{"m"},
		})
	}
	calls.SetRouters(1)
	calls.SetServers(rt.Now(), servers)
	return calls, rt
}

// newTestCall returns a call to a path, whose first segment names a route of newCalls.
func newTestCall(path string) *scheduler.Call {
	return &scheduler.Call{
		ID:           "id",
		Host:         "h",
		Path:         path,
		Model:        "m",
		PromptTokens: 100,
		OutputTokens: 10,
		Deadline:     time.Now().Add(2 * time.Second),
	}
}

// TestStatusIsNot503AfterAPossibleRun checks the final response for each outcome of a call. Status
// 503 states that the call has not run, so no response may have it if the call may have run.
func TestStatusIsNot503AfterAPossibleRun(t *testing.T) {
	for name, given := range map[string]struct {
		path              string
		outcomes          []scheduler.Outcome
		canForwardFailure bool
		status            int
		lastAction        string
	}{
		"no route": {"/none/", nil, false, 404, "refuse"},
		"all servers unreachable": {"/once/", []scheduler.Outcome{
			{Result: scheduler.Unreachable},
			{Result: scheduler.Unreachable},
			{Result: scheduler.Unreachable},
		}, false, 503, "refuse"},
		"timeout": {"/once/", []scheduler.Outcome{{Result: scheduler.TimedOut}}, false, 502, "refuse"},
		"timeout, then overload": {"/again/", []scheduler.Outcome{
			{Result: scheduler.TimedOut},
			{Result: scheduler.NotStarted, Status: 503},
		}, true, 502, "refuse"},
		"error response": {"/once/", []scheduler.Outcome{{Result: scheduler.ErrorResponse, Status: 500}}, true, 0, "forward failure"},
		"error response that can't be forwarded": {"/once/", []scheduler.Outcome{
			{Result: scheduler.ErrorResponse, Status: 503},
		}, false, 502, "refuse"},
		"interrupted stream":  {"/once/", []scheduler.Outcome{{Result: scheduler.Interrupted}}, false, 0, "abort"},
		"complete":            {"/once/", []scheduler.Outcome{{Result: scheduler.Complete}}, false, 0, "generate"},
		"client disconnected": {"/once/", []scheduler.Outcome{{Result: scheduler.ClientGone}}, false, 0, "generate"},
	} {
		t.Run(name, func(t *testing.T) {
			calls, _ := newCalls(t, "decode", "decode", "decode")
			exchange := &scriptedExchange{outcomes: given.outcomes, canForwardFailure: given.canForwardFailure}
			calls.Serve(newTestCall(given.path), exchange)
			if exchange.refusal.Status != given.status || exchange.actions[len(exchange.actions)-1] != given.lastAction {
				t.Fatalf("got actions %v and refusal %+v, want status %d and last action %q",
					exchange.actions, exchange.refusal, given.status, given.lastAction)
			}
			if status := exchange.refusal.Status; status == 503 && exchange.refusal.RetryAfter <= 0 {
				t.Fatal("got a refusal with status 503 without a time to retry")
			}
			if calls.callScheduler.InFlight() != 0 {
				t.Fatal("the call is still in flight after Serve")
			}
		})
	}
}

func TestHandleIsFreedWhenTheClientDisconnects(t *testing.T) {
	calls, _ := newCalls(t, "prefill", "decode")
	call := newTestCall("/once/")
	call.PromptTokens = 9000
	exchange := &scriptedExchange{outcomes: []scheduler.Outcome{{Result: scheduler.Complete, Handle: "h1"}, {Result: scheduler.ClientGone}}}
	calls.Serve(call, exchange)
	if len(exchange.actions) != 2 || len(exchange.released) != 1 ||
		exchange.released[0] != (scheduler.Source{Address: "stove-a:1", Handle: "h1"}) {
		t.Fatalf("got actions %v and released handles %v, want 2 actions and handle h1 released", exchange.actions, exchange.released)
	}
}

func TestReadyNeedsAConfigurationAndServers(t *testing.T) {
	calls, rt := newCalls(t)
	if calls.Ready() {
		t.Fatal("the router is ready without servers")
	}
	calls.SetServers(rt.Now(), []membership.Server{{Name: "stove-1", Address: "a:1"}})
	if !calls.Ready() || calls.Limits().BodyBytes != 7 {
		t.Fatal("with a configuration and servers, the router is not ready or has the wrong limits")
	}
	calls.Shutdown(30*time.Millisecond, func() {})
	if calls.Ready() || !calls.Draining() {
		t.Fatal("after Shutdown, the router is still ready or is not draining")
	}
	exchange := &scriptedExchange{}
	calls.Serve(newTestCall("/once/"), exchange)
	if exchange.refusal.Status != 503 || exchange.refusal.Cause != scheduler.Draining {
		t.Fatalf("got %+v, want status 503 with cause Draining", exchange.refusal)
	}
}

// TestACallBeforeAConfigurationIsRefused checks that a router without a configuration refuses a
// call with status 503, which states that the call has not run, and not with 404, which states
// that there is no route.
func TestACallBeforeAConfigurationIsRefused(t *testing.T) {
	rt := osruntime.New(t.Context(), osruntime.NewClock())
	calls := NewCalls(rt, scheduler.New(scheduler.Options{Router: "courier-1", Zone: "north"}), func([]membership.Server) {})
	exchange := &scriptedExchange{}
	calls.Serve(newTestCall("/once/"), exchange)
	if exchange.refusal.Status != 503 || exchange.refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want status 503 with a time to retry", exchange.refusal)
	}
}

// TestRouterThatWasNotReadyShutsDownAtOnce checks that a router that shuts down waits for load
// balancers only if a recent health check found it ready.
func TestRouterThatWasNotReadyShutsDownAtOnce(t *testing.T) {
	calls, rt := newCalls(t)
	const grace = time.Hour
	if wait := calls.noticeTime(grace); wait != 0 {
		t.Errorf("router that was never ready: got notice time %v, want 0", wait)
	}
	calls.SetServers(rt.Now(), []membership.Server{{Name: "stove-1", Address: "a:1"}})
	if !calls.Ready() {
		t.Fatal("the router is not ready with a configuration and servers")
	}
	if wait := calls.noticeTime(grace); wait != drainNoticeTime {
		t.Errorf("ready router: got notice time %v, want drainNoticeTime", wait)
	}
	past := rt.Now().Add(-healthCheckInterval - drainNoticeTime)
	calls.lastReady.Store(&past)
	if wait := calls.noticeTime(grace); wait > 0 {
		t.Errorf("router that was last ready long ago: got notice time %v, want 0", wait)
	}
}

// TestConcludeReturns502AfterAPossibleRun checks the invariant of conclude: if a call may have run, no
// response states that it has not run. The cases are a refusal, and an error response after a
// possible run at an earlier server.
func TestConcludeReturns502AfterAPossibleRun(t *testing.T) {
	exchange := &scriptedExchange{canForwardFailure: true}
	conclude(exchange, scheduler.Decision{Kind: scheduler.Refuse, Cause: scheduler.Saturated, RetryAfter: time.Second}, true, false)
	if exchange.refusal.Status != 502 || exchange.refusal.RetryAfter != 0 {
		t.Errorf("refusal after a possible run: got %+v, want status 502 without a time to retry", exchange.refusal)
	}
	exchange = &scriptedExchange{canForwardFailure: true}
	conclude(exchange, scheduler.Decision{Kind: scheduler.PassThrough}, true, true)
	if exchange.refusal.Status != 502 {
		t.Errorf("error response after a possible run at an earlier server: got %+v, actions %v, want status 502",
			exchange.refusal, exchange.actions)
	}
}
