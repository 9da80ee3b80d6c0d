package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// eachCommand returns the command that runs a separate day for every fault.
func eachCommand() *cobra.Command {
	chosen := &fleetOptions{nonIdempotentShare: 0.3}
	command := &cobra.Command{
		Use:     "each",
		Short:   "run a separate day for every fault and print a table",
		Args:    cobra.NoArgs,
		Example: "  testbed each --deployment kochloeffel --length 20s --parallel 3",
	}
	addFleetFlags(command, chosen)
	command.Flags().DurationVar(&chosen.length, "length", 20*time.Second, "length of each day")
	parallel := command.Flags().Int("parallel", 1, "number of fleets that run at once")
	command.RunE = func(*cobra.Command, []string) error { return runEach(chosen, *parallel) }
	return command
}

// runEach runs a day for each fault and prints a table row for each. Up to parallel days run at the
// same time.
func runEach(chosen *fleetOptions, parallel int) error {
	base, err := os.MkdirTemp("", "each-")
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	days := &faultDays{chosen: chosen, base: base, names: faultsOf(chosen.deployment)}
	var working sync.WaitGroup
	for range parallel {
		working.Go(days.work)
	}
	working.Wait()
	if days.failed > 0 {
		return failure.New(failure.Contradictory,
			fmt.Sprintf("%d of %d days failed; logs are in %s", days.failed, len(days.names), base))
	}
	return os.RemoveAll(base)
}

// faultsOf lists the faults that apply to a deployment and need no older build of the programs.
func faultsOf(deployment string) []string {
	var names []string
	for _, name := range fleet.FaultNames() {
		if only, found := deploymentOfFault[name]; (!found || only == deployment) && name != "upgrade-builds" {
			names = append(names, name)
		}
	}
	return names
}

// faultDays is a queue of days with one fault each, shared by several workers.
type faultDays struct {
	chosen *fleetOptions
	base   string
	names  []string

	mutex  sync.Mutex
	next   int
	failed int
}

// work runs days, one after another, until the queue is empty.
func (d *faultDays) work() {
	for {
		d.mutex.Lock()
		number := d.next
		d.next++
		d.mutex.Unlock()
		if number >= len(d.names) {
			return
		}
		d.run(d.names[number])
	}
}

// run runs one day and prints its table row.
func (d *faultDays) run(name string) {
	options := *d.chosen
	options.faults, options.folder = name, filepath.Join(d.base, name)
	verdict, err := options.run(io.Discard)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	floor := fleet.FloorOf(name)
	if err != nil || verdict.Violations() > 0 || verdict.Share < floor {
		d.failed++
	}
	fmt.Printf("| %s | %s | %.3f | %.2f | %s | %d | %v |\n", d.chosen.deployment, name,
		verdict.Share, floor, verdict.Gap.Round(10*time.Millisecond), verdict.Violations(), err)
	if verdict.Violations() > 0 {
		fmt.Print(verdict)
	}
}
