package capacity

import (
	"sync"

	"seamloom.example/seamloom/internal/roster"
)

// lists is a platform's directory in memory.
type lists struct {
	mutex   sync.Mutex
	nodes   []roster.Node
	servers []roster.Server
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

func (lists *lists) set(servers []roster.Server) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	lists.servers = servers
}
