// Package membership has the types for the members of a fleet: the model servers and the nodes
// (routers and controllers) that the platform lists, and the nodes that are recorded in the
// replicated state. It also has rendezvous hashing, by which every node selects the same few nodes
// or servers without communication. Package discovery reads the platform's lists; package
// replication records members. The membership of the replication group is a different one, which
// package replication defines.
package membership

import (
	"time"

	"seamloom.example/seamloom/internal/features"
)

// NodeKind is the role of a node in the data plane or control plane. Its values are sent over the
// network and stored on disks.
type NodeKind string

// The kinds of node.
const (
	Router     NodeKind = "courier"
	Controller NodeKind = "expediter"
	// Redirector runs instead of a controller on a machine without a disk.
	Redirector NodeKind = "signpost"
)

// Node is a router or controller as the platform lists it.
type Node struct {
	Name    string   `json:"name"`
	Kind    NodeKind `json:"kind"`
	Address string   `json:"address"`
	Zone    string   `json:"district"`
}

// Member is a node as recorded in the replicated state, whether it is running or stopped.
type Member struct {
	Name    string   `msgpack:"name" json:"name"`
	Kind    NodeKind `msgpack:"kind" json:"kind"`
	Address string   `msgpack:"address" json:"address"`
	Zone    string   `msgpack:"district" json:"district"`
	// Supported are the feature flags that the member's build supports.
	Supported features.List `msgpack:"supported" json:"supported"`
	// Since is when the member registered.
	Since time.Time `msgpack:"since" json:"since"`
}

// Restricted reports whether the member's build doesn't support all enabled feature flags.
func (m Member) Restricted(enabled features.List) bool {
	return len(m.Supported.Missing(enabled)) > 0
}

// EqualExceptSince reports whether both members are equal except for Since.
func (m Member) EqualExceptSince(other Member) bool {
	return m.Name == other.Name && m.Kind == other.Kind && m.Address == other.Address &&
		m.Zone == other.Zone && len(m.Supported.Missing(other.Supported)) == 0 &&
		len(other.Supported.Missing(m.Supported)) == 0
}

// RouterNames returns the names of the routers among the recorded members, in no particular order.
func RouterNames(members map[string]Member) []string {
	var names []string
	for name, member := range members {
		if member.Kind == Router {
			names = append(names, name)
		}
	}
	return names
}
