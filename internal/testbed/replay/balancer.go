package replay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Balancer hands new circuits of clients to machines: it asks each every second whether it
// is ready, and leaves out those that missed twice.
type Balancer struct {
	book   *Book
	client *http.Client

	mutex   sync.Mutex
	targets []*target
}

// target is where a machine takes clients.
type target struct {
	machine, zone, front, ready string
	missed                      int
}

func newBalancer(book *Book) *Balancer {
	return &Balancer{book: book, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// open adds a machine; shut takes it away.
func (balancer *Balancer) open(added target) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.targets = append(balancer.targets, &added)
}

func (balancer *Balancer) shut(machine string) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.targets = slices.DeleteFunc(balancer.targets, func(target *target) bool { return target.machine == machine })
}

// run asks every machine each second.
func (balancer *Balancer) run(lifetime context.Context) {
	for pause(lifetime, time.Second) {
		balancer.askAll()
	}
}

func (balancer *Balancer) askAll() {
	var asking sync.WaitGroup
	for _, one := range balancer.all() {
		asking.Go(func() {
			ready := balancer.ask(one.ready)
			balancer.mutex.Lock()
			defer balancer.mutex.Unlock()
			one.missed++
			if ready == http.StatusOK {
				one.missed = 0
			}
			balancer.book.Note(Event{Kind: ReadyAsked, Machine: one.machine, Zone: one.zone, Status: ready})
		})
	}
	asking.Wait()
}

func (balancer *Balancer) ask(address string) int {
	answer, err := balancer.client.Get("http://" + address + pathReady)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func (balancer *Balancer) all() []*target {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return slices.Clone(balancer.targets)
}

// ready tells whether every machine answered that it is ready when it was asked last.
func (balancer *Balancer) allReady() bool {
	balancer.askAll()
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for _, target := range balancer.targets {
		if target.missed > 0 {
			return false
		}
	}
	return len(balancer.targets) > 0
}

// taking lists the machines that a zone's clients may be handed to.
func (balancer *Balancer) taking(zone string) []target {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	var own, in, near []target
	for _, each := range balancer.targets {
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
