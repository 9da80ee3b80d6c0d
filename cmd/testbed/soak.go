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

// own lists the faults that only one deployment sees.
var onlyIn = map[string]string{
	"replace-core":        "sahil",
	"exchange-seeds":      "kochloeffel",
	"large-configuration": "kochloeffel",
	"large-storm":         "kochloeffel",
	"freeze-primary":      "kochloeffel",
	"freeze-courier":      "kochloeffel",
	"freeze-holder":       "kochloeffel",
}

var closings = []string{"herd-couriers", "herd-expediters", "cold-start", "lose-zone", "kill-primary", "power-loss", "crash-server"}

// draw picks a day's faults and its closing fault from a seed.
func draw(deployment string, seed uint64, count int) ([]string, string) {
	random := rand.New(rand.NewPCG(seed, 5))
	var names []string
	for _, name := range fleet.FaultNames() {
		if only, found := onlyIn[name]; !found || only == deployment {
			names = append(names, name)
		}
	}
	random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	return names[:min(count, len(names))], closings[random.IntN(len(closings))]
}

// soakCommand runs many seeded days, one after another. Each seed draws its
// own faults; a day that fails is named with the command that replays it.
func soakCommand() *cobra.Command {
	chosen := &plan{once: 0.3}
	command := &cobra.Command{
		Use:     "soak",
		Aliases: []string{"season"},
		Short:   "many seeded days with drawn faults, one after another",
		Args:    cobra.NoArgs,
		Example: "  testbed soak --deployment kochloeffel --from 1 --days 20",
	}
	addFleetFlags(command, chosen)
	from := command.Flags().Uint64("from", 1, "the first seed")
	days := command.Flags().Int("days", 5, "how many days")
	count := command.Flags().Int("count", 5, "how many faults a day")
	floor := command.Flags().Float64("floor", 0.5, "the share of replies that must be complete")
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
			names, closing := draw(chosen.deployment, seed, *count)
			today := *chosen
			today.seed, today.faults, today.closing = seed, strings.Join(names, ","), closing
			today.folder = filepath.Join(base, fmt.Sprintf("%s-%d", chosen.deployment, seed))
			today.length = time.Duration(len(names)+1) * 11 * time.Second
			verdict, err := today.run(os.Stderr)
			line := fmt.Sprintf("seed %d %s then %s: ", seed, today.faults, closing)
			switch {
			case err != nil:
				line += err.Error()
				failed++
			case verdict.Violations() > 0 || verdict.Share < *floor:
				line += fmt.Sprintf("FAILED, %d violations, complete %.3f\n%s", verdict.Violations(), verdict.Share, verdict)
				line += fmt.Sprintf("replay: testbed run --deployment %s --seed %d --length %s --faults %s --closing %s",
					chosen.deployment, seed, today.length, today.faults, closing)
				failed++
			default:
				line += fmt.Sprintf("held, complete %.3f, median %s", verdict.Share, verdict.Median.Round(time.Millisecond))
				_ = os.RemoveAll(today.folder)
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
