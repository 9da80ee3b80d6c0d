package window

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/roster"
)

// score is a world's worth less some prices, as a share of what was owed.
func (world *world) score(crossing float64) float64 {
	owed, earned := 0.0, 0.0
	for _, tally := range world.tally {
		owed += tally.owed
		earned += tally.earned
	}
	return (earned - 0.36*(world.nearMoves+2*world.farMoves) - crossing*world.crossed - 0.15*float64(world.sharedAgain)/1e4) / owed
}

// TestSweep compares costs; it runs when SWEEP is set.
func TestSweep(test *testing.T) {
	if os.Getenv("SWEEP") == "" {
		test.Skip("compares costs by hand")
	}
	list, pooled := servers(9), false
	run := func(name string, change func(*costs)) {
		text := fmt.Sprintf("%-28s", name)
		for _, factor := range []float64{0.6, 1, 1.4} {
			score, again, aim, chat := 0.0, 0.0, 0.0, 0.0
			const seeds = 4
			worlds := make([]*world, seeds)
			var waiting sync.WaitGroup
			for seed := range uint64(seeds) {
				waiting.Add(1)
				go func() {
					defer waiting.Done()
					worlds[seed] = dividedWorld(seed+10, 9, append([]roster.Server(nil), list...), func(calls *Window) { change(&calls.costs) })
					if pooled {
						worlds[seed].pool(NewPools())
					}
					day(worlds[seed], factor, 30*time.Second)
				}()
			}
			waiting.Wait()
			for _, world := range worlds {
				score += world.score(1500) / seeds
				again += float64(world.sharedAgain) / 1000 / seeds
				aim += float64(world.tally["long"].inAim) / float64(world.tally["long"].calls) / seeds
				chat += float64(world.tally["chat"].inAim) / float64(world.tally["chat"].calls) / seeds
			}
			orders := 0.0
			for _, world := range worlds {
				orders += float64(world.orders) / seeds
			}
			text += fmt.Sprintf(" | %.1f orders %.4f long %.3f chat %.3f again %4.0fk", orders, score, aim, chat, again)
		}
		fmt.Println(text)
	}
	run("standard", func(*costs) {})
	pooled = true
	for _, tenths := range []int{3, 4, 6} {
		list = divided(9, tenths)
		run(fmt.Sprintf("readers %d in ten", tenths), func(*costs) {})
	}
}

// TestSweepTroubles prints how days of trouble go over several seeds; it runs when
// SWEEP is set.
func TestSweepTroubles(test *testing.T) {
	if os.Getenv("SWEEP") == "" {
		test.Skip("compares costs by hand")
	}
	days := troubles()
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
				worlds[seed] = newWorld(uint64(seed+50), 9, 9, nil)
				worlds[seed].pool(NewPools())
				days[name](worlds[seed])
				day(worlds[seed], 1, 30*time.Second)
			}()
		}
		waiting.Wait()
		score, again := 0.0, 0
		text := ""
		for _, class := range []string{"long", "chat"} {
			all := classTally{}
			for _, world := range worlds {
				tally := world.tally[class]
				all.calls += tally.calls
				all.inAim += tally.inAim
				all.late += tally.late
				all.paused += tally.paused
				all.refused += tally.refused
				all.lost += tally.lost
				all.broken += tally.broken
			}
			text += fmt.Sprintf(" | %s in aim %.3f late %d paused %d refused %d lost %d broken %d", class, float64(all.inAim)/float64(all.calls),
				all.late, all.paused, all.refused, all.lost, all.broken)
		}
		for _, world := range worlds {
			score += world.score(1500) / seeds
			again += world.sharedAgain / 1000 / seeds
		}
		sum += score
		fmt.Printf("%-14s %.4f again %dk%s\n", name, score, again, text)
	}
	fmt.Printf("sum %.4f\n", sum/float64(len(names)))
}
