package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Campaign is many seeded days, several at once.
type Campaign struct {
	Deployment string
	First      uint64
	Count      uint64
	Day        Day
	// Stop ends the campaign before its last day.
	Stop atomic.Bool
}

const commandsChecker = "one node at a time commands a server"

// Tally is what a campaign came to.
type Tally struct {
	Days        uint64
	Failed      []uint64
	Violations  map[string]int
	Temptations map[string]int
	// Tempted counts the days in which each temptation occurred at all.
	Tempted map[string]int
	Share   float64
	Lowest  float64
	// Longest is the worst value of each checker that has a limit in seconds.
	Longest map[string]float64
	Replies int
	// Gap is the longest time of any day without a complete reply, Gaps their
	// sum.
	Gap, Gaps time.Duration
	Steps     uint64
}

// DeploymentOf is the deployment of a seed in a campaign: its own, or each in
// turn when it names none.
func (campaign *Campaign) DeploymentOf(seed uint64) (fleet.Deployment, bool) {
	name := campaign.Deployment
	if name == "" {
		name = []string{"sahil", "kochloeffel"}[seed%2]
	}
	return fleet.DeploymentNamed(name)
}

// Run runs all days; told is called for each, one at a time.
func (campaign *Campaign) Run(told func(seed uint64, result Result)) Tally {
	tally := Tally{Violations: map[string]int{}, Temptations: map[string]int{}, Tempted: map[string]int{}, Lowest: 1, Longest: map[string]float64{}}
	var mutex sync.Mutex
	var working sync.WaitGroup
	next := campaign.First
	for range runtime.GOMAXPROCS(0) {
		working.Go(func() {
			for {
				mutex.Lock()
				seed := next
				next++
				mutex.Unlock()
				if seed >= campaign.First+campaign.Count || campaign.Stop.Load() {
					return
				}
				deployment, _ := campaign.DeploymentOf(seed)
				result := New(deployment, seed).Run(campaign.Day)
				mutex.Lock()
				tally.add(seed, result)
				told(seed, result)
				mutex.Unlock()
			}
		})
	}
	working.Wait()
	tally.Share /= float64(max(tally.Days, 1))
	return tally
}

func (tally *Tally) add(seed uint64, result Result) {
	tally.Days++
	tally.Steps += result.Steps
	tally.Share += result.Verdict.Share
	tally.Gap = max(tally.Gap, result.Verdict.Gap)
	tally.Gaps += result.Verdict.Gap
	tally.Lowest = min(tally.Lowest, result.Verdict.Share)
	if result.Failed() {
		tally.Failed = append(tally.Failed, seed)
	}
	for what, times := range result.Temptations {
		tally.Temptations[what] += times
		tally.Tempted[what]++
	}
	for _, finding := range result.Verdict.Findings {
		tally.Violations[finding.Checker] += finding.Violations
		known := tally.Longest[finding.Checker]
		if finding.Checker == commandsChecker {
			// Between two commanders the shortest time is the worst.
			if finding.Seconds > 0 && (known == 0 || finding.Seconds < known) {
				tally.Longest[finding.Checker] = finding.Seconds
			}
		} else if finding.Seconds > known {
			tally.Longest[finding.Checker] = finding.Seconds
		}
	}
	for _, count := range result.Verdict.Replies {
		tally.Replies += count
	}
}
