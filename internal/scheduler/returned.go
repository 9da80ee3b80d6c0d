package scheduler

import "time"

// coldAfterReturn is how long the servers of a district count as cold whose evacuation was
// taken back: they may have become cold while nobody used them, and the list tells that
// only later. The value is ours, above the time that list and news take.
const coldAfterReturn = 1600 * time.Millisecond

// returned are districts whose evacuation was taken back since the last call.
type returned map[string]bool

// returning notes which districts come back with a program, before it is in force.
func (window *Window) returning(current, next *Program) {
	if current == nil || len(current.evacuations) == 0 {
		return
	}
	districts := returned{}
	if pending := window.returned.Load(); pending != nil {
		for district := range *pending {
			districts[district] = true
		}
	}
	for district := range current.evacuations {
		if !next.evacuations[district] {
			districts[district] = true
		}
	}
	if len(districts) > 0 {
		window.returned.Store(&districts)
	}
}

// cool has the servers of districts that came back count as cold from now.
func (window *Window) cool(now time.Time) {
	districts := window.returned.Load()
	if districts == nil || !window.returned.CompareAndSwap(districts, nil) {
		return
	}
	for _, backend := range window.board.Load().all {
		if (*districts)[backend.server.District] {
			backend.coolUntil(now.Add(coldAfterReturn))
		}
	}
}
