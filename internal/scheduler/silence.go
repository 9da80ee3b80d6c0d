package scheduler

import "time"

// How long a stream that may go on elsewhere may bring nothing, in multiples of the
// longest pause that its route allows and at least so long: a server that puts a call
// back and reads its prompt again is not given up for it. The values are ours.
const (
	silentGaps   = 4
	leastSilence = 800 * time.Millisecond
)

// silence is given where the stream may go on at another server, and there is time and
// leave for that.
func (c *choice) silence() time.Duration {
	calls := c.ticket.routeRule.calls
	if !calls.Streams || !calls.Resumable || !c.goesOn() {
		return 0
	}
	return c.patience(max(silentGaps*calls.Gap, leastSilence))
}
