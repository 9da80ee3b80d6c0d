package simulation

import (
	"strings"
	"time"

	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Day is how a world's day goes.
type Day struct {
	// Faulty is how long faults are drawn; a calm follows, then a closing fault.
	Faulty time.Duration
	// Forming disturbs the first core while it forms: late machines, and one whose
	// power fails at its disk's act or whose disk is lost in the middle.
	Forming bool
	// Swings lets traffic swing between many long prompts and many chats, instead
	// of faults; FixedParts leaves servers the parts that they were given first.
	Swings     bool
	FixedParts bool
	// Only names the one fault that is drawn; empty means all.
	Only string
	// Long and Short are the requests of each kind a second.
	Long, Short float64
}

// DefaultDay is a day of moderate length.
func DefaultDay() Day { return Day{Faulty: 28 * time.Second, Long: 4, Short: 6} }

// The parts of a day beside the faulty one.
const (
	opening = 9 * time.Second
	calm    = 16 * time.Second
	closing = 13 * time.Second
	evening = 8 * time.Second
)

// Result is what a day came to.
type Result struct {
	Verdict fleet.Verdict
	// Runtime counts the parts that servers changed after they had one, Flaps those
	// that were taken back within fifteen seconds.
	Runtime, Flaps int
	// TwoPrimaries counts the moments at which two controllers could answer as primary.
	TwoPrimaries int
	// Restored tells whether the core was complete again at the end, without an
	// operator.
	Restored   bool
	Encounters map[string]int
	Steps      uint64
	// Calls is what became of opaque calls.
	Calls CallCounter
}

// Failed tells whether something happened that must not.
func (r Result) Failed() bool {
	return r.Verdict.Violations() > 0 || !r.Restored || r.TwoPrimaries > 0
}

// Broke tells whether a rule was broken whose name has the text in it; with no
// text, whether the day failed at all.
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

// Run lets a day pass and judges it: an opening, faults, a calm, a closing fault and
// an evening without requests.
func (w *World) Run(day Day) Result {
	w.long, w.short = day.Long, day.Short
	w.fixedParts = day.FixedParts
	faultsEnd := opening + day.Faulty
	closes := faultsEnd + calm
	ends := closes + closing
	w.startNodes(day)
	w.startTraffic(ends)
	if day.Swings {
		w.outside.Go(func() { w.swing(opening, ends) })
	} else {
		w.outside.Go(func() { w.drawFaults(opening, faultsEnd, day.Only) })
	}
	w.run(faultsEnd)
	w.faultsOver = true
	w.outside.Go(w.upgradeAll)
	w.run(closes)
	w.repairAll()
	w.run(closes + time.Millisecond)
	if !day.Swings {
		w.outside.Go(w.close)
	}
	w.run(ends)
	w.run(ends + evening)
	for range 10 {
		w.outside.Go(func() { w.readConfiguration(true) })
		w.run(w.now + 2*time.Second)
		if w.coreComplete() {
			break
		}
	}
	entries := w.Events.Entries()
	result := Result{
		Verdict:      fleet.Judge(entries),
		Restored:     w.coreComplete(),
		TwoPrimaries: w.twoPrimaries,
		Encounters:   w.encounters,
		Steps:        w.acted,
		Calls:        *w.calls,
	}
	result.Runtime, result.Flaps = countPartChanges(entries)
	w.endAll()
	return result
}

// startNodes starts all machines, some of them late or as the older release.
func (w *World) startNodes(day Day) {
	// On every other day some nodes begin as the older release, and become the
	// newest one after another.
	if w.random.IntN(2) == 0 {
		for _, m := range w.machines {
			if w.random.IntN(3) == 0 {
				m.withheld = features.List{features.BackupList, features.OrderPatience, features.PairPrice}
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
		// The platform comes later than the fleet.
		w.platform.down = true
		w.encounter("a start without the platform")
		w.outside.Go(func() {
			w.wait(500, 5000)
			w.platform.down = false
		})
	}
}

// startTraffic starts clients and operators until the moment, and the watch for two
// primaries until the evening is over.
func (w *World) startTraffic(until time.Duration) {
	w.outside.Go(func() { w.runClients(until) })
	if w.settings.Calls {
		w.outside.Go(func() { w.originsOfCalls(until) })
	}
	w.outside.Go(func() { w.operate(until) })
	w.outside.Go(func() { w.watchPrimaries(until + evening) })
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

// upgradeAll makes every node the newest release, one after another, as an
// operator does at the end of a roll-out.
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

// swing lets traffic swing, twelve seconds each way, until the moment.
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

// flapTime is within how long a part that is taken back counts as a flap.
const flapTime = 15 * time.Second

// countPartChanges counts the changes of parts in the event log, and those that were taken back
// soon.
func countPartChanges(entries []fleet.Entry) (changes, flaps int) {
	type part struct {
		name  string
		since time.Time
		from  string
	}
	parts := map[string]part{}
	for _, entry := range entries {
		if entry.Kind != fleet.Commanded || entry.Part == parts[entry.Server].name {
			continue
		}
		before, known := parts[entry.Server]
		if known && before.name != "" {
			changes++
			if before.from == entry.Part && entry.At.Sub(before.since) < flapTime {
				flaps++
			}
		}
		parts[entry.Server] = part{entry.Part, entry.At, before.name}
	}
	return changes, flaps
}

// watchPrimaries looks, over and over, whether two controllers have the lease at once.
func (w *World) watchPrimaries(until time.Duration) {
	for w.now < until {
		leaders := 0
		for _, m := range w.machines {
			if m.incarnation != nil && !m.incarnation.ended && !m.incarnation.frozen && m.control != nil && m.control.Coordinator().HasLease() {
				leaders++
			}
		}
		if leaders > 1 {
			w.twoPrimaries++
			w.tracef("%d expediters hold at once", leaders)
		}
		w.outside.NewCond().Wait(20*time.Millisecond, never)
	}
}

// drawFaults has faults begin one after another; they last as they last.
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

// repairAll ends whatever is still wrong, as those who run the fleet would.
func (w *World) repairAll() {
	w.heal()
	w.platform.down, w.loseAnswers = false, 0
	for _, m := range w.machines {
		if m.gone {
			continue
		}
		if m.disk != nil {
			m.disk.full, m.disk.damage, m.disk.powerFailsIn, m.disk.slow = false, 0, 0, 0
		}
		if m.incarnation != nil && m.incarnation.frozen && !m.incarnation.ended {
			m.incarnation.wake()
		}
		w.start(m)
	}
}

// close is the fault with which the day ends; service must return after it.
func (w *World) close() {
	kinds := []string{"herd of couriers", "herd of expediters", "cold start", "zone", "primary", "power"}
	kind := kinds[w.random.IntN(len(kinds))]
	w.tracef("closing fault: %s", kind)
	w.Events.Append(fleet.Entry{Kind: fleet.ClosingFault, Cause: kind})
	switch kind {
	case "herd of couriers":
		w.herd(membership.Router)
	case "herd of expediters":
		w.herd(membership.Controller)
	case "cold start":
		w.herd("")
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
