//go:build !race

package simulation

import (
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// slowestAcknowledgement is the longest that a core may take to acknowledge a change
// after a fault, or after everything came back that it took.
const slowestAcknowledgement = 5 * time.Second

// TestCoreBearsItsLosses brings about every fault of every core over some seeds, and
// wants each acknowledged change read back, one primary at a time, a change
// acknowledged soon, and the core whole again.
func TestCoreBearsItsLosses(t *testing.T) {
	first, count := seeds(t, 4)
	for name, layout := range CoreLayouts() {
		for _, fault := range CoreFaultNames(layout.BorneLosses) {
			t.Run(name+"/"+fault, func(t *testing.T) {
				var took []time.Duration
				for seed, trial := range runCoreTrials(layout, fault, first, count) {
					took = append(took, trial.Took)
					if trial.Failed() || trial.Took > slowestAcknowledgement {
						t.Errorf("seed %d: %+v", first+uint64(seed), trial)
					}
				}
				slices.Sort(took)
				t.Logf("%s, %s, %d seeds: median %s, worst %s", name, fault, count,
					took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
			})
		}
	}
}

// runCoreTrials runs seeds side by side.
func runCoreTrials(layout Layout, fault string, first, count uint64) []CoreTrial {
	trials := make([]CoreTrial, count)
	var working sync.WaitGroup
	var mutex sync.Mutex
	next := uint64(0)
	for range min(4, runtime.GOMAXPROCS(0)) {
		working.Go(func() {
			for {
				mutex.Lock()
				seed := next
				next++
				mutex.Unlock()
				if seed >= count {
					return
				}
				trials[seed] = NewLaidOut(layout, first+seed).RunCoreTrial(fault)
			}
		})
	}
	working.Wait()
	return trials
}
