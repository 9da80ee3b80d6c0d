package scheduler

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// ablations returns functions that prepare a scheduler without one of its mechanisms, by the name of that
// mechanism. The baseline has all mechanisms. For the role balancer, which is not a part of the scheduler,
// TestSweepAblation runs the simulation without one.
func ablations() map[string]func(*Scheduler) {
	// with enables backlog queries, as the data plane does, and changes the weights.
	with := func(change func(*weights)) func(*Scheduler) {
		return func(sched *Scheduler) { sched.SetBacklogQueries(true); change(&sched.weights) }
	}
	return map[string]func(*Scheduler){
		"nothing (baseline)":                        with(func(*weights) {}),
		"backlog counts":                            func(*Scheduler) {},
		"preference for idle connections":           with(func(costs *weights) { costs.connection = 0 }),
		"cost of rereading shared prefixes":         with(func(costs *weights) { costs.rereadPerThousand = 0 }),
		"home prefill servers":                      with(func(costs *weights) { costs.homePrefill, costs.nextPrefill = 0, 0 }),
		"second home prefill server":                with(func(costs *weights) { costs.nextPrefill = 0 }),
		"home decode server":                        with(func(costs *weights) { costs.homeDecode, costs.awayFromHomePerThousand = 0, 0 }),
		"cost of KV cache transfers":                with(func(costs *weights) { costs.transferPerThousand = 0 }),
		"cost of request bodies to other zones":     with(func(costs *weights) { costs.crossZonePerKilobyte = 0 }),
		"cost of a second request":                  with(func(costs *weights) { costs.extraRequest = 0 }),
		"cost of stalling other calls":              with(func(costs *weights) { costs.stalledCall = 0 }),
		"tie-break between equal servers":           with(func(costs *weights) { costs.tieBreak = 0 }),
		"cost of stalled servers":                   with(func(costs *weights) { costs.stallPerMillisecond = 0 }),
		"cost of unhealthy servers":                 with(func(costs *weights) { costs.unhealthy = 0 }),
		"cost of a prefill before the last attempt": with(func(costs *weights) { costs.lastAttempt = 0 }),
		"cost of a wasted prefill":                  with(func(costs *weights) { costs.wastedPerThousand = 0 }),
		"refusal of costly retries":                 with(func(costs *weights) { costs.refusal = 1e9 }),
		"cost of warming servers":                   with(func(costs *weights) { costs.warming = 0 }),
		"role changes (role balancer)":              with(func(*weights) {}),
	}
}

// TestSweepAblation prints the scores of scenarios without each mechanism. It runs only if SWEEP is set
// to "ablation".
func TestSweepAblation(t *testing.T) {
	if os.Getenv("SWEEP") != "ablation" {
		t.Skip("runs only if SWEEP is set to ablation")
	}
	type scenario struct {
		site  site
		fault string
	}
	var scenarios []scenario
	for _, s := range []site{nine(), twelve(), sixty(), ninety()} {
		scenarios = append(scenarios, scenario{s, "no fault"})
	}
	for _, faultName := range []string{"crash", "unresponsive servers"} {
		scenarios = append(scenarios, scenario{nine(), faultName}, scenario{ninety(), faultName})
	}
	var names []string
	for name := range ablations() {
		names = append(names, name)
	}
	sort.Strings(names)
	scores := map[string][]float64{}
	var mutex sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, 3)
	for _, name := range names {
		scores[name] = make([]float64, len(scenarios))
		for position, scenario := range scenarios {
			running.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				const seeds = 2
				sum := 0.0
				for seed := range uint64(seeds) {
					sim := scenario.site.simulation(seed+30, ablations()[name])
					if !strings.HasSuffix(name, "(role balancer)") {
						sim.balanceRoles(NewRoleBalancer())
					}
					sim.run(noon.Add(startupTime))
					faults()[scenario.fault](sim)
					scenario.site.play(sim, 1, 13*time.Second)
					sum += sim.score() / seeds
				}
				mutex.Lock()
				defer mutex.Unlock()
				scores[name][position] = sum
			})
		}
	}
	running.Wait()
	header := "| without |"
	for _, scenario := range scenarios {
		header += " " + scenario.site.name + " " + scenario.fault + " |"
	}
	fmt.Println(header)
	for _, name := range names {
		text := "| " + name + " |"
		for position, score := range scores[name] {
			if name == "nothing (baseline)" {
				text += fmt.Sprintf(" %.3f |", score)
			} else {
				text += fmt.Sprintf(" %+.3f |", score-scores["nothing (baseline)"][position])
			}
		}
		fmt.Println(text)
	}
}
