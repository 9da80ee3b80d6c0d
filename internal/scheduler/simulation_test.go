package scheduler

import (
	"testing"
	"time"
)

// playTraffic runs a simulation with the default traffic, multiplied by factor, for the given time, and then
// for 10 more seconds, in which the calls end.
func playTraffic(sim *simulation, factor float64, length time.Duration) {
	long, chat := longClass(), chatClass()
	long.perSecond *= factor
	chat.perSecond *= factor
	until := noon.Add(length)
	sim.traffic(long, until)
	sim.traffic(chat, until)
	sim.run(until.Add(10 * time.Second))
}

// TestUsualTraffic checks, with the default traffic and with less and more of it, that most calls meet
// their latency targets and few shared tokens are read more than once.
func TestUsualTraffic(t *testing.T) {
	for _, test := range []struct {
		factor, long, chat float64
		reread             int
	}{{0.6, 0.9, 0.97, 250_000}, {1, 0.87, 0.96, 450_000}, {1.4, 0.78, 0.92, 900_000}} {
		sim := newSimulation(1, 9, 9, nil)
		playTraffic(sim, test.factor, 30*time.Second)
		t.Logf("x%.1f\n%s", test.factor, sim)
		for name, floor := range map[string]float64{"long": test.long, "chat": test.chat} {
			counter := sim.counter[name]
			if share := float64(counter.onTarget) / float64(counter.calls); share < floor {
				t.Errorf("%s with traffic x%.1f: got %.3f of the calls on target, want at least %.3f", name, test.factor, share, floor)
			}
		}
		if sim.sharedReread > test.reread {
			t.Errorf("traffic x%.1f: got %d shared tokens read again, want at most %d", test.factor, sim.sharedReread, test.reread)
		}
		for number, sched := range sim.schedulers {
			if sched.InFlight() != 0 {
				t.Errorf("router %d has %d calls in flight at the end, want none", number, sched.InFlight())
			}
		}
	}
}

// TestBacklogCountsImproveLatency compares a site of 90 routers and slow servers with and without backlog
// counts. Without the counts, a router immediately knows only of its own calls, and sends calls to prefill
// servers that other routers have just filled.
func TestBacklogCountsImproveLatency(t *testing.T) {
	play := func(queries bool) *simulation {
		s := ninety()
		sim := s.simulation(4, func(sched *Scheduler) { sched.SetBacklogQueries(queries) })
		sim.balanceRoles(NewRoleBalancer())
		sim.run(noon.Add(startupTime))
		s.play(sim, 1, 6*time.Second)
		return sim
	}
	without, with := play(false), play(true)
	t.Logf("without counts\n%s\nwith counts\n%s", without, with)
	onTarget := func(sim *simulation, className string) float64 {
		return float64(sim.counter[className].onTarget) / float64(sim.counter[className].calls)
	}
	for className, increase := range map[string]float64{"long": 0.03, "chat": 0.03} {
		if before, after := onTarget(without, className), onTarget(with, className); after < before+increase {
			t.Errorf("%s: got %.3f on target without counts and %.3f with them, want an increase by at least %.2f",
				className, before, after, increase)
		}
	}
	for number, sched := range with.schedulers {
		if sched.InFlight() != 0 {
			t.Errorf("router %d has %d calls in flight at the end, want none", number, sched.InFlight())
		}
	}
}
