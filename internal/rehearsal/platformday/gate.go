package platformday

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Gate hands new circuits of clients to machines: it asks each every second whether it
// is ready, and leaves out those that missed twice.
type Gate struct {
	book   *Book
	client *http.Client

	mutex sync.Mutex
	doors []*door
}

// door is where a machine takes clients.
type door struct {
	machine, zone, front, ready string
	missed                      int
}

func newGate(book *Book) *Gate {
	return &Gate{book: book, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// open adds a machine; shut takes it away.
func (gate *Gate) open(added door) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.doors = append(gate.doors, &added)
}

func (gate *Gate) shut(machine string) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.doors = slices.DeleteFunc(gate.doors, func(door *door) bool { return door.machine == machine })
}

// run asks every machine each second.
func (gate *Gate) run(lifetime context.Context) {
	for pause(lifetime, time.Second) {
		gate.askAll()
	}
}

func (gate *Gate) askAll() {
	var asking sync.WaitGroup
	for _, one := range gate.all() {
		asking.Go(func() {
			ready := gate.ask(one.ready)
			gate.mutex.Lock()
			defer gate.mutex.Unlock()
			one.missed++
			if ready == http.StatusOK {
				one.missed = 0
			}
			gate.book.Note(Event{Kind: ReadyAsked, Machine: one.machine, Zone: one.zone, Status: ready})
		})
	}
	asking.Wait()
}

func (gate *Gate) ask(address string) int {
	answer, failure := gate.client.Get("http://" + address + pathReady)
	if failure != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func (gate *Gate) all() []*door {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return slices.Clone(gate.doors)
}

// ready tells whether every machine answered that it is ready when it was asked last.
func (gate *Gate) allReady() bool {
	gate.askAll()
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	for _, door := range gate.doors {
		if door.missed > 0 {
			return false
		}
	}
	return len(gate.doors) > 0
}

// taking lists the machines that a zone's clients may be handed to.
func (gate *Gate) taking(zone string) []door {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	var own, in, near []door
	for _, each := range gate.doors {
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
