package world

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"seamloom.example/seamloom/internal/adapters/stove"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/rehearsal"
	"seamloom.example/seamloom/internal/roster"
)

// platform is what lists servers and nodes.
type platform struct {
	servers map[string]roster.Server
	down    bool
}

func (platform *platform) listServers() []roster.Server {
	servers := []roster.Server{}
	for _, name := range slices.Sorted(maps.Keys(platform.servers)) {
		servers = append(servers, platform.servers[name])
	}
	return servers
}

// watchPlatform reads the lists for a courier, and each listed server's load.
func (world *World) watchPlatform(here *life, courier *hatch.Courier) {
	watched := map[string]bool{}
	for here.Alive() {
		if !world.platform.down && !world.link("platform", here.name).cut {
			servers := world.platform.listServers()
			courier.Apply(pass.Event{Kind: pass.ServersListed, Servers: servers})
			courier.SetNodes(world.listNodes())
			listed := map[string]bool{}
			for _, server := range servers {
				listed[server.Address] = true
				if !watched[server.Address] {
					watched[server.Address] = true
					here.Go(func() { world.watchLoad(here, courier, server, watched) })
				}
			}
			for address := range watched {
				if !listed[address] {
					delete(watched, address)
				}
			}
		}
		here.NewBell().Wait(400*time.Millisecond, never)
	}
}

func (world *World) watchLoad(here *life, courier *hatch.Courier, server roster.Server, watched map[string]bool) {
	for watched[server.Address] {
		content, failure := here.askServer(server.Address, 700*time.Millisecond, func(top *rehearsal.Stovetop) (int, any) {
			return http.StatusOK, top.Load()
		})
		if failure == nil {
			load := content.(stove.LoadReport).Load()
			courier.Apply(pass.Event{Kind: pass.LoadReported, Load: &load})
		}
		here.NewBell().Wait(200*time.Millisecond, never)
	}
}
