package platformday

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Park holds the model servers of a day, those that are up.
type Park struct {
	book *Book
	site Site
	seed uint64
	// place gives the next address for a server.
	place func() string

	mutex   sync.Mutex
	servers []*modelServer
	born    int
}

// startPark begins the model servers of a site.
func startPark(book *Book, site Site, seed uint64, place func() string) (*Park, error) {
	park := &Park{book: book, site: site, seed: seed, place: place}
	for _, service := range site.Services {
		for number := range service.PerZone * len(site.Zones) {
			phase := stageDecode
			if number < service.Readers {
				phase = stagePrefill
			}
			if _, failure := park.add(service, site.Zones[number%len(site.Zones)], phase, false); failure != nil {
				park.close()
				return nil, failure
			}
		}
	}
	return park, nil
}

func (park *Park) count() int {
	park.mutex.Lock()
	defer park.mutex.Unlock()
	park.born++
	return park.born
}

// add begins a server.
func (park *Park) add(service ServiceShape, zone, phase string, cold bool) (*modelServer, error) {
	server, failure := startServer(park, service, zone, phase, park.place(), cold)
	if failure != nil {
		return nil, failure
	}
	park.mutex.Lock()
	defer park.mutex.Unlock()
	park.servers = append(park.servers, server)
	return server, nil
}

// at finds the server at an address.
func (park *Park) at(address string) *modelServer {
	for _, server := range park.all() {
		if server.Address == address {
			return server
		}
	}
	return nil
}

// all lists the servers that are up.
func (park *Park) all() []*modelServer {
	park.mutex.Lock()
	defer park.mutex.Unlock()
	return slices.Clone(park.servers)
}

// remove takes a server out of the park; its process ends.
func (park *Park) remove(server *modelServer) {
	park.mutex.Lock()
	park.servers = slices.DeleteFunc(park.servers, func(other *modelServer) bool { return other == server })
	park.mutex.Unlock()
	server.crash()
}

// draw picks a share of a service's servers, at least one, and spares at least one of
// each part.
func (park *Park) draw(service string, share float64, random *rand.Rand) []*modelServer {
	var fitting []*modelServer
	for _, server := range park.all() {
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

// behave makes a server misbehave, or behave again.
func (server *modelServer) behave(change func(mischief *mischief)) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	change(&server.mischief)
}

// drain lets a server leave: it is listed as leaving, and ends some time later.
func (park *Park) drain(server *modelServer, directory *Directory, last time.Duration) {
	server.mutex.Lock()
	server.draining = true
	server.mutex.Unlock()
	park.book.Note(Event{Kind: Shown, At: time.Now().Add(park.site.ListLag + 2*directoryBeat), Server: server.ID, Service: server.Service, Cause: stateDraining})
	if pause(server.lifetime, park.site.ListLag+park.site.Terms.Drain+last) {
		park.remove(server)
	}
}

// close ends all servers.
func (park *Park) close() {
	for _, server := range park.all() {
		server.crash()
	}
}
