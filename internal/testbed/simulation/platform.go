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

// platform simulates the platform's directory, which lists servers and nodes.
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

// directory is one process's client of the platform's directory and of the servers' load
// reports.
type directory struct {
	world       *World
	incarnation *incarnation
}

// checkReachable returns an error if the process can't reach the platform.
func (d directory) checkReachable() error {
	if d.world.platform.down || d.world.link("platform", d.incarnation.name).cut {
		return failure.New(failure.Unreachable, "the platform can't be reached")
	}
	return nil
}

// Servers returns the list of servers.
func (d directory) Servers() ([]membership.Server, error) {
	if !d.world.isController(d.incarnation.name) {
		d.world.listReads = append(d.world.listReads, d.world.now)
	}
	if err := d.checkReachable(); err != nil {
		return nil, err
	}
	return d.world.platform.listServers(), nil
}

// Nodes returns the list of nodes.
func (d directory) Nodes() ([]membership.Node, error) {
	if d.world.settings.NoNodes {
		return nil, failure.New(failure.NoSuch, "a list of nodes")
	}
	if err := d.checkReachable(); err != nil {
		return nil, err
	}
	if d.world.layout != nil {
		if !d.world.isController(d.incarnation.name) {
			return nil, failure.New(failure.NoSuch, "a list of nodes")
		}
		return d.world.listControllers(), nil
	}
	return d.world.listNodes(), nil
}

// askLoad reads a server's load report.
func (d directory) askLoad(s membership.Server, timeout time.Duration) (auction.Load, error) {
	content, err := d.incarnation.askServer(s.Address, timeout, func(engine *fleet.Engine) (int, any) {
		return http.StatusOK, engine.Load()
	})
	if err != nil {
		return auction.Load{}, err
	}
	return content.(modelserver.LoadReport).Load(), nil
}

// ReadAuctionLoad reads a server's load for the auction of requests.
func (d directory) ReadAuctionLoad(s membership.Server, timeout time.Duration) (auction.Load, error) {
	return d.askLoad(s, timeout)
}

// ReadLoad reads a server's load for the scheduler and counts the read.
func (d directory) ReadLoad(s membership.Server, timeout time.Duration) (scheduler.Load, error) {
	d.world.reportReads++
	load, err := d.askLoad(s, timeout)
	return scheduler.Load{
		Server:      load.Server,
		Role:        string(load.Role),
		Waiting:     load.PrefillWaiting,
		Running:     load.DecodeActive,
		MemoryUsed:  load.MemoryTotal - load.MemoryFree,
		MemoryTotal: load.MemoryTotal,
	}, err
}
