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
	// so that the fleet does not read all at once; ownListPerRouter is added for each
	// router, so that a large one reads no more than fifty times a second.
	ownListInterval  = time.Second
	ownListJitter    = 500 * time.Millisecond
	ownListPerRouter = 20 * time.Millisecond
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
		servers, err := r.options.Directory.Servers()
		if err == nil {
			r.applyServers(asked, servers)
			// The next primary is to send its list, whatever revision it has.
			r.follower.ForgetList()
		}
		r.observe("list_read_directly", "servers", len(servers), "error", err)
		reads++
		runtime.Sleep(r.runtime, ownListInterval+time.Duration(r.routers.Load())*ownListPerRouter+r.jitter(reads))
	}
}

// listDue is when the router is to read the list itself, if none comes until then.
func (r *Router) listDue(began time.Time) time.Time {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	if at := r.listing.At(); !at.IsZero() {
		return at.Add(discovery.ListTimeout + r.jitter(0)/4)
	}
	return began.Add(firstListTimeout + r.jitter(0))
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
