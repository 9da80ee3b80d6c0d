package simulation

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// platform is what lists servers and nodes.
type platform struct {
	servers map[string]membership.Server
	down    bool
}

func (p *platform) listServers() []membership.Server {
	servers := []membership.Server{}
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		servers = append(servers, p.servers[name])
	}
	return servers
}

// directory is the platform's directory and the servers' reports, as one process reaches
// them.
type directory struct {
	world       *World
	incarnation *incarnation
}

func (l directory) reached() error {
	if l.world.platform.down || l.world.link("platform", l.incarnation.name).cut {
		return failure.New(failure.Unreachable, "the platform")
	}
	return nil
}

// Servers reads the list of servers.
func (l directory) Servers() ([]membership.Server, error) {
	if !l.world.isController(l.incarnation.name) {
		l.world.listReads = append(l.world.listReads, l.world.now)
	}
	if err := l.reached(); err != nil {
		return nil, err
	}
	return l.world.platform.listServers(), nil
}

// Nodes reads the list of nodes.
func (l directory) Nodes() ([]membership.Node, error) {
	if l.world.settings.NoNodes {
		return nil, failure.New(failure.NoSuch, "a list of nodes")
	}
	if err := l.reached(); err != nil {
		return nil, err
	}
	if l.world.layout != nil {
		if !l.world.isController(l.incarnation.name) {
			return nil, failure.New(failure.NoSuch, "a list of nodes")
		}
		return l.world.listControllers(), nil
	}
	return l.world.listNodes(), nil
}

func (l directory) ask(s membership.Server, patience time.Duration) (auction.Load, error) {
	content, err := l.incarnation.askServer(s.Address, patience, func(engine *fleet.Engine) (int, any) {
		return http.StatusOK, engine.Load()
	})
	if err != nil {
		return auction.Load{}, err
	}
	return content.(modelserver.LoadReport).Load(), nil
}

// ReadAuctionLoad reads a server's load for the market of requests.
func (l directory) ReadAuctionLoad(s membership.Server, patience time.Duration) (auction.Load, error) {
	return l.ask(s, patience)
}

// ReadLoad reads a server's load for all routers.
func (l directory) ReadLoad(s membership.Server, patience time.Duration) (scheduler.Load, error) {
	l.world.reportReads++
	load, err := l.ask(s, patience)
	return scheduler.Load{
		Server:      load.Server,
		Role:        string(load.Role),
		Waiting:     load.PrefillWaiting,
		Running:     load.DecodeActive,
		MemoryUsed:  load.MemoryTotal - load.MemoryFree,
		MemoryTotal: load.MemoryTotal,
	}, err
}
