package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/rehearsal/platformday"
	"seamloom.example/seamloom/internal/trouble"
)

// mistaken is what the caller wrote wrongly: the program ends with 2.
type mistaken struct{ mistakes error }

// Error lists the mistakes, one a line.
func (mistaken mistaken) Error() string {
	text := "mistakes in the day file"
	for _, mistake := range multierr.Errors(mistaken.mistakes) {
		text += "\n  " + mistake.Error()
	}
	return text
}

// platformDayCommand plays a day of the users' platform around the programs of a deploy
// file.
func platformDayCommand() *cobra.Command {
	var deploy, binaries, folder string
	command := &cobra.Command{Use: "platform-day FILE", Short: "play a day of the users' platform around the deployed programs", Args: cobra.ExactArgs(1),
		Long: "Plays a day file: model servers, the list of servers, operators, clients and machines over loopback,\n" +
			"around the programs that the deploy file names. Writes verdict.json, verdict.txt, book.jsonl and plots.\n" +
			"Ends with 1 when a rule is broken or the day can't begin, with 2 when the day file has mistakes.",
		Example: "  go build -o target/ ./platform/cmd/...\n  rehearsal platform-day internal/rehearsal/platformday/days/loss.toml"}
	command.Flags().StringVar(&deploy, "deploy", "deploy/system.toml", "the deploy file")
	command.Flags().StringVar(&binaries, "binaries", "target", "the folder of the programs")
	command.Flags().StringVar(&folder, "folder", "", "folder for settings, logs, disks and the report (default: a new one)")
	command.RunE = func(_ *cobra.Command, arguments []string) error {
		plan, mistakes := platformday.ReadPlan(arguments[0])
		if mistakes != nil {
			return mistaken{mistakes}
		}
		roles, failure := platformday.ReadRoles(deploy, binaries)
		if failure != nil {
			return mistaken{failure}
		}
		if folder == "" {
			if folder, failure = os.MkdirTemp("", "platform-day-"); failure != nil {
				return trouble.Wrap(trouble.Disk, failure)
			}
		} else if failure := os.MkdirAll(folder, 0o755); failure != nil {
			return trouble.Wrap(trouble.Disk, failure)
		}
		_, failure = playPlatformDay(plan, roles, folder)
		return failure
	}
	return command
}

// platformDaysCommand plays drawn days of the platform, one after another.
func platformDaysCommand() *cobra.Command {
	var deploy, binaries, folder string
	var from uint64
	var count, faults int
	command := &cobra.Command{Use: "platform-days", Short: "play drawn days of the users' platform, one after another", Args: cobra.NoArgs,
		Example: "  rehearsal platform-days --from 1 --count 10"}
	command.Flags().StringVar(&deploy, "deploy", "deploy/system.toml", "the deploy file")
	command.Flags().StringVar(&binaries, "binaries", "target", "the folder of the programs")
	command.Flags().StringVar(&folder, "folder", "", "folder for the days that failed (default: a new one)")
	command.Flags().Uint64Var(&from, "from", 1, "the first seed")
	command.Flags().IntVar(&count, "count", 5, "how many days")
	command.Flags().IntVar(&faults, "faults", 5, "how many faults a day has")
	command.RunE = func(*cobra.Command, []string) error {
		roles, failure := platformday.ReadRoles(deploy, binaries)
		if failure != nil {
			return mistaken{failure}
		}
		if folder == "" {
			if folder, failure = os.MkdirTemp("", "platform-days-"); failure != nil {
				return trouble.Wrap(trouble.Disk, failure)
			}
		}
		failed := 0
		for seed := from; seed < from+uint64(count); seed++ {
			if !playDrawnDay(platformday.DrawPlan(seed, faults), roles, filepath.Join(folder, fmt.Sprintf("day-%d", seed))) {
				failed++
			}
		}
		if failed > 0 {
			return trouble.New(trouble.Contradictory, fmt.Sprintf("%d of %d days failed; they are in %s", failed, count, folder))
		}
		return nil
	}
	return command
}

// playDrawnDay plays one day and keeps its folder when it fails.
func playDrawnDay(plan platformday.Plan, roles []platformday.Role, folder string) bool {
	if failure := os.MkdirAll(folder, 0o755); failure != nil {
		fmt.Println(failure)
		return false
	}
	text, failure := plan.Text()
	if failure == nil {
		failure = os.WriteFile(filepath.Join(folder, "day.toml"), []byte(text), 0o644)
	}
	if failure != nil {
		fmt.Println(failure)
		return false
	}
	verdict, failure := playPlatformDay(plan, roles, folder)
	if failure != nil {
		fmt.Printf("seed %d FAILED (%s): %s\n  replay: rehearsal platform-day %s\n", plan.Seed, plan.Title(), failure, filepath.Join(folder, "day.toml"))
		return false
	}
	fmt.Printf("seed %d held, served %.3f (%s)\n", plan.Seed, verdict.Figures.Served(), plan.Title())
	_ = os.RemoveAll(folder)
	return true
}

func playPlatformDay(plan platformday.Plan, roles []platformday.Role, folder string) (platformday.Verdict, error) {
	day, failure := platformday.NewDay(platformday.SmallSite(), roles, plan.Seed, folder, os.Stderr)
	if failure != nil {
		return platformday.Verdict{}, failure
	}
	defer day.Close()
	if failure := day.Begin(40 * time.Second); failure != nil {
		return platformday.Verdict{}, failure
	}
	verdict := day.Run(plan)
	fmt.Print(verdict)
	text, failure := json.MarshalIndent(verdict, "", "  ")
	if failure != nil {
		return verdict, trouble.Wrap(trouble.Malformed, failure)
	}
	failure = multierr.Combine(os.WriteFile(filepath.Join(folder, "verdict.json"), text, 0o644), os.WriteFile(filepath.Join(folder, "verdict.txt"), []byte(verdict.String()), 0o644),
		day.Book.Save(filepath.Join(folder, "book.jsonl")), verdict.Figures.Plot(folder, platformday.Marks(day.Book.Events())))
	if failure != nil {
		return verdict, trouble.Wrap(trouble.Disk, failure)
	}
	fmt.Printf("report, logs and plots are in %s\n", folder)
	if names := day.Crashed(); len(names) > 0 {
		return verdict, trouble.New(trouble.Contradictory, fmt.Sprintf("panicked or raced: %v", names))
	}
	if count := verdict.Violations(); count > 0 {
		return verdict, trouble.New(trouble.Contradictory, fmt.Sprintf("rules were broken %d times", count))
	}
	return verdict, nil
}
