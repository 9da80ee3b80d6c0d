//go:build !race

package simulation

import (
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// updateMonitor records the acknowledged changes of a day, and counts the observations of routers
// that lacked one of them for too long although they received updates.
type updateMonitor struct {
	world *World
	// acknowledged holds the versions of acknowledged configurations and when each was acknowledged.
	acknowledged map[replication.Version]time.Duration
	late         int
}

// The bounds for routers in touch. A router is in touch if it has received an update within
// the last second.
const (
	applyTime  = 2 * time.Second
	updateTime = time.Second
)

// take reads one line of the trace. If the line shows that a change was acknowledged, take records the version.
func (t *updateMonitor) take(line string) {
	if !strings.Contains(line, " configuration_accepted ") {
		return
	}
	for _, m := range t.world.machines {
		if m.control != nil && m.incarnation != nil && !m.incarnation.ended &&
			m.control.Coordinator().HasLease() {
			t.acknowledged[m.control.Store().View().VersionOf(replication.ConfigurationSection)] = t.world.now
		}
	}
}

// watch checks all routers in touch every 50 ms.
func (t *updateMonitor) watch() {
	world := t.world
	for {
		var due replication.Version
		for version, at := range t.acknowledged {
			if world.now-at > applyTime && due.Before(version) {
				due = version
			}
		}
		for _, m := range world.machines {
			if m.router == nil || m.gone || m.incarnation.ended || m.incarnation.frozen ||
				m.incarnation.Now().Sub(m.router.LastUpdateAt()) > updateTime {
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

// TestDaysWithPlatformSettings runs days of all faults. Routers go on serving without a lease, and
// changes wait only for routers in touch. The checker of accepted configurations doesn't count here,
// because it also covers routers out of touch. All other checkers must find no violation, and each
// change must be in force in time at the routers in touch.
func TestDaysWithPlatformSettings(t *testing.T) {
	settings := PlatformSettings()
	// A retired member no longer delays new formats, which the checkers do not expect; other
	// tests cover retirement.
	settings.RetireAfter = 0
	first, count := seeds(t, 24)
	for seed := first; seed < first+count; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			deployment := fleet.Sahil()
			if seed%2 == 1 {
				deployment = fleet.Kochloeffel()
			}
			w := New(deployment, seed)
			w.SetSettings(settings)
			monitor := &updateMonitor{world: w, acknowledged: map[replication.Version]time.Duration{}}
			w.Log = monitor.take
			w.outside.Go(monitor.watch)
			result := w.Run(DefaultDay())
			if monitor.late > 0 || !result.Restored || result.TwoPrimaries > 0 || len(monitor.acknowledged) < 5 {
				t.Errorf("seed %d: %d observations of a router in touch without a due change, core restored: %v, "+
					"%d observations of two primaries, %d changes, want at least 5",
					seed, monitor.late, result.Restored, result.TwoPrimaries, len(monitor.acknowledged))
			}
			for _, finding := range result.Verdict.Findings {
				if finding.Violations > 0 && finding.Checker != "an accepted configuration is in force" {
					t.Errorf("seed %d: rule %q: got %d violations, want none", seed, finding.Checker, finding.Violations)
				}
			}
		})
	}
}
