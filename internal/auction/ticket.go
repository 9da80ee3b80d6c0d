package auction

import "time"

// ticket is what the desk knows of one request that was admitted.
type requestState struct {
	request  *Request
	route    *RouteDecision
	phase    phase
	run      int
	bid      Bid
	reserved bool
	tried    map[string]bool
	attempts int
	// answering tells that a decode server was asked: a further run asks again.
	decodeDispatched  bool
	mayBeRunning      bool
	mayHaveRun        bool
	handle            string
	chunks            int
	serverDeadline    time.Time
	leaseMissingSince time.Time
}
