package scheduler

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"testing"
	"time"
)

// score is a world's worth, with the worst seconds and the worst class counting by
// themselves, less prices, as a share of what was owed: of memory moved, of
// bodies between zones, of shared parts read again by the thousand tokens, and of
// what a dispatch costs the router.
func (w *world) score() float64 {
	owed, earned := 0.0, 0.0
	for _, counter := range w.counter {
		owed += counter.owed
		earned += counter.earned
	}
	p := w.prices.move*(w.nearMoves+2*w.farMoves) + w.crossing*w.crossed + w.prices.again*float64(w.sharedAgain)/1000 +
		w.prices.connection*float64(w.opened)
	c := 1.0
	for _, tally := range w.counter {
		c = min(c, tally.earned/tally.owed)
	}
	return 0.65*earned/owed + 0.22*w.worst() + 0.13*c - p/owed
}

// TestSweep compares costs; it runs when SWEEP is set.
func TestSweep(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip("compares costs by hand")
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
				score, again, target, chat, crossed, moved, orders := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
				const seeds = 6
				worlds := make([]*world, seeds)
				var waiting sync.WaitGroup
				for seed := range uint64(seeds) {
					waiting.Add(1)
					go func() {
						defer waiting.Done()
						worlds[seed] = s.world(seed+10, func(calls *Scheduler) { change(&calls.weights) })
						worlds[seed].pool(NewRoleBalancer())
						worlds[seed].run(noon.Add(lead))
						s.play(worlds[seed], factor, 30*time.Second)
					}()
				}
				waiting.Wait()
				for _, w := range worlds {
					score += w.score() / seeds
					orders += float64(w.orders) / seeds
					again += float64(w.sharedAgain) / 1000 / seeds
					target += float64(w.counter["long"].onTarget) / float64(w.counter["long"].calls) / seeds
					chat += float64(w.counter["chat"].onTarget) / float64(w.counter["chat"].calls) / seeds
					crossed += w.crossed * 1000 / seeds
					moved += w.farMoves / (w.nearMoves + w.farMoves) / seeds
				}
				sum += score / float64(3*len(sites))
				text += fmt.Sprintf(" | %.4f %.3f %.3f %4.0fk %2.0fMB %.2f %.1f", score, target, chat, again, crossed, moved, orders)
			}
		}
		fmt.Printf("%.4f %s\n", sum, text)
	}
	run("standard", func(*weights) {})
}

// TestSweepFaults prints how days of trouble go over several seeds; it runs when
// SWEEP is set.
func TestSweepFaults(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip("compares costs by hand")
	}
	days := faults()
	var names []string
	for name := range days {
		names = append(names, name)
	}
	sort.Strings(names)
	sum := 0.0
	for _, name := range names {
		const seeds = 6
		worlds := make([]*world, seeds)
		var waiting sync.WaitGroup
		for seed := range worlds {
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				s := nine()
				worlds[seed] = s.world(uint64(seed+50), nil)
				worlds[seed].pool(NewRoleBalancer())
				worlds[seed].run(noon.Add(lead))
				days[name](worlds[seed])
				s.play(worlds[seed], 1, 30*time.Second)
			}()
		}
		waiting.Wait()
		score, again := 0.0, 0
		text := ""
		for _, c := range []string{"long", "chat"} {
			all := classCounter{}
			for _, w := range worlds {
				counter := w.counter[c]
				all.calls += counter.calls
				all.onTarget += counter.onTarget
				all.late += counter.late
				all.paused += counter.paused
				all.refused += counter.refused
				all.lost += counter.lost
				all.broken += counter.broken
			}
			text += fmt.Sprintf(" | %s in aim %.3f late %d paused %d refused %d lost %d broken %d", c, float64(all.onTarget)/float64(all.calls),
				all.late, all.paused, all.refused, all.lost, all.broken)
		}
		for _, wo := range worlds {
			score += wo.score() / seeds
			again += wo.sharedAgain / 1000 / seeds
		}
		sum += score
		fmt.Printf("%-14s %.4f again %dk%s\n", name, score, again, text)
	}
	fmt.Printf("sum %.4f\n", sum/float64(len(names)))
}
