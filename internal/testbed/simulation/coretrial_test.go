//go:build !race

package simulation

import (
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// slowestAcknowledgement is the longest time that a core may take to acknowledge a change after a
// fault, or after the return of the machines that the fault stopped.
const slowestAcknowledgement = 5 * time.Second

// TestCoreRecoversFromEveryFault injects every fault into every core with several seeds. It checks
// that each acknowledged change is read back, that there is one primary at a time, that a
// change is acknowledged soon, and that the core is complete again at the end.
func TestCoreRecoversFromEveryFault(t *testing.T) {
	first, count := seeds(t, 4)
	for name, layout := range CoreLayouts() {
		for _, fault := range CoreFaultNames(layout.ToleratedLosses) {
			t.Run(name+"/"+fault, func(t *testing.T) {
				var took []time.Duration
				for position, trial := range runCoreTrials(layout, fault, Settings{}, first, count) {
					took = append(took, trial.Took)
					if trial.Failed() || trial.Took > slowestAcknowledgement {
						t.Errorf("seed %d: got %+v, want a restored core, no lost change, one primary, and Took at most %s",
							first+uint64(position), trial, slowestAcknowledgement)
					}
				}
				slices.Sort(took)
				t.Logf("%s, %s, %d seeds: median %s, worst %s", name, fault, count,
					took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
			})
		}
	}
}

// TestChangesResumeWithinTheCatchUpTimeAfterBackupLoss injects every fault that removes a backup, with
// several catch-up times, and checks that the time without an acknowledged change is never longer than
// the catch-up time.
func TestChangesResumeWithinTheCatchUpTimeAfterBackupLoss(t *testing.T) {
	first, count := seeds(t, 2)
	for name, layout := range CoreLayouts() {
		for _, fault := range BackupFaultNames(layout.ToleratedLosses) {
			for _, catchUp := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
				t.Run(name+"/"+fault+"/"+catchUp.String(), func(t *testing.T) {
					var took []time.Duration
					for position, trial := range runCoreTrials(layout, fault, Settings{CatchUp: catchUp}, first, count) {
						took = append(took, trial.Took)
						if trial.Failed() || trial.Took > catchUp {
							t.Errorf("seed %d: got %+v, want a restored core, no lost change, one primary, and Took at most %s",
								first+uint64(position), trial, catchUp)
						}
					}
					slices.Sort(took)
					t.Logf("%s, %s, %s, %d seeds: median %s, p90 %s, worst %s", name, fault, catchUp, count,
						took[len(took)/2].Round(time.Millisecond), took[len(took)*9/10].Round(time.Millisecond),
						took[len(took)-1].Round(time.Millisecond))
				})
			}
		}
	}
}

// runCoreTrials runs one trial for each of count consecutive seeds, at most four in parallel, and returns
// the trials in the order of the seeds.
func runCoreTrials(layout Layout, fault string, settings Settings, first, count uint64) []CoreTrial {
	trials := make([]CoreTrial, count)
	var working sync.WaitGroup
	var mutex sync.Mutex
	next := uint64(0)
	for range min(4, runtime.GOMAXPROCS(0)) {
		working.Go(func() {
			for {
				mutex.Lock()
				position := next
				next++
				mutex.Unlock()
				if position >= count {
					return
				}
				trials[position] = runCoreTrial(layout, fault, settings, first+position)
			}
		})
	}
	working.Wait()
	return trials
}

func runCoreTrial(layout Layout, fault string, settings Settings, seed uint64) CoreTrial {
	world := NewLaidOut(layout, seed)
	world.SetSettings(settings)
	return world.RunCoreTrial(fault)
}
