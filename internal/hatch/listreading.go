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
func (courier *Courier) Servers() []membership.Server {
	courier.listMutex.Lock()
	defer courier.listMutex.Unlock()
	return courier.listing.Servers(courier.turns.Now())
}

// takeServers takes a list that was read at a moment, by whomever.
func (courier *Courier) takeServers(at time.Time, servers []membership.Server) {
	courier.listMutex.Lock()
	defer courier.listMutex.Unlock()
	if !courier.listing.Take(at, servers) {
		return
	}
	now := courier.turns.Now()
	listed := courier.listing.Servers(now)
	if courier.board != nil {
		courier.board.SetServers(now, listed)
	}
	courier.Apply(auction.Event{Kind: auction.ServersListed, At: now, Servers: listed})
	courier.watchPressures(listed)
}

// readList reads the list itself while there is no news of it.
func (courier *Courier) readList() {
	began := courier.turns.Now()
	for reads := 0; courier.turns.Alive(); {
		if left := courier.listDue(began).Sub(courier.turns.Now()); left > 0 {
			// Clocks are coarse: a pause of nothing would be made over and over.
			runtime.Sleep(courier.turns, max(left, time.Millisecond))
			continue
		}
		asked := courier.turns.Now()
		servers, err := courier.options.Directory.Servers()
		if err == nil {
			courier.takeServers(asked, servers)
			// Whatever list the primary has is told anew, since this one differs.
			courier.followed.ForgetList()
		}
		courier.observe("list_read_itself", "servers", len(servers), "trouble", err)
		reads++
		runtime.Sleep(courier.turns, ownListPause+time.Duration(courier.couriers.Load())*ownListShare+courier.spread(reads))
	}
}

// listDue is when the courier is to read the list itself, if no news of it comes.
func (courier *Courier) listDue(began time.Time) time.Time {
	courier.listMutex.Lock()
	defer courier.listMutex.Unlock()
	if at := courier.listing.At(); !at.IsZero() {
		return at.Add(listPatience + courier.spread(0)/4)
	}
	return began.Add(firstListPatience + courier.spread(0))
}

// spread is a length of time that differs from courier to courier.
func (courier *Courier) spread(reads int) time.Duration {
	return time.Duration(membership.Weight("read "+strconv.Itoa(reads), courier.options.Courier) % uint64(ownListSpread))
}

// readNodes reads the platform's list of nodes, where there is one.
func (courier *Courier) readNodes() {
	for courier.turns.Alive() {
		nodes, err := courier.options.Directory.Nodes()
		if failure.KindOf(err) == failure.NoSuch {
			return
		}
		if err == nil {
			courier.setNodes(nodes)
		}
		runtime.Sleep(courier.turns, nodesPause)
	}
}

// watchPressures has each listed server's load read for the market of inquiries. The
// caller has the list's mutex.
func (courier *Courier) watchPressures(servers []membership.Server) {
	if courier.options.Pressures == nil {
		return
	}
	listed := map[string]bool{}
	for _, server := range servers {
		key := server.Name + "@" + server.Address
		listed[key] = true
		if !courier.watched[key] {
			courier.watched[key] = true
			courier.turns.Go(func() { courier.watchPressure(key, server) })
		}
	}
	for key := range courier.watched {
		if !listed[key] {
			delete(courier.watched, key)
		}
	}
}

// watchPressure reads one server's load until it is listed no more.
func (courier *Courier) watchPressure(key string, server membership.Server) {
	watched := func() bool {
		courier.listMutex.Lock()
		defer courier.listMutex.Unlock()
		return courier.watched[key]
	}
	for courier.turns.Alive() && watched() {
		began := courier.turns.Now()
		load, err := courier.options.Pressures.Pressure(server, pressurePatience)
		if err == nil && load.Server == server.Name {
			courier.Apply(auction.Event{Kind: auction.LoadReported, Load: &load})
		}
		if left := pressurePause - courier.turns.Now().Sub(began); left > 0 {
			runtime.Sleep(courier.turns, left)
		}
	}
}
