package main

import (
	"os"
	"os/exec"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
)

const (
	// explorationTest runs for the number of seconds in the environment variable explorationSeconds.
	explorationTest    = "TestExplorationAtRandom"
	explorationPackage = "./internal/replication"
	explorationSeconds = "SEAMLOOM_EXPLORE_SECONDS"
	// explorationSlack is the time that the test's timeout allows beyond the exploration: for the
	// build, and for the states that are still being checked at the end.
	explorationSlack = 5 * time.Minute
)

// exploreCommand returns the command that explores the states of a core for some minutes.
func exploreCommand() *cobra.Command {
	var minutes int
	var source string
	command := &cobra.Command{Use: "explore", Short: "explore the states of a bounded core in random order", Args: cobra.NoArgs,
		Long: "explore drives the product's own witnesses, memberships and proposals through crashes, lost disks,\n" +
			"transfers, and late and duplicated messages, and checks the invariants in each state. It prints the\n" +
			"number of states visited, the states per second, and the path to a violation if it finds one. It runs\n" +
			"the test " + explorationTest + " of the source tree, so Go must be installed.",
		Example: "  testbed explore --minutes 30"}
	command.Flags().IntVar(&minutes, "minutes", 10, "length of the exploration in minutes")
	command.Flags().StringVar(&source, "source", ".", "root folder of the source tree")
	command.RunE = func(*cobra.Command, []string) error {
		if minutes < 1 {
			return failure.At(failure.OutOfRange, "minutes", "must be at least 1")
		}
		length := time.Duration(minutes) * time.Minute
		exploration := exec.Command("go", "test", "-count=1", "-v", "-run", "^"+explorationTest+"$",
			"-timeout", (length + explorationSlack).String(), explorationPackage)
		exploration.Dir = source
		exploration.Env = append(os.Environ(), explorationSeconds+"="+strconv.Itoa(int(length.Seconds())))
		exploration.Stdout, exploration.Stderr = os.Stdout, os.Stderr
		if err := exploration.Run(); err != nil {
			return failure.New(failure.Contradictory, "the exploration failed: "+err.Error())
		}
		return nil
	}
	return command
}
