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
	events *EventLog
	site   Site
	seed   uint64
	// place gives the next address for a server.
	place func() string

	mutex   sync.Mutex
	servers []*modelServer
	born    int
}

// startServerPool begins the model servers of a site.
func startServerPool(events *EventLog, site Site, seed uint64, place func() string) (*ServerPool, error) {
	pool := &ServerPool{events: events, site: site, seed: seed, place: place}
	for _, service := range site.Services {
		for number := range service.PerZone * len(site.Zones) {
			phase := phaseDecode
			if service.Engine.Plain > 0 {
				phase = ""
			} else if number < service.Readers {
				phase = phasePrefill
			}
			if _, err := pool.add(service, site.Zones[number%len(site.Zones)], phase, false); err != nil {
				pool.close()
				return nil, err
			}
		}
	}
	return pool, nil
}

func (s *ServerPool) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.born++
	return s.born
}

// add begins a server.
func (s *ServerPool) add(service ServiceShape, zone, phase string, cold bool) (*modelServer, error) {
	return s.addAt(s.place(), service, zone, phase, cold)
}

// addAt begins a server at an address.
func (s *ServerPool) addAt(address string, service ServiceShape, zone, phase string, cold bool) (*modelServer, error) {
	server, err := startServer(s, service, zone, phase, address, cold)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers = append(s.servers, server)
	return server, nil
}

// at finds the server at an address.
func (s *ServerPool) at(address string) *modelServer {
	for _, server := range s.all() {
		if server.Address == address {
			return server
		}
	}
	return nil
}

// all lists the servers that are up.
func (s *ServerPool) all() []*modelServer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.servers)
}

// remove takes a server out of the pool; its process ends.
func (s *ServerPool) remove(server *modelServer) {
	s.mutex.Lock()
	s.servers = slices.DeleteFunc(s.servers, func(other *modelServer) bool { return other == server })
	s.mutex.Unlock()
	server.crash()
}

// draw picks a share of a service's servers, at least one, and spares at least one of
// each part.
func (s *ServerPool) draw(service string, share float64, random *rand.Rand) []*modelServer {
	var fitting []*modelServer
	for _, server := range s.all() {
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
func (m *modelServer) part() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return fmt.Sprintf("%s/%s", m.Service, m.phase)
}

// misbehave makes a server misbehaveFor, or misbehave again.
func (m *modelServer) misbehave(change func(mi *misbehaviour)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(&m.misbehaviour)
}

// drain lets a server leave: it is listed as leaving, and ends some time later.
func (s *ServerPool) drain(server *modelServer, last time.Duration) {
	server.mutex.Lock()
	server.draining = true
	server.mutex.Unlock()
	s.events.Append(Event{
		Kind:    Shown,
		At:      time.Now().Add(s.site.ListLag + 2*directoryBeat),
		Server:  server.ID,
		Service: server.Service,
		Cause:   stateDraining,
	})
	if sleep(server.lifetime, s.site.ListLag+s.site.Terms.Drain+last) {
		s.remove(server)
	}
}

// close ends all servers.
func (s *ServerPool) close() {
	for _, server := range s.all() {
		server.crash()
	}
}
