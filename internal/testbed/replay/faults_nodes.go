package replay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// loseCore takes the turn of losing a machine of the core: only as many as the fault
// budget allows are away at once, and one that is back has its time to catch up.
func (day *Day) loseCore(core bool) func() {
	if !core {
		return func() {}
	}
	day.coreTurn.Lock()
	sleep(day.lifetime, time.Until(day.coreBack.Add(day.Site.Terms.CatchUp)))
	return func() {
		day.coreBack = time.Now()
		day.coreTurn.Unlock()
	}
}

// killMachines kills machines; they come back after a while.
func (day *Day) killMachines(_ context.Context, fault Fault) {
	back := day.loseCore(fault.On == "core")
	defer back()
	var killing sync.WaitGroup
	for _, machine := range day.leading(fault) {
		killing.Go(func() { day.restartMachines(machine, fault.lasts(), false) })
	}
	killing.Wait()
}

// leading picks machines; with "leader" it is the one of the core that acknowledges.
func (day *Day) leading(fault Fault) []*Machine {
	if fault.On == "core" && fault.says("leader") {
		if leader := day.machineAt(day.change(day.lifetime, "idle").node); leader != nil {
			return []*Machine{leader}
		}
	}
	return day.chosen(fault, 0.1)
}

// restartMachines kills a machine and starts it again later, perhaps with an empty disk.
func (day *Day) restartMachines(machine *Machine, down time.Duration, wipes bool) {
	machine.kill()
	if wipes {
		_ = machine.wipe()
	}
	machine.mutex.Lock()
	machine.first = false
	machine.mutex.Unlock()
	if sleep(day.lifetime, down) {
		_ = machine.up()
	}
}

func (day *Day) freezeMachines(_ context.Context, fault Fault) {
	back := day.loseCore(fault.On == "core")
	defer back()
	machines := day.chosen(fault, 0.1)
	for _, machine := range machines {
		machine.freeze()
	}
	sleep(day.lifetime, fault.lasts())
	for _, machine := range machines {
		machine.thaw()
	}
}

// roll stops machines with SIGTERM and starts them again, one after another.
func (day *Day) roll(lifetime context.Context, fault Fault) {
	machines := day.all()
	day.mutex.Lock()
	day.random.Shuffle(len(machines),
		func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	day.mutex.Unlock()
	count := max(1, int(fault.shareOr(1)*float64(len(machines))+0.5))
	for _, machine := range machines[:count] {
		back := day.loseCore(machine.Core)
		machine.mutex.Lock()
		machine.first = false
		machine.mutex.Unlock()
		machine.stop()
		sleep(day.lifetime, 300*time.Millisecond)
		_ = machine.up()
		back()
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// reloadAll tells processes to read their settings again, whatever they are doing.
func (day *Day) reloadAll(lifetime context.Context, fault Fault) {
	machines := day.all()
	count := max(1, int(fault.shareOr(0.3)*float64(len(machines))+0.5))
	for _, machine := range machines[:count] {
		machine.reload()
		if fault.Gap > 0 && !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// killHerd kills many processes at once, whatever the core may lose; they come back with
// their disks.
func (day *Day) killHerd(_ context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	machines := day.all()
	if fault.On == "core" {
		machines = day.core()
	} else {
		day.mutex.Lock()
		day.random.Shuffle(len(machines),
			func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
		day.mutex.Unlock()
		machines = machines[:max(1, int(fault.shareOr(0.6)*float64(len(machines))+0.5))]
	}
	day.restartAll(machines, min(fault.lasts(), time.Second))
}

func (day *Day) restartAll(machines []*Machine, down time.Duration) {
	var killing sync.WaitGroup
	for _, machine := range machines {
		killing.Go(func() { day.restartMachines(machine, down, false) })
	}
	killing.Wait()
}

// turnSeedsOver names other seeds in the settings of all machines.
func (day *Day) turnSeedsOver(_ context.Context, _ Fault) {
	seeds := day.controls(day.Site.Terms.SeedLag)
	slices.Reverse(seeds)
	for _, machine := range day.all() {
		_ = machine.rewriteSettings(seeds[:min(seedCount, len(seeds))])
	}
}

// replaceCore has one machine of the core go for good; an empty one comes at another
// address.
func (day *Day) replaceCore(_ context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	old := day.leading(Fault{On: "core", How: fault.How})[0]
	begin := func() {
		machine := day.layOut(old.Zone, 0, true)
		machine.listed, machine.seeds = time.Now(), old.seeds
		_ = machine.up()
		day.Balancer.open(machine.target())
	}
	if fault.says("planned") {
		begin()
		sleep(day.lifetime, seconds(fault.timesOr(1)))
		old.stop()
		old.leave()
	} else {
		old.kill()
		old.leave()
		if sleep(day.lifetime, seconds(fault.timesOr(1))) {
			begin()
		}
	}
	sleep(day.lifetime, day.Site.Terms.CatchUp)
}

// wipeAfterAnswer kills the machine that acknowledges a change as soon as it has, and
// takes its disk when the fault says so.
func (day *Day) wipeAfterAnswer(_ context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	given := day.change(day.lifetime, "idle")
	machine := day.machineAt(given.node)
	if machine == nil {
		machine = day.core()[0]
	}
	day.restartMachines(machine, fault.lasts(), strings.HasSuffix(fault.Kind, "wipe"))
}

// close strikes at the end of the day, right after a change was acknowledged.
func (day *Day) close(lifetime context.Context, closing Closing) {
	back := day.loseCore(true)
	defer back()
	sleep(lifetime, day.Site.Terms.CatchUp)
	day.change(lifetime, "idle")
	day.logf("%6.1f s  closing: %s", time.Since(day.began).Seconds(), closing.Kind)
	day.Events.Append(Event{Kind: ClosingFault, Cause: closing.Kind})
	closings[closing.Kind](day, seconds(max(closing.Down, 0.3)))
	day.Events.Append(Event{Kind: ClosingBack})
}

// killAll kills every process at once.
func (day *Day) killAll(down time.Duration) { day.restartAll(day.all(), down) }

// wipeOne takes the disk of one machine of the core while all others are killed.
func (day *Day) wipeOne(down time.Duration) {
	unlucky := day.core()[day.random.IntN(len(day.core()))]
	var killing sync.WaitGroup
	for _, machine := range day.all() {
		killing.Go(func() { day.restartMachines(machine, down, machine == unlucky) })
	}
	killing.Wait()
}

// loseZone takes a zone's machines and servers away for a while.
func (day *Day) loseZone(lifetime context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	zone := fault.Zone
	if zone == "" {
		zone = day.Site.Zones[day.seed%uint64(len(day.Site.Zones))]
	}
	servers := slices.DeleteFunc(day.ServerPool.all(), func(server *modelServer) bool { return server.Zone != zone })
	phases := make([]string, len(servers))
	for position, server := range servers {
		phases[position] = server.playing()
		day.ServerPool.remove(server)
	}
	day.restartAll(slices.DeleteFunc(day.all(), func(machine *Machine) bool { return machine.Zone != zone }), fault.lasts())
	for position, server := range servers {
		_, _ = day.ServerPool.add(day.Site.shapeOf(server.Service), zone, phases[position], true)
	}
}
