package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/replay"
)

// usageError lists the mistakes in a day file or a deploy file. On this error the program exits
// with 2.
type usageError struct{ mistakes error }

// Error returns a heading and one line for each mistake.
func (u usageError) Error() string {
	text := "mistakes in the day file or the deploy file"
	for _, mistake := range multierr.Errors(u.mistakes) {
		text += "\n  " + mistake.Error()
	}
	return text
}

// replayCommand returns the command that replays a day of the users' platform against
// the programs that a deploy file names.
func replayCommand() *cobra.Command {
	var deploy, binaries, folder string
	command := &cobra.Command{
		Use:     "replay FILE",
		Aliases: []string{"platform-day"},
		Short:   "replay a day of the users' platform against the deployed programs",
		Args:    cobra.ExactArgs(1),
		Long: "Replays a day file over loopback: starts the programs that the deploy file names, and simulates the model servers,\n" +
			"the server list, operators, clients and machines. Writes verdict.json, verdict.txt, book.jsonl and plots. Exits\n" +
			"with 1 when a rule is broken or the day can't start, and with 2 when the day or deploy file has mistakes.",
		Example: "  go build -o target/ ./platform/cmd/...\n  testbed replay internal/testbed/replay/days/losses.toml",
	}
	command.Flags().StringVar(&deploy, "deploy", "deploy/system.toml", "path of the deploy file")
	command.Flags().StringVar(&binaries, "binaries", "target", "folder of the programs")
	command.Flags().StringVar(&folder, "folder", "", "folder for settings, logs, disks and the report (default: a new one)")
	command.RunE = func(_ *cobra.Command, arguments []string) error {
		plan, mistakes := replay.ReadPlan(arguments[0])
		if mistakes != nil {
			return usageError{mistakes}
		}
		roles, err := replay.ReadRoles(deploy, binaries)
		if err != nil {
			return usageError{err}
		}
		if folder == "" {
			if folder, err = os.MkdirTemp("", "platform-day-"); err != nil {
				return failure.Wrap(failure.Disk, err)
			}
		} else if err := os.MkdirAll(folder, 0o755); err != nil {
			return failure.Wrap(failure.Disk, err)
		}
		_, err = runPlatformDay(plan, roles, folder)
		return err
	}
	return command
}

// replayDrawnCommand returns the command that replays randomly drawn days of the
// platform, one after another.
func replayDrawnCommand() *cobra.Command {
	var deploy, binaries, folder string
	var from uint64
	var count, faults int
	var hard bool
	command := &cobra.Command{
		Use:     "replay-drawn",
		Aliases: []string{"platform-days"},
		Short:   "replay randomly drawn days of the users' platform, one after another",
		Args:    cobra.NoArgs,
		Example: "  testbed replay-drawn --from 1 --count 10\n  testbed replay-drawn --hard --count 3",
	}
	command.Flags().StringVar(&deploy, "deploy", "deploy/system.toml", "path of the deploy file")
	command.Flags().StringVar(&binaries, "binaries", "target", "folder of the programs")
	command.Flags().StringVar(&folder, "folder", "", "folder for the days that failed (default: a new one)")
	command.Flags().Uint64Var(&from, "from", 1, "the first seed")
	command.Flags().IntVar(&count, "count", 5, "number of days")
	command.Flags().IntVar(&faults, "faults", 5, "number of faults in each day")
	command.Flags().BoolVar(&hard, "hard", false,
		"days of 60 or 90 s with concurrent changes, losses as soon as the budget allows, and simultaneous stops and reloads")
	command.RunE = func(*cobra.Command, []string) error {
		roles, err := replay.ReadRoles(deploy, binaries)
		if err != nil {
			return usageError{err}
		}
		if folder == "" {
			if folder, err = os.MkdirTemp("", "platform-days-"); err != nil {
				return failure.Wrap(failure.Disk, err)
			}
		}
		failed := 0
		for seed := from; seed < from+uint64(count); seed++ {
			plan := replay.DrawPlan(seed, faults)
			if hard {
				plan = replay.DrawHardPlan(seed)
			}
			if !runDrawnDay(plan, roles, filepath.Join(folder, fmt.Sprintf("day-%d", seed))) {
				failed++
			}
		}
		if failed > 0 {
			return failure.New(failure.Contradictory,
				fmt.Sprintf("%d of %d days failed; their folders are in %s", failed, count, folder))
		}
		return nil
	}
	return command
}

// runDrawnDay runs one day, keeps its folder only if the day failed, and reports whether it
// succeeded.
func runDrawnDay(plan replay.Plan, roles []replay.Role, folder string) bool {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		fmt.Println(err)
		return false
	}
	text, err := plan.Text()
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, "day.toml"), []byte(text), 0o644)
	}
	if err != nil {
		fmt.Println(err)
		return false
	}
	verdict, err := runPlatformDay(plan, roles, folder)
	if err != nil {
		fmt.Printf("seed %d FAILED (%s): %s\n  replay: testbed replay %s\n", plan.Seed, plan.Title(), err,
			filepath.Join(folder, "day.toml"))
		return false
	}
	fmt.Printf("seed %d passed, served %.3f (%s)\n", plan.Seed, verdict.Figures.Served(), plan.Title())
	_ = os.RemoveAll(folder)
	return true
}

// runPlatformDay runs one day and writes its report into the folder. It returns an error if
// the day could not run, a process had a panic or a data race, or a rule was broken.
func runPlatformDay(plan replay.Plan, roles []replay.Role, folder string) (replay.Verdict, error) {
	day, err := replay.NewDay(replay.SmallSite(), roles, plan.Seed, folder, os.Stderr)
	if err != nil {
		return replay.Verdict{}, err
	}
	defer day.Close()
	if err := day.Begin(40 * time.Second); err != nil {
		return replay.Verdict{}, err
	}
	verdict := day.Run(plan)
	fmt.Print(verdict)
	text, err := json.MarshalIndent(verdict, "", "  ")
	if err != nil {
		return verdict, failure.Wrap(failure.Malformed, err)
	}
	err = multierr.Combine(os.WriteFile(filepath.Join(folder, "verdict.json"), text, 0o644),
		os.WriteFile(filepath.Join(folder, "verdict.txt"), []byte(verdict.String()), 0o644),
		day.Events.Save(filepath.Join(folder, "book.jsonl")), verdict.Figures.Plot(folder, replay.Marks(day.Events.Events())))
	if err != nil {
		return verdict, failure.Wrap(failure.Disk, err)
	}
	fmt.Printf("report, logs and plots are in %s\n", folder)
	if names := day.Crashed(); len(names) > 0 {
		return verdict, failure.New(failure.Contradictory, fmt.Sprintf("processes with a panic or a data race: %v", names))
	}
	if count := verdict.Violations(); count > 0 {
		return verdict, failure.New(failure.Contradictory, fmt.Sprintf("rules were broken %d times", count))
	}
	return verdict, nil
}
