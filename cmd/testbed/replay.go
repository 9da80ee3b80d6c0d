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

// mistaken is what the client wrote wrongly: the program ends with 2.
type mistaken struct{ mistakes error }

// Error lists the mistakes, one a line.
func (m mistaken) Error() string {
	text := "mistakes in the day file"
	for _, mistake := range multierr.Errors(m.mistakes) {
		text += "\n  " + mistake.Error()
	}
	return text
}

// replayCommand plays a day of the users' platform around the programs of a deploy
// file.
func replayCommand() *cobra.Command {
	var deploy, binaries, folder string
	command := &cobra.Command{
		Use:     "replay FILE",
		Aliases: []string{"platform-day"},
		Short:   "play a day of the users' platform around the deployed programs",
		Args:    cobra.ExactArgs(1),
		Long: "Plays a day file: model servers, the list of servers, operators, clients and machines over loopback,\n" +
			"around the programs that the deploy file names. Writes verdict.json, verdict.txt, book.jsonl and plots.\n" +
			"Ends with 1 when a rule is broken or the day can't begin, with 2 when the day file has mistakes.",
		Example: "  go build -o target/ ./platform/cmd/...\n  testbed replay internal/testbed/replay/days/loss.toml",
	}
	command.Flags().StringVar(&deploy, "deploy", "deploy/system.toml", "the deploy file")
	command.Flags().StringVar(&binaries, "binaries", "target", "the folder of the programs")
	command.Flags().StringVar(&folder, "folder", "", "folder for settings, logs, disks and the report (default: a new one)")
	command.RunE = func(_ *cobra.Command, arguments []string) error {
		p, mistakes := replay.ReadPlan(arguments[0])
		if mistakes != nil {
			return mistaken{mistakes}
		}
		roles, err := replay.ReadRoles(deploy, binaries)
		if err != nil {
			return mistaken{err}
		}
		if folder == "" {
			if folder, err = os.MkdirTemp("", "platform-day-"); err != nil {
				return failure.Wrap(failure.Disk, err)
			}
		} else if err := os.MkdirAll(folder, 0o755); err != nil {
			return failure.Wrap(failure.Disk, err)
		}
		_, err = playPlatformDay(p, roles, folder)
		return err
	}
	return command
}

// replayDrawnCommand plays drawn days of the platform, one after another.
func replayDrawnCommand() *cobra.Command {
	var deploy, binaries, folder string
	var from uint64
	var count, faults int
	var hard bool
	command := &cobra.Command{
		Use:     "replay-drawn",
		Aliases: []string{"platform-days"},
		Short:   "play drawn days of the users' platform, one after another",
		Args:    cobra.NoArgs,
		Example: "  testbed replay-drawn --from 1 --count 10\n  testbed replay-drawn --hard --count 3",
	}
	command.Flags().StringVar(&deploy, "deploy", "deploy/system.toml", "the deploy file")
	command.Flags().StringVar(&binaries, "binaries", "target", "the folder of the programs")
	command.Flags().StringVar(&folder, "folder", "", "folder for the days that failed (default: a new one)")
	command.Flags().Uint64Var(&from, "from", 1, "the first seed")
	command.Flags().IntVar(&count, "count", 5, "how many days")
	command.Flags().IntVar(&faults, "faults", 5, "how many faults a day has")
	command.Flags().BoolVar(&hard, "hard", false,
		"dense days: storms and races, losses as soon as the budget allows, stops and reloads at once; 60 or 90 s each")
	command.RunE = func(*cobra.Command, []string) error {
		roles, err := replay.ReadRoles(deploy, binaries)
		if err != nil {
			return mistaken{err}
		}
		if folder == "" {
			if folder, err = os.MkdirTemp("", "platform-days-"); err != nil {
				return failure.Wrap(failure.Disk, err)
			}
		}
		failed := 0
		for seed := from; seed < from+uint64(count); seed++ {
			p := replay.DrawPlan(seed, faults)
			if hard {
				p = replay.DrawHardPlan(seed)
			}
			if !playDrawnDay(p, roles, filepath.Join(folder, fmt.Sprintf("day-%d", seed))) {
				failed++
			}
		}
		if failed > 0 {
			return failure.New(failure.Contradictory,
				fmt.Sprintf("%d of %d days failed; they are in %s", failed, count, folder))
		}
		return nil
	}
	return command
}

// playDrawnDay plays one day and keeps its folder when it fails.
func playDrawnDay(p replay.Plan, roles []replay.Role, folder string) bool {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		fmt.Println(err)
		return false
	}
	text, err := p.Text()
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, "day.toml"), []byte(text), 0o644)
	}
	if err != nil {
		fmt.Println(err)
		return false
	}
	verdict, err := playPlatformDay(p, roles, folder)
	if err != nil {
		fmt.Printf("seed %d FAILED (%s): %s\n  replay: testbed replay %s\n", p.Seed, p.Title(), err,
			filepath.Join(folder, "day.toml"))
		return false
	}
	fmt.Printf("seed %d held, served %.3f (%s)\n", p.Seed, verdict.Figures.Served(), p.Title())
	_ = os.RemoveAll(folder)
	return true
}

func playPlatformDay(p replay.Plan, roles []replay.Role, folder string) (replay.Verdict, error) {
	day, err := replay.NewDay(replay.SmallSite(), roles, p.Seed, folder, os.Stderr)
	if err != nil {
		return replay.Verdict{}, err
	}
	defer day.Close()
	if err := day.Begin(40 * time.Second); err != nil {
		return replay.Verdict{}, err
	}
	verdict := day.Run(p)
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
		return verdict, failure.New(failure.Contradictory, fmt.Sprintf("panicked or raced: %v", names))
	}
	if count := verdict.Violations(); count > 0 {
		return verdict, failure.New(failure.Contradictory, fmt.Sprintf("rules were broken %d times", count))
	}
	return verdict, nil
}
