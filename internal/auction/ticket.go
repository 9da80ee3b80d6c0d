package auction

import "time"

// ticket is what the desk knows of one request that was admitted.
type ticket struct {
	request    *Request
	ruling     *Ruling
	stage      stage
	run        int
	bid        Bid
	reserved   bool
	tried      map[string]bool
	dispatches int
	// answering tells that a decode server was asked: a further run asks again.
	answering bool
	started   bool
	everRan   bool
	handle    string
	chunks    int
	patience  time.Time
	holdless  time.Time
}
