//go:build !race

package simulation

import (
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// touch is a day's record of changes that were answered, and of routers that did
// without one of them for too long though they had news.
type touch struct {
	world *World
	// answered are the configurations' versions and when they were answered.
	answered map[replication.Version]time.Duration
	late     int
}

// The bounds that bind those in touch. A router is in touch that has had news within
// the last second.
const (
	applyTime  = 2 * time.Second
	updateTime = time.Second
)

// take notes the answers that the trace tells of.
func (t *touch) take(line string) {
	if !strings.Contains(line, " configuration_accepted ") {
		return
	}
	for _, m := range t.world.machines {
		if m.control != nil && m.incarnation != nil && !m.incarnation.ended && m.control.Coordinator().HasLease() {
			t.answered[m.control.Store().View().VersionOf(replication.ConfigurationSection)] = t.world.now
		}
	}
}

// watch looks at every router, over and over.
func (t *touch) watch() {
	world := t.world
	for {
		var due replication.Version
		for version, at := range t.answered {
			if world.now-at > applyTime && due.Before(version) {
				due = version
			}
		}
		for _, m := range world.machines {
			if m.router == nil || m.gone || m.incarnation.ended || m.incarnation.frozen || m.incarnation.Now().Sub(m.router.Heard()) > updateTime {
				continue
			}
			if has := m.router.InForce(); has != (replication.Version{}) && has.Before(due) {
				t.late++
				world.tracef("%s is in touch and has %s, %s is due", m.name, has, due)
			}
		}
		world.outside.NewCond().Wait(50*time.Millisecond, never)
	}
}

// TestDaysInThePlatformsWays runs days of all faults with routers that go on without a
// hold and changes that wait for those in touch alone. What is given up is the bound for
// routers out of touch; everything else holds, and the bound for those in touch.
func TestDaysInThePlatformsWays(t *testing.T) {
	ways := PlatformSettings()
	// Who is retired counts no more for new formats, which is weighed elsewhere.
	ways.RetireAfter = 0
	first, count := seeds(t, 24)
	for seed := first; seed < first+count; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			deployment := fleet.Sahil()
			if seed%2 == 1 {
				deployment = fleet.Kochloeffel()
			}
			w := New(deployment, seed)
			w.SetSettings(ways)
			touching := &touch{world: w, answered: map[replication.Version]time.Duration{}}
			w.Log = touching.take
			w.outside.Go(touching.watch)
			result := w.Run(DefaultDay())
			if touching.late > 0 || !result.Restored || result.TwoPrimaries > 0 || len(touching.answered) < 5 {
				t.Errorf("seed %d: %d looks at a courier in touch without an answered change, whole %v, two primaries at once %d times, %d changes",
					seed, touching.late, result.Restored, result.TwoPrimaries, len(touching.answered))
			}
			for _, finding := range result.Verdict.Findings {
				if finding.Violations > 0 && finding.Checker != "an accepted configuration is in force" {
					t.Errorf("seed %d: %s, %d times", seed, finding.Checker, finding.Violations)
				}
			}
		})
	}
}
