package world

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"testing"

	"seamloom.example/seamloom/internal/rehearsal"
)

// TestMain lets the collector rest: a world is young and dies whole.
func TestMain(suite *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(suite.Run())
}

func seeds(test *testing.T, usual uint64) (first, count uint64) {
	count = usual
	if asked, failure := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); failure == nil {
		count = asked
	}
	if asked, failure := strconv.ParseUint(os.Getenv("SEAMLOOM_FIRST"), 10, 32); failure == nil {
		first = asked
	}
	return first, count
}

// TestDaysInVirtualTime runs a fixed few hundred seeds of both deployments.
func TestDaysInVirtualTime(test *testing.T) {
	first, count := seeds(test, usualSeeds)
	var mutex sync.Mutex
	temptations := map[string]int{}
	share := 0.0
	var waiting sync.WaitGroup
	next := first
	for range runtime.GOMAXPROCS(0) {
		waiting.Go(func() {
			for {
				mutex.Lock()
				seed := next
				next++
				mutex.Unlock()
				if seed >= first+count {
					return
				}
				deployment := rehearsal.Sahil()
				if seed%2 == 1 {
					deployment = rehearsal.Kochloeffel()
				}
				result := New(deployment, seed).Run(DefaultDay())
				mutex.Lock()
				for what, times := range result.Temptations {
					temptations[what] += times
				}
				share += result.Verdict.Share
				if result.Failed() {
					test.Errorf("seed %d, whole %v\n%s", seed, result.Whole, result.Verdict)
				}
				mutex.Unlock()
			}
		})
	}
	waiting.Wait()
	test.Logf("%d days, complete %.3f, temptations %v", count, share/float64(count), temptations)
}

// TestSameSeedSameTrace wants the same seed to give the same day, step by step.
func TestSameSeedSameTrace(test *testing.T) {
	for seed := range uint64(6) {
		var lines [2][]string
		var traces [2]string
		for run := range 2 {
			fleet := New(rehearsal.Sahil(), seed)
			fleet.Log = func(line string) { lines[run] = append(lines[run], line) }
			fleet.Run(DefaultDay())
			traces[run] = fleet.Trace()
		}
		if traces[0] == traces[1] {
			continue
		}
		for position := range lines[0] {
			if position >= len(lines[1]) || lines[0][position] != lines[1][position] {
				test.Errorf("seed %d parts at\n%s\n%s", seed, lines[0][position], lines[1][min(position, len(lines[1])-1)])
				break
			}
		}
		test.Fatalf("seed %d gave two traces of %d and %d lines", seed, len(lines[0]), len(lines[1]))
	}
}
