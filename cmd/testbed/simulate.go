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

// simulateOptions are the flags of simulate beside the campaign's own.
type simulateOptions struct {
	campaign *simulation.Campaign
	trace    bool
	// events is the file that takes the event log of a traced day.
	events string
	// length is how long further days begin; zero means until all have run.
	length time.Duration
	// untilBroken stops the campaign at the first day that breaks a rule of which this
	// is a part, if stop is set.
	untilBroken string
	stop        bool
	each        bool
}

// simulateCommand runs many days in virtual time, or replays one.
func simulateCommand() *cobra.Command {
	o := &simulateOptions{campaign: &simulation.Campaign{Day: simulation.DefaultDay()}}
	campaign := o.campaign
	command := &cobra.Command{
		Use:     "simulate",
		Aliases: []string{"worlds"},
		Short:   "many seeded days of whole fleets in virtual time, or the replay of one",
		Args:    cobra.NoArgs,
		Example: "  testbed simulate --from 1 --count 5000\n" +
			"  testbed simulate --from 17 --count 1 --trace\n" +
			"  testbed simulate --only 'a disk is lost' --count 200",
	}
	set := command.Flags()
	set.StringVar(&campaign.Deployment, "deployment", "", "sahil or kochloeffel (default: each in turn)")
	set.Uint64Var(&campaign.First, "from", 1, "the first seed")
	set.Uint64Var(&campaign.Count, "count", 240, "how many days")
	set.DurationVar(&campaign.Day.Faulty, "faulty", campaign.Day.Faulty, "how long faults are drawn in each day")
	set.BoolVar(&campaign.Day.Forming, "forming", false, "trouble the first core while it forms")
	set.BoolVar(&campaign.Day.Swings, "swings", false, "swings of traffic instead of faults")
	set.BoolVar(&campaign.Day.FixedParts, "fixed-parts", false,
		"leave servers the parts that they were given first, for comparison")
	set.StringVar(&campaign.Day.Only, "only", "", "draw this fault alone")
	set.Float64Var(&campaign.Day.Long, "long", campaign.Day.Long, "long-prompt inquiries a second")
	set.Float64Var(&campaign.Day.Short, "short", campaign.Day.Short, "short chats a second")
	set.BoolVar(&o.trace, "trace", false, "print every step of the first seed's day and its verdict")
	set.StringVar(&o.events, "book", "", "with --trace: save the book here, as JSON lines")
	set.DurationVar(&o.length, "for", 0, "begin no further day after this time (default: run all)")
	set.StringVar(&o.untilBroken, "until-broken", "",
		"stop at the first day that breaks a rule whose name has this in it, or at any that fails if it is empty")
	set.BoolVar(&o.each, "each", false, "run the count for every fault alone, a line each")
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

// traceDay prints the steps of the first seed's day.
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
	fmt.Printf("%swhole at the end: %v, digest %s\n", result.Verdict, result.Restored, world.Trace())
	return broken(result.Failed())
}

// runEach runs the campaign once for every fault, drawn alone.
func (o *simulateOptions) runEach() error {
	failed := false
	for _, name := range simulation.FaultNames() {
		o.campaign.Day.Only = name
		counter := o.campaign.Run(func(uint64, simulation.Result) {})
		failed = failed || len(counter.Failed) > 0
		mean := counter.Gaps / time.Duration(max(counter.Days, 1))
		fmt.Printf("%-34s days %d, failed %d, complete %.3f, lowest %.3f, longest gap %s, mean %s, service back after %.2f s at most\n",
			name, counter.Days, len(counter.Failed), counter.Share, counter.Lowest,
			counter.Gap.Round(10*time.Millisecond), mean.Round(10*time.Millisecond),
			counter.Longest["service returns after a closing fault"])
	}
	return broken(failed)
}

// runCampaign runs all days and prints those that fail, and the sum.
func (o *simulateOptions) runCampaign() error {
	campaign := o.campaign
	began, days := time.Now(), 0
	if o.length > 0 {
		ends := time.AfterFunc(o.length, func() { campaign.Stop.Store(true) })
		defer ends.Stop()
	}
	counter := campaign.Run(func(seed uint64, result simulation.Result) {
		days++
		verdict := result.Verdict
		if campaign.Day.Swings {
			fmt.Printf("seed %d: %d complete, share %.3f, median %s, 95th %s, parts changed %d, flaps %d\n",
				seed, verdict.Replies["complete"], verdict.Share, verdict.Median.Round(time.Millisecond),
				verdict.Tail.Round(time.Millisecond), result.Runtime, result.Flaps)
		}
		if result.Failed() && (!o.stop || (result.Broke(o.untilBroken) && !campaign.Stop.Load())) {
			campaign.Stop.Store(o.stop)
			fmt.Printf("after %d days seed %d FAILED, whole at the end: %v, two primaries at once: %d\n%s"+
				"replay: testbed simulate --from %d --count 1 --trace%s\n",
				days, seed, result.Restored, result.TwoPrimaries, verdict, seed, flags(campaign))
		}
	})
	report(counter, time.Since(began))
	return broken(len(counter.Failed) > 0)
}

// flags are those by which a day of the campaign is replayed.
func flags(campaign *simulation.Campaign) string {
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

func broken(failed bool) error {
	if failed {
		return failure.New(failure.Contradictory, "something happened that must never happen")
	}
	return nil
}

func report(counter simulation.Counter, took time.Duration) {
	_, _ = fmt.Fprintf(os.Stdout, "%d days in %s, %d steps, %d replies, complete %.3f (lowest day %.3f), failed days %d\n",
		counter.Days, took.Round(time.Second), counter.Steps, counter.Replies, counter.Share, counter.Lowest, len(counter.Failed))
	for _, checker := range slices.Sorted(maps.Keys(counter.Violations)) {
		fmt.Printf("violations %4d  %-52s worst %.2f s\n", counter.Violations[checker], checker, counter.Longest[checker])
	}
	for _, what := range slices.Sorted(maps.Keys(counter.Encounters)) {
		fmt.Printf("tempted %7d times in %5d days: %s\n", counter.Encounters[what], counter.DaysWith[what], what)
	}
}
