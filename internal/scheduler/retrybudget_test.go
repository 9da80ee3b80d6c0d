package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

var tenSeconds = RetryAllowance{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}

// TestBudgetAllowsBurst has a router meet many failures at once: it may use what its calls
// of the span earned.
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
	// 0.85 of the ratio of some hundred calls, and 0.6 of a tenth of the slack.
	if spent < 20 || spent > 23 {
		t.Errorf("%d further tries at once", spent)
	}
	if budget.spend(now.Add(5*time.Second), 1, tenSeconds, 10) {
		t.Error("a further try in the same span")
	}
	if !budget.spend(now.Add(11*time.Second), 1, tenSeconds, 10) {
		t.Error("no further try in the next span")
	}
}

// TestBudgetStartsEmpty has a router that was just started spend nothing of the slack.
func TestBudgetStartsEmpty(t *testing.T) {
	var budget retryBudget
	budget.first(noon, tenSeconds)
	if budget.spend(noon, 1, tenSeconds, 1) {
		t.Error("a further try at the start")
	}
	if !budget.spend(noon.Add(tenSeconds.Window), 1, tenSeconds, 1) {
		t.Error("no slack after a span")
	}
}

// TestReservedAttempts keeps reserved retries out of what others may spend, and leaves a part of
// the room to those who need a retry now.
func TestReservedAttempts(t *testing.T) {
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
		t.Errorf("%d reserved and %d spent of 6", reserved, spent)
	}
	budget.redeem(now, tenSeconds)
	if budget.spend(now, 1, tenSeconds, 10) {
		t.Error("a redeemed try was free")
	}
	budget.release()
	if !budget.spend(now, 1, tenSeconds, 10) {
		t.Error("a released try was not given back")
	}
}

// TestBudgetOverAnySpan spends whatever is allowed at random and wants no span with more
// than its share.
func TestBudgetOverAnySpan(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var budget retryBudget
		var first, further arrivals
		now := noon
		for range 20_000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(30*time.Millisecond)))
			budget.first(now, tenSeconds)
			first = append(first, now)
			failing := now.Sub(noon)/(4*time.Second)%3 == 1
			if failing && random.IntN(2) == 0 && budget.spend(now, 1, tenSeconds, 5) {
				further = append(further, now)
			}
		}
		most, beside := further.most(tenSeconds.Window, first)
		if allowed := tenSeconds.Ratio*float64(beside) + tenSeconds.Slack/5; float64(most) > allowed {
			t.Errorf("seed %d: %d further tries for %d calls, %.0f allowed", seed, most, beside, allowed)
		}
	}
}

// TestRetrySlackHoldsWhenThePrimaryHearsFewRouters has a primary that hears 2 of 30 routers: those
// are told of 2, the others still of 30, and all use up their slack.
func TestRetrySlackHoldsWhenThePrimaryHearsFewRouters(t *testing.T) {
	const routers, heard = 30, 2
	names := routerNames(routers, "router")
	spent := 0
	for number, name := range names {
		calls := New(Options{Router: name})
		calls.SetRouters(names)
		calls.SetRouterCount(routers)
		if number < heard {
			calls.SetRouterCount(heard)
		}
		var budget retryBudget
		budget.first(noon, tenSeconds)
		for budget.spend(noon.Add(2*tenSeconds.Window), 1, tenSeconds, calls.budgetShares()) {
			spent++
		}
	}
	if float64(spent) > tenSeconds.Slack || spent == 0 {
		t.Errorf("%d retries, %.0f are allowed", spent, tenSeconds.Slack)
	}
}
