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

// regionsCommand lets a large fleet of several regions meet what a year brings, in
// virtual time.
func regionsCommand() *cobra.Command {
	layout := simulation.FutureLayout()
	command := &cobra.Command{
		Use:     "regions",
		Short:   "a large fleet of four regions in virtual time: losses, restarts, regions apart, and what each costs",
		Args:    cobra.NoArgs,
		Example: "  testbed regions\n  testbed regions --couriers 100 --expediters 3 --between 60ms",
	}
	set := command.Flags()
	set.IntVar(&layout.Routers, "couriers", layout.Routers, "how many couriers")
	set.IntVar(&layout.Servers, "servers", layout.Servers, "how many listed servers, each with a duty; none of them works")
	set.IntVar(&layout.Controllers, "expediters", layout.Controllers, "how many expediters")
	set.IntVar(&layout.BorneLosses, "borne-losses", layout.BorneLosses, "how many disks may be lost at once")
	wait := set.Duration("acknowledge-wait", 0,
		"how long a change waits for nodes that are not heard from (default: for as long as their holds run)")
	set.IntVar(&layout.Routes, "routes", layout.Routes, "how many routes the configuration has")
	set.DurationVar(&layout.Between, "between", layout.Between, "how long a message takes from one region to another")
	seed := set.Uint64("seed", 1, "the same seed gives the same figures")
	lost := set.Duration("lost", 2*time.Minute, "how long machines and links stay away")
	losses := set.Int("losses", 8,
		"how many machines of nodes are lost, one after another; twice as many nodes are restarted")
	trace := set.Bool("trace", false, "print every step")
	command.RunE = func(*cobra.Command, []string) error {
		debug.SetGCPercent(400)
		if layout.Controllers < 3 || layout.Routers < 1 {
			return failure.New(failure.OutOfRange, "a fleet has three expediters at least, and a courier")
		}
		fleet := simulation.NewLaidOut(layout, *seed)
		fleet.SetSettings(simulation.Settings{AcknowledgeWait: *wait})
		if *trace {
			fleet.Log = func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) }
		}
		began := time.Now()
		incidents := fleet.Incidents(*lost, *losses)
		_, _ = fmt.Fprintf(os.Stderr, "%d couriers, %d expediters, %d servers: took %s\n", layout.Routers,
			layout.Controllers, layout.Servers, time.Since(began).Round(time.Second))
		return failure.Wrap(failure.Disk, simulation.WriteIncidents(os.Stdout, incidents))
	}
	return command
}
