package scheduler

import "time"

// coldAfterReturn is how long the servers of a zone count as cold whose evacuation was
// taken back: they may have become cold while nobody used them, and the list tells that
// only later. The value is ours, above the time that list and news take.
const coldAfterReturn = 1600 * time.Millisecond

// returned are zones whose evacuation was taken back since the last call.
type returned map[string]bool

// returning notes which zones come back with a program, before it is in force.
func (w *Scheduler) returning(current, next *RouteTable) {
	if current == nil || len(current.evacuations) == 0 {
		return
	}
	zones := returned{}
	if pending := w.returned.Load(); pending != nil {
		for zone := range *pending {
			zones[zone] = true
		}
	}
	for district := range current.evacuations {
		if !next.evacuations[district] {
			zones[district] = true
		}
	}
	if len(zones) > 0 {
		w.returned.Store(&zones)
	}
}

// cool has the servers of zones that came back count as cold from now.
func (w *Scheduler) cool(now time.Time) {
	zones := w.returned.Load()
	if zones == nil || !w.returned.CompareAndSwap(zones, nil) {
		return
	}
	for _, b := range w.board.Load().all {
		if (*zones)[b.server.Zone] {
			b.coolUntil(now.Add(coldAfterReturn))
		}
	}
}
