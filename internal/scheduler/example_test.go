package scheduler_test

import (
	"fmt"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// A call is admitted, dispatched to the only server and completed. A second call, whose host has no route,
// is refused.
func ExampleScheduler() {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	s := scheduler.New(scheduler.Options{Router: "router-1", Zone: "north"})
	s.SetRouteTable(scheduler.Compile(&config.Configuration{
		Services: map[string]config.Service{"chat": {}},
		Routes: []config.Route{{
			Name:  "chat",
			Match: config.Match{Host: "chat.example", PathPrefix: "/"},
			Calls: &config.CallRoute{Shares: []config.Share{{Service: "chat", Weight: 1}}, MaxAttempts: 2},
		}},
	}, 1, 1))
	s.SetServers(now, []membership.Server{
		{Name: "server-1", Address: "10.0.0.1:8080", Service: "chat", Zone: "north"},
	})

	state, decision := s.Arrive(now, &scheduler.Call{ID: "call-1", Host: "chat.example", Path: "/talk"})
	fmt.Println(decision.Kind, decision.Server.Name, s.InFlight())

	now = now.Add(80 * time.Millisecond)
	decision = s.Ended(now, state, scheduler.Outcome{Result: scheduler.Complete, FirstByte: now})
	fmt.Println(decision.Kind, s.InFlight())

	_, decision = s.Arrive(now, &scheduler.Call{ID: "call-2", Host: "unknown.example", Path: "/"})
	fmt.Println(decision.Kind, decision.Cause, decision.Cause.NeverRan())
	// Output:
	// run server-1 1
	// done 0
	// refuse no_route true
}
