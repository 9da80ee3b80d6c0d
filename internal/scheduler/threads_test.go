package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestConcurrentUse lets calls arrive and end in many goroutines while server lists, load reports, role
// orders and configurations change, and checks that no work is counted as in flight at the end. The race
// detector must find no data race.
func TestConcurrentUse(t *testing.T) {
	sched, balancer := newTestScheduler(9), NewRoleBalancer()
	var waiting sync.WaitGroup
	for thread := range 8 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for number := range 300 {
				now := noon.Add(time.Duration(number) * 10 * time.Millisecond)
				call := longCall(fmt.Sprintf("%d-%d", thread, number), uint64(number%17))
				if number%2 == 0 {
					call = chatCall(call.ID)
				}
				state, decision := sched.Arrive(now, call)
				for step := 0; state != nil && (decision.Kind == Prefill || decision.Kind == Generate); step++ {
					outcome := Outcome{Result: Complete, Handle: "h", FirstByte: now, Load: &ResponseLoad{Running: 3, Slots: 64}}
					if (number+step)%5 == 0 {
						outcome.Result = []Result{Unreachable, NotStarted, TimedOut, Interrupted, ErrorResponse}[(number+thread)%5]
						outcome.Status = 500
					}
					if decision.Kind == Generate {
						sched.Began(now, state)
					}
					decision = sched.Ended(now.Add(5*time.Millisecond), state, outcome)
				}
			}
		}()
	}
	waiting.Add(1)
	go func() {
		defer waiting.Done()
		for number := range 100 {
			now := noon.Add(time.Duration(number) * 30 * time.Millisecond)
			list := servers(9)
			list[number%9].Leaving = number%3 == 0
			list[(number+4)%9].Warming = time.Duration(number%2) * time.Second
			sched.SetServers(now, list)
			sched.SetRouteTable(Compile(testConfiguration(nil), 1, uint64(number+2)))
			sched.SetRouterCount(1 + number%12)
			sched.SetRouters(routerNames(1+number%12, "courier"))
			sched.SetRoleOrders(now, map[string]string{list[number%9].Name: prefill})
			var loads []Load
			for _, server := range list {
				loads = append(loads, Load{Server: server.Name, Role: server.Role, Running: number % 5, MemoryTotal: 295_740})
			}
			sched.SetLoads(now, loads)
			balancer.Decide(now, sched)
			sched.InFlight()
		}
	}()
	waiting.Wait()
	if left := sched.InFlight(); left != 0 {
		t.Errorf("got %d calls in flight at the end, want none", left)
	}
	for _, b := range sched.snapshot.Load().all {
		if b.prefilling.Load() != 0 || b.running.Load() != 0 ||
			b.prefillProgress.pending.Load() != 0 || b.firstEventProgress.pending.Load() != 0 {
			t.Errorf("%s: got %d prefills, %d runs, %d pending prefills and %d pending first events at the end, want none",
				b.server.Name, b.prefilling.Load(), b.running.Load(),
				b.prefillProgress.pending.Load(), b.firstEventProgress.pending.Load())
		}
	}
}
