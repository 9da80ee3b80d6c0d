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
	// Forming troubles the first core while it forms: late machines, and one whose
	// power fails at its disk's act or whose disk is lost in the middle.
	Forming bool
	// Swings lets traffic swing between many long prompts and many chats, instead
	// of faults; FixedParts leaves servers the parts that they were given first.
	Swings     bool
	FixedParts bool
	// Only names the one fault that is drawn; empty means all.
	Only string
	// Long and Short are the inquiries of each kind a second.
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
	// Twice counts the moments at which two expediters could answer as primary.
	Twice int
	// Whole tells whether the core was whole again at the end, without an
	// operator.
	Whole       bool
	Temptations map[string]int
	Steps       uint64
	// Calls is what became of opaque calls.
	Calls CallCounter
}

// Failed tells whether something happened that must not.
func (result Result) Failed() bool {
	return result.Verdict.Violations() > 0 || !result.Whole || result.Twice > 0
}

// Broke tells whether a rule was broken whose name has the text in it; with no
// text, whether the day failed at all.
func (result Result) Broke(text string) bool {
	if text == "" {
		return result.Failed()
	}
	for _, finding := range result.Verdict.Findings {
		if finding.Violations > 0 && strings.Contains(finding.Checker, text) {
			return true
		}
	}
	return false
}

func newIdentity(world *World, machine *machine) replication.Identity {
	return replication.Identity(machine.name + "/" + world.nonce())
}

// Run lets a day pass and judges it.
func (world *World) Run(day Day) Result {
	world.long, world.short = day.Long, day.Short
	world.fixedParts = day.FixedParts
	faultsFrom := opening
	faultsEnd := faultsFrom + day.Faulty
	closes := faultsEnd + calm
	ends := closes + closing
	// On every other day some nodes begin as the older release, and become the
	// newest one after another.
	if world.random.IntN(2) == 0 {
		for _, machine := range world.machines {
			if world.random.IntN(3) == 0 {
				machine.withheld = features.List{features.BackupList, features.OrderPatience, features.PairPrice}
			}
		}
	}
	for _, machine := range world.machines {
		world.outside.Go(func() {
			world.wait(0, 400)
			if day.Forming && machine.kind == membership.Controller {
				world.wait(0, 4000)
			}
			world.start(machine)
		})
	}
	if day.Forming {
		world.outside.Go(world.loseOneWhileForming)
	}
	if world.random.IntN(4) == 0 {
		// The platform comes later than the fleet.
		world.platform.down = true
		world.tempt("a start without the platform")
		world.outside.Go(func() {
			world.wait(500, 5000)
			world.platform.down = false
		})
	}
	world.outside.Go(func() { world.callers(ends) })
	if world.ways.Calls {
		world.outside.Go(func() { world.originsOfCalls(ends) })
	}
	world.outside.Go(func() { world.operate(ends) })
	world.outside.Go(func() { world.watchPrimaries(ends + evening) })
	if day.Swings {
		world.outside.Go(func() { world.swing(faultsFrom, ends) })
	} else {
		world.outside.Go(func() { world.drawFaults(faultsFrom, faultsEnd, day.Only) })
	}
	world.run(faultsEnd)
	world.faultsOver = true
	world.outside.Go(world.upgradeAll)
	world.run(closes)
	world.mend()
	world.run(closes + time.Millisecond)
	if !day.Swings {
		world.outside.Go(world.close)
	}
	world.run(ends)
	world.run(ends + evening)
	for range 10 {
		world.outside.Go(func() { world.readConfiguration(true) })
		world.run(world.now + 2*time.Second)
		if world.whole() {
			break
		}
	}
	result := Result{Verdict: fleet.Judge(world.Book.Entries()), Whole: world.whole(), Twice: world.twice, Temptations: world.temptations, Steps: world.acted, Calls: *world.calls}
	result.Runtime, result.Flaps = rt(world.Book.Entries())
	for _, incarnation := range world.incarnations {
		if !incarnation.ended {
			incarnation.ended = true
			world.dead = append(world.dead, incarnation)
		}
	}
	world.bury()
	return result
}

// upgradeAll makes every node the newest release, one after another, as an
// operator does at the end of a roll-out.
func (world *World) upgradeAll() {
	for _, machine := range world.nodes("") {
		if len(machine.withheld) > 0 {
			machine.withheld = nil
			world.tempt("a node restarted as a newer release")
			world.killFor(machine, 50, 300)
			world.wait(300, 600)
		}
	}
}

// swing lets traffic swing, twelve seconds each way, until the moment.
func (world *World) swing(from, until time.Duration) {
	long, short := world.long, world.short
	world.outside.NewCond().Wait(from-world.now, never)
	for world.now < until {
		world.long, world.short = long*2.2, short*0.2
		world.outside.NewCond().Wait(12*time.Second, never)
		world.long, world.short = long*0.1, short*3
		world.outside.NewCond().Wait(12*time.Second, never)
	}
}

// flapTime is within how long a part that is taken back counts as a flap.
const flapTime = 15 * time.Second

// turns counts the changes of parts in a book, and those that were taken back
// soon.
func rt(entries []fleet.Entry) (changes, flaps int) {
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

// watchPrimaries looks, over and over, whether two expediters hold at once.
func (world *World) watchPrimaries(until time.Duration) {
	for world.now < until {
		holders := 0
		for _, machine := range world.machines {
			if machine.incarnation != nil && !machine.incarnation.ended && !machine.incarnation.frozen && machine.control != nil && machine.control.Coordinator().Holds() {
				holders++
			}
		}
		if holders > 1 {
			world.twice++
			world.say("%d expediters hold at once", holders)
		}
		world.outside.NewCond().Wait(20*time.Millisecond, never)
	}
}

// drawFaults has faults begin one after another; they last as they last.
func (world *World) drawFaults(from, until time.Duration, only string) {
	all := faults()
	total := 0
	for _, fault := range all {
		total += fault.weight
	}
	world.outside.NewCond().Wait(from-world.now, never)
	for world.now < until {
		drawn := world.random.IntN(total)
		for _, fault := range all {
			if only != "" && fault.name != only {
				continue
			}
			if drawn -= fault.weight; drawn < 0 || only != "" {
				world.say("fault: %s", fault.name)
				world.Book.Note(fleet.Entry{Kind: fleet.FaultBegan, Cause: fault.name})
				world.outside.Go(func() { fault.run(world) })
				break
			}
		}
		world.wait(300, 4500)
	}
}

// mend ends whatever is still wrong, as those who run the fleet would.
func (world *World) mend() {
	world.heal()
	world.platform.down, world.loseAnswers = false, 0
	for _, machine := range world.machines {
		if machine.gone {
			continue
		}
		if machine.disk != nil {
			machine.disk.full, machine.disk.damage, machine.disk.powerFailsIn, machine.disk.slow = false, 0, 0, 0
		}
		if machine.incarnation != nil && machine.incarnation.frozen && !machine.incarnation.ended {
			machine.incarnation.wake()
		}
		world.start(machine)
	}
}

// close is the fault with which the day ends; service must return after it.
func (world *World) close() {
	kinds := []string{"herd of couriers", "herd of expediters", "cold start", "zone", "primary", "power"}
	kind := kinds[world.random.IntN(len(kinds))]
	world.say("closing fault: %s", kind)
	world.Book.Note(fleet.Entry{Kind: fleet.ClosingFault, Cause: kind})
	switch kind {
	case "herd of couriers":
		world.herd(membership.Router)
	case "herd of expediters":
		world.herd(membership.Controller)
	case "cold start":
		world.herd("")
	case "zone":
		loseZone(world)
	case "primary":
		world.killFor(world.primary(), 500, 3000)
	case "power":
		for _, machine := range world.nodes("") {
			world.outside.Go(func() { world.powerOffFor(machine, 200, 1500) })
		}
	}
}
