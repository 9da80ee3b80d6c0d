package scheduler

import (
	"testing"
	"time"
)

// troubles are days on which something happens to the servers.
func faults() map[string]func(*world) {
	some := func(w *world, ofNine int, act func(*worldServer)) {
		for position := range ofNine * len(w.list) / 9 {
			act(w.servers[w.list[(position*4+1)%len(w.list)].Name])
		}
	}
	return map[string]func(*world){
		"calm": func(*world) {},
		"crash": func(w *world) {
			w.after(10_000, func() {
				some(w, 2, func(server *worldServer) { w.crash(server.listed.Name, false, 4500*time.Millisecond) })
			})
		},
		"dark": func(w *world) {
			w.after(10_000, func() {
				some(w, 2, func(server *worldServer) { w.crash(server.listed.Name, true, 4500*time.Millisecond) })
			})
		},
		"short handles": func(w *world) {
			w.after(10_000, func() { some(w, 3, func(server *worldServer) { server.refuses = true }) })
			w.after(14_000, func() { some(w, 3, func(server *worldServer) { server.refuses = false }) })
		},
		"slow links": func(w *world) {
			w.after(10_000, func() { some(w, 3, func(server *worldServer) { server.slowLink = 40 }) })
			w.after(15_500, func() { some(w, 3, func(server *worldServer) { server.slowLink = 0 }) })
		},
		"slow servers": func(w *world) {
			w.after(10_000, func() { some(w, 2, func(server *worldServer) { server.slow = 5 }) })
			w.after(16_000, func() { some(w, 2, func(server *worldServer) { server.slow = 0 }) })
		},
		"release": func(w *world) {
			w.after(5_000, func() {
				w.release([]string{w.list[0].Name, w.list[4].Name, w.list[5].Name, w.list[8].Name}, time.Second)
			})
		},
		"chats": func(w *world) {
			w.after(10_000, func() {
				chat := chatClass()
				chat.perSecond *= 0.9
				w.traffic(chat, noon.Add(20*time.Second))
			})
		},
	}
}

// TestFaults plays days on which servers crash, go dark, slow down, are replaced or
// lose handles, and wants most calls served and nothing cut that could go on.
func TestFaults(t *testing.T) {
	floors := map[string]float64{
		"calm":          0.9,
		"crash":         0.85,
		"dark":          0.8,
		"short handles": 0.85,
		"slow links":    0.78,
		"slow servers":  0.85,
		"release":       0.85,
		"chats":         0.85,
	}
	for name, problem := range faults() {
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
