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

// scriptCommand returns the command that runs a node with the disk and wall-clock faults of a
// faults file. A router has no disk, so only its clock has faults.
func scriptCommand(kind membership.NodeKind) *cobra.Command {
	command := &cobra.Command{
		Use:     "script-" + fleet.ProgramName(kind),
		Aliases: []string{"stage-" + string(kind)},
		Short:   "run one " + fleet.ProgramName(kind) + " with the disk and clock faults of a faults file",
		Args:    cobra.NoArgs,
		Hidden:  true,
	}
	flags := daemon.AddFlags(command, kind)
	path := command.Flags().String("faults", "", "path of the faults file")
	command.RunE = func(*cobra.Command, []string) error {
		chosen, mistakes := flags.Read()
		if mistakes != nil {
			return mistakes
		}
		logger := daemon.Logger(os.Stderr, chosen.LogLevel, chosen.Name)
		faults := func() fleet.NodeFaults { return fleet.ReadNodeFaults(*path) }
		clock := osruntime.NewClockFrom(func() time.Time { return time.Now().Add(faults().Jump) })
		if kind == membership.Router {
			process, err := router.Start(chosen, logger, clock, router.Ports{})
			if err != nil {
				return err
			}
			if daemon.Wait(process.Dead(), func() {}) {
				return process.Drain(10 * time.Second)
			}
			return failure.New(failure.Unclassified, "ended by itself")
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
		return failure.New(failure.Unclassified, "ended by itself")
	}
	return command
}
