package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Campaign runs many seeded days, several of them in parallel.
type Campaign struct {
	Deployment string
	First      uint64
	Count      uint64
	Day        Day
	// Stop, once set, keeps further days from starting.
	Stop atomic.Bool
}

// commandsChecker is the name of the checker whose worst value is the shortest time between the
// commands of two nodes to one server.
const commandsChecker = "one node at a time commands a server"

// Counter holds the totals of a campaign.
type Counter struct {
	Days uint64
	// Failed holds the seeds of the failed days.
	Failed     []uint64
	Violations map[string]int
	Encounters map[string]int
	// DaysWith counts the days in which each encounter occurred.
	DaysWith map[string]int
	// Share is the mean share of complete replies of all days, Lowest the lowest share of any day.
	Share  float64
	Lowest float64
	// Longest holds the worst value of each checker that has a limit in seconds.
	Longest map[string]float64
	Replies int
	// Gap is the longest time without a complete reply in any day, Gaps the sum over all days of
	// each day's longest such time.
	Gap, Gaps time.Duration
	Steps     uint64
}

// DeploymentOf returns the deployment that a seed runs on: the campaign's, or each
// deployment in turn if the campaign names none.
func (c *Campaign) DeploymentOf(seed uint64) (fleet.Deployment, bool) {
	name := c.Deployment
	if name == "" {
		name = []string{"sahil", "kochloeffel"}[seed%2]
	}
	return fleet.DeploymentNamed(name)
}

// Run runs all days. It calls observe after each day, and never concurrently.
func (c *Campaign) Run(observe func(seed uint64, result Result)) Counter {
	counter := Counter{
		Violations: map[string]int{},
		Encounters: map[string]int{},
		DaysWith:   map[string]int{},
		Lowest:     1,
		Longest:    map[string]float64{},
	}
	var mutex sync.Mutex
	var working sync.WaitGroup
	next := c.First
	for range runtime.GOMAXPROCS(0) {
		working.Go(func() {
			for {
				mutex.Lock()
				seed := next
				next++
				mutex.Unlock()
				if seed >= c.First+c.Count || c.Stop.Load() {
					return
				}
				deployment, _ := c.DeploymentOf(seed)
				result := New(deployment, seed).Run(c.Day)
				mutex.Lock()
				counter.add(seed, result)
				observe(seed, result)
				mutex.Unlock()
			}
		})
	}
	working.Wait()
	counter.Share /= float64(max(counter.Days, 1))
	return counter
}

func (c *Counter) add(seed uint64, result Result) {
	c.Days++
	c.Steps += result.Steps
	c.Share += result.Verdict.Share
	c.Gap = max(c.Gap, result.Verdict.Gap)
	c.Gaps += result.Verdict.Gap
	c.Lowest = min(c.Lowest, result.Verdict.Share)
	if result.Failed() {
		c.Failed = append(c.Failed, seed)
	}
	for situation, times := range result.Encounters {
		c.Encounters[situation] += times
		c.DaysWith[situation]++
	}
	for _, finding := range result.Verdict.Findings {
		c.Violations[finding.Checker] += finding.Violations
		worst := c.Longest[finding.Checker]
		if finding.Checker == commandsChecker {
			// For this checker the shortest time is the worst.
			if finding.Seconds > 0 && (worst == 0 || finding.Seconds < worst) {
				c.Longest[finding.Checker] = finding.Seconds
			}
		} else if finding.Seconds > worst {
			c.Longest[finding.Checker] = finding.Seconds
		}
	}
	for _, count := range result.Verdict.Replies {
		c.Replies += count
	}
}
