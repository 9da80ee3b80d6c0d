package scheduler

import (
	"sync"
	"time"
)

// RetryAllowance bounds the retries of all routers together: any window allows Ratio times the number
// of calls in the window, plus Slack. The defaults are those of DefaultRetryAllowance.
type RetryAllowance struct {
	// Ratio is the number of retries per call; default 0.2.
	Ratio float64
	// Slack is the number of retries that a window allows in addition, regardless of its calls;
	// default 10.
	Slack float64
	// Window is the length of time to which Ratio and Slack apply; default 10 s.
	Window time.Duration
}

// DefaultRetryAllowance allows a retry for a fifth of the calls, plus ten retries, in any ten
// seconds.
func DefaultRetryAllowance() RetryAllowance {
	return RetryAllowance{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
}

// retryBudget bounds the retries of one router for a service, so that all routers together keep
// within the allowance. In any window it allows a ratio of the router's own calls, plus the
// router's share of the slack. A burst of failures may use the whole budget at once. The zero
// value is ready to use. It has no slack at first, since the router may have been restarted after
// it had used its share.
type retryBudget struct {
	mutex sync.Mutex
	// since is when the budget was first used; newestSlot is the number of the slot in use, counted
	// from since.
	since      time.Time
	newestSlot int64
	slots      [budgetSlots]budgetSlot
	// reserved is the number of reserved retries, which calls in flight may need.
	reserved int
}

// budgetSlot counts the first dispatches and the retries in one part of the window.
type budgetSlot struct{ first, retries int }

// Parameters of the budget.
const (
	// budgetSlots is the number of slots that are kept. The window has the length of budgetSlots-1
	// slots.
	budgetSlots = 25
	// ratioUsed and slackUsed are the shares of the allowance's Ratio and Slack that are used. The
	// margin covers slots that lie partly outside of the window, and routers that are not counted
	// yet.
	ratioUsed = 0.85
	slackUsed = 0.6
	// reservableShare is the share of the budget up to which retries may be reserved (see reserve).
	reservableShare = 0.5
)

// first counts a call's first dispatch.
func (r *retryBudget) first(now time.Time, allowance RetryAllowance) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now, allowance).first++
}

// spend counts the given number of retries, or returns false if the budget does not allow them.
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
	slot.retries += count
	return true
}

// reserve reserves a retry for a call that may need one. It returns false if the retries that were
// sent in the window or are reserved would exceed reservableShare of the budget; the rest is left
// for calls that do need a retry.
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
	r.advance(now, allowance).retries++
	r.reserved--
}

// release returns a reserved retry that was not needed.
func (r *retryBudget) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reserved--
}

// used returns the number of retries that were sent in the window or are reserved.
func (r *retryBudget) used() float64 {
	used := r.reserved
	for _, slot := range r.slots {
		used += slot.retries
	}
	return float64(used)
}

// allowed returns the number of retries that the window allows. The slack grows from zero during the
// first window.
func (r *retryBudget) allowed(now time.Time, allowance RetryAllowance, routers int) float64 {
	calls := 0
	for _, slot := range r.slots {
		calls += slot.first
	}
	slack := allowance.Slack * slackUsed / float64(max(1, routers))
	grown := min(1, now.Sub(r.since).Seconds()/allowance.Window.Seconds())
	return allowance.Ratio*ratioUsed*float64(calls) + slack*grown
}

// advance returns the slot of the current time, and clears the slots that have left the window.
func (r *retryBudget) advance(now time.Time, allowance RetryAllowance) *budgetSlot {
	if r.since.IsZero() {
		r.since = now
	}
	// The window is one slot shorter than all slots together, so that the slots cover the whole
	// window while the newest slot is only partly over.
	length := allowance.Window / (budgetSlots - 1)
	current := now.Sub(r.since).Nanoseconds() / length.Nanoseconds()
	for steps := 0; r.newestSlot < current && steps < budgetSlots; steps++ {
		r.newestSlot++
		r.slots[r.newestSlot%budgetSlots] = budgetSlot{}
	}
	r.newestSlot = max(r.newestSlot, current)
	return &r.slots[r.newestSlot%budgetSlots]
}
