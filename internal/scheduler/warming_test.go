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

// TestServersOfAZoneThatComesBackCountAsWarming ends an evacuation, and checks that the zone's servers get no
// more calls in the next second than warming servers may: a slow start of theirs may have begun during the
// evacuation, and the list may show it only later. A minute later they must get more calls.
func TestServersOfAZoneThatComesBackCountAsWarming(t *testing.T) {
	sched := New(Options{Router: "courier-1", Zone: "north", Retries: RetryAllowance{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}})
	sched.SetRouterCount(1)
	list := servers(9)
	sched.SetServers(noon, list)
	compile := func(number uint64, evacuated bool) *RouteTable {
		return Compile(testConfiguration(func(configuration *config.Configuration) {
			if evacuated {
				configuration.Evacuations = map[string]config.Evacuation{"north": {}}
			}
		}), 1, number)
	}
	sched.SetRouteTable(compile(1, true))
	north := map[string]bool{}
	for _, server := range list {
		north[server.Name] = server.Zone == "north"
	}
	arrive := func(number int, now time.Time) string {
		state, decision := sched.Arrive(now, &Call{
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
			t.Fatalf("%s got a call though its zone is evacuated", server)
		}
	}
	back := noon.Add(time.Second)
	sched.SetRouteTable(compile(2, false))
	counts := map[string]int{}
	for number := range 400 {
		counts[arrive(1000+number, back.Add(time.Duration(number)*2500*time.Microsecond))]++
	}
	for server, count := range counts {
		if north[server] && count > 12 {
			t.Errorf("%s got %d calls in the first second after the evacuation of its zone, want at most 12", server, count)
		}
	}
	// A minute later the servers no longer count as warming.
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
		t.Errorf("a minute later the zone's servers got at most %d calls in a second, want more than 12", most)
	}
}

// TestReturnedZoneIsNotOverloadedBeforeTheNextList ends an evacuation before the next list arrives. For as long
// as the zone's servers may be in slow start, they must get no more calls than warming servers may.
func TestReturnedZoneIsNotOverloadedBeforeTheNextList(t *testing.T) {
	sched := New(Options{Router: "router", Zone: "north"})
	sched.SetRouterCount(1)
	list := servers(9)
	sched.SetServers(noon, list)
	evacuated := testConfiguration(func(configuration *config.Configuration) {
		configuration.Evacuations = map[string]config.Evacuation{"north": {}}
	})
	sched.SetRouteTable(Compile(evacuated, 1, 1))
	sched.Arrive(noon, chatCall("before"))
	sched.SetRouteTable(Compile(testConfiguration(nil), 1, 2))
	warming := evacuated.Services["desk"].Warming
	sent := map[string]timestamps{}
	for now := noon; now.Before(noon.Add(warming.Duration)); now = now.Add(2 * time.Millisecond) {
		state, decision := sched.Arrive(now, chatCall(now.String()))
		if state != nil && decision.Server.Zone == "north" {
			sent[decision.Server.Name] = append(sent[decision.Server.Name], now)
		}
	}
	if len(sent) == 0 {
		t.Error("no calls were sent to the zone")
	}
	for name, times := range sent {
		if most, _ := times.maxInSpan(time.Second, nil); float64(most) > warmingBound(warming.RequestsPerSecond) {
			t.Errorf("%s got %d calls in a second, want at most %.1f", name, most, warmingBound(warming.RequestsPerSecond))
		}
	}
}

// newWarmingSchedulers returns the schedulers of routers that know one another and have the same list of
// servers.
func newWarmingSchedulers(names []string, perSecond float64, list []membership.Server) []*Scheduler {
	routes := Compile(testConfiguration(func(configuration *config.Configuration) {
		service := configuration.Services["desk"]
		service.Warming.RequestsPerSecond = perSecond
		configuration.Services["desk"] = service
	}), 1, 1)
	var schedulers []*Scheduler
	for _, name := range names {
		sched := New(Options{Router: name, Zone: "north"})
		sched.SetRouterCount(len(names))
		sched.SetRouters(names)
		sched.SetRouteTable(routes)
		sched.SetServers(noon, list)
		schedulers = append(schedulers, sched)
	}
	return schedulers
}

// routerNames returns the names of count routers, which begin with seed.
func routerNames(count int, seed string) []string {
	names := make([]string, count)
	for number := range names {
		names[number] = seed + "-" + strconv.Itoa(number)
	}
	return names
}

// warmingBound returns the platform's bound on the requests to a warming server in any second.
func warmingBound(perSecond float64) float64 { return perSecond*1.5 + 5 }

// mostInASecond returns the largest number of calls that a rate limit admits in any second, if a call is always
// waiting.
func mostInASecond(rate float64) int {
	var limit rateLimit
	var sent timestamps
	for now := noon; now.Before(noon.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if limit.take(now, rate) {
			sent = append(sent, now)
		}
	}
	most, _ := sent.maxInSpan(time.Second, nil)
	return most
}

// TestWarmingServerIsNotOverloadedByManySenders checks for every server of a large fleet that the calls which
// all routers together may send to it in a second are within the bound.
func TestWarmingServerIsNotOverloadedByManySenders(t *testing.T) {
	const perSecond, routers = 8.8, 300
	list := servers(256)
	for position := range list {
		list[position].Warming = 3 * time.Second
	}
	burst := map[float64]int{}
	for _, seed := range strings.Split("abcdefghijkl", "") {
		sum, senders := make([]int, len(list)), make([]int, len(list))
		for _, sched := range newWarmingSchedulers(routerNames(routers, seed), perSecond, list) {
			table := sched.routes.Load()
			c := sched.newCycle(noon, &CallState{call: chatCall("a"), routeRule: table.hosts["chat.example"][0], service: table.services["desk"]})
			for position, b := range c.backends {
				rate, sends := c.warmingRate(b)
				if !sends {
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
			t.Errorf("names %s: up to %d routers send %d calls in a second to one warming server, want at most %.1f",
				seed, slices.Max(senders), worst, warmingBound(perSecond))
		}
		if slices.Min(senders) == 0 {
			t.Errorf("names %s: no router sends to one of the warming servers", seed)
		}
	}
}

// TestRouterWithoutNamesSendsNothingToWarmingServers checks that a router sends calls to warming servers only
// if there are few routers or if it is one of the recorded ones.
func TestRouterWithoutNamesSendsNothingToWarmingServers(t *testing.T) {
	list := servers(9)
	for position := range list {
		list[position].Warming = time.Minute
	}
	for _, row := range []struct {
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
		sched := New(Options{Router: "router", Zone: "north"})
		sched.SetRouterCount(row.count)
		if row.names != nil {
			sched.SetRouters(row.names)
		}
		sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
		sched.SetServers(noon, list)
		sent := 0
		for step := range 400 {
			now := noon.Add(time.Duration(step) * 10 * time.Millisecond)
			state, decision := sched.Arrive(now, chatCall(strconv.Itoa(step)))
			if state != nil {
				sent++
				if decision.Kind != Generate && decision.Kind != Prefill {
					t.Fatalf("got %+v, want a dispatch", decision)
				}
			}
		}
		if (sent > 0) != row.sends {
			t.Errorf("%d routers, names %v: got %d calls sent, want at least one: %v", row.count, row.names, sent, row.sends)
		}
	}
}

// routerRanking is a sorted list of routers with the rank of each router for a server.
type routerRanking struct {
	names []string
	ranks []int
}

// rankRouters ranks routers for a server.
func rankRouters(names []string, server uint64) routerRanking {
	sorted := slices.Sorted(slices.Values(names))
	list := newRouterList(sorted, "")
	ranks := make([]int, len(sorted))
	for position := range sorted {
		list.own = position
		ranks[position] = list.rank(server)
	}
	return routerRanking{sorted, ranks}
}

// mostSent returns how many calls all routers together may send to a server in a second, if each router uses the
// list that lets it send the most. Since a call may be sent 0.2 s late, the tokens of 1.2 s count.
func mostSent(perSecond float64, lists []routerRanking) int {
	most, sum := map[string]int{}, 0
	for _, list := range lists {
		senders, rate := warmingShares(perSecond, len(list.names))
		// After a call the bucket is empty, since it holds one token at most.
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

// differingLists returns four lists of routers: one with all routers, one without the differing routers, and
// two with some of the differing routers. In half of the cases the differing routers have the highest ranks
// for the server.
func differingLists(random *rand.Rand, routers, differing int, server uint64) []routerRanking {
	names := routerNames(routers+differing, strconv.Itoa(random.IntN(1<<20)))
	random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	if random.IntN(2) == 0 {
		slices.SortFunc(names, func(left, right string) int {
			return cmp.Compare(rendezvousWeight(nameKey(right), server), rendezvousWeight(nameKey(left), server))
		})
	}
	differingNames, commonNames := names[:differing], names[differing:]
	lists := []routerRanking{rankRouters(names, server), rankRouters(commonNames, server)}
	for range 2 {
		list := slices.Clone(commonNames)
		for _, name := range differingNames {
			if random.IntN(2) == 0 {
				list = append(list, name)
			}
		}
		lists = append(lists, rankRouters(list, server))
	}
	return lists
}

// TestWarmingSendersStayInTheBoundWithDifferingLists checks the bound on calls to a warming server for routers
// whose lists of routers differ by three, if each router sends as many calls as any of the lists lets it.
func TestWarmingSendersStayInTheBoundWithDifferingLists(t *testing.T) {
	random := rand.New(rand.NewPCG(300, 35))
	for routers := 7; routers <= 330-3; routers++ {
		for range 2 {
			lists := differingLists(random, routers, 3, random.Uint64())
			for perSecond := 1.0; perSecond <= 40; perSecond += 0.1 {
				if sum := mostSent(perSecond, lists); float64(sum) > warmingBound(perSecond) {
					t.Fatalf("%d to %d routers, %.1f calls per second: got %d in a second, want at most %.1f",
						routers, routers+3, perSecond, sum, warmingBound(perSecond))
				}
			}
		}
	}
}

// TestWarmingCountsDistinguishSlowStartsLearnedLate checks that dispatches to a server known to be warming are
// counted as such, and slow starts that the list shows only after a dispatch as learned late.
func TestWarmingCountsDistinguishSlowStartsLearnedLate(t *testing.T) {
	list := servers(2)
	list[0].Leaving, list[1].Role, list[1].Warming = true, decode, time.Second
	sched := New(Options{Router: "router", Zone: "north"})
	sched.SetRouterCount(1)
	sched.SetRouteTable(Compile(testConfiguration(nil), 1, 1))
	sched.SetServers(noon, list)
	sched.SetListRead(noon)
	arrive := func(now time.Time) bool {
		state, decision := sched.Arrive(now, chatCall(now.String()))
		return state != nil && decision.Server.Name == list[1].Name
	}
	if arrive(noon) || !arrive(noon.Add(900*time.Millisecond)) {
		t.Fatal("a warming server got a call at the start, or none 0.9 s later")
	}
	want := WarmingCounts{Dispatches: 1, ListAge: 900 * time.Millisecond, MaxListAge: 900 * time.Millisecond}
	if got := sched.WarmingCounts(); got != want {
		t.Errorf("known slow start: got %+v, want %+v", got, want)
	}
	slowStart := noon.Add(time.Minute)
	if !arrive(slowStart.Add(time.Second)) {
		t.Fatal("the server got no call after its slow start")
	}
	// Two of the three seconds of the next slow start have passed when the list shows it.
	list[1].Warming = time.Second
	sched.SetServers(slowStart.Add(2*time.Second), list)
	sched.SetServers(slowStart.Add(2100*time.Millisecond), list)
	want.LateNotices = 1
	if got := sched.WarmingCounts(); got != want {
		t.Errorf("slow start learned late: got %+v, want %+v", got, want)
	}
	// The next slow start begins after the last call.
	list[1].Warming = 3 * time.Second
	sched.SetServers(slowStart.Add(time.Minute), list)
	if got := sched.WarmingCounts(); got != want {
		t.Errorf("slow start learned in time: got %+v, want %+v", got, want)
	}
}
