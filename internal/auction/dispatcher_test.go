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

// newTestDispatcher is a desk with two prefill and two decode servers and a hold.
func newTestDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	market := NewMarket("courier-1", "north", false)
	market.List([]membership.Server{{Name: "p1", Address: "p1", Zone: "north"}, {Name: "p2", Address: "p2", Zone: "south"},
		{Name: "d1", Address: "d1", Zone: "north"}, {Name: "d2", Address: "d2", Zone: "south"}})
	dispatcher := NewDispatcher(market, "north", 100)
	reportLoads(dispatcher, noon)
	configure(t, dispatcher, 1, `{"services":{"chat":{"tries":3}},"routes":{"all":{"to":{}}}}`)
	dispatcher.Renew(noon.Add(4*time.Second), 1, 1)
	return dispatcher
}

func reportLoads(dispatcher *Dispatcher, now time.Time) {
	for _, name := range []string{"p1", "p2"} {
		dispatcher.market.Report(now, Load{Server: name, Part: Prefill, Age: time.Hour, PrefillRate: 20_000, PrefillCapacity: 8, LinkRate: 400_000})
	}
	for _, name := range []string{"d1", "d2"} {
		dispatcher.market.Report(now, Load{Server: name, Part: Decode, Age: time.Hour, DecodeSlots: 16, ChunkTime: 8 * time.Millisecond, MemoryFree: 100_000, LinkRate: 400_000})
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

// earn gives the budget room for extra tries.
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
	if final := find(arrive(dispatcher, noon.Add(4*time.Second), "late", true), Finish); final == nil || final.Cause != failure.NoLease {
		t.Errorf("let in without a hold: %+v", final)
	}
	request := &Request{ID: "one", Service: "chat", Idempotent: false, PromptTokens: 500, Chunks: 3, Deadline: noon.Add(time.Second)}
	dispatcher.Arrive(noon, request)
	decisions := dispatcher.Claimed(noon.Add(time.Second), "one", OutcomeDone, "")
	if final := find(decisions, Finish); find(decisions, DispatchPrefill) != nil || final == nil || final.Final != Refused {
		t.Errorf("after the limit: %+v", decisions)
	}
	// A prompt that was read while the hold ran out waits for the next one.
	arrive(dispatcher, noon, "two", true)
	after := noon.Add(4 * time.Second)
	if decisions := dispatcher.Prefilled(after, "two", 1, OutcomeDone, "handle"); len(decisions) != 0 {
		t.Errorf("dispatched without a hold: %+v", decisions)
	}
	reportLoads(dispatcher, after)
	dispatcher.Renew(after.Add(4*time.Second), 1, 1)
	if decode := find(dispatcher.Tick(after), DispatchDecode); decode == nil || decode.Handle != "handle" || !decode.NotAfter.Equal(after.Add(4*time.Second)) {
		t.Errorf("not dispatched under the new hold: %+v", decode)
	}
}

// TestGivenUpRequestIsAnsweredAtOnce lets the hold stay away: the caller is told
// soon, long before the limit, and when to come back.
func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	arrive(dispatcher, noon, "one", false)
	after := noon.Add(4 * time.Second)
	if decisions := dispatcher.Claimed(after, "one", OutcomeDone, ""); len(decisions) != 0 {
		t.Errorf("without a hold: %+v", decisions)
	}
	if decisions := dispatcher.Tick(after.Add(leaseTimeout)); len(decisions) != 0 {
		t.Errorf("given up early: %+v", decisions)
	}
	final := find(dispatcher.Tick(after.Add(leaseTimeout+time.Millisecond)), Finish)
	if final == nil || final.Final != Refused || final.Cause != failure.NoLease || final.Retry == 0 {
		t.Errorf("when no hold comes: %+v", final)
	}
}

func TestStreamIsNeverSplicedAndNeverRunAgainAfterItsFirstChunk(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	earn(dispatcher)
	arrive(dispatcher, noon, "one", true)
	dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "handle")
	if chunk := find(dispatcher.Chunk(noon, "one", 1, 1, "a"), SendChunk); chunk == nil {
		t.Fatal("the first piece was not sent")
	}
	if late := dispatcher.Chunk(noon, "one", 2, 2, "b"); len(late) != 0 {
		t.Errorf("a piece of another run was taken: %+v", late)
	}
	decisions := dispatcher.Decoded(noon, "one", 1, OutcomeUnknown, 0)
	if final := find(decisions, Finish); find(decisions, DispatchPrefill) != nil || final == nil || final.Final != Failed || final.Chunks != 1 {
		t.Errorf("after the first piece: %+v", decisions)
	}
	arrive(dispatcher, noon, "two", true)
	dispatcher.Prefilled(noon, "two", 1, OutcomeDone, "handle")
	if final := find(dispatcher.Chunk(noon, "two", 1, 2, "b"), Finish); final == nil || final.Final != Failed {
		t.Errorf("a stream with a missing piece went on: %+v", final)
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
		t.Errorf("%d extra tries (%d counted) for %d first ones", extra, counted, first)
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
		t.Fatal("a lapsed handle was not made anew")
	}
	if _, extra := dispatcher.budget.Counts(); extra != 2 {
		t.Errorf("the run cost %d tries", extra)
	}
}

// TestRoutersShareAColdServersRoom: what seven routers may send to a cold
// server between two reports stays within its room.
func TestRoutersShareAColdServersRoom(t *testing.T) {
	sent := 0
	for router := range 7 {
		dispatcher := newTestDispatcher(t)
		dispatcher.market.SetRouters(7)
		dispatcher.market.List([]membership.Server{{Name: "p1", Address: "p1", Zone: "north"}, {Name: "d1", Address: "d1", Zone: "north"}})
		dispatcher.market.Report(noon, Load{Server: "p1", Part: Prefill, Age: time.Second, PrefillRate: 20_000, PrefillCapacity: 12, LinkRate: 400_000})
		dispatcher.market.Report(noon, Load{Server: "d1", Part: Decode, Age: time.Hour, DecodeSlots: 100, ChunkTime: time.Millisecond, MemoryFree: 100_000, LinkRate: 400_000})
		for number := range 10 {
			if find(arrive(dispatcher, noon, fmt.Sprint(router, "/", number), true), DispatchPrefill) != nil {
				sent++
			}
		}
	}
	if sent == 0 || sent > 8 {
		t.Errorf("seven couriers sent %d prompts to a server one second old", sent)
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
		t.Error("a hold for another configuration was taken")
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
	if decode := find(dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "handle"), DispatchDecode); decode == nil || decode.Server != "d2" {
		t.Errorf("with north evacuated: %+v", decode)
	}
	dispatcher.market.List([]membership.Server{{Name: "p1", Address: "p1", Zone: "north"}, {Name: "p2", Address: "p2", Zone: "south", Leaving: true},
		{Name: "d1", Address: "d1", Zone: "north"}, {Name: "d2", Address: "d2", Zone: "south"}})
	if final := find(arrive(dispatcher, noon, "two", true), Finish); final == nil || final.Final != Refused {
		t.Errorf("with the last server leaving: %+v", final)
	}
	configure(t, dispatcher, 3, `{"services":{"chat":{}},"routes":{"all":{"to":{}}},"evacuations":{"north":{},"south":{}}}`)
	dispatcher.Renew(noon.Add(4*time.Second), 1, 3)
	if final := find(arrive(dispatcher, noon, "three", true), Finish); final == nil || final.Cause != failure.Evacuated || final.Retry == 0 {
		t.Errorf("with every district evacuated: %+v", final)
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

func TestColdServerIsOfferedLittle(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	dispatcher.market.List([]membership.Server{{Name: "p1", Address: "p1", Zone: "north"}, {Name: "d1", Address: "d1", Zone: "north"}})
	dispatcher.market.Report(noon, Load{Server: "p1", Part: Prefill, PrefillRate: 20_000, PrefillCapacity: 20, LinkRate: 400_000})
	dispatcher.market.Report(noon, Load{Server: "d1", Part: Decode, Age: time.Hour, DecodeSlots: 100, ChunkTime: time.Millisecond, MemoryFree: 100_000, LinkRate: 400_000})
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

// TestLateUpdateOfAnOlderRun lets the answer to a given-up run come after the next
// one has begun.
func TestLateUpdateOfAnOlderRun(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	earn(dispatcher)
	arrive(dispatcher, noon, "one", true)
	if find(dispatcher.Prefilled(noon, "one", 1, OutcomeFailed, ""), DispatchPrefill) == nil {
		t.Fatal("no second run")
	}
	if late := dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "old memory"); len(late) != 0 {
		t.Errorf("late news of the first run led to %+v", late)
	}
}

// TestHandleIsUsedByItsOwnRun wants the second run's decode to take the second
// run's memory.
func TestHandleIsUsedByItsOwnRun(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	earn(dispatcher)
	arrive(dispatcher, noon, "one", true)
	if decode := find(dispatcher.Prefilled(noon, "one", 1, OutcomeDone, "first"), DispatchDecode); decode == nil || decode.Handle != "first" {
		t.Fatalf("the first decode: %+v", decode)
	}
	if find(dispatcher.Decoded(noon, "one", 1, OutcomeHandleExpired, 0), DispatchPrefill) == nil {
		t.Fatal("no second run after the handle lapsed")
	}
	if decode := find(dispatcher.Prefilled(noon, "one", 2, OutcomeDone, "second"), DispatchDecode); decode == nil || decode.Handle != "second" {
		t.Errorf("the second decode: %+v", decode)
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

// TestLeaseOfAnotherVersionLetsNothingIn renews a hold for a configuration that
// is not the one in force.
func TestLeaseOfAnotherVersionLetsNothingIn(t *testing.T) {
	dispatcher := newTestDispatcher(t)
	configure(t, dispatcher, 2, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)
	later := noon.Add(5 * time.Second)
	reportLoads(dispatcher, later)
	dispatcher.Renew(later.Add(4*time.Second), 1, 1)
	if decisions := arrive(dispatcher, later, "one", true); find(decisions, DispatchPrefill) != nil {
		t.Errorf("let in under a hold for an older configuration: %+v", decisions)
	}
}

// TestDarkServerEndsWhatMayNotBeRepeated leaves a request that may not be
// repeated at a server that reports no more: nothing further can be known, so it
// is told at once. At one that is slow and reports, it goes on.
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
			t.Errorf("%s: not told: %+v", name, final)
		}
	}
}

// TestBudgetSavesTwoAttemptsAndNoMore lets a router work long without trouble: a
// loss must not bring a burst of tries that were saved in the quiet.
func TestBudgetSavesTwoAttemptsAndNoMore(t *testing.T) {
	budget := &RetryBudget{}
	for range 1000 {
		budget.RecordFirst()
	}
	saved := 0
	for budget.Spend(1) {
		saved++
	}
	if saved != 2 {
		t.Errorf("%d tries were saved", saved)
	}
}

// TestDispatcherServesWithoutALeaseForTheConfiguredPeriod lets the hold end, and the time without
// one; a desk that never had a hold lets nothing in.
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
		t.Errorf("without being told: %q", cause)
	}
	dispatcher.SetServeWithoutLease(time.Minute)
	if cause := arrives(dispatcher, 5*time.Second); cause != "" {
		t.Errorf("within its time without a hold: %q", cause)
	}
	if cause := arrives(dispatcher, 65*time.Second); cause != failure.NoLease {
		t.Errorf("after its time without a hold: %q", cause)
	}
	if !dispatcher.LeaseEnds().Equal(noon.Add(4 * time.Second)) {
		t.Errorf("the hold ends %s", dispatcher.LeaseEnds())
	}
	blank := NewDispatcher(NewMarket("courier-1", "north", false), "north", 100)
	blank.SetServeWithoutLease(time.Hour)
	configure(t, blank, 1, `{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)
	if cause := arrives(blank, 0); cause != failure.NoLease {
		t.Errorf("a life without any hold: %q", cause)
	}
}
