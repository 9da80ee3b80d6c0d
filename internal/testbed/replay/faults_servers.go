package replay

import (
	"context"
	"slices"
	"sync"
	"time"
)

// misbehaveFor makes a share of the servers misbehave, as set specifies, for the duration of the fault.
func (day *Day) misbehaveFor(lifetime context.Context, fault Fault, share float64, set func(m *misbehaviour)) {
	servers := day.drawServers(fault, share)
	for _, server := range servers {
		server.setMisbehaviour(set)
	}
	sleep(lifetime, fault.duration())
	for _, server := range servers {
		server.setMisbehaviour(func(m *misbehaviour) { *m = misbehaviour{} })
	}
}

// crashServers crashes servers and starts new ones cold in their place. With the option "gone", a
// server of another service starts at the address of each crashed server instead. With the option
// "dark", the servers do not crash but are silent for the duration of the fault.
func (day *Day) crashServers(lifetime context.Context, fault Fault) {
	if fault.hasOption("dark") {
		day.misbehaveFor(lifetime, fault, 0.15, func(m *misbehaviour) { m.silent = true })
		return
	}
	for _, server := range day.drawServers(fault, 0.15) {
		phase := server.currentPhase()
		day.ServerPool.remove(server)
		if fault.hasOption("gone") {
			day.reuseAddress(lifetime, server)
			continue
		}
		if sleep(lifetime, fault.duration()) {
			_, _ = day.ServerPool.add(day.Site.serviceConfig(server.Service), server.Zone, phase, true)
		}
	}
}

// currentPhase returns the server's present phase.
func (m *modelServer) currentPhase() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.phase
}

// release replaces servers one after another: the new server starts, and then the old server
// drains.
func (day *Day) release(lifetime context.Context, fault Fault) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for _, server := range day.drawServers(fault, 0.5) {
		if _, err := day.ServerPool.add(day.Site.serviceConfig(server.Service), server.Zone, server.currentPhase(), true); err != nil {
			return
		}
		leaving.Go(func() {
			day.ServerPool.drain(server, time.Second)
			day.reuseAddress(lifetime, server)
		})
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// reuseAddress starts a server of another service at the address of a server that ended.
func (day *Day) reuseAddress(lifetime context.Context, old *modelServer) {
	if !sleep(lifetime, day.Site.Terms.AddressReuse) {
		return
	}
	for _, service := range day.Site.Services {
		if service.Name != old.Service && service.Engine.PlainSteps == 0 {
			_, _ = day.ServerPool.addAt(old.Address, service, old.Zone, phaseDecode, true)
			return
		}
	}
}

// flap crashes servers and starts them again, one after another and repeatedly.
func (day *Day) flap(lifetime context.Context, fault Fault) {
	end := time.Now().Add(fault.duration())
	servers := day.drawServers(fault, 0.1)
	for time.Now().Before(end) {
		for position, server := range servers {
			phase := server.currentPhase()
			day.ServerPool.remove(server)
			if !sleep(lifetime, fault.gap()) {
				return
			}
			if next, err := day.ServerPool.addAt(server.Address, day.Site.serviceConfig(server.Service), server.Zone, phase,
				true); err == nil {
				servers[position] = next
			}
		}
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// failSomeRequests makes servers fail a share of their requests.
func (day *Day) failSomeRequests(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.2, func(m *misbehaviour) { m.failShare = fault.factorOr(0.5) })
}

// invertHealth makes servers report the opposite of their health.
func (day *Day) invertHealth(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.healthInverted = true })
}

// abuseRetries makes clients retry immediately and often for a while.
func (day *Day) abuseRetries(lifetime context.Context, fault Fault) {
	day.Clients.setRetryAbuse(true)
	sleep(lifetime, fault.duration())
	day.Clients.setRetryAbuse(false)
}

// loseAnswers makes servers drop a share of their complete responses.
func (day *Day) loseAnswers(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.5, func(m *misbehaviour) { m.lostShare = fault.factorOr(0.03) })
}

// corruptAnswers makes servers corrupt a share of their responses. With the option "extra", half of
// these responses are complete, but are sent again in place of the next response. With the option "unframed",
// the servers' responses end with their connection.
func (day *Day) corruptAnswers(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.5, func(m *misbehaviour) {
		m.corruptShare, m.duplicates = fault.factorOr(0.02), fault.hasOption("extra")
		m.closeDelimited = fault.hasOption("unframed")
	})
}

// slowTransfers slows the KV cache transfers of servers.
func (day *Day) slowTransfers(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.transferSlowdown = fault.factorOr(8) })
}

// expireHandles makes the handles of servers expire at once.
func (day *Day) expireHandles(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.handlesExpire = true })
}

// chooseMachines picks random machines: one machine of the core if the fault is on the core,
// otherwise a share or a count of the machines outside the core.
func (day *Day) chooseMachines(fault Fault, share float64) []*Machine {
	machines := slices.DeleteFunc(day.all(), func(machine *Machine) bool { return machine.Core != (fault.On == "core") })
	day.mutex.Lock()
	day.random.Shuffle(len(machines),
		func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	day.mutex.Unlock()
	count := fault.Count
	if count == 0 {
		count = max(1, int(fault.shareOr(share)*float64(len(machines))+0.5))
	}
	if fault.On == "core" {
		count = 1
	}
	return machines[:min(count, len(machines))]
}
