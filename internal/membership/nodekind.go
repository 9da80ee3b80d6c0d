// Package membership owns who there is: servers and nodes, the neighbours that
// rendezvous hashing names, and who is live.
package membership

// NodeKind tells data plane from control plane.
type NodeKind string

// The kinds of node.
const (
	Router     NodeKind = "courier"
	Controller NodeKind = "expediter"
	// Redirector is a controller's stand-in on a machine without a disk.
	Redirector NodeKind = "signpost"
)
