package capacity

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/window"
)

// lists is a platform's directory in memory, with its servers' reports.
type lists struct {
	mutex   sync.Mutex
	nodes   []roster.Node
	servers []roster.Server
	reports map[string]window.Load
}

// Servers is the list of servers.
func (lists *lists) Servers() ([]roster.Server, error) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.servers, nil
}

// Nodes is the list of nodes.
func (lists *lists) Nodes() ([]roster.Node, error) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.nodes, nil
}

// Report is a server's report.
func (lists *lists) Report(server roster.Server, _ time.Duration) (window.Load, error) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.reports[server.Name], nil
}

func (lists *lists) set(servers []roster.Server) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	lists.servers, lists.reports = servers, map[string]window.Load{}
	for _, load := range loadsForCalls(len(servers)) {
		lists.reports[load.Server] = load
	}
}
