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

// eachCommand runs every fault alone, in a day of its own.
func eachCommand() *cobra.Command {
	chosen := &plan{once: 0.3}
	command := &cobra.Command{
		Use:     "each",
		Short:   "every fault alone, each in a day of its own, as a table",
		Args:    cobra.NoArgs,
		Example: "  testbed each --deployment kochloeffel --length 20s --parallel 3",
	}
	addFleetFlags(command, chosen)
	command.Flags().DurationVar(&chosen.length, "length", 20*time.Second, "how long each day is")
	parallel := command.Flags().Int("parallel", 1, "how many fleets run at once")
	command.RunE = func(*cobra.Command, []string) error { return runEach(chosen, *parallel) }
	return command
}

// runEach runs a day for each fault, so many at once, and prints their table.
func runEach(chosen *plan, parallel int) error {
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

// faultsOf lists the faults that a deployment's fleet can have without another build.
func faultsOf(deployment string) []string {
	var names []string
	for _, name := range fleet.FaultNames() {
		if only, found := onlyIn[name]; (!found || only == deployment) && name != "upgrade-builds" {
			names = append(names, name)
		}
	}
	return names
}

// faultDays are days of one fault each, which several workers take one after another.
type faultDays struct {
	chosen *plan
	base   string
	names  []string

	mutex  sync.Mutex
	next   int
	failed int
}

// work runs days until none is left.
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

// run runs one day and prints its line.
func (d *faultDays) run(name string) {
	today := *d.chosen
	today.faults, today.folder = name, filepath.Join(d.base, name)
	verdict, err := today.run(io.Discard)
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
