package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// tenSeconds is the retry allowance of the tests in this file, with a window of ten seconds.
var tenSeconds = RetryAllowance{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}

// TestBudgetAllowsBurst checks that a burst of failures may use the whole budget that the calls of the window
// allow.
func TestBudgetAllowsBurst(t *testing.T) {
	var budget retryBudget
	now := noon
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		budget.first(now, tenSeconds)
	}
	spent := 0
	for budget.spend(now, 1, tenSeconds, 10) {
		spent++
	}
	// About a hundred calls allow 100 * 0.2 * ratioUsed retries, and a tenth of the slack allows
	// 100 / 10 * slackUsed more: 23 together.
	if spent < 20 || spent > 23 {
		t.Errorf("got %d retries at once, want 20 to 23", spent)
	}
	if budget.spend(now.Add(5*time.Second), 1, tenSeconds, 10) {
		t.Error("a retry was allowed in the same window")
	}
	if !budget.spend(now.Add(11*time.Second), 1, tenSeconds, 10) {
		t.Error("no retry was allowed in the next window")
	}
}

// TestBudgetStartsEmpty checks that a router that has just started has no slack.
func TestBudgetStartsEmpty(t *testing.T) {
	var budget retryBudget
	budget.first(noon, tenSeconds)
	if budget.spend(noon, 1, tenSeconds, 1) {
		t.Error("a retry was allowed at the start")
	}
	if !budget.spend(noon.Add(tenSeconds.Window), 1, tenSeconds, 1) {
		t.Error("no retry was allowed after the first window")
	}
}

// TestReservedRetries checks that reserved retries are not available to other calls, and that only
// reservableShare of the budget can be reserved.
func TestReservedRetries(t *testing.T) {
	var budget retryBudget
	budget.first(noon, tenSeconds)
	now := noon.Add(tenSeconds.Window)
	reserved := 0
	for budget.reserve(now, tenSeconds, 10) {
		reserved++
	}
	spent := 0
	for budget.spend(now, 1, tenSeconds, 10) {
		spent++
	}
	if reserved != 3 || spent != 3 {
		t.Errorf("got %d reserved and %d spent retries, want 3 of each", reserved, spent)
	}
	budget.redeem(now, tenSeconds)
	if budget.spend(now, 1, tenSeconds, 10) {
		t.Error("redeeming a reserved retry made another retry available")
	}
	budget.release()
	if !budget.spend(now, 1, tenSeconds, 10) {
		t.Error("releasing a reserved retry made no other retry available")
	}
}

// TestBudgetOverAnySpan spends retries at random, as far as they are allowed, and checks that no span as long
// as the window has more retries than the router's share of the allowance.
func TestBudgetOverAnySpan(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var budget retryBudget
		var first, retries timestamps
		now := noon
		for range 20_000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(30*time.Millisecond)))
			budget.first(now, tenSeconds)
			first = append(first, now)
			failing := now.Sub(noon)/(4*time.Second)%3 == 1
			if failing && random.IntN(2) == 0 && budget.spend(now, 1, tenSeconds, 5) {
				retries = append(retries, now)
			}
		}
		most, concurrent := retries.maxInSpan(tenSeconds.Window, first)
		if allowed := tenSeconds.Ratio*float64(concurrent) + tenSeconds.Slack/5; float64(most) > allowed {
			t.Errorf("seed %d: got %d retries for %d calls, want at most %.0f", seed, most, concurrent, allowed)
		}
	}
}

// TestRetrySlackIsBoundedWhenThePrimaryCountsFewRouters has a primary controller that can reach only 2 of 30
// routers. It sends these 2 routers the count 2, the others still use the count 30, and all of them use up
// their slack.
func TestRetrySlackIsBoundedWhenThePrimaryCountsFewRouters(t *testing.T) {
	const routers, reachable = 30, 2
	names := routerNames(routers, "router")
	spent := 0
	for number, name := range names {
		sched := New(Options{Router: name})
		sched.SetRouters(names)
		sched.SetRouterCount(routers)
		if number < reachable {
			sched.SetRouterCount(reachable)
		}
		var budget retryBudget
		budget.first(noon, tenSeconds)
		for budget.spend(noon.Add(2*tenSeconds.Window), 1, tenSeconds, sched.budgetShares()) {
			spent++
		}
	}
	if float64(spent) > tenSeconds.Slack || spent == 0 {
		t.Errorf("got %d retries, want 1 to %.0f", spent, tenSeconds.Slack)
	}
}
