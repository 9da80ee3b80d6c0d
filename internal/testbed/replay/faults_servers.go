package replay

import (
	"context"
	"slices"
	"sync"
	"time"
)

// misbehaveFor has servers misbehaveFor for a while.
func (day *Day) misbehaveFor(lifetime context.Context, fault Fault, share float64, begin func(m *misbehaviour)) {
	servers := day.drawn(fault, share)
	for _, server := range servers {
		server.misbehave(begin)
	}
	sleep(lifetime, fault.lasts())
	for _, server := range servers {
		server.misbehave(func(own *misbehaviour) { *own = misbehaviour{} })
	}
}

// crashServers has servers crash and come back cold, or be silent for a while.
func (day *Day) crashServers(lifetime context.Context, fault Fault) {
	if fault.says("dark") {
		day.misbehaveFor(lifetime, fault, 0.15, func(m *misbehaviour) { m.dark = true })
		return
	}
	for _, server := range day.drawn(fault, 0.15) {
		phase := server.playing()
		day.ServerPool.remove(server)
		if fault.says("gone") {
			day.reuseAddress(lifetime, server)
			continue
		}
		if sleep(lifetime, fault.lasts()) {
			_, _ = day.ServerPool.add(day.Site.shapeOf(server.Service), server.Zone, phase, true)
		}
	}
}

func (m *modelServer) playing() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.phase
}

// release replaces servers one after another: the new one comes first, the old one is
// listed as leaving.
func (day *Day) release(lifetime context.Context, fault Fault) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for _, server := range day.drawn(fault, 0.5) {
		if _, err := day.ServerPool.add(day.Site.shapeOf(server.Service), server.Zone, server.playing(), true); err != nil {
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

// reuseAddress has a server of another service begin where one has ended.
func (day *Day) reuseAddress(lifetime context.Context, old *modelServer) {
	if !sleep(lifetime, day.Site.Terms.AddressReuse) {
		return
	}
	for _, service := range day.Site.Services {
		if service.Name != old.Service && service.Engine.Plain == 0 {
			_, _ = day.ServerPool.addAt(old.Address, service, old.Zone, phaseDecode, true)
			return
		}
	}
}

// flap has servers go down and come up again, by turns.
func (day *Day) flap(lifetime context.Context, fault Fault) {
	ends := time.Now().Add(fault.lasts())
	servers := day.drawn(fault, 0.1)
	for time.Now().Before(ends) {
		for position, server := range servers {
			phase := server.playing()
			day.ServerPool.remove(server)
			if !sleep(lifetime, fault.gap()) {
				return
			}
			if next, err := day.ServerPool.addAt(server.Address, day.Site.shapeOf(server.Service), server.Zone, phase,
				true); err == nil {
				servers[position] = next
			}
		}
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

func (day *Day) failInPart(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.2, func(m *misbehaviour) { m.fails = fault.timesOr(0.5) })
}

func (day *Day) lieAboutHealth(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.lies = true })
}

// abuseRetries has clients try again at once and often.
func (day *Day) abuseRetries(lifetime context.Context, fault Fault) {
	day.Clients.abuse(true)
	sleep(lifetime, fault.lasts())
	day.Clients.abuse(false)
}

func (day *Day) loseAnswers(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.5, func(m *misbehaviour) { m.loses = fault.timesOr(0.03) })
}

func (day *Day) garbleAnswers(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.5, func(m *misbehaviour) {
		m.spoils, m.late = fault.timesOr(0.02), fault.says("extra")
	})
}

func (day *Day) slowMoves(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.slowed = fault.timesOr(8) })
}

func (day *Day) lapseHandles(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.lapses = true })
}

// chosen picks machines: a share or a count of them, of the core or of those without a
// disk. Of the core one is picked.
func (day *Day) chosen(fault Fault, share float64) []*Machine {
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
