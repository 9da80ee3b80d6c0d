package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/adapters/controller"
	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/router"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// scriptCommand runs a node with a faulty disk and a wall clock that jumps, both
// told by a faults file.
func scriptCommand(kind membership.NodeKind) *cobra.Command {
	command := &cobra.Command{
		Use:     "script-" + fleet.ProgramName(kind),
		Aliases: []string{"stage-" + string(kind)},
		Short:   "run one " + fleet.ProgramName(kind) + " with a faulty disk and clock",
		Args:    cobra.NoArgs,
		Hidden:  true,
	}
	flags := daemon.AddFlags(command, kind)
	path := command.Flags().String("faults", "", "the faults file")
	command.RunE = func(*cobra.Command, []string) error {
		chosen, mistakes := flags.Read()
		if mistakes != nil {
			return mistakes
		}
		logger := daemon.Logger(os.Stderr, chosen.LogLevel, chosen.Name)
		faults := func() fleet.NodeFaults { return fleet.ReadNodeFaults(*path) }
		clock := osruntime.NewClockOver(func() time.Time { return time.Now().Add(faults().Jump) })
		if kind == membership.Router {
			process, err := router.Start(chosen, logger, clock, router.Ports{})
			if err != nil {
				return err
			}
			if daemon.Wait(process.Dead(), func() {}) {
				return process.Drain(10 * time.Second)
			}
			return failure.New(failure.Unsorted, "ended by itself")
		}
		process, err := controller.Start(chosen, logger, fleet.NewFaultyDisk(faults), clock, controller.Ports{})
		if err != nil {
			return err
		}
		if daemon.Wait(process.Dead(), func() {
			if next, mistakes := flags.Read(); mistakes == nil {
				process.Reload(next)
			}
		}) {
			return process.Stop()
		}
		return failure.New(failure.Unsorted, "ended by itself")
	}
	return command
}
