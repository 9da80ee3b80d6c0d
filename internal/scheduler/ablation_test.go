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

// ablations take one mechanism of deciding away each.
func ablations() map[string]func(*Scheduler) {
	cost := func(change func(*weights)) func(*Scheduler) {
		return func(calls *Scheduler) { calls.SetBacklogQueries(true); change(&calls.weights) }
	}
	return map[string]func(*Scheduler){
		"all of them":                         cost(func(*weights) {}),
		"counts of what others have read":     func(*Scheduler) {},
		"idle connections first":              cost(func(costs *weights) { costs.connection = 0 }),
		"shared parts read again":             cost(func(costs *weights) { costs.rereadThousand = 0 }),
		"first reader of a chain":             cost(func(costs *weights) { costs.homePrefill, costs.nextPrefill = 0, 0 }),
		"second reader of a chain":            cost(func(costs *weights) { costs.nextPrefill = 0 }),
		"runner beside the first reader":      cost(func(costs *weights) { costs.homeDecode, costs.awayThousand = 0, 0 }),
		"price of memory moved":               cost(func(c *weights) { c.transferThousand = 0 }),
		"price of bodies between zones":       cost(func(co *weights) { co.crossingKilobyte = 0 }),
		"price of a second request":           cost(func(cs *weights) { cs.extraRequest = 0 }),
		"pauses of others by reading":         cost(func(cst *weights) { cst.gapHarm = 0 }),
		"spread of equal servers":             cost(func(cos *weights) { cos.tieBreak = 0 }),
		"servers from which nothing comes":    cost(func(aCosts *weights) { aCosts.stalled = 0 }),
		"servers that failed":                 cost(func(costs *weights) { costs.unhealthy = 0 }),
		"risk of the only run after a read":   cost(func(costs *weights) { costs.lastAttempt = 0 }),
		"price of a prompt read in vain":      cost(func(costs *weights) { costs.wastedThousand = 0 }),
		"sending away what would harm others": cost(func(costs *weights) { costs.refusal = 1e9 }),
		"price of a cold server":              cost(func(costs *weights) { costs.warming = 0 }),
		"parts that follow the work (pools)":  cost(func(*weights) {}),
	}
}

// TestSweepAblation prints what days are worth without each mechanism; it runs when SWEEP
// is set to "ablation".
func TestSweepAblation(t *testing.T) {
	if os.Getenv("SWEEP") != "ablation" {
		t.Skip("compares mechanisms by hand")
	}
	type day struct {
		site  site
		fault string
	}
	var days []day
	for _, s := range []site{nine(), twelve(), sixty(), ninety()} {
		days = append(days, day{s, "calm"})
	}
	for _, problem := range []string{"crash", "dark"} {
		days = append(days, day{nine(), problem}, day{ninety(), problem})
	}
	var names []string
	for name := range ablations() {
		names = append(names, name)
	}
	sort.Strings(names)
	scores := map[string][]float64{}
	var mutex sync.Mutex
	var running sync.WaitGroup
	places := make(chan struct{}, 3)
	for _, name := range names {
		scores[name] = make([]float64, len(days))
		for position, day := range days {
			running.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				const seeds = 2
				sum := 0.0
				for seed := range uint64(seeds) {
					w := day.site.world(seed+30, ablations()[name])
					if !strings.HasSuffix(name, "(pools)") {
						w.pool(NewRoleBalancer())
					}
					w.run(noon.Add(lead))
					faults()[day.fault](w)
					day.site.play(w, 1, 13*time.Second)
					sum += w.score() / seeds
				}
				mutex.Lock()
				defer mutex.Unlock()
				scores[name][position] = sum
			})
		}
	}
	running.Wait()
	header := "| without |"
	for _, day := range days {
		header += " " + day.site.name + " " + day.fault + " |"
	}
	fmt.Println(header)
	for _, name := range names {
		text := "| " + name + " |"
		for position, score := range scores[name] {
			if name == "all of them" {
				text += fmt.Sprintf(" %.3f |", score)
			} else {
				text += fmt.Sprintf(" %+.3f |", score-scores["all of them"][position])
			}
		}
		fmt.Println(text)
	}
}
