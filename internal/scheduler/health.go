package scheduler

import (
	"sync/atomic"
	"time"
)

// health ejects a server that failed this router's calls, for longer with each consecutive
// failure. After the ejection only one call at a time is sent to the server until a call
// succeeds.
type health struct {
	failures     atomic.Int64
	ejectedUntil atomic.Int64
	// succeeded is the time of the last successful call, in Unix nanoseconds.
	succeeded atomic.Int64
}

// How long a server is ejected, and after how many failures.
const (
	// firstEjection is doubled with each consecutive failure, up to longestEjection.
	firstEjection   = 250 * time.Millisecond
	longestEjection = 4 * time.Second
	// repeatedFailures is how many consecutive uncertain failures eject a server.
	repeatedFailures = 4
)

// fail counts a failure and ejects the server.
func (h *health) fail(now time.Time) {
	f := h.failures.Add(1)
	ejection := min(firstEjection<<min(f-1, 10), longestEjection)
	h.ejectedUntil.Store(now.Add(ejection).UnixNano())
}

// failUncertain counts a failure that another server may have caused: only repeatedFailures in a
// row eject this server.
func (h *health) failUncertain(now time.Time) {
	if h.failures.Add(1) >= repeatedFailures {
		h.ejectedUntil.Store(now.Add(firstEjection).UnixNano())
	}
}

// succeed records a success, which ends an ejection.
func (h *health) succeed(now time.Time) {
	h.succeeded.Store(now.UnixNano())
	if h.failures.Load() != 0 {
		h.failures.Store(0)
		h.ejectedUntil.Store(0)
	}
}

// ejected reports whether a call should rather be sent elsewhere: until the ejection ends, and
// then while another call of this router is in flight at the server. inFlight is the number of
// these calls.
func (h *health) ejected(now time.Time, inFlight int64) bool {
	if h.failures.Load() == 0 {
		return false
	}
	return now.UnixNano() < h.ejectedUntil.Load() || inFlight > 0
}

// progress measures for how long a server has completed none of the items of one kind that this
// router waits for: prefills, or first events of runs. since is when an item was last completed, or
// when the first pending item began.
type progress struct {
	pending atomic.Int64
	since   atomic.Int64
}

// start counts one more pending item.
func (p *progress) start(now time.Time) {
	if p.pending.Add(1) == 1 {
		p.since.Store(now.UnixNano())
	}
}

// done counts an item as completed: the server makes progress.
func (p *progress) done(now time.Time) {
	p.pending.Add(-1)
	p.since.Store(now.UnixNano())
}

// cancel stops waiting for one item that was not completed.
func (p *progress) cancel() { p.pending.Add(-1) }

// stalledFor returns for how many milliseconds no item was completed; zero if none is pending.
func (p *progress) stalledFor(now time.Time) float64 {
	if p.pending.Load() <= 0 {
		return 0
	}
	return max(0, milliseconds(time.Duration(now.UnixNano()-p.since.Load())))
}

// failed records a failure of a server in this router's health state, and adds the server to the
// servers to be reported to the controller (TakeFailures). A server is not reported if it rejected
// the call (NotStarted) or if another server has its address (Misdirected), since the calls of other
// routers need not fail there.
func (s *Scheduler) failed(now time.Time, b *backend, result Result) {
	b.health.fail(now)
	if result != NotStarted && result != Misdirected {
		s.failures.add(b.server.Name)
	}
}
