package auction

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

var startTime = time.Unix(2_000_000, 0)

// newTestDispatcher returns a dispatcher with two prefill servers, two decode servers and a
// lease.
func newTestDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	market := NewMarket("north", false)
	market.SetServers([]membership.Server{
		{Name: "p1", Address: "p1", Zone: "north"},
		{Name: "p2", Address: "p2", Zone: "south"},
		{Name: "d1", Address: "d1", Zone: "north"},
		{Name: "d2", Address: "d2", Zone: "south"},
	})
	dispatcher := NewDispatcher(market, "north", 100)
	reportLoads(dispatcher, startTime)
	configure(t, dispatcher, 1, `{"services":{"chat":{"tries":3}},"routes":{"all":{"to":{}}}}`)
	dispatcher.ExtendLease(startTime.Add(4*time.Second), 1, 1)
	return dispatcher
}

func reportLoads(dispatcher *Dispatcher, now time.Time) {
	for _, name := range []string{"p1", "p2"} {
		dispatcher.market.Report(now, prefillLoad(name, time.Hour, 8))
	}
	for _, name := range []string{"d1", "d2"} {
		dispatcher.market.Report(now, decodeLoad(name, 16, 8*time.Millisecond))
	}
}

func prefillLoad(name string, age time.Duration, capacity int) Load {
	return Load{
		Server:          name,
		Role:            Prefill,
		Age:             age,
		PrefillRate:     20_000,
		PrefillCapacity: capacity,
		LinkRate:        400_000,
	}
}

func decodeLoad(name string, slots int, chunkTime time.Duration) Load {
	return Load{
		Server:      name,
		Role:        Decode,
		Age:         time.Hour,
		DecodeSlots: slots,
		ChunkTime:   chunkTime,
		MemoryFree:  100_000,
		LinkRate:    400_000,
	}
}

func configure(t *testing.T, dispatcher *Dispatcher, number uint64, text string) bool {
	t.Helper()
	configuration, err := config.Check([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return dispatcher.SetRouteTable(Compile(configuration, 1, number))
}

func arrive(dispatcher *Dispatcher, now time.Time, id string, idempotent bool) []Decision {
	return dispatcher.Arrive(now, &Request{ID: id, Service: "chat", Idempotent: idempotent, PromptTokens: 500, Chunks: 3})
}

// find returns the first decision of the given kind, or nil.
func find(decisions []Decision, kind DecisionKind) *Decision {
	for position := range decisions {
		if decisions[position].Kind == kind {
			return &decisions[position]
		}
	}
	return nil
}

// addRetryCredit fills the retry budget.
func addRetryCredit(dispatcher *Dispatcher) {
	for range 20 {
		dispatcher.budget.RecordFirst()
	}
}

func TestNonIdempotentRequestIsRetriedOnlyIfNotStarted(t *testing.T) {
	for outcome, want := range map[Outcome]FinalStatus{OutcomeUnknown: Unknown, OutcomeFailed: Failed} {
		dispatcher := newTestDispatcher(t)
		addRetryCredit(dispatcher)
		if find(arrive(dispatcher, startTime, "one", false), ClaimRequest) == nil {
			t.Fatal("a request that is not idempotent was not claimed before its dispatch")
		}
		if find(dispatcher.Claimed(startTime, "one", OutcomeDone, ""), DispatchPrefill) == nil {
			t.Fatal("the request was not dispatched after its claim")
		}
		decisions := dispatcher.Prefilled(startTime, "one", 1, outcome, "")
		if final := find(decisions, Finish); find(decisions, DispatchPrefill) != nil || final == nil || final.Final != want {
			t.Errorf("after outcome %s: got %+v, want final status %s and no retry", outcome, decisions, want)
		}
	}
	d := newTestDispatcher(t)
	addRetryCredit(d)
	arrive(d, startTime, "one", false)
	first := find(d.Claimed(startTime, "one", OutcomeDone, ""), DispatchPrefill)
	second := find(d.Prefilled(startTime, "one", 1, OutcomeNotStarted, ""), DispatchPrefill)
	if second == nil || second.Server == first.Server {
		t.Errorf("after outcome not_started: got %+v, want a retry at another server", second)
	}
}

func TestNoDispatchAfterDeadlineOrWithoutLease(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	late := find(arrive(dispatcher, startTime.Add(4*time.Second), "late", true), Finish)
	if late == nil || late.Cause != failure.NoLease {
		t.Errorf("arrival without a lease: got %+v, want cause NoLease", late)
	}
	request := &Request{
		ID:           "one",
		Service:      "chat",
		Idempotent:   false,
		PromptTokens: 500,
		Chunks:       3,
		Deadline:     startTime.Add(time.Second),
	}
	dispatcher.Arrive(startTime, request)
	decisions := dispatcher.Claimed(startTime.Add(time.Second), "one", OutcomeDone, "")
	if final := find(decisions, Finish); find(decisions, DispatchPrefill) != nil || final == nil || final.Final != Refused {
		t.Errorf("claim answered after the deadline: got %+v, want Refused and no dispatch", decisions)
	}
	// A request whose lease expires during its prefill waits for the next lease.
	arrive(dispatcher, startTime, "two", true)
	after := startTime.Add(4 * time.Second)
	if decisions := dispatcher.Prefilled(after, "two", 1, OutcomeDone, "handle"); len(decisions) != 0 {
		t.Errorf("prefill done without a lease: got %+v, want no decisions", decisions)
	}
	reportLoads(dispatcher, after)
	dispatcher.ExtendLease(after.Add(4*time.Second), 1, 1)
	decode := find(dispatcher.Tick(after), DispatchDecode)
	if decode == nil || decode.Handle != "handle" || !decode.NotAfter.Equal(after.Add(4*time.Second)) {
		t.Errorf("after the new lease: got %+v, want a decode dispatch with the handle, until the lease expires", decode)
	}
}

// TestRequestIsRefusedWhenNoLeaseComesInTime checks that a request that waits for a lease is
// refused after leaseTimeout, long before its deadline, with a time to retry.
func TestRequestIsRefusedWhenNoLeaseComesInTime(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	arrive(dispatcher, startTime, "one", false)
	after := startTime.Add(4 * time.Second)
	if decisions := dispatcher.Claimed(after, "one", OutcomeDone, ""); len(decisions) != 0 {
		t.Errorf("claim answered without a lease: got %+v, want no decisions", decisions)
	}
	if decisions := dispatcher.Tick(after.Add(leaseTimeout)); len(decisions) != 0 {
		t.Errorf("before leaseTimeout has passed: got %+v, want no decisions", decisions)
	}
	final := find(dispatcher.Tick(after.Add(leaseTimeout+time.Millisecond)), Finish)
	if final == nil || final.Final != Refused || final.Cause != failure.NoLease || final.RetryAfter == 0 {
		t.Errorf("after leaseTimeout: got %+v, want Refused with cause NoLease and a time to retry", final)
	}
}

func TestStreamIsNeverSplicedOrRetriedAfterItsFirstChunk(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	addRetryCredit(dispatcher)
	arrive(dispatcher, startTime, "one", true)
	dispatcher.Prefilled(startTime, "one", 1, OutcomeDone, "handle")
	if chunk := find(dispatcher.HandleChunk(startTime, "one", 1, 1, "a"), SendChunk); chunk == nil {
		t.Fatal("the first chunk was not sent")
	}
	if late := dispatcher.HandleChunk(startTime, "one", 2, 2, "b"); len(late) != 0 {
		t.Errorf("chunk of another run: got %+v, want no decisions", late)
	}
	decisions := dispatcher.Decoded(startTime, "one", 1, OutcomeUnknown, 0)
	final := find(decisions, Finish)
	if find(decisions, DispatchPrefill) != nil || final == nil || final.Final != Failed || final.Chunks != 1 {
		t.Errorf("decode lost after its first chunk: got %+v, want Failed with 1 chunk and no retry", decisions)
	}
	arrive(dispatcher, startTime, "two", true)
	dispatcher.Prefilled(startTime, "two", 1, OutcomeDone, "handle")
	if final := find(dispatcher.HandleChunk(startTime, "two", 1, 2, "b"), Finish); final == nil || final.Final != Failed {
		t.Errorf("stream with a missing chunk: got %+v, want Failed", final)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	retries := 0
	for number := range 100 {
		id := fmt.Sprint(number)
		arrive(dispatcher, startTime, id, true)
		for run := 1; run < 10; run++ {
			reportLoads(dispatcher, startTime)
			if find(dispatcher.Prefilled(startTime, id, run, OutcomeNotStarted, ""), DispatchPrefill) == nil {
				break
			}
			retries++
		}
	}
	if first, counted := dispatcher.budget.Counts(); retries == 0 || retries != counted || retries*5 > first {
		t.Errorf("got %d retries (%d counted) for %d first dispatches, want at most a fifth, all counted", retries, counted, first)
	}
}

// TestRunAfterExpiredHandleCostsTwoRetries checks that a new run counts as two retries in the budget
// if it repeats both a prefill and a decode.
func TestRunAfterExpiredHandleCostsTwoRetries(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	addRetryCredit(dispatcher)
	arrive(dispatcher, startTime, "one", true)
	dispatcher.Prefilled(startTime, "one", 1, OutcomeDone, "handle")
	if find(dispatcher.Decoded(startTime, "one", 1, OutcomeHandleExpired, 0), DispatchPrefill) == nil {
		t.Fatal("no new run after the handle expired")
	}
	if _, retries := dispatcher.budget.Counts(); retries != 2 {
		t.Errorf("the new run cost %d retries, want 2", retries)
	}
}

// TestRoutersShareAWarmingServersCapacity checks how many prompts seven routers together send
// between two reports to a server that is warming up. The server has a capacity of 12 prompts, of
// which fewer than three may be used so early, but each router may send at least one prompt.
func TestRoutersShareAWarmingServersCapacity(t *testing.T) {
	sent := 0
	for router := range 7 {
		dispatcher := newTestDispatcher(t)
		dispatcher.market.SetRouters(7)
		dispatcher.market.SetServers([]membership.Server{
			{Name: "p1", Address: "p1", Zone: "north"},
			{Name: "d1", Address: "d1", Zone: "north"},
		})
		dispatcher.market.Report(startTime, prefillLoad("p1", time.Second, 12))
		dispatcher.market.Report(startTime, decodeLoad("d1", 100, time.Millisecond))
		for number := range 10 {
			if find(arrive(dispatcher, startTime, fmt.Sprint(router, "/", number), true), DispatchPrefill) != nil {
				sent++
			}
		}
	}
	if sent == 0 || sent > 8 {
		t.Errorf("seven routers sent %d prompts to a server that is one second old, want 1 to 8", sent)
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	if !configure(t, dispatcher, 5, `{"services":{},"routes":{}}`) {
		t.Fatal("a newer configuration was not put in force")
	}
	if configure(t, dispatcher, 4, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`) {
		t.Error("an older configuration was put in force")
	}
	if dispatcher.ExtendLease(startTime.Add(time.Hour), 1, 1) {
		t.Error("a lease for another configuration version was accepted")
	}
	if final := find(arrive(dispatcher, startTime, "one", true), Finish); final == nil || final.Cause != failure.UnknownService {
		t.Errorf("request for a service that the newer configuration lacks: got %+v, want cause UnknownService", final)
	}
}

func TestEvacuatedAndLeavingServersGetNoWork(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	configure(t, dispatcher, 2, `{"services":{"chat":{}},"routes":{"all":{"to":{}}},"evacuations":{"north":{}}}`)
	dispatcher.ExtendLease(startTime.Add(4*time.Second), 1, 2)
	if dispatched := find(arrive(dispatcher, startTime, "one", true), DispatchPrefill); dispatched == nil || dispatched.Server != "p2" {
		t.Errorf("with north evacuated: got %+v, want a prefill at p2", dispatched)
	}
	decode := find(dispatcher.Prefilled(startTime, "one", 1, OutcomeDone, "handle"), DispatchDecode)
	if decode == nil || decode.Server != "d2" {
		t.Errorf("with north evacuated: got %+v, want a decode at d2", decode)
	}
	dispatcher.market.SetServers([]membership.Server{
		{Name: "p1", Address: "p1", Zone: "north"},
		{Name: "p2", Address: "p2", Zone: "south", Leaving: true},
		{Name: "d1", Address: "d1", Zone: "north"},
		{Name: "d2", Address: "d2", Zone: "south"},
	})
	if final := find(arrive(dispatcher, startTime, "two", true), Finish); final == nil || final.Final != Refused {
		t.Errorf("with the last prefill server leaving: got %+v, want Refused", final)
	}
	configure(t, dispatcher, 3, `{"services":{"chat":{}},"routes":{"all":{"to":{}}},"evacuations":{"north":{},"south":{}}}`)
	dispatcher.ExtendLease(startTime.Add(4*time.Second), 1, 3)
	final := find(arrive(dispatcher, startTime, "three", true), Finish)
	if final == nil || final.Cause != failure.Evacuated || final.RetryAfter == 0 {
		t.Errorf("with every zone evacuated: got %+v, want cause Evacuated and a time to retry", final)
	}
}

func TestRoutesAreMatchedInOrder(t *testing.T) {
	configuration, err := config.Check([]byte(`{"services":{"chat":{}},"routes":{
		"z-first":{"order":1,"match":{"service":"chat","prompt_tokens_at_least":1000},"to":{"refuse":true}},
		"a-second":{"order":2,"match":{"origin":"vip"},"to":{"districts":["south"]}},
		"b-third":{"order":2,"to":{"districts":["north"]}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	table := Compile(configuration, 1, 1)
	for client, tokens := range map[string]int{"vip": 10, "other": 10, "long": 1000} {
		route, refusal := table.Match(&Request{Service: "chat", Client: client, PromptTokens: tokens}, "north")
		want := map[string]string{"vip": "a-second", "other": "b-third", "long": "z-first"}[client]
		if route == nil || route.Route != want || (refusal != nil) != (client == "long") {
			t.Errorf("client %s: got %+v, refusal %v, want route %s", client, route, refusal, want)
		}
	}
}

func TestWarmingServerGetsFewRequests(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	dispatcher.market.SetServers([]membership.Server{
		{Name: "p1", Address: "p1", Zone: "north"},
		{Name: "d1", Address: "d1", Zone: "north"},
	})
	dispatcher.market.Report(startTime, prefillLoad("p1", 0, 20))
	dispatcher.market.Report(startTime, decodeLoad("d1", 100, time.Millisecond))
	dispatched := 0
	for number := range 20 {
		if find(arrive(dispatcher, startTime, fmt.Sprint(number), true), DispatchPrefill) != nil {
			dispatched++
		}
	}
	if dispatched == 0 || dispatched > 3 {
		t.Errorf("got %d prompts for a server that has just started, want 1 to 3", dispatched)
	}
}

// TestLateAnswerToAnOlderRunIsIgnored delivers the answer to the first run's prefill after the
// second run has started.
func TestLateAnswerToAnOlderRunIsIgnored(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	addRetryCredit(dispatcher)
	arrive(dispatcher, startTime, "one", true)
	if find(dispatcher.Prefilled(startTime, "one", 1, OutcomeFailed, ""), DispatchPrefill) == nil {
		t.Fatal("no second run")
	}
	if late := dispatcher.Prefilled(startTime, "one", 1, OutcomeDone, "old handle"); len(late) != 0 {
		t.Errorf("late answer to the first run: got %+v, want no decisions", late)
	}
}

// TestDecodeUsesTheHandleOfItsOwnRun checks that the decode of the second run uses the
// KV cache that the second run's prefill created.
func TestDecodeUsesTheHandleOfItsOwnRun(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	addRetryCredit(dispatcher)
	arrive(dispatcher, startTime, "one", true)
	first := find(dispatcher.Prefilled(startTime, "one", 1, OutcomeDone, "first"), DispatchDecode)
	if first == nil || first.Handle != "first" {
		t.Fatalf("first decode: got %+v, want handle first", first)
	}
	if find(dispatcher.Decoded(startTime, "one", 1, OutcomeHandleExpired, 0), DispatchPrefill) == nil {
		t.Fatal("no second run after the handle expired")
	}
	second := find(dispatcher.Prefilled(startTime, "one", 2, OutcomeDone, "second"), DispatchDecode)
	if second == nil || second.Handle != "second" {
		t.Errorf("second decode: got %+v, want handle second", second)
	}
}

// TestServerWithoutAFreshReportGetsNoWork checks that no request is dispatched once all load reports have expired.
func TestServerWithoutAFreshReportGetsNoWork(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	late := startTime.Add(reportMaxAge + time.Millisecond)
	if decisions := arrive(dispatcher, late, "one", true); find(decisions, DispatchPrefill) != nil {
		t.Errorf("with expired load reports: got %+v, want no dispatch", decisions)
	}
}

// TestLeaseForAnotherVersionAdmitsNothing checks that no request is admitted under a lease for a
// configuration version that is not in force.
func TestLeaseForAnotherVersionAdmitsNothing(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	configure(t, dispatcher, 2, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)
	later := startTime.Add(5 * time.Second)
	reportLoads(dispatcher, later)
	dispatcher.ExtendLease(later.Add(4*time.Second), 1, 1)
	if decisions := arrive(dispatcher, later, "one", true); find(decisions, DispatchPrefill) != nil {
		t.Errorf("with a lease for an older configuration: got %+v, want no dispatch", decisions)
	}
}

// TestUnreachableServerEndsANonIdempotentRequest lets a request that is not idempotent wait for a
// server for too long. If the server no longer reports its load, the outcome cannot be known and
// the request ends at once with status Unknown. If the server still reports its load, the request
// continues.
func TestUnreachableServerEndsANonIdempotentRequest(t *testing.T) {
	for name, reports := range map[string]bool{"slow server": true, "unreachable server": false} {
		dispatcher := newTestDispatcher(t)
		arrive(dispatcher, startTime, "one", false)
		dispatch := find(dispatcher.Claimed(startTime, "one", OutcomeDone, ""), DispatchPrefill)
		late := startTime.Add(3500 * time.Millisecond)
		if reports {
			reportLoads(dispatcher, late)
		}
		final := find(dispatcher.Tick(late), Finish)
		if reports && final != nil {
			t.Errorf("%s: ended while %s still reports: got %+v, want no final status", name, dispatch.Server, final)
		}
		if !reports && (final == nil || final.Final != Unknown) {
			t.Errorf("%s: got %+v, want Unknown", name, final)
		}
	}
}

// TestRetryBudgetCapsItsCreditAtTwoRetries checks that the credit that accrues over a long time
// without retries does not allow a burst of retries after a failure.
func TestRetryBudgetCapsItsCreditAtTwoRetries(t *testing.T) {
	budget := &RetryBudget{}
	for range 1000 {
		budget.RecordFirst()
	}
	allowed := 0
	for budget.Spend(1) {
		allowed++
	}
	if allowed != 2 {
		t.Errorf("got credit for %d retries, want 2", allowed)
	}
}

// TestDispatcherServesWithoutALeaseForTheConfiguredPeriod checks admission after the lease
// has expired, within the configured period and after it. A dispatcher that never had a
// lease admits nothing.
func TestDispatcherServesWithoutALeaseForTheConfiguredPeriod(t *testing.T) {
	// The id of each request contains the wall-clock time, because ids must not repeat.
	arrivalCause := func(d *Dispatcher, at time.Duration) failure.Code {
		reportLoads(d, startTime.Add(at))
		if final := find(arrive(d, startTime.Add(at), fmt.Sprint("at ", at, time.Now().UnixNano()), true), Finish); final != nil {
			return final.Cause
		}
		return ""
	}
	dispatcher := newTestDispatcher(t)
	if cause := arrivalCause(dispatcher, 5*time.Second); cause != failure.NoLease {
		t.Errorf("expired lease without the setting: got cause %q, want NoLease", cause)
	}
	dispatcher.SetServeWithoutLease(time.Minute)
	if cause := arrivalCause(dispatcher, 5*time.Second); cause != "" {
		t.Errorf("within the period without a lease: got cause %q, want none", cause)
	}
	if cause := arrivalCause(dispatcher, 65*time.Second); cause != failure.NoLease {
		t.Errorf("after the period without a lease: got cause %q, want NoLease", cause)
	}
	if !dispatcher.LeaseEnds().Equal(startTime.Add(4 * time.Second)) {
		t.Errorf("got lease end %s, want startTime plus 4 seconds", dispatcher.LeaseEnds())
	}
	withoutLease := NewDispatcher(NewMarket("north", false), "north", 100)
	withoutLease.SetServeWithoutLease(time.Hour)
	configure(t, withoutLease, 1, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)
	if cause := arrivalCause(withoutLease, 0); cause != failure.NoLease {
		t.Errorf("without any lease since the start: got cause %q, want NoLease", cause)
	}
}
