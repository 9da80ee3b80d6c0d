package simulation

import (
	"strings"
	"time"

	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Day configures one simulated run of a fleet: for how long faults are drawn, which faults, and
// how much traffic there is.
type Day struct {
	// Faulty is for how long faults are drawn; a time to recover follows, then a closing fault.
	Faulty time.Duration
	// Forming disturbs the first core while it forms: machines start late, and one machine loses
	// its power at a disk operation or loses its disk.
	Forming bool
	// Swings replaces the faults by traffic that swings between many long prompts and many
	// chats. FixedParts makes each server keep its first role.
	Swings     bool
	FixedParts bool
	// Only is the name of the only fault to draw; empty means all faults.
	Only string
	// Long and Short are the requests of each kind per second.
	Long, Short float64
}

// DefaultDay returns a day of moderate length.
func DefaultDay() Day { return Day{Faulty: 28 * time.Second, Long: 4, Short: 6} }

// The lengths of a day's phases, except for the phase in which faults are drawn.
const (
	warmUpTime       = 9 * time.Second
	recoveryTime     = 16 * time.Second
	closingFaultTime = 13 * time.Second
	drainTime        = 8 * time.Second
)

// Result is the outcome of a day.
type Result struct {
	Verdict fleet.Verdict
	// RoleChanges counts the role changes of servers that already had a role, Flaps the role changes
	// that were reverted within fifteen seconds.
	RoleChanges, Flaps int
	// TwoPrimaries counts the observations of two controllers with the lease at the same time.
	TwoPrimaries int
	// Restored reports whether the core was complete again at the end, without an operator.
	Restored   bool
	Encounters map[string]int
	Steps      uint64
	// Calls counts the outcomes of opaque calls.
	Calls CallCounter
}

// Failed reports whether a rule was broken, two controllers held the lease at the same time, or the
// core was not restored.
func (r Result) Failed() bool {
	return r.Verdict.Violations() > 0 || !r.Restored || r.TwoPrimaries > 0
}

// Broke reports whether a rule whose name contains the text was broken. If the text is empty, it
// reports whether the day failed.
func (r Result) Broke(text string) bool {
	if text == "" {
		return r.Failed()
	}
	for _, finding := range r.Verdict.Findings {
		if finding.Violations > 0 && strings.Contains(finding.Checker, text) {
			return true
		}
	}
	return false
}

func newIdentity(world *World, m *machine) replication.Identity {
	return replication.Identity(m.name + "/" + world.nonce())
}

// Run simulates a day and checks it against the rules. A day has a warm-up, a time of
// faults, a time to recover, a closing fault, and a time without new requests.
func (w *World) Run(day Day) Result {
	w.long, w.short = day.Long, day.Short
	w.fixedParts = day.FixedParts
	faultsEnd := warmUpTime + day.Faulty
	closingFaultAt := faultsEnd + recoveryTime
	trafficEnd := closingFaultAt + closingFaultTime
	w.startNodes(day)
	w.startTraffic(trafficEnd)
	if day.Swings {
		w.outside.Go(func() { w.swing(warmUpTime, trafficEnd) })
	} else {
		w.outside.Go(func() { w.drawFaults(warmUpTime, faultsEnd, day.Only) })
	}
	w.run(faultsEnd)
	w.faultsOver = true
	w.outside.Go(w.upgradeAll)
	w.run(closingFaultAt)
	w.repairAll()
	w.run(closingFaultAt + time.Millisecond)
	if !day.Swings {
		w.outside.Go(w.runClosingFault)
	}
	w.run(trafficEnd)
	w.run(trafficEnd + drainTime)
	for range 10 {
		w.outside.Go(func() { w.readConfiguration(true) })
		w.run(w.now + 2*time.Second)
		if w.coreComplete() {
			break
		}
	}
	entries := w.Events.Entries()
	result := Result{
		Verdict:      fleet.CheckEvents(entries),
		Restored:     w.coreComplete(),
		TwoPrimaries: w.twoPrimaries,
		Encounters:   w.encounters,
		Steps:        w.steps,
		Calls:        *w.calls,
	}
	result.RoleChanges, result.Flaps = countRoleChanges(entries)
	w.endAll()
	return result
}

// startNodes starts all machines, some of them late or with the older release.
func (w *World) startNodes(day Day) {
	// On half of the days some nodes start with the older release and are upgraded one
	// after another.
	if w.random.IntN(2) == 0 {
		for _, m := range w.machines {
			if w.random.IntN(3) == 0 {
				m.withheld = features.List{features.BackupList, features.OrderGracePeriod, features.PairPrice}
			}
		}
	}
	for _, m := range w.machines {
		w.outside.Go(func() {
			w.wait(0, 400)
			if day.Forming && m.kind == membership.Controller {
				w.wait(0, 4000)
			}
			w.start(m)
		})
	}
	if day.Forming {
		w.outside.Go(w.loseOneWhileForming)
	}
	if w.random.IntN(4) == 0 {
		// The platform starts later than the fleet.
		w.platform.down = true
		w.encounter("a fleet started while the platform was down")
		w.outside.Go(func() {
			w.wait(500, 5000)
			w.platform.down = false
		})
	}
}

// startTraffic starts the clients and operators, which act until the given time, and the
// watch for two primaries, which also covers the time without requests after that.
func (w *World) startTraffic(until time.Duration) {
	w.outside.Go(func() { w.runClients(until) })
	if w.settings.Calls {
		w.outside.Go(func() { w.runCallClients(until) })
	}
	w.outside.Go(func() { w.operate(until) })
	w.outside.Go(func() { w.watchPrimaries(until + drainTime) })
}

// endAll ends every process, so that no thread outlives the world.
func (w *World) endAll() {
	for _, i := range w.incarnations {
		if !i.ended {
			i.ended = true
			w.dead = append(w.dead, i)
		}
	}
	w.unwindDead()
}

// upgradeAll restarts every node of the older release with the newest, one after another,
// as an operator does at the end of a roll-out.
func (w *World) upgradeAll() {
	for _, m := range w.nodes("") {
		if len(m.withheld) > 0 {
			m.withheld = nil
			w.encounter("a node restarted as a newer release")
			w.killFor(m, 50, 300)
			w.wait(300, 600)
		}
	}
}

// swing alternates between mostly long prompts and mostly chats, twelve seconds each, until
// the given time.
func (w *World) swing(from, until time.Duration) {
	long, short := w.long, w.short
	w.outside.NewCond().Wait(from-w.now, never)
	for w.now < until {
		w.long, w.short = long*2.2, short*0.2
		w.outside.NewCond().Wait(12*time.Second, never)
		w.long, w.short = long*0.1, short*3
		w.outside.NewCond().Wait(12*time.Second, never)
	}
}

// flapWindow is the time within which a reverted role change counts as a flap.
const flapWindow = 15 * time.Second

// countRoleChanges counts the servers' role changes in the event log, and the role changes that were
// reverted within flapWindow.
func countRoleChanges(entries []fleet.Entry) (changes, flaps int) {
	// from is the role before this one.
	type role struct {
		name  string
		since time.Time
		from  string
	}
	roles := map[string]role{}
	for _, entry := range entries {
		if entry.Kind != fleet.Commanded || entry.Role == roles[entry.Server].name {
			continue
		}
		before, known := roles[entry.Server]
		if known && before.name != "" {
			changes++
			if before.from == entry.Role && entry.At.Sub(before.since) < flapWindow {
				flaps++
			}
		}
		roles[entry.Server] = role{entry.Role, entry.At, before.name}
	}
	return changes, flaps
}

// watchPrimaries checks every 20 ms whether two controllers hold the lease at the same time.
func (w *World) watchPrimaries(until time.Duration) {
	for w.now < until {
		leaders := 0
		for _, m := range w.machines {
			if m.incarnation != nil && !m.incarnation.ended && !m.incarnation.frozen &&
				m.control != nil && m.control.Coordinator().HasLease() {
				leaders++
			}
		}
		if leaders > 1 {
			w.twoPrimaries++
			w.tracef("%d controllers hold the lease at once", leaders)
		}
		w.outside.NewCond().Wait(20*time.Millisecond, never)
	}
}

// drawFaults starts faults one after another, without waiting for the earlier ones to end.
func (w *World) drawFaults(from, until time.Duration, only string) {
	all := faults
	total := 0
	for _, f := range all {
		total += f.weight
	}
	w.outside.NewCond().Wait(from-w.now, never)
	for w.now < until {
		drawn := w.random.IntN(total)
		for _, f := range all {
			if only != "" && f.name != only {
				continue
			}
			if drawn -= f.weight; drawn < 0 || only != "" {
				w.tracef("fault: %s", f.name)
				w.Events.Append(fleet.Entry{Kind: fleet.FaultBegan, Cause: f.name})
				w.outside.Go(func() { f.run(w) })
				break
			}
		}
		w.wait(300, 4500)
	}
}

// repairAll ends every fault that still lasts, as the operators of a fleet would.
func (w *World) repairAll() {
	w.heal()
	w.platform.down, w.loseAnswers = false, 0
	for _, m := range w.machines {
		if m.gone {
			continue
		}
		if m.disk != nil {
			m.disk.full, m.disk.damage, m.disk.powerFailsIn, m.disk.slowFactor = false, 0, 0, 0
		}
		if m.incarnation != nil && m.incarnation.frozen && !m.incarnation.ended {
			m.incarnation.wake()
		}
		w.start(m)
	}
}

// runClosingFault injects the last fault of the day; service must return after it.
func (w *World) runClosingFault() {
	kinds := []string{"herd of couriers", "herd of expediters", "cold start", "zone", "primary", "power"}
	kind := kinds[w.random.IntN(len(kinds))]
	w.tracef("closing fault: %s", kind)
	w.Events.Append(fleet.Entry{Kind: fleet.ClosingFault, Cause: kind})
	switch kind {
	case "herd of couriers":
		w.restartAll(membership.Router)
	case "herd of expediters":
		w.restartAll(membership.Controller)
	case "cold start":
		w.restartAll("")
	case "zone":
		loseZone(w)
	case "primary":
		w.killFor(w.primary(), 500, 3000)
	case "power":
		for _, m := range w.nodes("") {
			w.outside.Go(func() { w.powerOffFor(m, 200, 1500) })
		}
	}
}
