package capacity

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// lists is a platform's directory in memory, with its servers' reports.
type lists struct {
	mutex   sync.Mutex
	nodes   []membership.Node
	servers []membership.Server
	reports map[string]scheduler.Load
}

// Servers is the list of servers.
func (lists *lists) Servers() ([]membership.Server, error) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.servers, nil
}

// Nodes is the list of nodes.
func (lists *lists) Nodes() ([]membership.Node, error) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.nodes, nil
}

// Report is a server's report.
func (lists *lists) Report(server membership.Server, _ time.Duration) (scheduler.Load, error) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.reports[server.Name], nil
}

func (lists *lists) set(servers []membership.Server) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	lists.servers, lists.reports = servers, map[string]scheduler.Load{}
	for _, load := range loadsForCalls(len(servers)) {
		lists.reports[load.Server] = load
	}
}
