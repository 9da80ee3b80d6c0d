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

// simulateCommand runs many days in virtual time, or replays one.
func simulateCommand() *cobra.Command {
	campaign := &simulation.Campaign{Day: simulation.DefaultDay()}
	command := &cobra.Command{
		Use:     "simulate",
		Aliases: []string{"worlds"},
		Short:   "many seeded days of whole fleets in virtual time, or the replay of one",
		Args:    cobra.NoArgs,
		Example: "  testbed simulate --from 1 --count 5000\n  testbed simulate --from 17 --count 1 --trace\n  testbed simulate --only 'a disk is lost' --count 200",
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
	trace := set.Bool("trace", false, "print every step of the first seed's day and its verdict")
	eventsFile := set.String("book", "", "with --trace: save the book here, as JSON lines")
	length := set.Duration("for", 0, "begin no further day after this time (default: run all)")
	untilBroken := set.String("until-broken", "",
		"stop at the first day that breaks a rule whose name has this in it, or at any that fails if it is empty")
	each := set.Bool("each", false, "run the count for every fault alone, a line each")
	command.RunE = func(*cobra.Command, []string) error {
		debug.SetGCPercent(400)
		if _, found := campaign.DeploymentOf(campaign.First); !found {
			return failure.New(failure.NoSuch, "no deployment "+campaign.Deployment)
		}
		if campaign.Day.Only != "" && !slices.Contains(simulation.FaultNames(), campaign.Day.Only) {
			return failure.New(failure.NoSuch, "no fault "+campaign.Day.Only)
		}
		if *trace {
			deployment, _ := campaign.DeploymentOf(campaign.First)
			fleet := simulation.New(deployment, campaign.First)
			fleet.Log = func(line string) { fmt.Println(line) }
			result := fleet.Run(campaign.Day)
			if *eventsFile != "" {
				if err := fleet.Events.Save(*eventsFile); err != nil {
					return err
				}
			}
			fmt.Printf("%swhole at the end: %v, digest %s\n", result.Verdict, result.Restored, fleet.Trace())
			return broken(result.Failed())
		}
		if *each {
			failed := false
			for _, name := range simulation.FaultNames() {
				campaign.Day.Only = name
				counter := campaign.Run(func(uint64, simulation.Result) {})
				failed = failed || len(counter.Failed) > 0
				fmt.Printf("%-34s days %d, failed %d, complete %.3f, lowest %.3f, longest gap %s, mean %s, service back after %.2f s at most\n",
					name, counter.Days, len(counter.Failed),
					counter.Share, counter.Lowest, counter.Gap.Round(10*time.Millisecond), (counter.Gaps / time.Duration(max(counter.Days,
						1))).Round(10*time.Millisecond), counter.Longest["service returns after a closing fault"])
			}
			return broken(failed)
		}
		began, days := time.Now(), 0
		if *length > 0 {
			ends := time.AfterFunc(*length, func() { campaign.Stop.Store(true) })
			defer ends.Stop()
		}
		tally := campaign.Run(func(seed uint64, result simulation.Result) {
			days++
			if campaign.Day.Swings {
				fmt.Printf("seed %d: %d complete, share %.3f, median %s, 95th %s, parts changed %d, flaps %d\n", seed,
					result.Verdict.Replies["complete"], result.Verdict.Share,
					result.Verdict.Median.Round(time.Millisecond), result.Verdict.Tail.Round(time.Millisecond), result.Runtime, result.Flaps)
			}
			until := command.Flags().Changed("until-broken")
			if result.Failed() && (!until || (result.Broke(*untilBroken) && !campaign.Stop.Load())) {
				campaign.Stop.Store(until)
				fmt.Printf("after %d days seed %d FAILED, whole at the end: %v, two primaries at once: %d\n%sreplay: testbed simulate --from %d --count 1 --trace%s\n",
					days, seed, result.Restored, result.TwoPrimaries, result.Verdict, seed, flags(campaign))
			}
		})
		report(tally, time.Since(began))
		return broken(len(tally.Failed) > 0)
	}
	return command
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
