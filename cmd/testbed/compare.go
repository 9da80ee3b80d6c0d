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

// compareOptions are the flags of the compare command.
type compareOptions struct {
	bench, site, why string
	before, after    string
	folder           string
	from, count      int
	parallel         int
	asJSON           bool
}

// compareCommand returns the command that compares two source trees.
func compareCommand() *cobra.Command {
	var chosen compareOptions
	command := &cobra.Command{
		Use:   "compare",
		Short: "compare two source trees on the same randomly drawn days",
		Args:  cobra.NoArgs,
		Long: "compare has a bench run the same randomly drawn days with two source trees, or reads the reports of earlier runs\n" +
			"(without --bench, --before and --after are folders of reports), and prints the paired differences\n" +
			"with their 95% confidence intervals. A star marks intervals that exclude zero.",
	}
	flags := command.Flags()
	flags.StringVar(&chosen.bench, "bench", "", "path of the bench program; without it, only existing reports are read")
	flags.StringVar(&chosen.site, "site", "", "the deployment's site file")
	flags.StringVar(&chosen.why, "why", "paired comparison of two trees", "the reason that the bench records with its runs")
	flags.StringVar(&chosen.before, "before", "", "the source tree, or the folder of reports, before the change")
	flags.StringVar(&chosen.after, "after", "", "the source tree, or the folder of reports, after the change")
	flags.StringVar(&chosen.folder, "folder", "compare-reports", "folder in which the reports and the plot are written")
	flags.IntVar(&chosen.from, "from", 1, "the first day's seed")
	flags.IntVar(&chosen.count, "count", 5, "number of days")
	flags.IntVar(&chosen.parallel, "parallel", 2, "number of days that run at once")
	flags.BoolVar(&chosen.asJSON, "json", false, "print the comparison as JSON")
	for _, needed := range []string{"before", "after"} {
		must(command.MarkFlagRequired(needed))
	}
	command.RunE = func(*cobra.Command, []string) error { return chosen.run() }
	return command
}

// must panics on an error in the definition of the command's flags.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// run compares the reports of both sides. If --bench is set, it first runs the days that produce them.
func (c *compareOptions) run() error {
	before, after := c.before, c.after
	if c.bench != "" {
		before, after = filepath.Join(c.folder, "before"), filepath.Join(c.folder, "after")
		if err := c.runDays(map[string]string{before: c.before, after: c.after}); err != nil {
			return err
		}
	}
	beforeReports, err := compare.ReadReports(before)
	if err != nil {
		return err
	}
	afterReports, err := compare.ReadReports(after)
	if err != nil {
		return err
	}
	comparison := compare.Compare(beforeReports, afterReports)
	if len(comparison.Days) == 0 {
		return failure.New(failure.NoSuch, "no day has a report on both sides")
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

// runDays has the bench run every day with each tree. The keys of trees are the folders for
// their reports. A day that fails to run has no report: runDay prints the error, and the other
// days continue.
func (c *compareOptions) runDays(trees map[string]string) error {
	slots := make(chan struct{}, max(1, c.parallel))
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
				slots <- struct{}{}
				defer func() { <-slots }()
				c.runDay(tree, reports, strconv.Itoa(seed))
			})
		}
	}
	running.Wait()
	return nil
}

// runDay has the bench run the day of a seed with one tree. It saves the bench's output in the folder of the
// reports, and prints an error if the run or the saving fails.
func (c *compareOptions) runDay(tree, reports, seed string) {
	bench := exec.Command(c.bench, "run", c.site, "mix", "--seed", seed, "--report",
		filepath.Join(reports, seed+".json"), "--why", c.why)
	bench.Dir = tree
	output, err := bench.CombinedOutput()
	if writeErr := os.WriteFile(filepath.Join(reports, seed+".txt"), output, 0o644); writeErr != nil || err != nil {
		fmt.Fprintln(os.Stderr, "the run of a day or the saving of its output failed: seed", seed, "source tree", tree, err, writeErr)
	}
}
