package scheduler

import "time"

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
