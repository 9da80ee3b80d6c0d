package scheduler

import (
	"sync/atomic"
	"time"
)

// WarmingCounts counts this router's dispatches to servers in slow start. If a warming server gets too
// many calls, a high sum of Dispatches over all routers shows that too many routers chose the server,
// and a high sum of LateNotices shows that the routers did not know of its slow start.
type WarmingCounts struct {
	// Dispatches is the number of dispatches to servers that the router knew to be warming. ListAge
	// is the sum of the ages that the list of servers had at these dispatches; MaxListAge is the
	// highest of these ages.
	Dispatches int64
	ListAge    time.Duration
	MaxListAge time.Duration
	// LateNotices is the number of slow starts that the router learned of too late: it had already sent
	// a dispatch to the server after the slow start began.
	LateNotices int64
}

// warmingCounts holds the counters of WarmingCounts.
type warmingCounts struct {
	dispatches, listAge, maxListAge, lateNotices atomic.Int64
	// listRead is when the current list was read, in Unix nanoseconds; zero if unknown.
	listRead atomic.Int64
}

// WarmingCounts returns the counts since the start.
func (s *Scheduler) WarmingCounts() WarmingCounts {
	counts := &s.warmingCounts
	return WarmingCounts{
		Dispatches:  counts.dispatches.Load(),
		ListAge:     time.Duration(counts.listAge.Load()),
		MaxListAge:  time.Duration(counts.maxListAge.Load()),
		LateNotices: counts.lateNotices.Load(),
	}
}

// SetListRead sets when the current list of servers was last read or confirmed.
func (s *Scheduler) SetListRead(at time.Time) { s.warmingCounts.listRead.Store(at.UnixNano()) }

// countDispatch counts a dispatch if the server is warming. Otherwise it records the time of the
// dispatch in sentWhileWarm, for learnWarming.
func (w *warmingCounts) countDispatch(now time.Time, b *backend) {
	if !b.warming(now) {
		b.sentWhileWarm.Store(now.UnixNano())
		return
	}
	w.dispatches.Add(1)
	read := w.listRead.Load()
	if read == 0 {
		return
	}
	age := max(0, now.UnixNano()-read)
	w.listAge.Add(age)
	for most := w.maxListAge.Load(); age > most && !w.maxListAge.CompareAndSwap(most, age); {
		most = w.maxListAge.Load()
	}
}

// learnWarming records the remaining time of a server's slow start, and counts the slow start as
// learned late if a call was sent to the server after the slow start began.
func (s *Scheduler) learnWarming(now time.Time, b *backend, left time.Duration) {
	if left <= 0 {
		return
	}
	if !b.warming(now) {
		began := now.Add(left - s.warmingDuration(b.server.Service))
		if b.sentWhileWarm.Load() >= began.UnixNano() {
			s.warmingCounts.lateNotices.Add(1)
		}
	}
	b.markWarmingUntil(now.Add(left + s.snapshot.Load().warmingMargin(b.key)))
}

// warmingDuration returns how long the slow start of a service's servers lasts; zero if it has none.
func (s *Scheduler) warmingDuration(service string) time.Duration {
	if routes := s.routes.Load(); routes != nil {
		if found, known := routes.services[service]; known {
			return found.Warming.Duration
		}
	}
	return 0
}
