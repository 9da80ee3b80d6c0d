package backlog

import (
	"math/rand/v2"
	"testing"
	"time"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func ask(ledger *Table, at time.Time, intent *Change, changes ...Change) map[string]int {
	answer := ledger.Apply(at, Request{Router: "asking", Group: "g", WantsCounts: true, Intent: intent, Changes: changes})
	counts := map[string]int{}
	for _, count := range answer.Counts {
		counts[count.Server] = count.Tokens
	}
	return counts
}

// TestIntentIsSeenByTheNext has an intent counted after its own answer and before the next.
func TestIntentIsSeenByTheNext(t *testing.T) {
	var ledger Table
	if counts := ask(&ledger, noon, &Change{Server: "a", Tokens: 900}); len(counts) != 0 {
		t.Errorf("the first answer: %v", counts)
	}
	if counts := ask(&ledger, noon, nil); counts["a"] != 900 {
		t.Errorf("after the intent: %v", counts)
	}
	if counts := ask(&ledger, noon, nil, Change{Server: "a", Tokens: -900}, Change{Server: "b", Tokens: 50}); counts["a"] != 0 || counts["b"] != 50 {
		t.Errorf("after the changes: %v", counts)
	}
}

// TestSharesLapse has the share of a router that is gone lapse, and only that.
func TestSharesLapse(t *testing.T) {
	var ledger Table
	ask(&ledger, noon, nil)
	lapses := noon.Add(ShareTTL + time.Millisecond)
	ledger.Apply(noon.Add(time.Millisecond), Request{Router: "gone", Group: "g", Changes: []Change{{Server: "a", Tokens: 700}}})
	ask(&ledger, noon.Add(ShareTTL/2), &Change{Server: "a", Tokens: 20})
	// The sweep of this moment finds it still held; what is told a moment later leaves it out.
	if counts := ask(&ledger, lapses.Add(-time.Millisecond), nil); counts["a"] != 720 {
		t.Errorf("before the end of the lease: %v", counts)
	}
	if counts := ask(&ledger, lapses, nil); counts["a"] != 20 {
		t.Errorf("at the end of the lease: %v", counts)
	}
	if counts := ask(&ledger, noon.Add(3*ShareTTL), nil); len(counts) != 0 || len(ledger.groups) != 0 {
		t.Errorf("after all leases: %v, %d groups", counts, len(ledger.groups))
	}
}

// TestNeverBelowZero has releases that come twice, or without what they release, do no
// harm to what others have sent.
func TestNeverBelowZero(t *testing.T) {
	var ledger Table
	ledger.Apply(noon, Request{Router: "other", Group: "g", Changes: []Change{{Server: "a", Tokens: 100}}})
	for range 3 {
		ask(&ledger, noon, nil, Change{Server: "a", Tokens: -400})
	}
	if counts := ask(&ledger, noon, nil); counts["a"] != 100 {
		t.Errorf("%v", counts)
	}
}

// TestAgainstSum compares the ledger with a plain sum over random changes of routers whose
// shares do not lapse.
func TestAgainstSum(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var ledger Table
	want := map[string]int{}
	under := map[shareKey]int{}
	servers, routers := []string{"a", "b", "c"}, []string{"x", "y", "z"}
	for range 5000 {
		holder := shareKey{servers[random.IntN(3)], routers[random.IntN(3)]}
		tokens := 1 + random.IntN(500)
		if under[holder] > 0 && random.IntN(2) == 0 {
			tokens = -under[holder]
		}
		under[holder] += tokens
		want[holder.server] += tokens
		ledger.Apply(noon, Request{Router: holder.router, Group: "g", Changes: []Change{{Server: holder.server, Tokens: tokens}}})
	}
	counts := ask(&ledger, noon, nil)
	for _, server := range servers {
		if counts[server] != want[server] {
			t.Errorf("%s: %d, want %d", server, counts[server], want[server])
		}
	}
}
