package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// ServerPool holds the running model servers of a day.
type ServerPool struct {
	events *EventLog
	site   Site
	seed   uint64
	// nextAddress returns an unused address for a server.
	nextAddress func() string

	mutex   sync.Mutex
	servers []*modelServer
	started int
}

// startServerPool starts the model servers of a site.
func startServerPool(events *EventLog, site Site, seed uint64, nextAddress func() string) (*ServerPool, error) {
	pool := &ServerPool{events: events, site: site, seed: seed, nextAddress: nextAddress}
	for _, service := range site.Services {
		for number := range service.PerZone * len(site.Zones) {
			phase := phaseDecode
			if service.Engine.PlainSteps > 0 {
				phase = ""
			} else if number < service.PrefillServers {
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

// nextNumber returns the number of the next server to start; the first one has the number 1.
func (s *ServerPool) nextNumber() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started++
	return s.started
}

// add starts a server at an unused address.
func (s *ServerPool) add(service ServiceConfig, zone, phase string, cold bool) (*modelServer, error) {
	return s.addAt(s.nextAddress(), service, zone, phase, cold)
}

// addAt starts a server at an address.
func (s *ServerPool) addAt(address string, service ServiceConfig, zone, phase string, cold bool) (*modelServer, error) {
	server, err := startServer(s, service, zone, phase, address, cold)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servers = append(s.servers, server)
	return server, nil
}

// at returns the server at an address, or nil if there is none.
func (s *ServerPool) at(address string) *modelServer {
	for _, server := range s.all() {
		if server.Address == address {
			return server
		}
	}
	return nil
}

// all lists the running servers.
func (s *ServerPool) all() []*modelServer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.servers)
}

// remove removes a server from the pool and ends it at once.
func (s *ServerPool) remove(server *modelServer) {
	s.mutex.Lock()
	s.servers = slices.DeleteFunc(s.servers, func(other *modelServer) bool { return other == server })
	s.mutex.Unlock()
	server.crash()
}

// draw picks a random share of a service's servers, at least one if possible. It leaves at least one
// server of each service and phase. An empty service means all services.
func (s *ServerPool) draw(service string, share float64, random *rand.Rand) []*modelServer {
	var candidates []*modelServer
	for _, server := range s.all() {
		if service == "" || server.Service == service {
			candidates = append(candidates, server)
		}
	}
	random.Shuffle(len(candidates), func(left, right int) {
		candidates[left], candidates[right] = candidates[right], candidates[left]
	})
	wanted := max(1, int(share*float64(len(candidates))+0.5))
	remaining := map[string]int{}
	for _, server := range candidates {
		remaining[server.serviceAndPhase()]++
	}
	var drawn []*modelServer
	for _, server := range candidates {
		if len(drawn) < wanted && remaining[server.serviceAndPhase()] > 1 {
			remaining[server.serviceAndPhase()]--
			drawn = append(drawn, server)
		}
	}
	return drawn
}

// serviceAndPhase names the service and the phase of the server, as "service/phase".
func (m *modelServer) serviceAndPhase() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return fmt.Sprintf("%s/%s", m.Service, m.phase)
}

// setMisbehaviour changes how the server misbehaves.
func (m *modelServer) setMisbehaviour(change func(current *misbehaviour)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(&m.misbehaviour)
}

// drain lists a server as draining, waits for the sum of the list lag, the drain time and extra, and
// then removes the server.
func (s *ServerPool) drain(server *modelServer, extra time.Duration) {
	server.mutex.Lock()
	server.draining = true
	server.mutex.Unlock()
	s.events.Append(Event{
		Kind:    ShownLeaving,
		At:      time.Now().Add(s.site.ListLag + 2*snapshotInterval),
		Server:  server.ID,
		Service: server.Service,
		Cause:   stateDraining,
	})
	if sleep(server.lifetime, s.site.ListLag+s.site.Terms.Drain+extra) {
		s.remove(server)
	}
}

// close ends all servers.
func (s *ServerPool) close() {
	for _, server := range s.all() {
		server.crash()
	}
}
