package replay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Balancer hands new connections of clients to machines: it asks each every second whether it
// is ready, and leaves out those that missed twice.
type Balancer struct {
	events *EventLog
	client *http.Client

	mutex   sync.Mutex
	targets []*target
}

// target is where a machine takes clients.
type target struct {
	machine, zone, front, ready string
	missed                      int
}

func newBalancer(events *EventLog) *Balancer {
	return &Balancer{events: events, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// open adds a machine; shut takes it away.
func (b *Balancer) open(added target) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.targets = append(b.targets, &added)
}

func (b *Balancer) shut(machine string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool { return t.machine == machine })
}

// run asks every machine each second.
func (b *Balancer) run(lifetime context.Context) {
	for sleep(lifetime, time.Second) {
		b.askAll()
	}
}

func (b *Balancer) askAll() {
	var asking sync.WaitGroup
	for _, one := range b.all() {
		asking.Go(func() {
			ready := b.ask(one.ready)
			b.mutex.Lock()
			defer b.mutex.Unlock()
			one.missed++
			if ready == http.StatusOK {
				one.missed = 0
			}
			b.events.Append(Event{Kind: ReadyAsked, Machine: one.machine, Zone: one.zone, Status: ready})
		})
	}
	asking.Wait()
}

func (b *Balancer) ask(address string) int {
	a, err := b.client.Get("http://" + address + pathReady)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

func (b *Balancer) all() []*target {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.targets)
}

// allReady tells whether every machine answered that it is ready when it was asked last.
func (b *Balancer) allReady() bool {
	b.askAll()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, t := range b.targets {
		if t.missed > 0 {
			return false
		}
	}
	return len(b.targets) > 0
}

// taking lists the machines that a zone's clients may be handed to.
func (b *Balancer) taking(zone string) []target {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var own, in, near []target
	for _, each := range b.targets {
		if each.zone != zone {
			if each.missed < 2 {
				near = append(near, *each)
			}
			continue
		}
		own = append(own, *each)
		if each.missed < 2 {
			in = append(in, *each)
		}
	}
	switch {
	case len(in) == 0 && len(near) > 0:
		return near
	case len(in)*2 < len(own):
		return own
	}
	return in
}
