package hatch

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime"
)

// A courier has the list of servers from the primary. The values are ours.
const (
	// listPatience is how old the list may be before the courier reads it itself,
	// firstListPatience how long a courier that has none waits for the primary's.
	listPatience      = 1500 * time.Millisecond
	firstListPatience = 300 * time.Millisecond
	// ownListPause lies between two reads of its own, and up to ownListSpread more,
	// so that the fleet does not read all at once; ownListShare is added for each
	// courier, so that a large one reads no more than fifty times a second.
	ownListPause  = time.Second
	ownListSpread = 500 * time.Millisecond
	ownListShare  = 20 * time.Millisecond
	// pressurePause lies between two reads of a server's load by a courier itself.
	pressurePause    = 150 * time.Millisecond
	pressurePatience = 700 * time.Millisecond
)

// Servers is the list of servers as the courier knows it.
func (router *Router) Servers() []membership.Server {
	router.listMutex.Lock()
	defer router.listMutex.Unlock()
	return router.listing.Servers(router.runtime.Now())
}

// takeServers takes a list that was read at a moment, by whomever.
func (router *Router) takeServers(at time.Time, servers []membership.Server) {
	router.listMutex.Lock()
	defer router.listMutex.Unlock()
	if !router.listing.Take(at, servers) {
		return
	}
	now := router.runtime.Now()
	listed := router.listing.Servers(now)
	if router.board != nil {
		router.board.SetServers(now, listed)
	}
	router.Apply(auction.Event{Kind: auction.ServersListed, At: now, Servers: listed})
	router.watchPressures(listed)
}

// readList reads the list itself while there is no news of it.
func (router *Router) readList() {
	began := router.runtime.Now()
	for reads := 0; router.runtime.Alive(); {
		if left := router.listDue(began).Sub(router.runtime.Now()); left > 0 {
			// Clocks are coarse: a pause of nothing would be made over and over.
			runtime.Sleep(router.runtime, max(left, time.Millisecond))
			continue
		}
		asked := router.runtime.Now()
		servers, err := router.options.Directory.Servers()
		if err == nil {
			router.takeServers(asked, servers)
			// Whatever list the primary has is told anew, since this one differs.
			router.followed.ForgetList()
		}
		router.observe("list_read_itself", "servers", len(servers), "trouble", err)
		reads++
		runtime.Sleep(router.runtime, ownListPause+time.Duration(router.routers.Load())*ownListShare+router.spread(reads))
	}
}

// listDue is when the courier is to read the list itself, if no news of it comes.
func (router *Router) listDue(began time.Time) time.Time {
	router.listMutex.Lock()
	defer router.listMutex.Unlock()
	if at := router.listing.At(); !at.IsZero() {
		return at.Add(listPatience + router.spread(0)/4)
	}
	return began.Add(firstListPatience + router.spread(0))
}

// spread is a length of time that differs from courier to courier.
func (router *Router) spread(reads int) time.Duration {
	return time.Duration(membership.Weight("read "+strconv.Itoa(reads), router.options.Router) % uint64(ownListSpread))
}

// readNodes reads the platform's list of nodes, where there is one.
func (router *Router) readNodes() {
	for router.runtime.Alive() {
		nodes, err := router.options.Directory.Nodes()
		if failure.KindOf(err) == failure.NoSuch {
			return
		}
		if err == nil {
			router.setNodes(nodes)
		}
		runtime.Sleep(router.runtime, nodesPause)
	}
}

// watchPressures has each listed server's load read for the market of inquiries. The
// caller has the list's mutex.
func (router *Router) watchPressures(servers []membership.Server) {
	if router.options.Pressures == nil {
		return
	}
	listed := map[string]bool{}
	for _, server := range servers {
		key := server.Name + "@" + server.Address
		listed[key] = true
		if !router.watched[key] {
			router.watched[key] = true
			router.runtime.Go(func() { router.watchPressure(key, server) })
		}
	}
	for key := range router.watched {
		if !listed[key] {
			delete(router.watched, key)
		}
	}
}

// watchPressure reads one server's load until it is listed no more.
func (router *Router) watchPressure(key string, server membership.Server) {
	watched := func() bool {
		router.listMutex.Lock()
		defer router.listMutex.Unlock()
		return router.watched[key]
	}
	for router.runtime.Alive() && watched() {
		began := router.runtime.Now()
		load, err := router.options.Pressures.Pressure(server, pressurePatience)
		if err == nil && load.Server == server.Name {
			router.Apply(auction.Event{Kind: auction.LoadReported, Load: &load})
		}
		if left := pressurePause - router.runtime.Now().Sub(began); left > 0 {
			runtime.Sleep(router.runtime, left)
		}
	}
}
