package scheduler

import (
	"sync/atomic"
	"time"
)

// WarmingCounts tells what this router sent to servers in slow start. Over all routers, many
// Dispatches mean that too many chose a server, many LateNews that they did not know of its slow
// start.
type WarmingCounts struct {
	// Dispatches went to servers that the router knew to be warming. ListAge is how old the list of
	// servers was then, all of them together; MostListAge is the most of any.
	Dispatches  int64
	ListAge     time.Duration
	MostListAge time.Duration
	// LateNews counts slow starts that became known after a dispatch to the server within them.
	LateNews int64
}

// warmingCounts counts what WarmingCounts tells.
type warmingCounts struct {
	dispatches, listAge, mostListAge, lateNews atomic.Int64
	// listRead is when the list was read that is in use, in Unix nanoseconds; zero if unknown.
	listRead atomic.Int64
}

// WarmingCounts are the counts since the start.
func (s *Scheduler) WarmingCounts() WarmingCounts {
	counts := &s.warmingCounts
	return WarmingCounts{
		Dispatches:  counts.dispatches.Load(),
		ListAge:     time.Duration(counts.listAge.Load()),
		MostListAge: time.Duration(counts.mostListAge.Load()),
		LateNews:    counts.lateNews.Load(),
	}
}

// SetListRead tells when the list of servers in use was read or confirmed last.
func (s *Scheduler) SetListRead(at time.Time) { s.warmingCounts.listRead.Store(at.UnixNano()) }

// countDispatch counts a dispatch to a warming server; of one to another server it notes when.
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
	for most := w.mostListAge.Load(); age > most && !w.mostListAge.CompareAndSwap(most, age); {
		most = w.mostListAge.Load()
	}
}

// learnWarming takes that a server's slow start lasts so much longer, and counts it as late news
// if calls were sent there since it began.
func (s *Scheduler) learnWarming(now time.Time, b *backend, left time.Duration) {
	if left <= 0 {
		return
	}
	if !b.warming(now) {
		began := now.Add(left - s.warmingDuration(b.server.Service))
		if b.sentWhileWarm.Load() >= began.UnixNano() {
			s.warmingCounts.lateNews.Add(1)
		}
	}
	b.markWarmingUntil(now.Add(left + s.snapshot.Load().warmingMargin(b.key)))
}

// warmingDuration is how long the slow start of a service's servers lasts; zero if it has none.
func (s *Scheduler) warmingDuration(service string) time.Duration {
	if routes := s.routes.Load(); routes != nil {
		if found, known := routes.services[service]; known {
			return found.Warming.Duration
		}
	}
	return 0
}
