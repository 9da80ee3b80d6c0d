package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/adapters/courier"
	"seamloom.example/seamloom/internal/adapters/expediter"
	"seamloom.example/seamloom/internal/adapters/program"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/rehearsal"
)

// stageCommand runs a node with a faulty disk and a wall clock that jumps, both
// told by a faults file.
func stageCommand(kind membership.NodeKind) *cobra.Command {
	command := &cobra.Command{Use: "stage-" + string(kind), Short: "run one " + string(kind) + " with a faulty disk and clock", Args: cobra.NoArgs, Hidden: true}
	flags := program.AddFlags(command, kind)
	path := command.Flags().String("faults", "", "the faults file")
	command.RunE = func(*cobra.Command, []string) error {
		chosen, mistakes := flags.Read()
		if mistakes != nil {
			return mistakes
		}
		logger := program.Logger(os.Stderr, chosen.LogLevel, chosen.Name)
		faults := func() rehearsal.NodeFaults { return rehearsal.ReadNodeFaults(*path) }
		clock := wallclock.NewClockOver(func() time.Time { return time.Now().Add(faults().Jump) })
		if kind == membership.Courier {
			process, err := courier.Start(chosen, logger, clock, courier.Ports{})
			if err != nil {
				return err
			}
			if program.Wait(process.Dead(), func() {}) {
				return process.Drain(10 * time.Second)
			}
			return failure.New(failure.Unsorted, "ended by itself")
		}
		process, err := expediter.Start(chosen, logger, rehearsal.NewFaultyDisk(faults), clock, expediter.Ports{})
		if err != nil {
			return err
		}
		if program.Wait(process.Dead(), func() {
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
