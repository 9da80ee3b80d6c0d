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
			counter := world.counter[name]
			if share := float64(counter.inAim) / float64(counter.calls); share < floor {
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

// TestCountsOfWhatOthersHaveRead plays ninety routers before slow engines, with and without
// counts: without them each router sees its own calls only, and runs to the readers that the
// others have just filled.
func TestCountsOfWhatOthersHaveRead(t *testing.T) {
	play := func(asks bool) *world {
		site := ninety()
		world := site.world(4, func(calls *Window) { calls.SetAsks(asks) })
		world.pool(NewPools())
		world.run(noon.Add(lead))
		site.play(world, 1, 6*time.Second)
		return world
	}
	alone, counted := play(false), play(true)
	t.Logf("without\n%s\nwith\n%s", alone, counted)
	inAim := func(world *world, class string) float64 {
		return float64(world.counter[class].inAim) / float64(world.counter[class].calls)
	}
	for class, better := range map[string]float64{"long": 0.03, "chat": 0.03} {
		if before, after := inAim(alone, class), inAim(counted, class); after < before+better {
			t.Errorf("%s: %.3f in aim without counts, %.3f with them", class, before, after)
		}
	}
	for number, calls := range counted.windows {
		if calls.InFlight() != 0 {
			t.Errorf("router %d has %d calls in flight at the end", number, calls.InFlight())
		}
	}
}
