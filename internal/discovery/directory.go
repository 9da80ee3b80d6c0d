// Package discovery is the port to the platform's lists of servers and nodes. The control plane
// reads them for the whole fleet; a router does so itself only when it has had no list from a
// primary for ListTimeout.
package discovery

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// How the lists are read. The values are ours.
const (
	// ListTimeout is how old a router's list of servers may be before it reads the list itself.
	ListTimeout = 1500 * time.Millisecond
	// NodesInterval lies between two reads of the list of nodes.
	NodesInterval = 500 * time.Millisecond
)

// Directory is the port to the platform's lists. A call ends by itself within a
// second. Where there is no list of nodes, Nodes fails with failure.NoSuch and is
// not called again.
type Directory interface {
	Servers() ([]membership.Server, error)
	Nodes() ([]membership.Node, error)
}
