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

// Platform is the stand-in of what lists servers and nodes.
type Platform struct {
	events  *EventLog
	address string
	server  *http.Server

	mutex   sync.Mutex
	servers map[string]membership.Server
	nodes   map[string]membership.Node
	down    bool
}

// StartPlatform begins the platform at any port.
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
	platform.server = &http.Server{Handler: platform.shade(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = platform.server.Serve(listener) }()
	return platform, nil
}

// SetDown makes the platform answer nothing but that it is down, or end that.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

func (p *Platform) shade(next http.Handler) http.Handler {
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

// Address is where the platform listens.
func (p *Platform) Address() string { return p.address }

// Close ends the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// ListServer adds a server or changes it.
func (p *Platform) ListServer(server membership.Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers[server.Name] = server
	if server.Leaving {
		p.events.Append(Entry{Kind: ServerLeaving, Server: server.Name})
	}
}

// UnlistServer takes a server off the list.
func (p *Platform) UnlistServer(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.servers, name)
	p.events.Append(Entry{Kind: ServerLeaving, Server: name})
}

// ListNode adds a node or changes it.
func (p *Platform) ListNode(node membership.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes[node.Name] = node
}

// UnlistNode takes a node off the list.
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
