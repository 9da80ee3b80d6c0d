// Package discovery defines the port to the platform's lists of servers and nodes. The control
// plane reads the list of servers for the whole fleet; a router reads it directly only if the list
// that the router has is older than ListTimeout, or if the router has received none shortly after
// its start. Controllers and routers each read the list of nodes.
package discovery

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// When the lists are read.
const (
	// ListTimeout is the age of a router's list of servers after which the router reads the list
	// directly from the platform. Each router adds a delay of its own, so that the routers do not
	// all read at the same time. A controller that is not primary reads the list for routers that
	// have found no primary, and sends them only a list that is below this age.
	ListTimeout = 1500 * time.Millisecond
	// NodesInterval is the pause between two reads of the list of nodes.
	NodesInterval = 500 * time.Millisecond
)

// Directory reads the platform's lists. The callers set no deadline, so an implementation must limit
// each request to the platform to one second; a list may take one request per page. If the platform
// has no list of nodes, Nodes fails with failure.NoSuch and is not called again.
type Directory interface {
	Servers() ([]membership.Server, error)
	Nodes() ([]membership.Node, error)
}
