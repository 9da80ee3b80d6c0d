package replication

import (
	"fmt"
	"testing"
	"time"
)

// plannedStop is the planned graceful shutdown of one machine: when it begins (after), and how it
// went.
type plannedStop struct {
	machine *machine
	after   time.Duration
	began   time.Time
	took    time.Duration
	outcome LeaveOutcome
}

// stopGracefully makes machines leave, each after its planned time, and stops each when its
// controller is ready. It fails when any machine is not ready within the timeout.
func (c *cluster) stopGracefully(stops []*plannedStop, timeout time.Duration) {
	c.test.Helper()
	began := c.clock()
	remaining := len(stops)
	c.run(timeout, func() bool {
		for _, leaver := range stops {
			coordinator, now := leaver.machine.coordinator, c.clock()
			switch {
			case !leaver.machine.up.Load() || now.Sub(began) < leaver.after:
				continue
			case leaver.began.IsZero():
				leaver.began = now
				coordinator.Leave()
			}
			coordinator.AnnounceLeave()
			if leaver.outcome = coordinator.LeaveOutcome(); leaver.outcome != StillNeeded {
				leaver.took = now.Sub(leaver.began)
				c.logf("%s stops after %v: %s", leaver.machine.address, leaver.took, leaver.outcome)
				c.crash(leaver.machine)
				remaining--
			}
		}
		return remaining == 0
	})
	if remaining > 0 {
		c.fail("%d of %d machines have not stopped after %v", remaining, len(stops), timeout)
	}
}

// plannedStops plans to stop the machines one after another, separated by the gap.
func plannedStops(machines []*machine, gap time.Duration) []*plannedStop {
	var stops []*plannedStop
	for i, m := range machines {
		stops = append(stops, &plannedStop{machine: m, after: time.Duration(i) * gap})
	}
	return stops
}

// TestEntireCoreStopsGracefully stops all machines of a core: at once, one after another, all but
// one, and after a blank machine has joined. A machine must stop within a second if all others leave,
// too, and otherwise within 2.5 s, also if no replacement for it comes. When all have started again,
// the core must have every acknowledged write.
func TestEntireCoreStopsGracefully(t *testing.T) {
	const (
		atOnce = time.Second
		// whileOthersStay is the longest time that a machine takes to stop while others stay: it hands over
		// its replica and waits for a replacement.
		whileOthersStay = 2500 * time.Millisecond
	)
	for _, shape := range coreShapes {
		for _, end := range []struct {
			name    string
			gap     time.Duration
			stay    int
			joins   bool
			longest time.Duration
		}{
			{name: "all at once", longest: atOnce},
			{name: "one stays", stay: 1, longest: whileOthersStay},
			{name: "one after another", gap: time.Second, longest: whileOthersStay},
			{name: "a blank machine has joined", joins: true, longest: whileOthersStay},
		} {
			t.Run(fmt.Sprintf("%d disks/%s", shape.machines, end.name), func(t *testing.T) {
				for seed := range uint64(6) {
					c := newFaultFreeCluster(t, shape, 20+seed, DefaultCatchUp)
					machines := append([]*machine(nil), c.machines...)
					c.random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
					if end.joins {
						c.join("another zone")
						c.run(time.Second, nil)
					}
					stops := plannedStops(machines[end.stay:], end.gap)
					c.stopGracefully(stops, time.Minute)
					for _, leaver := range stops {
						if leaver.took > end.longest {
							c.fail("seed %d: %s took too long to stop, %v: %s", seed, leaver.machine.address, leaver.took, leaver.outcome)
						}
					}
					c.run(5*time.Second, nil)
					if !c.heal(20 * time.Second) {
						c.fail("seed %d: the core is not complete again", seed)
					}
				}
			})
		}
	}
}

// TestAWitnessStaysWhileItsVoteIsNeeded makes the third controller leave just as the primary is
// lost. The backup can't be elected without the third controller's vote, so this controller may
// stop only once the backup leads.
func TestAWitnessStaysWhileItsVoteIsNeeded(t *testing.T) {
	c := newFaultFreeCluster(t, coreShapes[0], 7, DefaultCatchUp)
	leaver, lost := c.inRole(witnessRole), c.leader()
	leaver.coordinator.Leave()
	c.crash(lost)
	elected := c.run(5*time.Second, func() bool {
		leaver.coordinator.AnnounceLeave()
		led := c.leader() != nil
		if outcome := leaver.coordinator.LeaveOutcome(); !led && outcome != StillNeeded {
			c.fail("the witness may stop before the backup leads: %s", outcome)
		}
		return led
	})
	if !elected {
		c.fail("the backup was not elected")
	}
}
