package dataplane

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime"
)

// A router has the list of servers from the primary, and reads it itself while none comes. The
// values are ours.
const (
	// firstListTimeout is how long a router that has no list waits for the primary's.
	firstListTimeout = 300 * time.Millisecond
	// ownListInterval lies between two reads of its own, and up to ownListJitter more,
	// so that the fleet does not read all at once.
	ownListInterval = time.Second
	ownListJitter   = 500 * time.Millisecond
	// ownListPerEntry is the time for each router and listed server over which the reads of all routers are
	// spread: each read takes a call for each page of the list, and the platform answers a few calls a second to
	// all nodes together. The primary's reads must not fail for them.
	ownListPerEntry = 500 * time.Microsecond
	// unknownRouters is how many routers are taken to read until their number is known, unknownServers how many
	// servers are taken to be listed until a list was read.
	unknownRouters = 100
	unknownServers = 50
	// loadInterval lies between two reads of a server's load by a router itself.
	loadInterval = 150 * time.Millisecond
	loadTimeout  = 700 * time.Millisecond
)

// Servers is the list of servers as the router knows it.
func (r *Router) Servers() []membership.Server {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	return r.listing.Servers(r.runtime.Now())
}

// applyServers takes a list, read by a primary or by this router at the given time.
func (r *Router) applyServers(at time.Time, servers []membership.Server) {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	changed := r.listing.Update(at, servers)
	r.core.Calls().SetListRead(r.listing.At())
	if !changed {
		return
	}
	now := r.runtime.Now()
	listed := r.listing.Servers(now)
	if r.callService != nil {
		r.callService.SetServers(now, listed)
	}
	r.Apply(auction.Event{Kind: auction.ServersListed, At: now, Servers: listed})
	r.watchLoads(listed)
}

// readList reads the list itself while none comes from a primary.
func (r *Router) readList() {
	began := r.runtime.Now()
	for reads := 0; r.runtime.Alive(); {
		if left := r.listDue(began).Sub(r.runtime.Now()); left > 0 {
			// Clocks are coarse: without a least sleep this would spin.
			runtime.Sleep(r.runtime, max(left, time.Millisecond))
			continue
		}
		asked := r.runtime.Now()
		age := r.listAge(asked)
		servers, err := r.options.Directory.Servers()
		if err == nil {
			r.applyServers(asked, servers)
			// The next primary is to send its list, whatever revision it has.
			r.follower.ForgetList()
		}
		r.observe("list_read_directly", "servers", len(servers), "error", err,
			"age", age.String(), "silence", r.silence(asked).String(), "took", r.runtime.Now().Sub(asked).String())
		reads++
		runtime.Sleep(r.runtime, ownListInterval+max(ownListSpread(int(r.routers.Load()), len(r.Servers())), r.jitter(reads)))
	}
}

// listDue is when the router is to read the list itself, if none comes until then.
func (r *Router) listDue(began time.Time) time.Time {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	if at := r.listing.At(); !at.IsZero() {
		spread := ownListSpread(int(r.routers.Load()), r.listing.Len())
		return at.Add(discovery.ListTimeout + r.ownReadDelay(spread))
	}
	return began.Add(firstListTimeout + r.jitter(0))
}

// ownListSpread is the span over which the routers read a list themselves that grows old.
func ownListSpread(routers, servers int) time.Duration {
	if routers == 0 {
		routers = unknownRouters
	}
	if servers == 0 {
		servers = unknownServers
	}
	return max(ownListJitter/4, time.Duration(routers*servers)*ownListPerEntry)
}

// ownReadDelay is this router's place in a span over which the routers' reads are spread.
func (r *Router) ownReadDelay(spread time.Duration) time.Duration {
	return time.Duration(membership.Weight("own read", r.options.Router) % uint64(spread))
}

// silence is the time since the primary's last response; zero if there was none.
func (r *Router) silence(now time.Time) time.Duration {
	if heard := r.Heard(); !heard.IsZero() {
		return now.Sub(heard)
	}
	return 0
}

// listAge is how old the list is; zero if there is none.
func (r *Router) listAge(now time.Time) time.Duration {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	if r.listing.At().IsZero() {
		return 0
	}
	return now.Sub(r.listing.At())
}

// jitter is a length of time that differs from router to router.
func (r *Router) jitter(reads int) time.Duration {
	return time.Duration(membership.Weight("read "+strconv.Itoa(reads), r.options.Router) % uint64(ownListJitter))
}

// readNodes reads the platform's list of nodes, where there is one.
func (r *Router) readNodes() {
	for r.runtime.Alive() {
		nodes, err := r.options.Directory.Nodes()
		if failure.CodeOf(err) == failure.NoSuch {
			return
		}
		if err == nil {
			r.setNodes(nodes)
		}
		runtime.Sleep(r.runtime, discovery.NodesInterval)
	}
}

// watchLoads has each listed server's load read for the auction of requests. The caller has
// listMutex.
func (r *Router) watchLoads(servers []membership.Server) {
	if r.options.LoadReader == nil {
		return
	}
	listed := map[string]bool{}
	for _, server := range servers {
		key := server.Name + "@" + server.Address
		listed[key] = true
		if !r.watched[key] {
			r.watched[key] = true
			r.runtime.Go(func() { r.watchLoad(key, server) })
		}
	}
	for key := range r.watched {
		if !listed[key] {
			delete(r.watched, key)
		}
	}
}

// watchLoad reads one server's load until it is listed no more.
func (r *Router) watchLoad(key string, server membership.Server) {
	watched := func() bool {
		r.listMutex.Lock()
		defer r.listMutex.Unlock()
		return r.watched[key]
	}
	for r.runtime.Alive() && watched() {
		began := r.runtime.Now()
		load, err := r.options.LoadReader.ReadAuctionLoad(server, loadTimeout)
		if err == nil && load.Server == server.Name {
			r.Apply(auction.Event{Kind: auction.LoadReported, Load: &load})
		}
		if left := loadInterval - r.runtime.Now().Sub(began); left > 0 {
			runtime.Sleep(r.runtime, left)
		}
	}
}
