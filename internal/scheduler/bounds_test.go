package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// arrivals are the moments of what is bounded over a span of time.
type arrivals []time.Time

// most is how many fall into any span of the length, and how many of the others fall
// into the same.
func (a arrivals) most(length time.Duration, others arrivals) (most int, beside int) {
	first, otherFirst, otherLast := 0, 0, 0
	for last, at := range a {
		for at.Sub(a[first]) >= length {
			first++
		}
		for otherLast < len(others) && !others[otherLast].After(at) {
			otherLast++
		}
		for otherFirst < otherLast && at.Sub(others[otherFirst]) >= length {
			otherFirst++
		}
		if last-first+1 > most {
			most, beside = last-first+1, otherLast-otherFirst
		}
	}
	return most, beside
}

// TestRetriesStayInTheBudget has all that routers send fail in ways that want a
// retry, with starts of routers between, and wants no span of ten seconds with
// more retries than are allowed.
func TestRetriesStayInTheBudget(t *testing.T) {
	for _, routers := range []int{1, 3, 9, 30, 85} {
		for seed := range uint64(4) {
			random := rand.New(rand.NewPCG(seed, 5))
			allowance := RetryAllowance{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
			if routers > 10 {
				allowance.Slack = 216
			}
			start := func(number int) *Scheduler {
				calls := New(Options{Router: fmt.Sprintf("courier-%d", number), Zone: "north", Retries: allowance})
				calls.SetRouterCount(routers)
				calls.SetRouteTable(Compile(plan(func(configuration *config.Configuration) { configuration.Routes[0].Calls.MaxAttempts = 5 }), 1, 1))
				calls.SetServers(noon, servers(9))
				return calls
			}
			var windows []*Scheduler
			for number := range routers {
				windows = append(windows, start(number))
			}
			var a, extra arrivals
			for now := noon; now.Before(noon.Add(60 * time.Second)); now = now.Add(20 * time.Millisecond) {
				number := random.IntN(routers)
				if random.IntN(200) == 0 {
					windows[number] = start(number)
				}
				state, decision := windows[number].Arrive(now, longCall(fmt.Sprint(now.UnixNano()), uint64(random.IntN(20))))
				a = append(a, now)
				counted, taken := 0, false
				for state != nil && (decision.Kind == Prefill || decision.Kind == Generate) {
					outcome := Outcome{Result: []Result{NotStarted, TimedOut, Misdirected, Interrupted}[random.IntN(4)], FirstByte: now}
					if decision.Kind == Prefill && random.IntN(2) == 0 {
						outcome = Outcome{Result: Complete, Handle: "h"}
					}
					if decision.Kind == Generate || outcome.Result != Complete || taken {
						counted++
						if counted > 1 {
							extra = append(extra, now)
						}
					}
					taken = taken || outcome.Result == Complete
					decision = windows[number].Ended(now, state, outcome)
				}
			}
			most, beside := extra.most(allowance.Window, a)
			if allowed := allowance.Ratio*float64(beside) + allowance.Slack; float64(most) > allowed {
				t.Errorf("%d couriers: %d further tries for %d calls in a span, %.0f allowed", routers, most, beside, allowed)
			}
			if len(extra) == 0 {
				t.Errorf("%d couriers tried nothing further", routers)
			}
		}
	}
}

// TestWarmingServersGetFewCalls has all routers press on servers that all are warming, and
// wants no second with more calls at one of them than it stands.
// A server that becomes warm is the emptiest of all, and every router learns it at the
// same moment, which the list tells a little too early.
func TestServersThatAreWarmAgainAreNotRunTo(t *testing.T) {
	const routers, early = 72, 300 * time.Millisecond
	var windows []*Scheduler
	for number := range routers {
		calls := New(Options{Router: routerNames(routers, "courier")[number], Zone: "north"})
		calls.SetRouterCount(routers)
		calls.SetRouters(routerNames(routers, "courier"))
		calls.SetRouteTable(Compile(plan(nil), 1, 1))
		windows = append(windows, calls)
	}
	list := servers(40)
	warming := &list[len(list)-1]
	warming.Zone, warming.Warming = "north", 3*time.Second
	for _, calls := range windows {
		calls.SetServers(noon, list)
	}
	var loads []Load
	for position := range list {
		loads = append(loads, Load{
			Server:      list[position].Name,
			Role:        list[position].Part,
			Running:     60,
			MemoryUsed:  100_000,
			MemoryTotal: 300_000,
		})
	}
	loads[len(loads)-1].Running, loads[len(loads)-1].MemoryUsed = 0, 0
	random := rand.New(rand.NewPCG(72, 5))
	var sent arrivals
	later := 0
	for now := noon; now.Before(noon.Add(8 * time.Second)); now = now.Add(2 * time.Millisecond) {
		number := random.IntN(routers)
		if now.Sub(noon)%(250*time.Millisecond) == 0 {
			for _, calls := range windows {
				calls.SetLoads(now, loads)
			}
		}
		state, decision := windows[number].Arrive(now, chatCall(fmt.Sprint(now.UnixNano())))
		for state != nil && (decision.Kind == Prefill || decision.Kind == Generate) {
			if decision.Server.Name == warming.Name {
				if now.Before(noon.Add(3*time.Second + early)) {
					sent = append(sent, now)
				} else {
					later++
				}
			}
			// The others are kept busy: nothing ends there.
			if decision.Server.Name != warming.Name {
				break
			}
			decision = windows[number].Ended(now, state, Outcome{Result: Complete, Handle: "h", FirstByte: now})
		}
	}
	if most, _ := sent.most(time.Second, nil); most > 19 {
		t.Errorf("a cold server got %d calls in a second", most)
	}
	if later == 0 {
		t.Error("a warm server gets nothing")
	}
}

func TestWarmingServersGetFewCalls(t *testing.T) {
	for _, routers := range []int{1, 3, 9, 30, 85} {
		for _, known := range []bool{true, false} {
			var windows []*Scheduler
			for number := range routers {
				calls := New(Options{Router: routerNames(routers, "courier")[number], Zone: "north"})
				if known {
					calls.SetRouterCount(routers)
					calls.SetRouters(routerNames(routers, "courier"))
				}
				calls.SetRouteTable(Compile(plan(nil), 1, 1))
				list := servers(9)
				for position := range list {
					list[position].Warming = 30 * time.Second
				}
				calls.SetServers(noon, list)
				windows = append(windows, calls)
			}
			random := rand.New(rand.NewPCG(uint64(routers), 5))
			sent := map[string]arrivals{}
			total := 0
			for now := noon; now.Before(noon.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
				number := random.IntN(routers)
				// Now and then all of them are left alone, so that each has saved up.
				if now.Sub(noon)%(5*time.Second) > 3*time.Second {
					continue
				}
				call := chatCall(fmt.Sprint(now.UnixNano()))
				if random.IntN(2) == 0 {
					call = longCall(call.ID, uint64(random.IntN(20)))
				}
				state, decision := windows[number].Arrive(now, call)
				for state != nil && (decision.Kind == Prefill || decision.Kind == Generate) {
					sent[decision.Server.Name] = append(sent[decision.Server.Name], now)
					total++
					decision = windows[number].Ended(now, state, Outcome{Result: Complete, Handle: "h", FirstByte: now})
				}
			}
			for name, a := range sent {
				if most, _ := a.most(time.Second, nil); most > 19 {
					t.Errorf("%d couriers, known %v: %s got %d calls in a second", routers, known, name, most)
				}
			}
			if total == 0 && known {
				t.Errorf("%d couriers: nothing was sent", routers)
			}
		}
	}
}

// TestHomesAgree wants routers to come to the same prefill server for a chain without talk,
// and few chains to move when a server leaves.
func TestHomesAgree(t *testing.T) {
	home := func(router, zone string, count int, without string, chain uint64) string {
		calls := New(Options{Router: router, Zone: zone})
		calls.SetRouteTable(Compile(plan(nil), 1, 1))
		list := servers(count)
		for position := range list {
			list[position].Leaving = list[position].Name == without
		}
		calls.SetServers(noon, list)
		call := longCall("a", chain)
		c := calls.newCycle(noon, &CallState{call: call, routeRule: calls.routes.Load().hosts["long.example"][0],
			service: calls.routes.Load().services["desk"], deadline: noon.Add(time.Second)})
		c.findHomes()
		return c.homePrefill.server.Name + " " + c.homeDecode.server.Name
	}
	counts := map[string]int{}
	moved := 0
	const chains = 300
	for chain := range uint64(chains) {
		first, second := home("courier-1", "north", 20, "", chain), home("courier-2", "west", 20, "", chain)
		if first != second {
			t.Fatalf("chain %d: %s and %s", chain, first, second)
		}
		counts[first]++
		if home("courier-1", "north", 20, "stove-0", chain) != first {
			moved++
		}
	}
	prefillServers := 0
	for _, server := range servers(20) {
		if server.Part == prefill {
			prefillServers++
		}
	}
	if moved > chains*2/prefillServers {
		t.Errorf("%d of %d chains moved when one of %d readers left", moved, chains, prefillServers)
	}
	if len(counts) < prefillServers {
		t.Errorf("%d homes of %d readers", len(counts), prefillServers)
	}
}

// BenchmarkArrive measures what a choice costs at several sizes.
func BenchmarkArrive(benchmark *testing.B) {
	for _, count := range []int{9, 60, 140, 1100} {
		benchmark.Run(fmt.Sprint(count), func(benchmark *testing.B) {
			calls := opened(count)
			for number := range 2000 {
				state, _ := calls.Arrive(noon, longCall(fmt.Sprint(number), uint64(number%100)))
				calls.Ended(noon, state, Outcome{Result: ClientGone})
			}
			call := longCall("a", 7)
			benchmark.ReportAllocs()
			for benchmark.Loop() {
				callState, _ := calls.Arrive(noon, call)
				calls.Ended(noon, callState, Outcome{Result: ClientGone})
			}
		})
	}
}
