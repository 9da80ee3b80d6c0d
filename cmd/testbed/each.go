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
	command.RunE = func(*cobra.Command, []string) error {
		base, err := os.MkdirTemp("", "each-")
		if err != nil {
			return failure.Wrap(failure.Disk, err)
		}
		var names []string
		for _, name := range fleet.FaultNames() {
			if only, found := onlyIn[name]; (!found || only == chosen.deployment) && name != "upgrade-builds" {
				names = append(names, name)
			}
		}
		var mutex sync.Mutex
		failed, next := 0, 0
		var working sync.WaitGroup
		for range *parallel {
			working.Go(func() {
				for {
					mutex.Lock()
					number := next
					next++
					mutex.Unlock()
					if number >= len(names) {
						return
					}
					today := *chosen
					today.faults, today.folder = names[number], filepath.Join(base, names[number])
					verdict, err := today.run(io.Discard)
					mutex.Lock()
					floor := fleet.FloorOf(names[number])
					if err != nil || verdict.Violations() > 0 || verdict.Share < floor {
						failed++
					}
					fmt.Printf("| %s | %s | %.3f | %.2f | %s | %d | %v |\n", chosen.deployment, names[number],
						verdict.Share, floor, verdict.Gap.Round(10*time.Millisecond), verdict.Violations(), err)
					if verdict.Violations() > 0 {
						fmt.Print(verdict)
					}
					mutex.Unlock()
				}
			})
		}
		working.Wait()
		if failed > 0 {
			return failure.New(failure.Contradictory,
				fmt.Sprintf("%d of %d days failed; logs are in %s", failed, len(names), base))
		}
		return os.RemoveAll(base)
	}
	return command
}
