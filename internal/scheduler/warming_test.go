package scheduler

import (
	"strconv"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
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
