package scheduler

import (
	"testing"
	"time"
)

// faults returns functions that schedule a fault, or another disturbance, in a simulation.
func faults() map[string]func(*simulation) {
	// some calls act for the given ninths of the servers. It selects servers from the whole list.
	some := func(sim *simulation, ninths int, act func(*simulatedServer)) {
		for position := range ninths * len(sim.list) / 9 {
			act(sim.servers[sim.list[(position*4+1)%len(sim.list)].Name])
		}
	}
	return map[string]func(*simulation){
		"no fault": func(*simulation) {},
		"crash": func(sim *simulation) {
			sim.after(10_000, func() {
				some(sim, 2, func(server *simulatedServer) { sim.crash(server.listed.Name, false, 4500*time.Millisecond) })
			})
		},
		"unresponsive servers": func(sim *simulation) {
			sim.after(10_000, func() {
				some(sim, 2, func(server *simulatedServer) { sim.crash(server.listed.Name, true, 4500*time.Millisecond) })
			})
		},
		"failed transfers": func(sim *simulation) {
			sim.after(10_000, func() { some(sim, 3, func(server *simulatedServer) { server.failsTransfers = true }) })
			sim.after(14_000, func() { some(sim, 3, func(server *simulatedServer) { server.failsTransfers = false }) })
		},
		"slow links": func(sim *simulation) {
			sim.after(10_000, func() { some(sim, 3, func(server *simulatedServer) { server.linkSlowdown = 40 }) })
			sim.after(15_500, func() { some(sim, 3, func(server *simulatedServer) { server.linkSlowdown = 0 }) })
		},
		"slow servers": func(sim *simulation) {
			sim.after(10_000, func() { some(sim, 2, func(server *simulatedServer) { server.slowdown = 5 }) })
			sim.after(16_000, func() { some(sim, 2, func(server *simulatedServer) { server.slowdown = 0 }) })
		},
		"rolling update": func(sim *simulation) {
			sim.after(5_000, func() {
				sim.rollingUpdate([]string{sim.list[0].Name, sim.list[4].Name, sim.list[5].Name, sim.list[8].Name}, time.Second)
			})
		},
		"additional chats": func(sim *simulation) {
			sim.after(10_000, func() {
				chat := chatClass()
				chat.perSecond *= 0.9
				sim.traffic(chat, noon.Add(20*time.Second))
			})
		},
	}
}

// TestFaults checks that most of the possible value of the calls is earned although servers crash, become
// unresponsive or slow, are replaced or fail transfers, and that no call stays in flight.
func TestFaults(t *testing.T) {
	floors := map[string]float64{
		"no fault":             0.9,
		"crash":                0.85,
		"unresponsive servers": 0.8,
		"failed transfers":     0.85,
		"slow links":           0.78,
		"slow servers":         0.85,
		"rolling update":       0.85,
		"additional chats":     0.85,
	}
	for name, fault := range faults() {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(5, 9, 9, nil)
			sim.balanceRoles(NewRoleBalancer())
			fault(sim)
			playTraffic(sim, 1, 30*time.Second)
			t.Logf("%d orders\n%s", sim.orders, sim)
			possibleValue, earnedValue := 0.0, 0.0
			for _, counter := range sim.counter {
				possibleValue += counter.possibleValue
				earnedValue += counter.earnedValue
			}
			if earnedValue/possibleValue < floors[name] {
				t.Errorf("got %.3f of the possible value, want at least %.2f", earnedValue/possibleValue, floors[name])
			}
			for number, sched := range sim.schedulers {
				if sched.InFlight() != 0 {
					t.Errorf("router %d has %d calls in flight at the end, want none", number, sched.InFlight())
				}
			}
		})
	}
}
