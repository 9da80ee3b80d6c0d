package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/compare"
)

// comparing are the flags of the command.
type comparing struct {
	bench, site, why string
	before, after    string
	folder           string
	from, count      int
	parallel         int
	asJSON           bool
}

func compareCommand() *cobra.Command {
	var chosen comparing
	command := &cobra.Command{
		Use:   "compare",
		Short: "hold two trees against each other on the same drawn days",
		Args:  cobra.NoArgs,
		Long: "compare has a bench play the same drawn days with two trees of sources, or reads the reports of earlier runs\n" +
			"(--bench left out: --before and --after are then folders of reports), and tells the paired differences\n" +
			"with their 95% confidence intervals. A star marks those that leave out zero.",
	}
	flags := command.Flags()
	flags.StringVar(&chosen.bench, "bench", "", "the bench's program; left out, reports are only read")
	flags.StringVar(&chosen.site, "site", "", "the deployment's site file")
	flags.StringVar(&chosen.why, "why", "paired comparison of two trees", "what the bench notes of its runs")
	flags.StringVar(&chosen.before, "before", "", "the tree, or the folder of reports, before")
	flags.StringVar(&chosen.after, "after", "", "the same, after")
	flags.StringVar(&chosen.folder, "folder", "compare-reports", "where reports and the plot are written")
	flags.IntVar(&chosen.from, "from", 1, "the first day's seed")
	flags.IntVar(&chosen.count, "count", 5, "how many days")
	flags.IntVar(&chosen.parallel, "parallel", 2, "how many days are played at once")
	flags.BoolVar(&chosen.asJSON, "json", false, "tell it as JSON")
	for _, needed := range []string{"before", "after"} {
		must(command.MarkFlagRequired(needed))
	}
	command.RunE = func(*cobra.Command, []string) error { return chosen.run() }
	return command
}

// must ends the program at its start when its own flags are wrong.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (c *comparing) run() error {
	before, after := c.before, c.after
	if c.bench != "" {
		before, after = filepath.Join(c.folder, "before"), filepath.Join(c.folder, "after")
		if err := c.play(map[string]string{before: c.before, after: c.after}); err != nil {
			return err
		}
	}
	first, err := compare.ReadReports(before)
	if err != nil {
		return err
	}
	second, err := compare.ReadReports(after)
	if err != nil {
		return err
	}
	comparison := compare.Compare(first, second)
	if len(comparison.Days) == 0 {
		return failure.New(failure.NoSuch, "no day was played by both sides")
	}
	if err := os.MkdirAll(c.folder, 0o755); err != nil {
		return err
	}
	if err := comparison.SavePlot(filepath.Join(c.folder, "worth.png")); err != nil {
		return err
	}
	if c.asJSON {
		return json.NewEncoder(os.Stdout).Encode(comparison)
	}
	fmt.Print(comparison)
	return nil
}

// play has the bench play the days with each tree, the trees by their reports' folders. A
// day that could not be played has no report.
func (c *comparing) play(trees map[string]string) error {
	places := make(chan struct{}, max(1, c.parallel))
	var running sync.WaitGroup
	for folder, tree := range trees {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return err
		}
		reports, err := filepath.Abs(folder)
		if err != nil {
			return err
		}
		for seed := c.from; seed < c.from+c.count; seed++ {
			running.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				c.playDay(tree, reports, strconv.Itoa(seed))
			})
		}
	}
	running.Wait()
	return nil
}

func (c *comparing) playDay(tree, reports, seed string) {
	bench := exec.Command(c.bench, "run", c.site, "mix", "--seed", seed, "--report",
		filepath.Join(reports, seed+".json"), "--why", c.why)
	bench.Dir = tree
	said, err := bench.CombinedOutput()
	if writing := os.WriteFile(filepath.Join(reports, seed+".txt"), said, 0o644); writing != nil || err != nil {
		fmt.Fprintln(os.Stderr, "day", seed, "with", tree, err, writing)
	}
}
