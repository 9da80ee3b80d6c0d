package scheduler

import (
	"testing"
	"time"
)

// day plays so long of a site's usual traffic, times a factor.
func day(world *world, factor float64, length time.Duration) {
	long, chat := longClass(), chatClass()
	long.perSecond *= factor
	chat.perSecond *= factor
	until := noon.Add(length)
	world.traffic(long, until)
	world.traffic(chat, until)
	world.run(until.Add(10 * time.Second))
}

// TestUsualTraffic plays the usual traffic, less and more, and wants most answers in
// aim and few shared parts read again. The floors are a little under what was measured.
func TestUsualTraffic(t *testing.T) {
	for _, want := range []struct {
		factor, long, chat float64
		again              int
	}{{0.6, 0.9, 0.97, 250_000}, {1, 0.87, 0.96, 450_000}, {1.4, 0.78, 0.92, 900_000}} {
		world := newWorld(1, 9, 9, nil)
		day(world, want.factor, 30*time.Second)
		t.Logf("x%.1f\n%s", want.factor, world)
		for name, floor := range map[string]float64{"long": want.long, "chat": want.chat} {
			tally := world.tally[name]
			if share := float64(tally.inAim) / float64(tally.calls); share < floor {
				t.Errorf("%s: %.3f in aim at x%.1f", name, share, want.factor)
			}
		}
		if world.sharedAgain > want.again {
			t.Errorf("%d shared tokens read again at x%.1f", world.sharedAgain, want.factor)
		}
		for number, calls := range world.windows {
			if calls.InFlight() != 0 {
				t.Errorf("courier %d has %d calls in flight at the end", number, calls.InFlight())
			}
		}
	}
}
