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

// A router receives the list of servers from the primary. While the primary sends none, the
// router reads the list from the platform directly.
const (
	// firstListTimeout is how long a router without a list waits for the primary's list.
	firstListTimeout = 300 * time.Millisecond
	// directReadInterval is the minimum pause between two direct reads of the list. The result of
	// directReadSpread or a jitter below directReadJitter, whichever is larger, is added to it, so
	// that the routers do not all read at the same time.
	directReadInterval = time.Second
	directReadJitter   = 500 * time.Millisecond
	// directReadTimePerEntry, multiplied by the numbers of routers and of listed servers, is
	// the time over which the direct reads of all routers are spread. A read takes one call
	// for each page of the list, and the platform answers only a few calls per second to all
	// nodes together. Direct reads must not make the primary's reads fail.
	directReadTimePerEntry = 500 * time.Microsecond
	// defaultRouterCount is the assumed number of routers while it is unknown.
	defaultRouterCount = 100
	// defaultServerCount is the assumed number of servers before a list was read.
	defaultServerCount = 50
	// loadInterval is the minimum time between two direct reads of a server's load.
	loadInterval = 150 * time.Millisecond
	loadTimeout  = 700 * time.Millisecond
)

// Servers returns the router's current list of servers.
func (r *Router) Servers() []membership.Server {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	return r.listing.Servers(r.runtime.Now())
}

// applyServers applies a list that a primary or this router read at the given time.
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

// readList reads the list from the platform directly while no primary sends one.
func (r *Router) readList() {
	began := r.runtime.Now()
	for reads := 0; r.runtime.Alive(); {
		if remaining := r.directReadDue(began).Sub(r.runtime.Now()); remaining > 0 {
			// Clocks are coarse: without a minimum sleep this loop could spin.
			runtime.Sleep(r.runtime, max(remaining, time.Millisecond))
			continue
		}
		requestedAt := r.runtime.Now()
		age := r.listAge(requestedAt)
		servers, err := r.options.Directory.Servers()
		if err == nil {
			r.applyServers(requestedAt, servers)
			// The next primary must send its complete list, even if its revision is the one that
			// this router received last.
			r.follower.ForgetList()
		}
		r.observe("list_read_directly", "servers", len(servers), "error", err,
			"age", age.String(), "silence", r.sincePrimaryResponse(requestedAt).String(), "took", r.runtime.Now().Sub(requestedAt).String())
		reads++
		runtime.Sleep(r.runtime, directReadInterval+max(directReadSpread(int(r.routers.Load()), len(r.Servers())), r.jitter(reads)))
	}
}

// directReadDue returns when the router must read the list directly unless a primary sends one
// before. The router started at began.
func (r *Router) directReadDue(began time.Time) time.Time {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	if at := r.listing.At(); !at.IsZero() {
		spread := directReadSpread(int(r.routers.Load()), r.listing.Len())
		return at.Add(discovery.ListTimeout + r.directReadDelay(spread))
	}
	return began.Add(firstListTimeout + r.jitter(0))
}

// directReadSpread returns the period over which the direct reads of all routers are spread.
func directReadSpread(routers, servers int) time.Duration {
	if routers == 0 {
		routers = defaultRouterCount
	}
	if servers == 0 {
		servers = defaultServerCount
	}
	return max(directReadJitter/4, time.Duration(routers*servers)*directReadTimePerEntry)
}

// directReadDelay returns the delay of this router's direct read within the period over which the
// direct reads of all routers are spread. The delay is derived from a hash of the router's name.
func (r *Router) directReadDelay(spread time.Duration) time.Duration {
	return time.Duration(membership.Weight("own read", r.options.Router) % uint64(spread))
}

// sincePrimaryResponse returns the time since the primary's last response; zero if there was
// none.
func (r *Router) sincePrimaryResponse(now time.Time) time.Duration {
	if respondedAt := r.LastUpdateAt(); !respondedAt.IsZero() {
		return now.Sub(respondedAt)
	}
	return 0
}

// listAge returns the age of the list; zero if there is no list.
func (r *Router) listAge(now time.Time) time.Duration {
	r.listMutex.Lock()
	defer r.listMutex.Unlock()
	if r.listing.At().IsZero() {
		return 0
	}
	return now.Sub(r.listing.At())
}

// jitter returns a time below directReadJitter that is derived from a hash of the router's name
// and the number of its direct reads, so that it differs between routers and between reads.
func (r *Router) jitter(reads int) time.Duration {
	return time.Duration(membership.Weight("read "+strconv.Itoa(reads), r.options.Router) % uint64(directReadJitter))
}

// readNodes reads the platform's list of nodes regularly. It returns if the platform has no such list.
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

// watchLoads starts reading the load of each newly listed server, for the auction of requests,
// and stops reading the loads of servers that are no longer listed. The caller must hold listMutex.
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

// watchLoad reads one server's load until the server is no longer listed.
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
		if remaining := loadInterval - r.runtime.Now().Sub(began); remaining > 0 {
			runtime.Sleep(r.runtime, remaining)
		}
	}
}
