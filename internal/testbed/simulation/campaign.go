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

// Counter is what a campaign came to.
type Counter struct {
	Days       uint64
	Failed     []uint64
	Violations map[string]int
	Encounters map[string]int
	// DaysWith counts the days in which each encounter occurred at all.
	DaysWith map[string]int
	Share    float64
	Lowest   float64
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
func (c *Campaign) DeploymentOf(seed uint64) (fleet.Deployment, bool) {
	name := c.Deployment
	if name == "" {
		name = []string{"sahil", "kochloeffel"}[seed%2]
	}
	return fleet.DeploymentNamed(name)
}

// Run runs all days; told is called for each, one at a time.
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
	for what, times := range result.Encounters {
		c.Encounters[what] += times
		c.DaysWith[what]++
	}
	for _, finding := range result.Verdict.Findings {
		c.Violations[finding.Checker] += finding.Violations
		known := c.Longest[finding.Checker]
		if finding.Checker == commandsChecker {
			// Between two commanders the shortest time is the worst.
			if finding.Seconds > 0 && (known == 0 || finding.Seconds < known) {
				c.Longest[finding.Checker] = finding.Seconds
			}
		} else if finding.Seconds > known {
			c.Longest[finding.Checker] = finding.Seconds
		}
	}
	for _, count := range result.Verdict.Replies {
		c.Replies += count
	}
}
