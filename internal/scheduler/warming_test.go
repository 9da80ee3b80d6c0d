package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// TestServersOfAZoneThatComesBackCountAsWarming takes an evacuation back, and wants the
// zone's servers to get no more in the next second than warming ones stand: they may
// have become cold while nobody used them, and the list tells that later.
func TestServersOfAZoneThatComesBackCountAsWarming(t *testing.T) {
	calls := New(Options{Router: "courier-1", Zone: "north", Retries: RetryAllowance{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}})
	calls.SetRouterCount(1)
	list := servers(9)
	calls.SetServers(noon, list)
	compile := func(number uint64, evacuated bool) *RouteTable {
		return Compile(plan(func(configuration *config.Configuration) {
			if evacuated {
				configuration.Evacuations = map[string]config.Evacuation{"north": {}}
			}
		}), 1, number)
	}
	calls.SetRouteTable(compile(1, true))
	north := map[string]bool{}
	for _, server := range list {
		north[server.Name] = server.Zone == "north"
	}
	arrive := func(number int, now time.Time) string {
		state, decision := calls.Arrive(now, &Call{
			ID:           "call-" + strconv.Itoa(number),
			Host:         "chat.example",
			Path:         "/one",
			Model:        "m",
			PromptTokens: 300,
			OutputTokens: 30,
			Deadline:     now.Add(8 * time.Second),
		})
		if state == nil {
			t.Fatalf("call %d was refused: %+v", number, decision)
		}
		return decision.Server.Name
	}
	for number := range 100 {
		if server := arrive(number, noon); north[server] {
			t.Fatalf("%s is in an evacuated district", server)
		}
	}
	back := noon.Add(time.Second)
	calls.SetRouteTable(compile(2, false))
	counts := map[string]int{}
	for number := range 400 {
		counts[arrive(1000+number, back.Add(time.Duration(number)*2500*time.Microsecond))]++
	}
	for server, count := range counts {
		if north[server] && count > 12 {
			t.Errorf("%s got %d calls in the first second after its district came back", server, count)
		}
	}
	// Long after it nothing of that is left.
	later := back.Add(time.Minute)
	counts = map[string]int{}
	for number := range 400 {
		counts[arrive(5000+number, later.Add(time.Duration(number)*2500*time.Microsecond))]++
	}
	most := 0
	for server, count := range counts {
		if north[server] {
			most = max(most, count)
		}
	}
	if most <= 12 {
		t.Errorf("a minute later the district's servers got %d calls a second at most", most)
	}
}

// TestReturnedZoneIsNotFloodedBeforeTheListTells takes an evacuation back, sends no further list,
// and wants the zone's servers to stay in the bound for as long as they may be cold.
func TestReturnedZoneIsNotFloodedBeforeTheListTells(t *testing.T) {
	calls := New(Options{Router: "router", Zone: "north"})
	calls.SetRouterCount(1)
	list := servers(9)
	calls.SetServers(noon, list)
	evacuated := plan(func(configuration *config.Configuration) {
		configuration.Evacuations = map[string]config.Evacuation{"north": {}}
	})
	calls.SetRouteTable(Compile(evacuated, 1, 1))
	calls.Arrive(noon, chatCall("before"))
	calls.SetRouteTable(Compile(plan(nil), 1, 2))
	warming := evacuated.Services["desk"].Warming
	sent := map[string]arrivals{}
	for now := noon; now.Before(noon.Add(warming.Duration)); now = now.Add(2 * time.Millisecond) {
		state, decision := calls.Arrive(now, chatCall(now.String()))
		if state != nil && decision.Server.Zone == "north" {
			sent[decision.Server.Name] = append(sent[decision.Server.Name], now)
		}
	}
	if len(sent) == 0 {
		t.Error("nothing was sent to the zone")
	}
	for name, moments := range sent {
		if most, _ := moments.most(time.Second, nil); float64(most) > warmingBound(warming.RequestsPerSecond) {
			t.Errorf("%s got %d calls in a second", name, most)
		}
	}
}

// warmingFleet is the schedulers of routers that know one another and list the same servers.
func warmingFleet(names []string, perSecond float64, list []membership.Server) []*Scheduler {
	routes := Compile(plan(func(configuration *config.Configuration) {
		service := configuration.Services["desk"]
		service.Warming.RequestsPerSecond = perSecond
		configuration.Services["desk"] = service
	}), 1, 1)
	var fleet []*Scheduler
	for _, name := range names {
		calls := New(Options{Router: name, Zone: "north"})
		calls.SetRouterCount(len(names))
		calls.SetRouters(names)
		calls.SetRouteTable(routes)
		calls.SetServers(noon, list)
		fleet = append(fleet, calls)
	}
	return fleet
}

func routerNames(count int, seed string) []string {
	names := make([]string, count)
	for number := range names {
		names[number] = seed + "-" + strconv.Itoa(number)
	}
	return names
}

// warmingBound is the platform's bound on requests to a warming server in any second.
func warmingBound(perSecond float64) float64 { return perSecond*1.5 + 5 }

// mostInASecond is how many calls a rate limit lets through in the worst second, under steady
// pressure.
func mostInASecond(rate float64) int {
	var limit rateLimit
	var sent arrivals
	for now := noon; now.Before(noon.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if limit.take(now, rate) {
			sent = append(sent, now)
		}
	}
	most, _ := sent.most(time.Second, nil)
	return most
}

// TestWarmingServerIsNotFloodedByManySenders wants that what all routers may send to one
// warming server in a second stays in the bound, for every server of a large fleet.
func TestWarmingServerIsNotFloodedByManySenders(t *testing.T) {
	const perSecond, routers = 8.8, 300
	list := servers(256)
	for position := range list {
		list[position].Warming = 3 * time.Second
	}
	burst := map[float64]int{}
	for _, seed := range strings.Split("abcdefghijkl", "") {
		sum, senders := make([]int, len(list)), make([]int, len(list))
		for _, calls := range warmingFleet(routerNames(routers, seed), perSecond, list) {
			table := calls.routes.Load()
			c := calls.newCycle(noon, &CallState{call: chatCall("a"), routeRule: table.hosts["chat.example"][0], service: table.services["desk"]})
			for position, b := range c.backends {
				rate, takes := c.warmingRate(b)
				if !takes {
					continue
				}
				if _, known := burst[rate]; !known {
					burst[rate] = mostInASecond(rate)
				}
				senders[position]++
				sum[position] += burst[rate]
			}
		}
		if worst := slices.Max(sum); float64(worst) > warmingBound(perSecond) {
			t.Errorf("names %s: %d routers send %d calls in a second to one warming server, %.1f are allowed", seed, slices.Max(senders), worst, warmingBound(perSecond))
		}
		if slices.Min(senders) == 0 {
			t.Errorf("names %s: nobody sends to some warming server", seed)
		}
	}
}

// TestRouterWithoutNamesSendsNothingToWarmingServers has only the number of routers known.
func TestRouterWithoutNamesSendsNothingToWarmingServers(t *testing.T) {
	list := servers(9)
	for position := range list {
		list[position].Warming = time.Minute
	}
	for _, known := range []struct {
		count int
		names []string
		sends bool
	}{
		{fewRouters, nil, true},
		{fewRouters + 1, nil, false},
		{0, nil, false},
		{fewRouters + 1, routerNames(fewRouters+1, "other"), false},
		{fewRouters + 1, []string{"router"}, true},
	} {
		calls := New(Options{Router: "router", Zone: "north"})
		calls.SetRouterCount(known.count)
		if known.names != nil {
			calls.SetRouters(known.names)
		}
		calls.SetRouteTable(Compile(plan(nil), 1, 1))
		calls.SetServers(noon, list)
		sent := 0
		for step := range 400 {
			now := noon.Add(time.Duration(step) * 10 * time.Millisecond)
			state, decision := calls.Arrive(now, chatCall(strconv.Itoa(step)))
			if state != nil {
				sent++
				if decision.Kind != Generate && decision.Kind != Prefill {
					t.Fatalf("%+v", decision)
				}
			}
		}
		if (sent > 0) != known.sends {
			t.Errorf("%d routers, names %v: %d calls were sent", known.count, known.names, sent)
		}
	}
}

// rankedFor is a list of routers and, for each, its rank for a server.
type rankedFor struct {
	names []string
	ranks []int
}

func rankRouters(names []string, server uint64) rankedFor {
	sorted := slices.Sorted(slices.Values(names))
	list := newRouterList(sorted, "")
	ranks := make([]int, len(sorted))
	for position := range sorted {
		list.own = position
		ranks[position] = list.rank(server)
	}
	return rankedFor{sorted, ranks}
}

// mostSent is how many calls routers may send to a server in a second, each by the worst of the
// lists that have it. A call may leave 0.2 s late, so that 1.2 s are looked at.
func mostSent(perSecond float64, lists []rankedFor) int {
	most, sum := map[string]int{}, 0
	for _, list := range lists {
		senders, rate := warmingShares(perSecond, len(list.names))
		// The bucket is empty after a call, and holds one at most.
		burst := int(math.Ceil(1.2 * rate))
		for position, name := range list.names {
			if list.ranks[position] < senders && most[name] < burst {
				sum += burst - most[name]
				most[name] = burst
			}
		}
	}
	return sum
}

// differingLists are lists of routers: all have the same ones and some of so many more. In every
// other case these are the first for the server.
func differingLists(random *rand.Rand, routers, differing int, server uint64) []rankedFor {
	names := routerNames(routers+differing, strconv.Itoa(random.IntN(1<<20)))
	random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	if random.IntN(2) == 0 {
		slices.SortFunc(names, func(left, right string) int {
			return cmp.Compare(rendezvousWeight(nameKey(right), server), rendezvousWeight(nameKey(left), server))
		})
	}
	some, all := names[:differing], names[differing:]
	lists := []rankedFor{rankRouters(names, server), rankRouters(all, server)}
	for range 2 {
		list := slices.Clone(all)
		for _, name := range some {
			if random.IntN(2) == 0 {
				list = append(list, name)
			}
		}
		lists = append(lists, rankRouters(list, server))
	}
	return lists
}

// TestWarmingSendersStayInTheBoundWithDifferingLists has routers whose lists of one another
// differ by three, each sending as much in the worst second as any of the lists lets it.
func TestWarmingSendersStayInTheBoundWithDifferingLists(t *testing.T) {
	random := rand.New(rand.NewPCG(300, 35))
	for routers := 7; routers <= 330-3; routers++ {
		for range 2 {
			lists := differingLists(random, routers, 3, random.Uint64())
			for perSecond := 1.0; perSecond <= 40; perSecond += 0.1 {
				if sum := mostSent(perSecond, lists); float64(sum) > warmingBound(perSecond) {
					t.Fatalf("%d to %d routers, %.1f calls a second: %d in a second, %.1f are allowed", routers, routers+3, perSecond, sum, warmingBound(perSecond))
				}
			}
		}
	}
}

// TestWarmingCountsTellLateNewsFromManySenders sends to a server known to be warming, and to one
// whose slow start the list tells only afterwards.
func TestWarmingCountsTellLateNewsFromManySenders(t *testing.T) {
	list := servers(2)
	list[0].Leaving, list[1].Part, list[1].Warming = true, decode, time.Second
	calls := New(Options{Router: "router", Zone: "north"})
	calls.SetRouterCount(1)
	calls.SetRouteTable(Compile(plan(nil), 1, 1))
	calls.SetServers(noon, list)
	calls.SetListRead(noon)
	arrive := func(now time.Time) bool {
		state, decision := calls.Arrive(now, chatCall(now.String()))
		return state != nil && decision.Server.Name == list[1].Name
	}
	if arrive(noon) || !arrive(noon.Add(900*time.Millisecond)) {
		t.Fatal("a warming server takes a call at the start, or none later")
	}
	want := WarmingCounts{Dispatches: 1, ListAge: 900 * time.Millisecond, MostListAge: 900 * time.Millisecond}
	if got := calls.WarmingCounts(); got != want {
		t.Errorf("known: %+v", got)
	}
	cold := noon.Add(time.Minute)
	if !arrive(cold.Add(time.Second)) {
		t.Fatal("a warm server takes no call")
	}
	// It has been cold for two of its three seconds.
	list[1].Warming = time.Second
	calls.SetServers(cold.Add(2*time.Second), list)
	calls.SetServers(cold.Add(2100*time.Millisecond), list)
	want.LateNews = 1
	if got := calls.WarmingCounts(); got != want {
		t.Errorf("late: %+v", got)
	}
	// This one goes cold after the last call there.
	list[1].Warming = 3 * time.Second
	calls.SetServers(cold.Add(time.Minute), list)
	if got := calls.WarmingCounts(); got != want {
		t.Errorf("in time: %+v", got)
	}
}
