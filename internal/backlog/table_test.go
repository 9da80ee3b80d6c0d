package backlog

import (
	"math/rand/v2"
	"testing"
	"time"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// ask sends a request of the router "asking" to the table and returns the counts by server.
func ask(table *Table, at time.Time, intent *Change, changes ...Change) map[string]int {
	response := table.Apply(at, Request{Router: "asking", Group: "g", WantsCounts: true, Intent: intent, Changes: changes})
	counts := map[string]int{}
	for _, count := range response.Counts {
		counts[count.Server] = count.Tokens
	}
	return counts
}

// TestIntentIsSeenByTheNextRequest checks that an intent is counted after the response to its own
// request and before the next response.
func TestIntentIsSeenByTheNextRequest(t *testing.T) {
	var table Table
	if counts := ask(&table, noon, &Change{Server: "a", Tokens: 900}); len(counts) != 0 {
		t.Errorf("response to the request with the intent: got %v, want no counts", counts)
	}
	if counts := ask(&table, noon, nil); counts["a"] != 900 {
		t.Errorf("response after the intent: got %v, want 900 tokens for a", counts)
	}
	counts := ask(&table, noon, nil, Change{Server: "a", Tokens: -900}, Change{Server: "b", Tokens: 50})
	if counts["a"] != 0 || counts["b"] != 50 {
		t.Errorf("response after the changes: got %v, want 0 tokens for a and 50 for b", counts)
	}
}

// TestSharesExpire checks that the share of a stopped router expires ShareTTL after its last change, while
// the share of a router with a later change stays valid.
func TestSharesExpire(t *testing.T) {
	var table Table
	ask(&table, noon, nil)
	expires := noon.Add(ShareTTL + time.Millisecond)
	table.Apply(noon.Add(time.Millisecond), Request{Router: "gone", Group: "g", Changes: []Change{{Server: "a", Tokens: 700}}})
	ask(&table, noon.Add(ShareTTL/2), &Change{Server: "a", Tokens: 20})
	// The sweep of this request keeps the share, since it is still valid. The next response has to
	// leave the share out though no sweep has removed it.
	if counts := ask(&table, expires.Add(-time.Millisecond), nil); counts["a"] != 720 {
		t.Errorf("before the share expires: got %v, want 720 tokens for a", counts)
	}
	if counts := ask(&table, expires, nil); counts["a"] != 20 {
		t.Errorf("when the share expires: got %v, want 20 tokens for a", counts)
	}
	if counts := ask(&table, noon.Add(3*ShareTTL), nil); len(counts) != 0 || len(table.groups) != 0 {
		t.Errorf("after all shares have expired: got %v in %d groups, want none", counts, len(table.groups))
	}
}

// TestShareNeverFallsBelowZero checks that decreases that are received twice, or without the increase
// before them, don't reduce the shares of other routers.
func TestShareNeverFallsBelowZero(t *testing.T) {
	var table Table
	table.Apply(noon, Request{Router: "other", Group: "g", Changes: []Change{{Server: "a", Tokens: 100}}})
	for range 3 {
		ask(&table, noon, nil, Change{Server: "a", Tokens: -400})
	}
	if counts := ask(&table, noon, nil); counts["a"] != 100 {
		t.Errorf("got %v, want 100 tokens for a", counts)
	}
}

// TestCountsEqualSumOfChanges compares the table with a plain sum of random changes by routers whose
// shares don't expire.
func TestCountsEqualSumOfChanges(t *testing.T) {
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
			t.Errorf("count of %s: got %d, want %d", server, counts[server], want[server])
		}
	}
}
