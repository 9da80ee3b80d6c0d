package scheduler

import "time"

// warmingAfterReturn is how long the servers of a zone count as cold whose evacuation was
// taken back: they may have become cold while nobody used them, and the list tells that
// only later. The value is ours, above the time that list and news take.
const warmingAfterReturn = 1600 * time.Millisecond

// returned are zones whose evacuation was taken back since the last call.
type returnedZones map[string]bool

// returning notes which zones come back with a program, before it is in force.
func (w *Scheduler) noteReturnedZones(current, next *RouteTable) {
	if current == nil || len(current.evacuations) == 0 {
		return
	}
	zones := returnedZones{}
	if pending := w.returnedZones.Load(); pending != nil {
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
		w.returnedZones.Store(&zones)
	}
}

// cool has the servers of zones that came back count as cold from now.
func (w *Scheduler) warmReturnedZones(now time.Time) {
	zones := w.returnedZones.Load()
	if zones == nil || !w.returnedZones.CompareAndSwap(zones, nil) {
		return
	}
	for _, b := range w.snapshot.Load().all {
		if (*zones)[b.server.Zone] {
			b.markWarmingUntil(now.Add(warmingAfterReturn))
		}
	}
}
