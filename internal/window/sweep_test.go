package window

import (
	"fmt"
	"os"
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
	for _, tenths := range []int{4, 3, 6} {
		for _, managed := range []bool{false, true} {
			list, pooled = divided(9, tenths), managed
			run(fmt.Sprintf("readers %d in ten, %v", tenths, managed), func(*costs) {})
		}
	}
}
