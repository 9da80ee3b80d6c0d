package scheduler

import (
	"testing"
	"time"
)

// day plays so long of a site's usual traffic, times a factor.
func day(w *world, factor float64, length time.Duration) {
	long, chat := longClass(), chatClass()
	long.perSecond *= factor
	chat.perSecond *= factor
	until := noon.Add(length)
	w.traffic(long, until)
	w.traffic(chat, until)
	w.run(until.Add(10 * time.Second))
}

// TestUsualTraffic plays the usual traffic, less and more, and wants most answers in
// aim and few shared parts read again. The floors are a little under what was measured.
func TestUsualTraffic(t *testing.T) {
	for _, want := range []struct {
		factor, long, chat float64
		again              int
	}{{0.6, 0.9, 0.97, 250_000}, {1, 0.87, 0.96, 450_000}, {1.4, 0.78, 0.92, 900_000}} {
		w := newWorld(1, 9, 9, nil)
		day(w, want.factor, 30*time.Second)
		t.Logf("x%.1f\n%s", want.factor, w)
		for name, floor := range map[string]float64{"long": want.long, "chat": want.chat} {
			counter := w.counter[name]
			if s := float64(counter.onTarget) / float64(counter.calls); s < floor {
				t.Errorf("%s: %.3f in aim at x%.1f", name, s, want.factor)
			}
		}
		if w.sharedAgain > want.again {
			t.Errorf("%d shared tokens read again at x%.1f", w.sharedAgain, want.factor)
		}
		for number, calls := range w.windows {
			if calls.InFlight() != 0 {
				t.Errorf("courier %d has %d calls in flight at the end", number, calls.InFlight())
			}
		}
	}
}

// TestCountsOfWhatOthersHaveRead plays ninety routers before slow engines, with and without
// counts: without them each router sees its own calls only, and runs to the prefill servers that the
// others have just filled.
func TestCountsOfWhatOthersHaveRead(t *testing.T) {
	play := func(asks bool) *world {
		s := ninety()
		w := s.world(4, func(calls *Scheduler) { calls.SetBacklogQueries(asks) })
		w.pool(NewRoleBalancer())
		w.run(noon.Add(lead))
		s.play(w, 1, 6*time.Second)
		return w
	}
	alone, counted := play(false), play(true)
	t.Logf("without\n%s\nwith\n%s", alone, counted)
	onTarget := func(wo *world, c string) float64 {
		return float64(wo.counter[c].onTarget) / float64(wo.counter[c].calls)
	}
	for cl, better := range map[string]float64{"long": 0.03, "chat": 0.03} {
		if before, after := onTarget(alone, cl), onTarget(counted, cl); after < before+better {
			t.Errorf("%s: %.3f in aim without counts, %.3f with them", cl, before, after)
		}
	}
	for number, calls := range counted.windows {
		if calls.InFlight() != 0 {
			t.Errorf("router %d has %d calls in flight at the end", number, calls.InFlight())
		}
	}
}
