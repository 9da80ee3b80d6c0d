package scheduler

import (
	"sync/atomic"
	"time"
)

// health ejects a server that failed this router, for longer with each failure in a row. After
// the ejection one call at a time is sent to it until one succeeds.
type health struct {
	failures     atomic.Int64
	ejectedUntil atomic.Int64
	// succeeded is when a call last went well.
	succeeded atomic.Int64
}

// How long a server is ejected. The values are ours.
const (
	// firstEjection is doubled with each failure in a row, up to longestEjection.
	firstEjection   = 250 * time.Millisecond
	longestEjection = 4 * time.Second
	// repeatedFailures is how many uncertain failures in a row eject a server.
	repeatedFailures = 4
)

// fail counts a failure.
func (t *health) fail(now time.Time) {
	f := t.failures.Add(1)
	shun := min(firstEjection<<min(f-1, 10), longestEjection)
	t.ejectedUntil.Store(now.Add(shun).UnixNano())
}

// failUncertain counts a failure that may well be another server's: only several in a row eject
// this one.
func (t *health) failUncertain(now time.Time) {
	if t.failures.Add(1) >= repeatedFailures {
		t.ejectedUntil.Store(now.Add(firstEjection).UnixNano())
	}
}

// succeed ends an ejection.
func (t *health) succeed(now time.Time) {
	t.succeeded.Store(now.UnixNano())
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.ejectedUntil.Store(0)
	}
}

// ejected tells whether a call is better sent elsewhere. inFlight is how many calls the server
// has of this router.
func (t *health) ejected(now time.Time, inFlight int64) bool {
	if t.failures.Load() == 0 {
		return false
	}
	return now.UnixNano() < t.ejectedUntil.Load() || inFlight > 0
}

// progress tells for how long a server has finished nothing of what this router waits for
// there: prefills, or first events.
type progress struct {
	pending atomic.Int64
	since   atomic.Int64
}

// start counts one more that is waited for.
func (p *progress) start(now time.Time) {
	if p.pending.Add(1) == 1 {
		p.since.Store(now.UnixNano())
	}
}

// done counts one that came: the server makes progress.
func (p *progress) done(now time.Time) {
	p.pending.Add(-1)
	p.since.Store(now.UnixNano())
}

// cancel counts one that is waited for no longer without having come.
func (p *progress) cancel() { p.pending.Add(-1) }

// stalledFor is for how many milliseconds nothing came; zero if nothing is waited for.
func (p *progress) stalledFor(now time.Time) float64 {
	if p.pending.Load() <= 0 {
		return 0
	}
	return max(0, milliseconds(time.Duration(now.UnixNano()-p.since.Load())))
}

// failed counts a failure of a server, for this router's health and the next report to the
// others. One that turned a call away, or is not the one that was meant, need not fail others.
func (s *Scheduler) failed(now time.Time, b *backend, result Result) {
	b.health.fail(now)
	if result != NotStarted && result != Misdirected {
		s.failures.add(b.server.Name)
	}
}
