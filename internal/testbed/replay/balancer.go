package replay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Balancer assigns new client connections to machines. It probes the readiness of each machine
// once a second, and leaves out machines that failed two probes in a row.
type Balancer struct {
	events *EventLog
	client *http.Client

	mutex   sync.Mutex
	targets []*target
}

// target holds the addresses at which a machine accepts clients and readiness probes.
type target struct {
	machine, zone, frontAddress, readinessAddress string
	missedProbes                                  int
}

func newBalancer(events *EventLog) *Balancer {
	return &Balancer{events: events, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// add adds a machine.
func (b *Balancer) add(added target) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.targets = append(b.targets, &added)
}

// remove removes a machine.
func (b *Balancer) remove(machine string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool { return t.machine == machine })
}

// run probes every machine once a second.
func (b *Balancer) run(lifetime context.Context) {
	for sleep(lifetime, time.Second) {
		b.probeAll()
	}
}

// probeAll probes all machines at the same time and waits for the results.
func (b *Balancer) probeAll() {
	var probes sync.WaitGroup
	for _, candidate := range b.all() {
		probes.Go(func() {
			status := b.probe(candidate.readinessAddress)
			b.mutex.Lock()
			defer b.mutex.Unlock()
			candidate.missedProbes++
			if status == http.StatusOK {
				candidate.missedProbes = 0
			}
			b.events.Append(Event{Kind: ReadinessProbed, Machine: candidate.machine, Zone: candidate.zone, Status: status})
		})
	}
	probes.Wait()
}

// probe returns the status of a readiness probe, or 0 if there was no response.
func (b *Balancer) probe(address string) int {
	response, err := b.client.Get("http://" + address + pathReady)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// all returns a copy of the list of machines.
func (b *Balancer) all() []*target {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.targets)
}

// allReady probes all machines and reports whether there is at least one and every probe succeeded.
func (b *Balancer) allReady() bool {
	b.probeAll()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, t := range b.targets {
		if t.missedProbes > 0 {
			return false
		}
	}
	return len(b.targets) > 0
}

// accepting lists the machines that a zone's clients may connect to: the ready machines of the zone,
// which are those that have not failed both of their last two probes. If fewer than half of the zone's
// machines are ready, it lists all machines of the zone; if none of them is ready but machines of other
// zones are, it lists those. If zone is empty, it lists the ready machines of all zones.
func (b *Balancer) accepting(zone string) []target {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var sameZone, ready, otherZones []target
	for _, candidate := range b.targets {
		if candidate.zone != zone {
			if candidate.missedProbes < 2 {
				otherZones = append(otherZones, *candidate)
			}
			continue
		}
		sameZone = append(sameZone, *candidate)
		if candidate.missedProbes < 2 {
			ready = append(ready, *candidate)
		}
	}
	switch {
	case len(ready) == 0 && len(otherZones) > 0:
		return otherZones
	case len(ready)*2 < len(sameZone):
		return sameZone
	}
	return ready
}
