package auction

import (
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// ServerState is one server's place in the market: what it is, its last load report,
// and this router's own work that the report can't show yet. Its counters are
// atomics, so that several threads may trade at once.
type ServerState struct {
	server       membership.Server
	report       atomic.Pointer[report]
	avoidedUntil atomic.Int64
	// promised counts the requests whose prompts are being read for this
	// server to answer; it is shared by the stall's successors in new lists.
	pendingDecodes *atomic.Int64
}

type report struct {
	load          Load
	at            time.Time
	prefillTokens atomic.Int64
	prefills      atomic.Int64
	decodes       atomic.Int64
	memory        atomic.Int64
}

// reportMaxAge is how long a load report counts; a server that has not reported
// for longer is offered no work. rampUpTime is how long a cold server's room
// grows. The values are ours.
const (
	reportMaxAge = 1500 * time.Millisecond
	rampUpTime   = 8 * time.Second
	avoidPeriod  = 2 * time.Second
)

func (s *ServerState) freshReport(now time.Time) *report {
	current := s.report.Load()
	if current == nil || now.Sub(current.at) > reportMaxAge || current.load.Leaving || s.server.Leaving {
		return nil
	}
	return current
}

// warmth is the share of its room that a server may use: a tenth when it has
// just started, all of it after the ramp.
func (r *report) rampUp(now time.Time) float64 {
	age := r.load.Age + now.Sub(r.at)
	return min(1, 0.1+0.9*float64(age)/float64(rampUpTime))
}

func (s *ServerState) avoided(now time.Time) bool { return now.UnixNano() < s.avoidedUntil.Load() }
