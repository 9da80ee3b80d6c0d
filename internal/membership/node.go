// Package membership owns who there is: the model servers that the platform lists, the nodes
// (routers and controllers) that it lists and those that are recorded in the replicated
// state, and rendezvous hashing, by which every node names the same few without asking the
// others. Package discovery reads the lists; package replication records members and keeps
// the membership of its core, which is another thing.
package membership

import (
	"time"

	"seamloom.example/seamloom/internal/features"
)

// NodeKind tells data plane from control plane. Its texts are on wires and disks.
type NodeKind string

// The kinds of node.
const (
	Router     NodeKind = "courier"
	Controller NodeKind = "expediter"
	// Redirector is a controller's stand-in on a machine without a disk.
	Redirector NodeKind = "signpost"
)

// Node is a node as the platform lists it.
type Node struct {
	Name    string   `json:"name"`
	Kind    NodeKind `json:"kind"`
	Address string   `json:"address"`
	Zone    string   `json:"district"`
}

// Member is a node as it is recorded in the replicated state, running or stopped.
type Member struct {
	Name    string   `msgpack:"name" json:"name"`
	Kind    NodeKind `msgpack:"kind" json:"kind"`
	Address string   `msgpack:"address" json:"address"`
	Zone    string   `msgpack:"district" json:"district"`
	// Supported are the flags of the member's build.
	Supported features.List `msgpack:"supported" json:"supported"`
	// Since is when it registered.
	Since time.Time `msgpack:"since" json:"since"`
}

// Restricted tells whether the member lacks an enabled flag.
func (m Member) Restricted(enabled features.List) bool {
	return len(m.Supported.Lacks(enabled)) > 0
}

// Same tells whether recording the other member would change nothing but Since.
func (m Member) Same(other Member) bool {
	return m.Name == other.Name && m.Kind == other.Kind && m.Address == other.Address &&
		m.Zone == other.Zone && len(m.Supported.Lacks(other.Supported)) == 0 &&
		len(other.Supported.Lacks(m.Supported)) == 0
}

// RouterNames are the names of the routers among recorded members, in no order.
func RouterNames(members map[string]Member) []string {
	var names []string
	for name, member := range members {
		if member.Kind == Router {
			names = append(names, name)
		}
	}
	return names
}
