package replay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// reserveCoreLoss waits until a machine of the core may be taken away, and returns the function
// that ends the reservation. The fault budget allows one core machine to be away at a time, and a
// machine that is back gets the catch-up time before the next loss. If core is false, nothing is
// reserved.
func (day *Day) reserveCoreLoss(core bool) func() {
	if !core {
		return func() {}
	}
	day.coreLoss.Lock()
	sleep(day.lifetime, time.Until(day.coreBack.Add(day.Site.Terms.CatchUp)))
	return func() {
		day.coreBack = time.Now()
		day.coreLoss.Unlock()
	}
}

// killMachines kills machines and starts them again after a while.
func (day *Day) killMachines(_ context.Context, fault Fault) {
	release := day.reserveCoreLoss(fault.On == "core")
	defer release()
	var killing sync.WaitGroup
	for _, machine := range day.targetMachines(fault) {
		killing.Go(func() { day.restartMachine(machine, fault.duration(), false) })
	}
	killing.Wait()
}

// targetMachines picks the machines for a fault. For a fault on the core with the option "leader", it
// makes a change and picks the machine that acknowledged the change.
func (day *Day) targetMachines(fault Fault) []*Machine {
	if fault.On == "core" && fault.hasOption("leader") {
		if leader := day.machineAt(day.change(day.lifetime, "idle").node); leader != nil {
			return []*Machine{leader}
		}
	}
	return day.chooseMachines(fault, 0.1)
}

// restartMachine kills a machine and starts it again after the downtime, with an empty disk if
// emptyDisk is set.
func (day *Day) restartMachine(machine *Machine, downtime time.Duration, emptyDisk bool) {
	machine.kill()
	if emptyDisk {
		_ = machine.wipe()
	}
	machine.mutex.Lock()
	machine.bootstrap = false
	machine.mutex.Unlock()
	if sleep(day.lifetime, downtime) {
		_ = machine.startProcesses()
	}
}

// freezeMachines suspends the processes of machines for a while.
func (day *Day) freezeMachines(_ context.Context, fault Fault) {
	release := day.reserveCoreLoss(fault.On == "core")
	defer release()
	machines := day.chooseMachines(fault, 0.1)
	for _, machine := range machines {
		machine.freeze()
	}
	sleep(day.lifetime, fault.duration())
	for _, machine := range machines {
		machine.resume()
	}
}

// rollingRestart stops machines with SIGTERM and starts them again, one after another.
func (day *Day) rollingRestart(lifetime context.Context, fault Fault) {
	machines := day.all()
	day.mutex.Lock()
	day.random.Shuffle(len(machines),
		func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	day.mutex.Unlock()
	count := max(1, int(fault.shareOr(1)*float64(len(machines))+0.5))
	for _, machine := range machines[:count] {
		release := day.reserveCoreLoss(machine.Core)
		machine.mutex.Lock()
		machine.bootstrap = false
		machine.mutex.Unlock()
		machine.stop()
		sleep(day.lifetime, 300*time.Millisecond)
		_ = machine.startProcesses()
		release()
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// reloadAll tells the processes of a share of the machines to reload their settings. It reserves no
// core loss, so that the reload may coincide with other faults on the core.
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

// killMany kills the processes of many machines at the same time: those of all core machines if the
// fault is on the core, otherwise those of a share of all machines. The loss of several core machines
// exceeds the fault budget. The processes start again within a second, with their disks intact.
func (day *Day) killMany(_ context.Context, fault Fault) {
	release := day.reserveCoreLoss(true)
	defer release()
	machines := day.all()
	if fault.On == "core" {
		machines = day.coreMachines()
	} else {
		day.mutex.Lock()
		day.random.Shuffle(len(machines),
			func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
		day.mutex.Unlock()
		machines = machines[:max(1, int(fault.shareOr(0.6)*float64(len(machines))+0.5))]
	}
	day.restartAll(machines, min(fault.duration(), time.Second))
}

// restartAll kills machines at the same time and starts them again after the downtime.
func (day *Day) restartAll(machines []*Machine, downtime time.Duration) {
	var killing sync.WaitGroup
	for _, machine := range machines {
		killing.Go(func() { day.restartMachine(machine, downtime, false) })
	}
	killing.Wait()
}

// rotateSeeds writes other seeds into the settings of all machines: the last addresses of the
// operators' list, in reverse order, instead of the first.
func (day *Day) rotateSeeds(_ context.Context, _ Fault) {
	seeds := day.controlAddresses(day.Site.Terms.SeedLag)
	slices.Reverse(seeds)
	for _, machine := range day.all() {
		_ = machine.rewriteSettings(seeds[:min(seedCount, len(seeds))])
	}
}

// replaceCore removes one machine of the core permanently and adds an empty machine at another
// address. It adds the empty machine before the removal if the fault has the option "planned",
// otherwise after the removal.
func (day *Day) replaceCore(_ context.Context, fault Fault) {
	release := day.reserveCoreLoss(true)
	defer release()
	old := day.targetMachines(Fault{On: "core", How: fault.How})[0]
	addReplacement := func() {
		machine := day.addMachine(old.Zone, 0, true)
		machine.listedAt, machine.seeds = time.Now(), old.seeds
		_ = machine.startProcesses()
		day.Balancer.add(machine.target())
	}
	if fault.hasOption("planned") {
		addReplacement()
		sleep(day.lifetime, seconds(fault.factorOr(1)))
		old.stop()
		old.markRemoved()
	} else {
		old.kill()
		old.markRemoved()
		if sleep(day.lifetime, seconds(fault.factorOr(1))) {
			addReplacement()
		}
	}
	sleep(day.lifetime, day.Site.Terms.CatchUp)
}

// restartAfterAck kills the machine that acknowledged a change right after the acknowledgement, and
// starts it again, with an empty disk if the kind of the fault ends with "wipe". If no change is
// acknowledged, it takes the first machine of the core.
func (day *Day) restartAfterAck(_ context.Context, fault Fault) {
	release := day.reserveCoreLoss(true)
	defer release()
	reply := day.change(day.lifetime, "idle")
	machine := day.machineAt(reply.node)
	if machine == nil {
		machine = day.coreMachines()[0]
	}
	day.restartMachine(machine, fault.duration(), strings.HasSuffix(fault.Kind, "wipe"))
}

// runClosingFault carries out the closing fault right after a change was acknowledged.
func (day *Day) runClosingFault(lifetime context.Context, closing Closing) {
	release := day.reserveCoreLoss(true)
	defer release()
	sleep(lifetime, day.Site.Terms.CatchUp)
	day.change(lifetime, "idle")
	day.logf("%6.1f s  closing fault: %s", time.Since(day.began).Seconds(), closing.Kind)
	day.Events.Append(Event{Kind: ClosingFault, Cause: closing.Kind})
	closingFaults[closing.Kind](day, seconds(max(closing.Down, 0.3)))
	day.Events.Append(Event{Kind: ClosingFaultEnded})
}

// killAll kills all processes at the same time and starts all machines again.
func (day *Day) killAll(downtime time.Duration) { day.restartAll(day.all(), downtime) }

// killAllWipeOne kills all processes at the same time, empties the disk of one random core machine,
// and starts all machines again.
func (day *Day) killAllWipeOne(downtime time.Duration) {
	wiped := day.coreMachines()[day.random.IntN(len(day.coreMachines()))]
	var killing sync.WaitGroup
	for _, machine := range day.all() {
		killing.Go(func() { day.restartMachine(machine, downtime, machine == wiped) })
	}
	killing.Wait()
}

// loseZone kills a zone's machines and servers. After the duration of the fault it starts the machines
// again, and starts new servers at other addresses.
func (day *Day) loseZone(lifetime context.Context, fault Fault) {
	release := day.reserveCoreLoss(true)
	defer release()
	zone := fault.Zone
	if zone == "" {
		zone = day.Site.Zones[day.seed%uint64(len(day.Site.Zones))]
	}
	servers := slices.DeleteFunc(day.ServerPool.all(), func(server *modelServer) bool { return server.Zone != zone })
	phases := make([]string, len(servers))
	for position, server := range servers {
		phases[position] = server.currentPhase()
		day.ServerPool.remove(server)
	}
	day.restartAll(slices.DeleteFunc(day.all(), func(machine *Machine) bool { return machine.Zone != zone }), fault.duration())
	for position, server := range servers {
		_, _ = day.ServerPool.add(day.Site.serviceConfig(server.Service), zone, phases[position], true)
	}
}
