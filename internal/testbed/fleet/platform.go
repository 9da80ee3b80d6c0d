package fleet

import (
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Platform simulates the service that lists the servers and nodes of a fleet.
type Platform struct {
	events  *EventLog
	address string
	server  *http.Server

	mutex   sync.Mutex
	servers map[string]membership.Server
	nodes   map[string]membership.Node
	down    bool
}

// StartPlatform starts the platform on a free port.
func StartPlatform(events *EventLog) (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	platform := &Platform{
		events:  events,
		address: listener.Addr().String(),
		servers: map[string]membership.Server{},
		nodes:   map[string]membership.Node{},
	}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/servers"), func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]any{"servers": platform.listServers()})
	})
	mux.HandleFunc(pat.Get("/v1/nodes"), func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]any{"nodes": platform.listNodes()})
	})
	platform.server = &http.Server{Handler: platform.unavailableWhileDown(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = platform.server.Serve(listener) }()
	return platform, nil
}

// SetDown sets whether the platform answers every call with status 503.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// unavailableWhileDown returns a handler that answers with status 503 while the platform is
// down.
func (p *Platform) unavailableWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		p.mutex.Lock()
		down := p.down
		p.mutex.Unlock()
		if down {
			writeJSON(writer, http.StatusServiceUnavailable, Refusal{Type: "down"})
			return
		}
		next.ServeHTTP(writer, inbound)
	})
}

// Address returns the address on which the platform listens.
func (p *Platform) Address() string { return p.address }

// Close stops the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// ListServer adds a server to the list or replaces its entry. It records that the server leaves if the
// entry says so.
func (p *Platform) ListServer(server membership.Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers[server.Name] = server
	if server.Leaving {
		p.events.Append(Entry{Kind: ServerLeaving, Server: server.Name})
	}
}

// UnlistServer removes a server from the list and records that the server leaves.
func (p *Platform) UnlistServer(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.servers, name)
	p.events.Append(Entry{Kind: ServerLeaving, Server: name})
}

// ListNode adds a node to the list or replaces its entry.
func (p *Platform) ListNode(node membership.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes[node.Name] = node
}

// UnlistNode removes a node from the list.
func (p *Platform) UnlistNode(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.nodes, name)
}

func (p *Platform) listServers() []membership.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	servers := []membership.Server{}
	for _, server := range p.servers {
		servers = append(servers, server)
	}
	sort.Slice(servers, func(left, right int) bool { return servers[left].Name < servers[right].Name })
	return servers
}

func (p *Platform) listNodes() []membership.Node {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	nodes := []membership.Node{}
	for _, node := range p.nodes {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(left, right int) bool { return nodes[left].Name < nodes[right].Name })
	return nodes
}
