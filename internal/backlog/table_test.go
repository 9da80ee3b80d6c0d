package backlog

import (
	"math/rand/v2"
	"testing"
	"time"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func ask(table *Table, at time.Time, intent *Change, changes ...Change) map[string]int {
	response := table.Apply(at, Request{Router: "asking", Group: "g", WantsCounts: true, Intent: intent, Changes: changes})
	counts := map[string]int{}
	for _, count := range response.Counts {
		counts[count.Server] = count.Tokens
	}
	return counts
}

// TestIntentIsSeenByTheNext has an intent counted after its own response and before the next.
func TestIntentIsSeenByTheNext(t *testing.T) {
	var table Table
	if counts := ask(&table, noon, &Change{Server: "a", Tokens: 900}); len(counts) != 0 {
		t.Errorf("the first answer: %v", counts)
	}
	if counts := ask(&table, noon, nil); counts["a"] != 900 {
		t.Errorf("after the intent: %v", counts)
	}
	counts := ask(&table, noon, nil, Change{Server: "a", Tokens: -900}, Change{Server: "b", Tokens: 50})
	if counts["a"] != 0 || counts["b"] != 50 {
		t.Errorf("after the changes: %v", counts)
	}
}

// TestSharesLapse has the share of a router that is gone lapse, and only that.
func TestSharesLapse(t *testing.T) {
	var table Table
	ask(&table, noon, nil)
	lapses := noon.Add(ShareTTL + time.Millisecond)
	table.Apply(noon.Add(time.Millisecond), Request{Router: "gone", Group: "g", Changes: []Change{{Server: "a", Tokens: 700}}})
	ask(&table, noon.Add(ShareTTL/2), &Change{Server: "a", Tokens: 20})
	// The sweep of this moment finds it still valid; the response a moment later leaves it out.
	if counts := ask(&table, lapses.Add(-time.Millisecond), nil); counts["a"] != 720 {
		t.Errorf("before the end of the lease: %v", counts)
	}
	if counts := ask(&table, lapses, nil); counts["a"] != 20 {
		t.Errorf("at the end of the lease: %v", counts)
	}
	if counts := ask(&table, noon.Add(3*ShareTTL), nil); len(counts) != 0 || len(table.groups) != 0 {
		t.Errorf("after all leases: %v, %d groups", counts, len(table.groups))
	}
}

// TestNeverBelowZero has releases that come twice, or without what they release, do no
// harm to what others have sent.
func TestNeverBelowZero(t *testing.T) {
	var table Table
	table.Apply(noon, Request{Router: "other", Group: "g", Changes: []Change{{Server: "a", Tokens: 100}}})
	for range 3 {
		ask(&table, noon, nil, Change{Server: "a", Tokens: -400})
	}
	if counts := ask(&table, noon, nil); counts["a"] != 100 {
		t.Errorf("%v", counts)
	}
}

// TestAgainstSum compares the table with a plain sum over random changes of routers whose
// shares do not lapse.
func TestAgainstSum(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var table Table
	want := map[string]int{}
	pending := map[shareKey]int{}
	servers, routers := []string{"a", "b", "c"}, []string{"x", "y", "z"}
	for range 5000 {
		key := shareKey{servers[random.IntN(3)], routers[random.IntN(3)]}
		tokens := 1 + random.IntN(500)
		if pending[key] > 0 && random.IntN(2) == 0 {
			tokens = -pending[key]
		}
		pending[key] += tokens
		want[key.server] += tokens
		table.Apply(noon, Request{Router: key.router, Group: "g", Changes: []Change{{Server: key.server, Tokens: tokens}}})
	}
	counts := ask(&table, noon, nil)
	for _, server := range servers {
		if counts[server] != want[server] {
			t.Errorf("%s: %d, want %d", server, counts[server], want[server])
		}
	}
}
