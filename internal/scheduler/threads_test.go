package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestManyThreads has calls come and end in many threads while lists, reports, orders
// and configurations change, and wants nothing left over; the race detector looks on.
func TestManyThreads(t *testing.T) {
	calls, pools := opened(9), NewRoleBalancer()
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
				state, decision := calls.Arrive(now, call)
				for s := 0; state != nil && (decision.Kind == Prefill || decision.Kind == Generate); s++ {
					outcome := Outcome{Result: Complete, Handle: "h", FirstByte: now, Load: &ResponseLoad{Running: 3, Slots: 64}}
					if (number+s)%5 == 0 {
						outcome.Result = []Result{Unreachable, NotStarted, TimedOut, Interrupted, ErrorResponse}[(number+thread)%5]
						outcome.Status = 500
					}
					if decision.Kind == Generate {
						calls.Began(now, state)
					}
					decision = calls.Ended(now.Add(5*time.Millisecond), state, outcome)
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
			calls.SetServers(now, list)
			calls.SetRouteTable(Compile(plan(nil), 1, uint64(number+2)))
			calls.SetRouterCount(1 + number%12)
			calls.SetRouters(routerNames(1+number%12, "courier"))
			calls.SetRoleOrders(now, map[string]string{list[number%9].Name: prefill})
			var loads []Load
			for _, server := range list {
				loads = append(loads, Load{Server: server.Name, Role: server.Part, Running: number % 5, MemoryTotal: 295_740})
			}
			calls.SetLoads(now, loads)
			pools.Decide(now, calls)
			calls.InFlight()
		}
	}()
	waiting.Wait()
	if left := calls.InFlight(); left != 0 {
		t.Errorf("%d calls in flight", left)
	}
	for _, b := range calls.snapshot.Load().all {
		if b.prefilling.Load() != 0 || b.running.Load() != 0 ||
			b.prefillProgress.pending.Load() != 0 || b.firstEventProgress.pending.Load() != 0 {
			t.Errorf("%s keeps work on its account", b.server.Name)
		}
	}
}
