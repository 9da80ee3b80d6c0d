package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// deploymentOfFault maps each fault that is used in only one deployment to that deployment.
var deploymentOfFault = map[string]string{
	"replace-core":        "sahil",
	"exchange-seeds":      "kochloeffel",
	"large-configuration": "kochloeffel",
	"large-storm":         "kochloeffel",
	"freeze-primary":      "kochloeffel",
	"freeze-courier":      "kochloeffel",
	"freeze-holder":       "kochloeffel",
}

// closingFaults lists the faults that may end a day.
var closingFaults = []string{"herd-couriers", "herd-expediters", "cold-start", "lose-zone", "kill-primary", "power-loss", "crash-server"}

// drawFaults draws a day's faults and its closing fault from a seed.
func drawFaults(deployment string, seed uint64, count int) ([]string, string) {
	random := rand.New(rand.NewPCG(seed, 5))
	var names []string
	for _, name := range fleet.FaultNames() {
		if only, found := deploymentOfFault[name]; !found || only == deployment {
			names = append(names, name)
		}
	}
	random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	return names[:min(count, len(names))], closingFaults[random.IntN(len(closingFaults))]
}

// soakCommand returns the command that runs many seeded days, one after another. Each
// seed draws its own faults. For each day that breaks a rule or completes too few replies, the
// command prints the command line that replays the day.
func soakCommand() *cobra.Command {
	chosen := &fleetOptions{nonIdempotentShare: 0.3}
	command := &cobra.Command{
		Use:     "soak",
		Aliases: []string{"season"},
		Short:   "run many seeded days with randomly drawn faults, one after another",
		Args:    cobra.NoArgs,
		Example: "  testbed soak --deployment kochloeffel --from 1 --days 20",
	}
	addFleetFlags(command, chosen)
	from := command.Flags().Uint64("from", 1, "the first seed")
	days := command.Flags().Int("days", 5, "number of days")
	count := command.Flags().Int("count", 5, "number of faults in each day")
	floor := command.Flags().Float64("floor", 0.5, "lowest allowed share of complete replies")
	command.RunE = func(*cobra.Command, []string) error {
		base := chosen.folder
		if base == "" {
			folder, err := os.MkdirTemp("", "season-")
			if err != nil {
				return failure.Wrap(failure.Disk, err)
			}
			base = folder
		}
		failed := 0
		for seed := *from; seed < *from+uint64(*days); seed++ {
			names, closing := drawFaults(chosen.deployment, seed, *count)
			options := *chosen
			options.seed, options.faults, options.closing = seed, strings.Join(names, ","), closing
			options.folder = filepath.Join(base, fmt.Sprintf("%s-%d", chosen.deployment, seed))
			options.length = time.Duration(len(names)+1) * 11 * time.Second
			verdict, err := options.run(os.Stderr)
			line := fmt.Sprintf("seed %d %s then %s: ", seed, options.faults, closing)
			switch {
			case err != nil:
				line += err.Error()
				failed++
			case verdict.Violations() > 0 || verdict.Share < *floor:
				line += fmt.Sprintf("FAILED, %d violations, complete %.3f\n%s", verdict.Violations(), verdict.Share, verdict)
				line += fmt.Sprintf("replay: testbed run --deployment %s --seed %d --length %s --faults %s --closing %s",
					chosen.deployment, seed, options.length, options.faults, closing)
				failed++
			default:
				line += fmt.Sprintf("passed, complete %.3f, median %s", verdict.Share, verdict.Median.Round(time.Millisecond))
				_ = os.RemoveAll(options.folder)
			}
			fmt.Println(line)
		}
		if failed > 0 {
			return failure.New(failure.Contradictory,
				fmt.Sprintf("%d of %d days failed; logs are in %s", failed, *days, base))
		}
		return nil
	}
	return command
}
