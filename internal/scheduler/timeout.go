package scheduler

import "time"

// How long a server that sends nothing is waited for. The values are ours.
const (
	// The timeout until the response begins, in multiples of the expected latency, and its
	// least length.
	prefillTimeoutFactor  = 4
	minPrefillTimeout     = 800 * time.Millisecond
	generateTimeoutFactor = 8
	minGenerateTimeout    = time.Second
	// The timeout between two events of a stream that may go on elsewhere, in multiples of
	// the gap that its route allows, and its least length: a server that preempts a call and
	// reads its prompt again is not given up for it.
	streamTimeoutGaps = 4
	minStreamTimeout  = 800 * time.Millisecond
	// shortPrompt is how many tokens a prompt may have that another decode server reads
	// itself.
	shortPrompt = 3000
)

// responseTimeout is the wanted timeout if there are time, an attempt and a retry in the budget
// for another dispatch after it, which it reserves; otherwise zero, which is none.
func (c *cycle) responseTimeout(wanted time.Duration) time.Duration {
	state := c.state
	left := state.deadline.Sub(c.now)
	if wanted > left*2/3 || state.attempts+1 >= state.routeRule.calls.MaxAttempts {
		return 0
	}
	// The retry is reserved now: giving up without one behind it would lose the call.
	if !state.reserved && !c.serviceState.retries.reserve(c.now, c.scheduler.options.Retries, c.scheduler.budgetShares()) {
		return 0
	}
	state.reserved = true
	return wanted
}

// canGoOnElsewhere tells whether the call could go on elsewhere if its run were given up: a
// long prompt is read again only by a prefill server, which takes an attempt of its own.
func (c *cycle) canGoOnElsewhere() bool {
	state := c.state
	return state.call.PromptTokens <= shortPrompt || state.attempts+2 < state.routeRule.calls.MaxAttempts
}

// streamTimeout is the timeout between two events where the stream may go on at another
// server; zero, which is none, otherwise.
func (c *cycle) streamTimeout() time.Duration {
	calls := c.state.routeRule.calls
	if !calls.Streams || !calls.Resumable || !c.canGoOnElsewhere() {
		return 0
	}
	return c.responseTimeout(max(streamTimeoutGaps*calls.MaxEventGap, minStreamTimeout))
}
