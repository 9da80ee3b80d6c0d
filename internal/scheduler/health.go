package scheduler

import (
	"sync/atomic"
	"time"
)

// trust keeps a router from a server that failed it, for longer with each failure in
// a row, and lets it try one call at a time before it trusts the server again.
type health struct {
	failures     atomic.Int64
	ejectedUntil atomic.Int64
	// succeeded is when a call last went well.
	succeeded atomic.Int64
}

// The measures of trust. The values are ours.
const (
	firstEjection    = 250 * time.Millisecond
	longestEjection  = 4 * time.Second
	repeatedFailures = 4
)

func (t *health) fail(now time.Time) {
	f := t.failures.Add(1)
	shun := min(firstEjection<<min(f-1, 10), longestEjection)
	t.ejectedUntil.Store(now.Add(shun).UnixNano())
}

// failUncertain counts a failure that may well be another's fault: only several in a row
// make the server doubted.
func (t *health) failUncertain(now time.Time) {
	if t.failures.Add(1) >= repeatedFailures {
		t.ejectedUntil.Store(now.Add(firstEjection).UnixNano())
	}
}

func (t *health) succeed(now time.Time) {
	t.succeeded.Store(now.UnixNano())
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.ejectedUntil.Store(0)
	}
}

// doubted tells whether a call is better sent elsewhere.
func (t *health) ejected(now time.Time, underWay int64) bool {
	if t.failures.Load() == 0 {
		return false
	}
	return now.UnixNano() < t.ejectedUntil.Load() || underWay > 0
}

// progress tells how long a server has brought about none of the things that this
// router waits for there.
type progress struct {
	pending atomic.Int64
	since   atomic.Int64
}

// wait counts one thing more that is waited for.
func (p *progress) start(now time.Time) {
	if p.pending.Add(1) == 1 {
		p.since.Store(now.UnixNano())
	}
}

// come counts one that came: the server moves.
func (p *progress) done(now time.Time) {
	p.pending.Add(-1)
	p.since.Store(now.UnixNano())
}

// leave counts one that is waited for no longer without having come.
func (p *progress) cancel() { p.pending.Add(-1) }

// stuck is how long nothing came, in milliseconds.
func (p *progress) stalledFor(now time.Time) float64 {
	if p.pending.Load() <= 0 {
		return 0
	}
	return max(0, milliseconds(time.Duration(now.UnixNano()-p.since.Load())))
}

// failed notes that a server failed a call. One that turns calls away, or is not the one
// that was meant, fails nobody else for that.
func (s *Scheduler) failed(now time.Time, b *backend, result Result) {
	b.health.fail(now)
	if result != NotStarted && result != Misdirected {
		s.failures.add(b.server.Name)
	}
}
