package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// timestamps holds, in order, the times of events whose number in any span of time is bounded.
type timestamps []time.Time

// maxInSpan returns the maximum number of timestamps in any span of the given length, and how many of the
// other timestamps lie in that span.
func (t timestamps) maxInSpan(length time.Duration, others timestamps) (most int, concurrent int) {
	first, otherFirst, otherLast := 0, 0, 0
	for last, at := range t {
		for at.Sub(t[first]) >= length {
			first++
		}
		for otherLast < len(others) && !others[otherLast].After(at) {
			otherLast++
		}
		for otherFirst < otherLast && at.Sub(others[otherFirst]) >= length {
			otherFirst++
		}
		if last-first+1 > most {
			most, concurrent = last-first+1, otherLast-otherFirst
		}
	}
	return most, concurrent
}

// TestRetriesStayInTheBudget makes dispatches fail in ways that call for a retry, and restarts routers
// at random. In no span of ten seconds may all routers together send more retries than the allowance
// permits.
func TestRetriesStayInTheBudget(t *testing.T) {
	for _, routers := range []int{1, 3, 9, 30, 85} {
		for seed := range uint64(4) {
			random := rand.New(rand.NewPCG(seed, 5))
			allowance := RetryAllowance{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
			if routers > 10 {
				allowance.Slack = 216
			}
			start := func(number int) *Scheduler {
				sched := New(Options{Router: fmt.Sprintf("courier-%d", number), Zone: "north", Retries: allowance})
				sched.SetRouterCount(routers)
				sched.SetRouteTable(Compile(testConfiguration(func(configuration *config.Configuration) {
					configuration.Routes[0].Calls.MaxAttempts = 5
				}), 1, 1))
				sched.SetServers(noon, servers(9))
				return sched
			}
			var schedulers []*Scheduler
			for number := range routers {
				schedulers = append(schedulers, start(number))
			}
			var calls, retries timestamps
			for now := noon; now.Before(noon.Add(60 * time.Second)); now = now.Add(20 * time.Millisecond) {
				number := random.IntN(routers)
				if random.IntN(200) == 0 {
					schedulers[number] = start(number)
				}
				state, decision := schedulers[number].Arrive(now, longCall(fmt.Sprint(now.UnixNano()), uint64(random.IntN(20))))
				calls = append(calls, now)
				counted, prefillCompleted := 0, false
				for state != nil && (decision.Kind == Prefill || decision.Kind == Generate) {
					outcome := Outcome{Result: []Result{NotStarted, TimedOut, Misdirected, Interrupted}[random.IntN(4)], FirstByte: now}
					if decision.Kind == Prefill && random.IntN(2) == 0 {
						outcome = Outcome{Result: Complete, Handle: "h"}
					}
					if decision.Kind == Generate || outcome.Result != Complete || prefillCompleted {
						counted++
						if counted > 1 {
							retries = append(retries, now)
						}
					}
					prefillCompleted = prefillCompleted || outcome.Result == Complete
					decision = schedulers[number].Ended(now, state, outcome)
				}
			}
			most, concurrent := retries.maxInSpan(allowance.Window, calls)
			if allowed := allowance.Ratio*float64(concurrent) + allowance.Slack; float64(most) > allowed {
				t.Errorf("%d routers: got %d retries for %d calls in a span, want at most %.0f", routers, most, concurrent, allowed)
			}
			if len(retries) == 0 {
				t.Errorf("%d routers: got no retries", routers)
			}
		}
	}
}

// TestServerIsNotOverloadedAtTheEndOfItsSlowStart guards against too many calls to a server whose slow
// start ends: it is the least loaded server, and the slow start ends at the same time for all routers.
// The list may state an end that is a little too early, so the bound must hold a little longer.
func TestServerIsNotOverloadedAtTheEndOfItsSlowStart(t *testing.T) {
	const routers, early = 72, 300 * time.Millisecond
	var schedulers []*Scheduler
	for number := range routers {
		sched := New(Options{Router: routerNames(routers, "courier")[number], Zone: "north"})
		sched.SetRouterCount(routers)
		sched.SetRouters(routerNames(routers, "courier"))
		sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
		schedulers = append(schedulers, sched)
	}
	list := servers(40)
	warming := &list[len(list)-1]
	warming.Zone, warming.Warming = "north", 3*time.Second
	for _, sched := range schedulers {
		sched.SetServers(noon, list)
	}
	var loads []Load
	for position := range list {
		loads = append(loads, Load{
			Server:      list[position].Name,
			Role:        list[position].Role,
			Running:     60,
			MemoryUsed:  100_000,
			MemoryTotal: 300_000,
		})
	}
	loads[len(loads)-1].Running, loads[len(loads)-1].MemoryUsed = 0, 0
	random := rand.New(rand.NewPCG(72, 5))
	var sent timestamps
	later := 0
	for now := noon; now.Before(noon.Add(8 * time.Second)); now = now.Add(2 * time.Millisecond) {
		number := random.IntN(routers)
		if now.Sub(noon)%(250*time.Millisecond) == 0 {
			for _, sched := range schedulers {
				sched.SetLoads(now, loads)
			}
		}
		state, decision := schedulers[number].Arrive(now, chatCall(fmt.Sprint(now.UnixNano())))
		for state != nil && (decision.Kind == Prefill || decision.Kind == Generate) {
			if decision.Server.Name == warming.Name {
				if now.Before(noon.Add(3*time.Second + early)) {
					sent = append(sent, now)
				} else {
					later++
				}
			}
			// The calls at the other servers never end, which keeps these busy.
			if decision.Server.Name != warming.Name {
				break
			}
			decision = schedulers[number].Ended(now, state, Outcome{Result: Complete, Handle: "h", FirstByte: now})
		}
	}
	if most, _ := sent.maxInSpan(time.Second, nil); most > 19 {
		t.Errorf("a warming server got %d calls in a second, want at most 19", most)
	}
	if later == 0 {
		t.Error("the server got no calls after its slow start")
	}
}

// TestWarmingServersGetFewCalls checks that no warming server gets more calls in a second than it can
// serve, even if all servers are warming and all routers have many calls. In half of the runs the
// routers know neither their number nor their names.
func TestWarmingServersGetFewCalls(t *testing.T) {
	for _, routers := range []int{1, 3, 9, 30, 85} {
		for _, routersRecorded := range []bool{true, false} {
			var schedulers []*Scheduler
			for number := range routers {
				sched := New(Options{Router: routerNames(routers, "courier")[number], Zone: "north"})
				if routersRecorded {
					sched.SetRouterCount(routers)
					sched.SetRouters(routerNames(routers, "courier"))
				}
				sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
				list := servers(9)
				for position := range list {
					list[position].Warming = 30 * time.Second
				}
				sched.SetServers(noon, list)
				schedulers = append(schedulers, sched)
			}
			random := rand.New(rand.NewPCG(uint64(routers), 5))
			sent := map[string]timestamps{}
			total := 0
			for now := noon; now.Before(noon.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
				number := random.IntN(routers)
				// Pauses let the routers' token buckets fill up.
				if now.Sub(noon)%(5*time.Second) > 3*time.Second {
					continue
				}
				call := chatCall(fmt.Sprint(now.UnixNano()))
				if random.IntN(2) == 0 {
					call = longCall(call.ID, uint64(random.IntN(20)))
				}
				state, decision := schedulers[number].Arrive(now, call)
				for state != nil && (decision.Kind == Prefill || decision.Kind == Generate) {
					sent[decision.Server.Name] = append(sent[decision.Server.Name], now)
					total++
					decision = schedulers[number].Ended(now, state, Outcome{Result: Complete, Handle: "h", FirstByte: now})
				}
			}
			for name, calls := range sent {
				if most, _ := calls.maxInSpan(time.Second, nil); most > 19 {
					t.Errorf("%d routers, recorded %v: %s got %d calls in a second, want at most 19", routers, routersRecorded, name, most)
				}
			}
			if total == 0 && routersRecorded {
				t.Errorf("%d routers: no calls were sent", routers)
			}
		}
	}
}

// TestRoutersSelectTheSameHomeServers checks that routers select the same home servers for a chain without communicating,
// and that few chains get other home servers when a server leaves.
func TestRoutersSelectTheSameHomeServers(t *testing.T) {
	home := func(router, zone string, count int, without string, chain uint64) string {
		sched := New(Options{Router: router, Zone: zone})
		sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
		list := servers(count)
		for position := range list {
			list[position].Leaving = list[position].Name == without
		}
		sched.SetServers(noon, list)
		call := longCall("a", chain)
		c := sched.newCycle(noon, &CallState{call: call, routeRule: sched.routes.Load().hosts["long.example"][0],
			service: sched.routes.Load().services["desk"], deadline: noon.Add(time.Second)})
		c.findHomes()
		return c.homePrefill.server.Name + " " + c.homeDecode.server.Name
	}
	counts := map[string]int{}
	moved := 0
	const chains = 300
	for chain := range uint64(chains) {
		first, second := home("courier-1", "north", 20, "", chain), home("courier-2", "west", 20, "", chain)
		if first != second {
			t.Fatalf("chain %d: the home servers are %s for one router and %s for another", chain, first, second)
		}
		counts[first]++
		if home("courier-1", "north", 20, "stove-0", chain) != first {
			moved++
		}
	}
	prefillServers := 0
	for _, server := range servers(20) {
		if server.Role == prefill {
			prefillServers++
		}
	}
	if moved > chains*2/prefillServers {
		t.Errorf("%d of %d chains got other home servers when one of %d prefill servers left", moved, chains, prefillServers)
	}
	if len(counts) < prefillServers {
		t.Errorf("got %d pairs of homes, want at least %d, the number of prefill servers", len(counts), prefillServers)
	}
}

// BenchmarkArrive measures the cost of a decision with several numbers of servers.
func BenchmarkArrive(benchmark *testing.B) {
	for _, count := range []int{9, 60, 140, 1100} {
		benchmark.Run(fmt.Sprint(count), func(benchmark *testing.B) {
			sched := newTestScheduler(count)
			for number := range 2000 {
				state, _ := sched.Arrive(noon, longCall(fmt.Sprint(number), uint64(number%100)))
				sched.Ended(noon, state, Outcome{Result: ClientGone})
			}
			call := longCall("a", 7)
			benchmark.ReportAllocs()
			for benchmark.Loop() {
				callState, _ := sched.Arrive(noon, call)
				sched.Ended(noon, callState, Outcome{Result: ClientGone})
			}
		})
	}
}
