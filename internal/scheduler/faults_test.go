package scheduler

import (
	"testing"
	"time"
)

// troubles are days on which something happens to the servers.
func troubles() map[string]func(*world) {
	some := func(wrl *world, ofNine int, act func(*worldServer)) {
		for position := range ofNine * len(wrl.list) / 9 {
			act(wrl.servers[wrl.list[(position*4+1)%len(wrl.list)].Name])
		}
	}
	return map[string]func(*world){
		"calm": func(*world) {},
		"crash": func(aWorld *world) {
			aWorld.after(10_000, func() {
				some(aWorld, 2, func(server *worldServer) { aWorld.crash(server.listed.Name, false, 4500*time.Millisecond) })
			})
		},
		"dark": func(world *world) {
			world.after(10_000, func() {
				some(world, 2, func(server *worldServer) { world.crash(server.listed.Name, true, 4500*time.Millisecond) })
			})
		},
		"short handles": func(world *world) {
			world.after(10_000, func() { some(world, 3, func(server *worldServer) { server.refuses = true }) })
			world.after(14_000, func() { some(world, 3, func(server *worldServer) { server.refuses = false }) })
		},
		"slow links": func(w *world) {
			w.after(10_000, func() { some(w, 3, func(server *worldServer) { server.slowLink = 40 }) })
			w.after(15_500, func() { some(w, 3, func(server *worldServer) { server.slowLink = 0 }) })
		},
		"slow servers": func(wo *world) {
			wo.after(10_000, func() { some(wo, 2, func(server *worldServer) { server.slow = 5 }) })
			wo.after(16_000, func() { some(wo, 2, func(server *worldServer) { server.slow = 0 }) })
		},
		"release": func(wr *world) {
			wr.after(5_000, func() {
				wr.release([]string{wr.list[0].Name, wr.list[4].Name, wr.list[5].Name, wr.list[8].Name}, time.Second)
			})
		},
		"chats": func(wor *world) {
			wor.after(10_000, func() {
				chat := chatClass()
				chat.perSecond *= 0.9
				wor.traffic(chat, noon.Add(20*time.Second))
			})
		},
	}
}

// TestTroubles plays days on which servers crash, go dark, slow down, are replaced or
// lose handles, and wants most calls served and nothing cut that could go on.
func TestTroubles(t *testing.T) {
	floors := map[string]float64{"calm": 0.9, "crash": 0.85, "dark": 0.8, "short handles": 0.85, "slow links": 0.78, "slow servers": 0.85, "release": 0.85, "chats": 0.85}
	for name, problem := range troubles() {
		t.Run(name, func(t *testing.T) {
			w := newWorld(5, 9, 9, nil)
			w.pool(NewRoleBalancer())
			problem(w)
			day(w, 1, 30*time.Second)
			t.Logf("%d orders\n%s", w.orders, w)
			owed, earned := 0.0, 0.0
			for _, counter := range w.counter {
				owed += counter.owed
				earned += counter.earned
			}
			if earned/owed < floors[name] {
				t.Errorf("%.3f of the worth", earned/owed)
			}
			for number, calls := range w.windows {
				if calls.InFlight() != 0 {
					t.Errorf("courier %d has %d calls in flight at the end", number, calls.InFlight())
				}
			}
		})
	}
}
