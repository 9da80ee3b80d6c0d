package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/simulation"
)

// regionsCommand returns the command that simulates, in virtual time, a year's incidents in a
// large fleet that spans four regions.
func regionsCommand() *cobra.Command {
	layout := simulation.FutureLayout()
	command := &cobra.Command{
		Use:     "regions",
		Short:   "simulate losses, restarts and partitions in a large fleet of four regions, and print the cost of each",
		Args:    cobra.NoArgs,
		Example: "  testbed regions\n  testbed regions --couriers 100 --expediters 3 --between 60ms",
	}
	set := command.Flags()
	set.IntVar(&layout.Routers, "couriers", layout.Routers, "number of routers")
	set.IntVar(&layout.Servers, "servers", layout.Servers, "number of listed servers, each with a role lease; they serve no requests")
	set.IntVar(&layout.Controllers, "expediters", layout.Controllers, "number of controllers")
	set.IntVar(&layout.ToleratedLosses, "borne-losses", layout.ToleratedLosses, "number of disks that may be lost at once")
	wait := set.Duration("acknowledge-wait", 0,
		"how long a change waits for unreachable nodes (default: until their leases expire)")
	set.IntVar(&layout.Routes, "routes", layout.Routes, "number of routes in the configuration")
	set.DurationVar(&layout.Between, "between", layout.Between, "latency of a message from one region to another")
	seed := set.Uint64("seed", 1, "the same seed gives the same figures")
	lost := set.Duration("lost", 2*time.Minute, "how long machines and links stay unavailable")
	losses := set.Int("losses", 8,
		"number of node machines that are lost, one after another; twice as many nodes are restarted")
	trace := set.Bool("trace", false, "print every step")
	command.RunE = func(*cobra.Command, []string) error {
		debug.SetGCPercent(400)
		if layout.Controllers < 3 || layout.Routers < 1 {
			return failure.New(failure.OutOfRange, "a fleet needs at least three controllers and one router")
		}
		fleet := simulation.NewLaidOut(layout, *seed)
		fleet.SetSettings(simulation.Settings{AcknowledgeWait: *wait})
		if *trace {
			fleet.Log = func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) }
		}
		began := time.Now()
		incidents := fleet.Incidents(*lost, *losses)
		_, _ = fmt.Fprintf(os.Stderr, "%d routers, %d controllers, %d servers: took %s\n", layout.Routers,
			layout.Controllers, layout.Servers, time.Since(began).Round(time.Second))
		return failure.Wrap(failure.Disk, simulation.WriteIncidents(os.Stdout, incidents))
	}
	return command
}
