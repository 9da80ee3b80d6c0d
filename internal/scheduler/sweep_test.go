package scheduler

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"testing"
	"time"
)

// score rates a run of a simulation. It is the weighted sum of three shares of the possible value that was
// earned (0.65 for all calls, 0.22 for the two worst spans, 0.13 for the worst class), less the prices, as a
// share of the possible value, of KV cache transfers, of request bodies sent to other zones, of shared tokens
// that were read once more and of new connections. A transfer between zones has twice the price.
func (sim *simulation) score() float64 {
	possibleValue, earnedValue := 0.0, 0.0
	for _, counter := range sim.counter {
		possibleValue += counter.possibleValue
		earnedValue += counter.earnedValue
	}
	price := sim.prices.transfer*(sim.sameZoneTransfers+2*sim.crossZoneTransfers) + sim.crossZonePrice*sim.crossZoneBodies +
		sim.prices.reread*float64(sim.sharedReread)/1000 + sim.prices.connection*float64(sim.connectionsOpened)
	worstClass := 1.0
	for _, counter := range sim.counter {
		worstClass = min(worstClass, counter.earnedValue/counter.possibleValue)
	}
	return 0.65*earnedValue/possibleValue + 0.22*sim.worstSpans() + 0.13*worstClass - price/possibleValue
}

// TestSweep prints the scores of sites with several amounts of traffic, so that a developer can compare
// weights. It runs only if SWEEP is set; "large" and "ninety" select other sites. For each site and amount of
// traffic it prints the means over the seeds: the score, the shares of long and of chat calls on target, the
// thousands of shared tokens reread, the megabytes of request bodies sent to other zones, the share of KV cache
// data transferred between zones, and the number of role changes.
func TestSweep(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip("runs only if SWEEP is set")
	}
	sites := []site{nine(), twelve()}
	if os.Getenv("SWEEP") == "large" {
		sites = []site{sixty()}
	}
	if os.Getenv("SWEEP") == "ninety" {
		sites = []site{ninety()}
	}
	run := func(name string, change func(*weights)) {
		text, sum := fmt.Sprintf("%-28s", name), 0.0
		for _, s := range sites {
			for _, factor := range []float64{0.6, 1, 1.4} {
				score, reread, long, chat, crossZoneBodies, crossZoneShare, orders := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
				const seeds = 6
				simulations := make([]*simulation, seeds)
				var waiting sync.WaitGroup
				for seed := range uint64(seeds) {
					waiting.Add(1)
					go func() {
						defer waiting.Done()
						simulations[seed] = s.simulation(seed+10, func(sched *Scheduler) { change(&sched.weights) })
						simulations[seed].balanceRoles(NewRoleBalancer())
						simulations[seed].run(noon.Add(startupTime))
						s.play(simulations[seed], factor, 30*time.Second)
					}()
				}
				waiting.Wait()
				for _, sim := range simulations {
					score += sim.score() / seeds
					orders += float64(sim.orders) / seeds
					reread += float64(sim.sharedReread) / 1000 / seeds
					long += float64(sim.counter["long"].onTarget) / float64(sim.counter["long"].calls) / seeds
					chat += float64(sim.counter["chat"].onTarget) / float64(sim.counter["chat"].calls) / seeds
					crossZoneBodies += sim.crossZoneBodies * 1000 / seeds
					crossZoneShare += sim.crossZoneTransfers / (sim.sameZoneTransfers + sim.crossZoneTransfers) / seeds
				}
				sum += score / float64(3*len(sites))
				text += fmt.Sprintf(" | %.4f %.3f %.3f %4.0fk %2.0fMB %.2f %.1f", score, long, chat, reread, crossZoneBodies, crossZoneShare, orders)
			}
		}
		fmt.Printf("%.4f %s\n", sum, text)
	}
	run("default weights", func(*weights) {})
}

// TestSweepFaults prints, for each fault, the mean score and the outcomes of the calls over several seeds. It
// runs only if SWEEP is set.
func TestSweepFaults(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip("runs only if SWEEP is set")
	}
	scenarios := faults()
	var names []string
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	sum := 0.0
	for _, name := range names {
		const seeds = 6
		simulations := make([]*simulation, seeds)
		var waiting sync.WaitGroup
		for seed := range simulations {
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				s := nine()
				simulations[seed] = s.simulation(uint64(seed+50), nil)
				simulations[seed].balanceRoles(NewRoleBalancer())
				simulations[seed].run(noon.Add(startupTime))
				scenarios[name](simulations[seed])
				s.play(simulations[seed], 1, 30*time.Second)
			}()
		}
		waiting.Wait()
		score, reread := 0.0, 0
		text := ""
		for _, className := range []string{"long", "chat"} {
			all := classCounter{}
			for _, sim := range simulations {
				counter := sim.counter[className]
				all.calls += counter.calls
				all.onTarget += counter.onTarget
				all.late += counter.late
				all.gapExceeded += counter.gapExceeded
				all.refused += counter.refused
				all.lost += counter.lost
				all.broken += counter.broken
			}
			text += fmt.Sprintf(" | %s on target %.3f late %d gaps exceeded %d refused %d lost %d broken %d",
				className, float64(all.onTarget)/float64(all.calls), all.late, all.gapExceeded, all.refused, all.lost, all.broken)
		}
		for _, sim := range simulations {
			score += sim.score() / seeds
			reread += sim.sharedReread / 1000 / seeds
		}
		sum += score
		fmt.Printf("%-14s %.4f reread %dk%s\n", name, score, reread, text)
	}
	fmt.Printf("mean score %.4f\n", sum/float64(len(names)))
}
