package scheduler

import "time"

// Timeouts for servers that send nothing.
const (
	// The timeouts until the response begins, as multiples of the expected latency, and their
	// minimums.
	prefillTimeoutFactor  = 4
	minPrefillTimeout     = 800 * time.Millisecond
	generateTimeoutFactor = 8
	minGenerateTimeout    = time.Second
	// The timeout between two events of a stream that can be resumed at another server, as a
	// multiple of the gap that its route allows, and its minimum. The timeout is long enough for a
	// server to preempt a call and read its prompt again.
	streamTimeoutGaps = 4
	minStreamTimeout  = 800 * time.Millisecond
	// shortPrompt is the maximum length, in tokens, of a prompt that another decode server would
	// read itself.
	shortPrompt = 3000
)

// responseTimeout returns the wanted timeout if enough time, an attempt and a retry in the budget
// are left for another dispatch after it. It reserves that retry. Otherwise it returns zero, which
// means no timeout.
func (c *cycle) responseTimeout(wanted time.Duration) time.Duration {
	state := c.state
	left := state.deadline.Sub(c.now)
	if wanted > left*2/3 || state.attempts+1 >= state.routeRule.calls.MaxAttempts {
		return 0
	}
	// The retry has to be reserved now: a call that times out without one would be lost.
	if !state.reserved && !c.serviceState.retries.reserve(c.now, c.scheduler.options.Retries, c.scheduler.budgetShares()) {
		return 0
	}
	state.reserved = true
	return wanted
}

// canResumeElsewhere reports whether another server could continue the call if its run timed out.
// A long prompt would be read again by a prefill server only, which needs one more attempt.
func (c *cycle) canResumeElsewhere() bool {
	state := c.state
	return state.call.PromptTokens <= shortPrompt || state.attempts+2 < state.routeRule.calls.MaxAttempts
}

// streamTimeout returns the timeout between two events of a stream that can be resumed at another
// server; zero, which means no timeout, for other calls.
func (c *cycle) streamTimeout() time.Duration {
	calls := c.state.routeRule.calls
	if !calls.Streams || !calls.Resumable || !c.canResumeElsewhere() {
		return 0
	}
	return c.responseTimeout(max(streamTimeoutGaps*calls.MaxEventGap, minStreamTimeout))
}
