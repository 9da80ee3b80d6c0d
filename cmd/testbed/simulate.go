package main

import (
	"fmt"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/simulation"
)

// simulateOptions holds a campaign, which most flags of the simulate command configure, and the
// values of the other flags.
type simulateOptions struct {
	campaign *simulation.Campaign
	trace    bool
	// events is the path to which the event log of a traced day is saved; empty saves none.
	events string
	// length is the time after which no further day starts; zero runs all days.
	length time.Duration
	// untilBroken is a part of a rule's name. If stop is set, the campaign stops at the first
	// day that breaks a rule whose name contains untilBroken.
	untilBroken string
	stop        bool
	// each is set to run the campaign once for every fault, with no other faults.
	each bool
}

// simulateCommand returns the command that runs many days in virtual time, or replays one.
func simulateCommand() *cobra.Command {
	o := &simulateOptions{campaign: &simulation.Campaign{Day: simulation.DefaultDay()}}
	campaign := o.campaign
	command := &cobra.Command{
		Use:     "simulate",
		Aliases: []string{"worlds"},
		Short:   "run many seeded days of whole fleets in virtual time, or replay one",
		Args:    cobra.NoArgs,
		Example: "  testbed simulate --from 1 --count 5000\n" +
			"  testbed simulate --from 17 --count 1 --trace\n" +
			"  testbed simulate --only 'a disk is lost' --count 200",
	}
	set := command.Flags()
	set.StringVar(&campaign.Deployment, "deployment", "", "sahil or kochloeffel (default: each in turn)")
	set.Uint64Var(&campaign.First, "from", 1, "the first seed")
	set.Uint64Var(&campaign.Count, "count", 240, "number of days")
	set.DurationVar(&campaign.Day.Faulty, "faulty", campaign.Day.Faulty, "length of the part of each day in which faults are injected")
	set.BoolVar(&campaign.Day.Forming, "forming", false, "inject faults while the first core forms")
	set.BoolVar(&campaign.Day.Swings, "swings", false, "vary the traffic instead of injecting faults")
	set.BoolVar(&campaign.Day.FixedParts, "fixed-parts", false,
		"keep each server's first role for the whole day, for comparison")
	set.StringVar(&campaign.Day.Only, "only", "", "inject only this fault")
	set.Float64Var(&campaign.Day.Long, "long", campaign.Day.Long, "long-prompt requests a second")
	set.Float64Var(&campaign.Day.Short, "short", campaign.Day.Short, "short chat requests a second")
	set.BoolVar(&o.trace, "trace", false, "print every step of the first seed's day and its verdict")
	set.StringVar(&o.events, "book", "", "with --trace: save the event log to this file, as JSON lines")
	set.DurationVar(&o.length, "for", 0, "start no further day after this time (default: run all)")
	set.StringVar(&o.untilBroken, "until-broken", "",
		"stop at the first day that breaks a rule whose name contains this text; with an empty text, at the first day that fails")
	set.BoolVar(&o.each, "each", false, "run the campaign once for every fault and print a line for each")
	command.RunE = func(*cobra.Command, []string) error {
		debug.SetGCPercent(400)
		o.stop = set.Changed("until-broken")
		if _, found := campaign.DeploymentOf(campaign.First); !found {
			return failure.New(failure.NoSuch, "no deployment "+campaign.Deployment)
		}
		if campaign.Day.Only != "" && !slices.Contains(simulation.FaultNames(), campaign.Day.Only) {
			return failure.New(failure.NoSuch, "no fault "+campaign.Day.Only)
		}
		switch {
		case o.trace:
			return o.traceDay()
		case o.each:
			return o.runEach()
		}
		return o.runCampaign()
	}
	return command
}

// traceDay runs the first seed's day and prints its steps and its verdict.
func (o *simulateOptions) traceDay() error {
	deployment, _ := o.campaign.DeploymentOf(o.campaign.First)
	world := simulation.New(deployment, o.campaign.First)
	world.Log = func(line string) { fmt.Println(line) }
	result := world.Run(o.campaign.Day)
	if o.events != "" {
		if err := world.Events.Save(o.events); err != nil {
			return err
		}
	}
	fmt.Printf("%sthe core is complete at the end: %v, digest %s\n", result.Verdict, result.Restored, world.Trace())
	return violationError(result.Failed())
}

// runEach runs the campaign once for every fault, with no other faults.
func (o *simulateOptions) runEach() error {
	failed := false
	for _, name := range simulation.FaultNames() {
		o.campaign.Day.Only = name
		counter := o.campaign.Run(func(uint64, simulation.Result) {})
		failed = failed || len(counter.Failed) > 0
		mean := counter.Gaps / time.Duration(max(counter.Days, 1))
		fmt.Printf("%-34s days %d, failed %d, complete %.3f, lowest %.3f, longest gap %s, mean %s, service restored within %.2f s\n",
			name, counter.Days, len(counter.Failed), counter.Share, counter.Lowest,
			counter.Gap.Round(10*time.Millisecond), mean.Round(10*time.Millisecond),
			counter.Longest["service returns after a closing fault"])
	}
	return violationError(failed)
}

// runCampaign runs all days, prints the ones that fail, and then prints a summary.
func (o *simulateOptions) runCampaign() error {
	campaign := o.campaign
	began, days := time.Now(), 0
	if o.length > 0 {
		timer := time.AfterFunc(o.length, func() { campaign.Stop.Store(true) })
		defer timer.Stop()
	}
	counter := campaign.Run(func(seed uint64, result simulation.Result) {
		days++
		verdict := result.Verdict
		if campaign.Day.Swings {
			fmt.Printf("seed %d: %d complete, share %.3f, median %s, 95th percentile %s, role changes %d, flaps %d\n",
				seed, verdict.Replies["complete"], verdict.Share, verdict.Median.Round(time.Millisecond),
				verdict.Tail.Round(time.Millisecond), result.RoleChanges, result.Flaps)
		}
		if result.Failed() && (!o.stop || (result.Broke(o.untilBroken) && !campaign.Stop.Load())) {
			campaign.Stop.Store(o.stop)
			fmt.Printf("after %d days seed %d FAILED, core complete at the end: %v, two primaries at once: %d\n%s"+
				"replay: testbed simulate --from %d --count 1 --trace%s\n",
				days, seed, result.Restored, result.TwoPrimaries, verdict, seed, replayFlags(campaign))
		}
	})
	printSummary(counter, time.Since(began))
	return violationError(len(counter.Failed) > 0)
}

// replayFlags returns the command-line flags that replay a day of the campaign.
func replayFlags(campaign *simulation.Campaign) string {
	text := fmt.Sprintf(" --faulty %s --long %g --short %g", campaign.Day.Faulty, campaign.Day.Long, campaign.Day.Short)
	if campaign.Deployment != "" {
		text += " --deployment " + campaign.Deployment
	}
	if campaign.Day.Forming {
		text += " --forming"
	}
	if campaign.Day.Only != "" {
		text += fmt.Sprintf(" --only %q", campaign.Day.Only)
	}
	return text
}

// violationError returns an error if at least one simulated day failed.
func violationError(failed bool) error {
	if failed {
		return failure.New(failure.Contradictory, "at least one simulated day failed")
	}
	return nil
}

// printSummary prints the totals of a campaign, its violations by checker, and how often
// each of the recorded situations occurred.
func printSummary(counter simulation.Counter, took time.Duration) {
	_, _ = fmt.Fprintf(os.Stdout, "%d days in %s, %d steps, %d replies, complete %.3f (lowest day %.3f), failed days %d\n",
		counter.Days, took.Round(time.Second), counter.Steps, counter.Replies, counter.Share, counter.Lowest, len(counter.Failed))
	for _, checker := range slices.Sorted(maps.Keys(counter.Violations)) {
		fmt.Printf("violations %4d  %-52s worst %.2f s\n", counter.Violations[checker], checker, counter.Longest[checker])
	}
	for _, situation := range slices.Sorted(maps.Keys(counter.Encounters)) {
		fmt.Printf("encountered %7d times in %5d days: %s\n", counter.Encounters[situation], counter.DaysWith[situation], situation)
	}
}
