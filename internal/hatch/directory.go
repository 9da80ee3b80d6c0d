package hatch

import (
	"seamloom.example/seamloom/internal/membership"
)

// Directory is the port to the platform's lists. A call ends by itself within a
// second. Where there is no list of nodes, Nodes fails with the kind NoSuch and is
// not called again.
type Directory interface {
	Servers() ([]membership.Server, error)
	Nodes() ([]membership.Node, error)
}
