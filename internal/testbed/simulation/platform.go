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

func (platform *platform) listServers() []membership.Server {
	servers := []membership.Server{}
	for _, name := range slices.Sorted(maps.Keys(platform.servers)) {
		servers = append(servers, platform.servers[name])
	}
	return servers
}

// lists is the platform's directory and the servers' reports, as one life reaches
// them.
type lists struct {
	world       *World
	incarnation *incarnation
}

func (lists lists) reached() error {
	if lists.world.platform.down || lists.world.link("platform", lists.incarnation.name).cut {
		return failure.New(failure.Unreachable, "the platform")
	}
	return nil
}

// Servers reads the list of servers.
func (lists lists) Servers() ([]membership.Server, error) {
	if !lists.world.isController(lists.incarnation.name) {
		lists.world.listReads = append(lists.world.listReads, lists.world.now)
	}
	if err := lists.reached(); err != nil {
		return nil, err
	}
	return lists.world.platform.listServers(), nil
}

// Nodes reads the list of nodes.
func (lists lists) Nodes() ([]membership.Node, error) {
	if lists.world.ways.NoNodes {
		return nil, failure.New(failure.NoSuch, "a list of nodes")
	}
	if err := lists.reached(); err != nil {
		return nil, err
	}
	if lists.world.layout != nil {
		if !lists.world.isController(lists.incarnation.name) {
			return nil, failure.New(failure.NoSuch, "a list of nodes")
		}
		return lists.world.listControllers(), nil
	}
	return lists.world.listNodes(), nil
}

func (lists lists) ask(server membership.Server, patience time.Duration) (auction.Load, error) {
	content, err := lists.incarnation.askServer(server.Address, patience, func(top *fleet.Engine) (int, any) {
		return http.StatusOK, top.Load()
	})
	if err != nil {
		return auction.Load{}, err
	}
	return content.(modelserver.LoadReport).Load(), nil
}

// Pressure reads a server's load for the market of inquiries.
func (lists lists) Pressure(server membership.Server, patience time.Duration) (auction.Load, error) {
	return lists.ask(server, patience)
}

// Report reads a server's load for all couriers.
func (lists lists) Report(server membership.Server, patience time.Duration) (scheduler.Load, error) {
	lists.world.reportReads++
	load, err := lists.ask(server, patience)
	return scheduler.Load{Server: load.Server, Part: string(load.Part), Waiting: load.PrefillWaiting, Running: load.DecodeActive,
		MemoryUsed: load.MemoryTotal - load.MemoryFree, MemoryTotal: load.MemoryTotal}, err
}
