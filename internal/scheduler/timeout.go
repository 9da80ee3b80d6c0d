package scheduler

import "time"

// ResponseTimeout with a server that says nothing, in multiples of what was expected and at
// least so long. The values are ours.
const (
	prefillTimeoutFactor  = 4
	minPrefillTimeout     = 800 * time.Millisecond
	generateTimeoutFactor = 8
	minGenerateTimeout    = time.Second
	// shortPrompt is how long a prompt may be that another runner could read itself.
	shortPrompt = 3000
)

// patience is given only when there is time and leave for another try behind it.
func (c *cycle) responseTimeout(wanted time.Duration) time.Duration {
	state := c.state
	left := state.deadline.Sub(c.now)
	if wanted > left*2/3 || state.attempts+1 >= state.routeRule.calls.Attempts {
		return 0
	}
	// The retry is reserved now: giving up without one behind it would lose the call.
	if !state.reserved && !c.serviceState.retries.reserve(c.now, c.scheduler.options.Retries, c.routerCount) {
		return 0
	}
	state.reserved = true
	return wanted
}

// canGoOnElsewhere tells whether the call could go on elsewhere if its run were given up: a long
// prompt is read again only by a reader, which is a try of its own.
func (c *cycle) canGoOnElsewhere() bool {
	state := c.state
	return state.call.PromptTokens <= shortPrompt || state.attempts+2 < state.routeRule.calls.Attempts
}

// How long a stream that may go on elsewhere may bring nothing, in multiples of the
// longest pause that its route allows and at least so long: a server that puts a call
// back and reads its prompt again is not given up for it. The values are ours.
const (
	streamTimeoutGaps = 4
	minStreamTimeout  = 800 * time.Millisecond
)

// silence is given where the stream may go on at another server, and there is time and
// leave for that.
func (c *cycle) streamTimeout() time.Duration {
	calls := c.state.routeRule.calls
	if !calls.Streams || !calls.Resumable || !c.canGoOnElsewhere() {
		return 0
	}
	return c.responseTimeout(max(streamTimeoutGaps*calls.Gap, minStreamTimeout))
}
