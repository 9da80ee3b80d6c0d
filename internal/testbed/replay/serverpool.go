package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// ServerPool holds the model servers of a day, those that are up.
type ServerPool struct {
	book *Book
	site Site
	seed uint64
	// place gives the next address for a server.
	place func() string

	mutex   sync.Mutex
	servers []*modelServer
	born    int
}

// startServerPool begins the model servers of a site.
func startServerPool(book *Book, site Site, seed uint64, place func() string) (*ServerPool, error) {
	pool := &ServerPool{book: book, site: site, seed: seed, place: place}
	for _, service := range site.Services {
		for number := range service.PerZone * len(site.Zones) {
			phase := stageDecode
			if service.Engine.Plain > 0 {
				phase = ""
			} else if number < service.Readers {
				phase = stagePrefill
			}
			if _, err := pool.add(service, site.Zones[number%len(site.Zones)], phase, false); err != nil {
				pool.close()
				return nil, err
			}
		}
	}
	return pool, nil
}

func (pool *ServerPool) count() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.born++
	return pool.born
}

// add begins a server.
func (pool *ServerPool) add(service ServiceShape, zone, phase string, cold bool) (*modelServer, error) {
	return pool.addAt(pool.place(), service, zone, phase, cold)
}

// addAt begins a server at an address.
func (pool *ServerPool) addAt(address string, service ServiceShape, zone, phase string, cold bool) (*modelServer, error) {
	server, err := startServer(pool, service, zone, phase, address, cold)
	if err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.servers = append(pool.servers, server)
	return server, nil
}

// at finds the server at an address.
func (pool *ServerPool) at(address string) *modelServer {
	for _, server := range pool.all() {
		if server.Address == address {
			return server
		}
	}
	return nil
}

// all lists the servers that are up.
func (pool *ServerPool) all() []*modelServer {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return slices.Clone(pool.servers)
}

// remove takes a server out of the pool; its process ends.
func (pool *ServerPool) remove(server *modelServer) {
	pool.mutex.Lock()
	pool.servers = slices.DeleteFunc(pool.servers, func(other *modelServer) bool { return other == server })
	pool.mutex.Unlock()
	server.crash()
}

// draw picks a share of a service's servers, at least one, and spares at least one of
// each part.
func (pool *ServerPool) draw(service string, share float64, random *rand.Rand) []*modelServer {
	var fitting []*modelServer
	for _, server := range pool.all() {
		if service == "" || server.Service == service {
			fitting = append(fitting, server)
		}
	}
	random.Shuffle(len(fitting), func(left, right int) { fitting[left], fitting[right] = fitting[right], fitting[left] })
	wanted := max(1, int(share*float64(len(fitting))+0.5))
	left := map[string]int{}
	for _, server := range fitting {
		left[server.part()]++
	}
	var drawn []*modelServer
	for _, server := range fitting {
		if len(drawn) < wanted && left[server.part()] > 1 {
			left[server.part()]--
			drawn = append(drawn, server)
		}
	}
	return drawn
}

// part names the service and the part that the server plays.
func (server *modelServer) part() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return fmt.Sprintf("%s/%s", server.Service, server.phase)
}

// misbehave makes a server misbehaveFor, or misbehave again.
func (server *modelServer) misbehave(change func(misbehaviour *misbehaviour)) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	change(&server.misbehaviour)
}

// drain lets a server leave: it is listed as leaving, and ends some time later.
func (pool *ServerPool) drain(server *modelServer, last time.Duration) {
	server.mutex.Lock()
	server.draining = true
	server.mutex.Unlock()
	pool.book.Note(Event{Kind: Shown, At: time.Now().Add(pool.site.ListLag + 2*directoryBeat), Server: server.ID, Service: server.Service, Cause: stateDraining})
	if pause(server.lifetime, pool.site.ListLag+pool.site.Terms.Drain+last) {
		pool.remove(server)
	}
}

// close ends all servers.
func (pool *ServerPool) close() {
	for _, server := range pool.all() {
		server.crash()
	}
}
