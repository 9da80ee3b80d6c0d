package scheduler

import (
	"sync"
	"time"
)

// RetryAllowance bounds retries: in any window, over all routers, at most Ratio of the calls
// in it and Slack besides. Defaults: DefaultRetryAllowance.
type RetryAllowance struct {
	// Ratio is retries per call, default 0.2.
	Ratio float64
	// Slack is how many retries a window allows whatever the calls, default 10.
	Slack float64
	// Window is the span that both hold for, default 10 s.
	Window time.Duration
}

// DefaultRetryAllowance is a fifth of the calls and ten retries in ten seconds.
func DefaultRetryAllowance() RetryAllowance {
	return RetryAllowance{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
}

// retryBudget bounds what one router sends for a service beyond the first dispatch of each
// call, so that all routers together stay in the allowance: in any window a part of its own
// calls in it, and its share of the slack. A burst of failures may use all of it at once. The
// zero value is ready to use; it has no slack at first, since the router may have been
// restarted after it had used its share.
type retryBudget struct {
	mutex sync.Mutex
	// since is when the budget was first used, slot the number of the newest slot.
	since time.Time
	slot  int64
	slots [budgetSlots]budgetSlot
	// reserved are retries that calls in flight may need.
	reserved int
}

// budgetSlot counts first and further dispatches in a part of the window.
type budgetSlot struct{ first, further int }

// How the allowance is divided: how many slots a window has, and how much of the ratio and of
// the slack is used. What is left is for slots that are partly outside of the window, and for
// routers that are not counted yet. reservableShare is the part of the budget that may be
// reserved. The values are ours.
const (
	budgetSlots     = 25
	ratioUsed       = 0.85
	slackUsed       = 0.6
	reservableShare = 0.5
)

// first counts a call's first dispatch.
func (r *retryBudget) first(now time.Time, allowance RetryAllowance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now, allowance).first++
}

// spend counts so many retries, or returns false if the budget does not allow them.
func (r *retryBudget) spend(now time.Time, count int, allowance RetryAllowance, routers int) bool {
	if count <= 0 {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slot := r.advance(now, allowance)
	if r.used()+float64(count) > r.allowed(now, allowance, routers) {
		return false
	}
	slot.further += count
	return true
}

// reserve holds a retry for a call that may need one, out of a part of the budget: the rest is
// for calls that do need one.
func (r *retryBudget) reserve(now time.Time, allowance RetryAllowance, routers int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now, allowance)
	if r.used()+1 > reservableShare*r.allowed(now, allowance, routers) {
		return false
	}
	r.reserved++
	return true
}

// redeem counts a reserved retry as sent.
func (r *retryBudget) redeem(now time.Time, allowance RetryAllowance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now, allowance).further++
	r.reserved--
}

// release gives a reserved retry back.
func (r *retryBudget) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reserved--
}

// used is how many retries were sent in the window or are reserved.
func (r *retryBudget) used() float64 {
	used := r.reserved
	for _, slot := range r.slots {
		used += slot.further
	}
	return float64(used)
}

// allowed is how many retries the window allows. The slack grows from zero over the first
// window.
func (r *retryBudget) allowed(now time.Time, allowance RetryAllowance, routers int) float64 {
	calls := 0
	for _, slot := range r.slots {
		calls += slot.first
	}
	s := allowance.Slack * slackUsed / float64(max(1, routers))
	grown := min(1, now.Sub(r.since).Seconds()/allowance.Window.Seconds())
	return allowance.Ratio*ratioUsed*float64(calls) + s*grown
}

// advance goes on to the slot of now and empties those that are outside of the window.
func (r *retryBudget) advance(now time.Time, allowance RetryAllowance) *budgetSlot {
	if r.since.IsZero() {
		r.since = now
	}
	// One slot less than there are makes a window, so that the oldest is outside of it.
	length := allowance.Window / (budgetSlots - 1)
	current := now.Sub(r.since).Nanoseconds() / length.Nanoseconds()
	for steps := 0; r.slot < current && steps < budgetSlots; steps++ {
		r.slot++
		r.slots[r.slot%budgetSlots] = budgetSlot{}
	}
	r.slot = max(r.slot, current)
	return &r.slots[r.slot%budgetSlots]
}
