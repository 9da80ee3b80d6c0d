package auction

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

var noon = time.Unix(2_000_000, 0)

// newTestDispatcher is a dispatcher with two prefill and two decode servers and a lease.
func newTestDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	market := NewMarket("north", false)
	market.List([]membership.Server{
		{Name: "p1", Address: "p1", Zone: "north"},
		{Name: "p2", Address: "p2", Zone: "south"},
		{Name: "d1", Address: "d1", Zone: "north"},
		{Name: "d2", Address: "d2", Zone: "south"},
	})
	dispatcher := NewDispatcher(market, "north", 100)
	reportLoads(dispatcher, noon)
	configure(t, dispatcher, 1, `{"services":{"chat":{"tries":3}},"routes":{"all":{"to":{}}}}`)
	dispatcher.Renew(noon.Add(4*time.Second), 1, 1)
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

func find(decisions []Decision, kind DecisionKind) *Decision {
	for position := range decisions {
		if decisions[position].Kind == kind {
			return &decisions[position]
		}
	}
	return nil
}

// earn gives the budget credit for retries.
func earn(dispatcher *Dispatcher) {
	for range 20 {
		dispatcher.budget.RecordFirst()
	}
}

func TestRequestThatMayNotBeRepeatedIsDispatchedAgainOnlyIfCertainlyNotStarted(t *testing.T) {
	for outcome, want := range map[Outcome]FinalStatus{OutcomeUnknown: Unknown, OutcomeFailed: Failed} {
		dispatcher := newTestDispatcher(t)
		earn(dispatcher)
		if find(arrive(dispatcher, noon, "one", false), ClaimRequest) == nil {
			t.Fatal("not claimed before its dispatch")
		}
		if find(dispatcher.Claimed(noon, "one", OutcomeDone, ""), DispatchPrefill) == nil {
			t.Fatal("not dispatched after its claim")
		}
		decisions := dispatcher.Prefilled(noon, "one", 1, outcome, "")
		if final := find(decisions, Finish); find(decisions, DispatchPrefill) != nil || final == nil || final.Final != want {
			t.Errorf("after %s: %+v", outcome, decisions)
		}
	}
	d := newTestDispatcher(t)
	earn(d)
	arrive(d, noon, "one", false)
	first := find(d.Claimed(noon, "one", OutcomeDone, ""), DispatchPrefill)
	second := find(d.Prefilled(noon, "one", 1, OutcomeNotStarted, ""), DispatchPrefill)
	if second == nil || second.Server == first.Server {
		t.Errorf("not tried elsewhere though it certainly did not start: %+v", second)
	}
}

func TestNothingIsDispatchedPastItsLimitOrWithoutALease(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	late := find(arrive(dispatcher, noon.Add(4*time.Second), "late", true), Finish)
	if late == nil || late.Cause != failure.NoLease {
		t.Errorf("admitted without a lease: %+v", late)
	}
	request := &Request{
		ID:           "one",
		Service:      "chat",
		Idempotent:   false,
		PromptTokens: 500,
		Chunks:       3,
		Deadline:     noon.Add(time.Second),
	}
	dispatcher.Arrive(noon, request)
	decisions := dispatcher.Claimed(noon.Add(time.Second), "one", OutcomeDone, "")
	if final := find(decisions, Finish); find(decisions, DispatchPrefill) != nil || final == nil || final.Final != Refused {
		t.Errorf("after the deadline: %+v", decisions)
	}
	// A prompt that was read while the lease ran out waits for the next one.
	arrive(dispatcher, noon, "two", true)
	after := noon.Add(4 * time.Second)
	if decisions := dispatcher.Prefilled(after, "two", 1, OutcomeDone, "handle"); len(decisions) != 0 {
		t.Errorf("dispatched without a lease: %+v", decisions)
	}
	reportLoads(dispatcher, after)
	dispatcher.Renew(after.Add(4*time.Second), 1, 1)
	decode := find(dispatcher.Tick(after), DispatchDecode)
	if decode == nil || decode.Handle != "handle" || !decode.NotAfter.Equal(after.Add(4*time.Second)) {
		t.Errorf("not dispatched under the new lease: %+v", decode)
	}
}

// TestGivenUpRequestIsAnsweredAtOnce lets the lease stay away: the client is answered
// soon, long before the deadline, and when to come back.
func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	arrive(dispatcher, noon, "one", false)
	after := noon.Add(4 * time.Second)
	if decisions := dispatcher.Claimed(after, "one", OutcomeDone, ""); len(decisions) != 0 {
		t.Errorf("without a lease: %+v", decisions)
	}
	if decisions := dispatcher.Tick(after.Add(leaseTimeout)); len(decisions) != 0 {
		t.Errorf("given up early: %+v", decisions)
	}
	final := find(dispatcher.Tick(after.Add(leaseTimeout+time.Millisecond)), Finish)
	if final == nil || final.Final != Refused || final.Cause != failure.NoLease || final.Retry == 0 {
		t.Errorf("when no lease comes: %+v", final)
	}
}

func TestStreamIsNeverSplicedAndNeverRunAgainAfterItsFirstChunk(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	earn(dispatcher)
	arrive(dispatcher, noon, "one", true)
	dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "handle")
	if chunk := find(dispatcher.Chunk(noon, "one", 1, 1, "a"), SendChunk); chunk == nil {
		t.Fatal("the first chunk was not sent")
	}
	if late := dispatcher.Chunk(noon, "one", 2, 2, "b"); len(late) != 0 {
		t.Errorf("a chunk of another run was taken: %+v", late)
	}
	decisions := dispatcher.Decoded(noon, "one", 1, OutcomeUnknown, 0)
	final := find(decisions, Finish)
	if find(decisions, DispatchPrefill) != nil || final == nil || final.Final != Failed || final.Chunks != 1 {
		t.Errorf("after the first chunk: %+v", decisions)
	}
	arrive(dispatcher, noon, "two", true)
	dispatcher.Prefilled(noon, "two", 1, OutcomeDone, "handle")
	if final := find(dispatcher.Chunk(noon, "two", 1, 2, "b"), Finish); final == nil || final.Final != Failed {
		t.Errorf("a stream with a missing chunk went on: %+v", final)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	extra := 0
	for number := range 100 {
		id := fmt.Sprint(number)
		arrive(dispatcher, noon, id, true)
		for run := 1; run < 10; run++ {
			reportLoads(dispatcher, noon)
			if find(dispatcher.Prefilled(noon, id, run, OutcomeNotStarted, ""), DispatchPrefill) == nil {
				break
			}
			extra++
		}
	}
	if first, counted := dispatcher.budget.Counts(); extra == 0 || extra != counted || extra*5 > first {
		t.Errorf("%d retries (%d counted) for %d first dispatches", extra, counted, first)
	}
}

// TestARunAfterALostHandOverCostsTwoAttempts: it asks a prefill and a decode server
// again.
func TestARunAfterALostHandOverCostsTwoAttempts(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	earn(dispatcher)
	arrive(dispatcher, noon, "one", true)
	dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "handle")
	if find(dispatcher.Decoded(noon, "one", 1, OutcomeHandleExpired, 0), DispatchPrefill) == nil {
		t.Fatal("no new run after the handle expired")
	}
	if _, extra := dispatcher.budget.Counts(); extra != 2 {
		t.Errorf("the run cost %d retries", extra)
	}
}

// TestRoutersShareAWarmingServersCapacity: what seven routers may send to a server
// that is warming up between two reports stays within its capacity.
func TestRoutersShareAWarmingServersCapacity(t *testing.T) {
	sent := 0
	for router := range 7 {
		dispatcher := newTestDispatcher(t)
		dispatcher.market.SetRouters(7)
		dispatcher.market.List([]membership.Server{
			{Name: "p1", Address: "p1", Zone: "north"},
			{Name: "d1", Address: "d1", Zone: "north"},
		})
		dispatcher.market.Report(noon, prefillLoad("p1", time.Second, 12))
		dispatcher.market.Report(noon, decodeLoad("d1", 100, time.Millisecond))
		for number := range 10 {
			if find(arrive(dispatcher, noon, fmt.Sprint(router, "/", number), true), DispatchPrefill) != nil {
				sent++
			}
		}
	}
	if sent == 0 || sent > 8 {
		t.Errorf("seven routers sent %d prompts to a server one second old", sent)
	}
}

func TestConfigurationInForceNeverGoesBack(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	if !configure(t, dispatcher, 5, `{"services":{},"routes":{}}`) {
		t.Fatal("a newer configuration was not taken")
	}
	if configure(t, dispatcher, 4, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`) {
		t.Error("an older configuration was taken")
	}
	if dispatcher.Renew(noon.Add(time.Hour), 1, 1) {
		t.Error("a lease for another configuration was taken")
	}
	if final := find(arrive(dispatcher, noon, "one", true), Finish); final == nil || final.Cause != failure.UnknownService {
		t.Errorf("%+v", final)
	}
}

func TestEvacuatedAndLeavingServersGetNoWork(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	configure(t, dispatcher, 2, `{"services":{"chat":{}},"routes":{"all":{"to":{}}},"evacuations":{"north":{}}}`)
	dispatcher.Renew(noon.Add(4*time.Second), 1, 2)
	if dispatched := find(arrive(dispatcher, noon, "one", true), DispatchPrefill); dispatched == nil || dispatched.Server != "p2" {
		t.Errorf("with north evacuated: %+v", dispatched)
	}
	decode := find(dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "handle"), DispatchDecode)
	if decode == nil || decode.Server != "d2" {
		t.Errorf("with north evacuated: %+v", decode)
	}
	dispatcher.market.List([]membership.Server{
		{Name: "p1", Address: "p1", Zone: "north"},
		{Name: "p2", Address: "p2", Zone: "south", Leaving: true},
		{Name: "d1", Address: "d1", Zone: "north"},
		{Name: "d2", Address: "d2", Zone: "south"},
	})
	if final := find(arrive(dispatcher, noon, "two", true), Finish); final == nil || final.Final != Refused {
		t.Errorf("with the last server leaving: %+v", final)
	}
	configure(t, dispatcher, 3, `{"services":{"chat":{}},"routes":{"all":{"to":{}}},"evacuations":{"north":{},"south":{}}}`)
	dispatcher.Renew(noon.Add(4*time.Second), 1, 3)
	final := find(arrive(dispatcher, noon, "three", true), Finish)
	if final == nil || final.Cause != failure.Evacuated || final.Retry == 0 {
		t.Errorf("with every zone evacuated: %+v", final)
	}
}

func TestRoutesAreAskedInTheirOrder(t *testing.T) {
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
			t.Errorf("%s: %+v, %v", client, route, refusal)
		}
	}
}

func TestWarmingServerGetsFewRequests(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	dispatcher.market.List([]membership.Server{
		{Name: "p1", Address: "p1", Zone: "north"},
		{Name: "d1", Address: "d1", Zone: "north"},
	})
	dispatcher.market.Report(noon, prefillLoad("p1", 0, 20))
	dispatcher.market.Report(noon, decodeLoad("d1", 100, time.Millisecond))
	dispatched := 0
	for number := range 20 {
		if find(arrive(dispatcher, noon, fmt.Sprint(number), true), DispatchPrefill) != nil {
			dispatched++
		}
	}
	if dispatched == 0 || dispatched > 3 {
		t.Errorf("a server that has just started was given %d prompts at once", dispatched)
	}
}

// TestLateUpdateOfAnOlderRun lets the answer to an aborted run come after the next one
// has begun.
func TestLateUpdateOfAnOlderRun(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	earn(dispatcher)
	arrive(dispatcher, noon, "one", true)
	if find(dispatcher.Prefilled(noon, "one", 1, OutcomeFailed, ""), DispatchPrefill) == nil {
		t.Fatal("no second run")
	}
	if late := dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "old memory"); len(late) != 0 {
		t.Errorf("a late answer of the first run led to %+v", late)
	}
}

// TestHandleIsUsedByItsOwnRun wants the second run's decode to use the second
// run's KV cache.
func TestHandleIsUsedByItsOwnRun(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	earn(dispatcher)
	arrive(dispatcher, noon, "one", true)
	first := find(dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "first"), DispatchDecode)
	if first == nil || first.Handle != "first" {
		t.Fatalf("the first decode: %+v", first)
	}
	if find(dispatcher.Decoded(noon, "one", 1, OutcomeHandleExpired, 0), DispatchPrefill) == nil {
		t.Fatal("no second run after the handle expired")
	}
	second := find(dispatcher.Prefilled(noon, "one", 2, OutcomeDone, "second"), DispatchDecode)
	if second == nil || second.Handle != "second" {
		t.Errorf("the second decode: %+v", second)
	}
}

// TestServerWithoutAFreshReportIsOfferedNothing lets all reports grow old.
func TestServerWithoutAFreshReportIsOfferedNothing(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	late := noon.Add(reportMaxAge + time.Millisecond)
	if decisions := arrive(dispatcher, late, "one", true); find(decisions, DispatchPrefill) != nil {
		t.Errorf("work went to a server that does not report: %+v", decisions)
	}
}

// TestLeaseOfAnotherVersionLetsNothingIn renews a lease for a configuration that
// is not the one in force.
func TestLeaseOfAnotherVersionLetsNothingIn(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	configure(t, dispatcher, 2, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)
	later := noon.Add(5 * time.Second)
	reportLoads(dispatcher, later)
	dispatcher.Renew(later.Add(4*time.Second), 1, 1)
	if decisions := arrive(dispatcher, later, "one", true); find(decisions, DispatchPrefill) != nil {
		t.Errorf("let in under a lease for an older configuration: %+v", decisions)
	}
}

// TestDarkServerEndsWhatMayNotBeRepeated leaves a request that may not be
// repeated at a server that reports no more: nothing further can be known, so it
// is ended at once. At one that is slow and reports, it goes on.
func TestDarkServerEndsWhatMayNotBeRepeated(t *testing.T) {
	for name, reports := range map[string]bool{"slow": true, "dark": false} {
		dispatcher := newTestDispatcher(t)
		arrive(dispatcher, noon, "one", false)
		dispatch := find(dispatcher.Claimed(noon, "one", OutcomeDone, ""), DispatchPrefill)
		late := noon.Add(3500 * time.Millisecond)
		if reports {
			reportLoads(dispatcher, late)
		}
		final := find(dispatcher.Tick(late), Finish)
		if reports && final != nil {
			t.Errorf("%s: ended, though %s reports: %+v", name, dispatch.Server, final)
		}
		if !reports && (final == nil || final.Final != Unknown) {
			t.Errorf("%s: not ended as unknown: %+v", name, final)
		}
	}
}

// TestRetryBudgetCapsItsCreditAtTwoRetries lets a router work long without a fault: a
// failure must not bring a burst of retries that were saved up before.
func TestRetryBudgetCapsItsCreditAtTwoRetries(t *testing.T) {
	budget := &RetryBudget{}
	for range 1000 {
		budget.RecordFirst()
	}
	saved := 0
	for budget.Spend(1) {
		saved++
	}
	if saved != 2 {
		t.Errorf("%d retries were saved", saved)
	}
}

// TestDispatcherServesWithoutALeaseForTheConfiguredPeriod lets the lease end, and the time
// without one; a dispatcher that never had a lease admits nothing.
func TestDispatcherServesWithoutALeaseForTheConfiguredPeriod(t *testing.T) {
	arrives := func(d *Dispatcher, at time.Duration) failure.Code {
		reportLoads(d, noon.Add(at))
		if final := find(arrive(d, noon.Add(at), fmt.Sprint("at ", at, time.Now().UnixNano()), true), Finish); final != nil {
			return final.Cause
		}
		return ""
	}
	dispatcher := newTestDispatcher(t)
	if cause := arrives(dispatcher, 5*time.Second); cause != failure.NoLease {
		t.Errorf("without the setting: %q", cause)
	}
	dispatcher.SetServeWithoutLease(time.Minute)
	if cause := arrives(dispatcher, 5*time.Second); cause != "" {
		t.Errorf("within its time without a lease: %q", cause)
	}
	if cause := arrives(dispatcher, 65*time.Second); cause != failure.NoLease {
		t.Errorf("after its time without a lease: %q", cause)
	}
	if !dispatcher.LeaseEnds().Equal(noon.Add(4 * time.Second)) {
		t.Errorf("the lease ends %s", dispatcher.LeaseEnds())
	}
	blank := NewDispatcher(NewMarket("north", false), "north", 100)
	blank.SetServeWithoutLease(time.Hour)
	configure(t, blank, 1, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)
	if cause := arrives(blank, 0); cause != failure.NoLease {
		t.Errorf("an incarnation without any lease: %q", cause)
	}
}
