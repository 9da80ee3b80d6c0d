// Package ports are what the processes reach a platform by. The product has adapters
// of its own; a platform that speaks otherwise gives others.
package ports

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Directory reads the lists that the platform has at an address. Where there is no
// list of nodes, Nodes fails with the kind NoSuch and is not called again.
type Directory interface {
	Servers(lifetime context.Context, address string) ([]membership.Server, error)
	Nodes(lifetime context.Context, address string) ([]membership.Node, error)
}

// Reports asks a model server for its load.
type Reports interface {
	Report(lifetime context.Context, server membership.Server) (scheduler.Load, error)
}

// Orders commands a model server to take a part, under the fence of its key's
// holder. May is asked at the last moment before anything leaves.
type Orders interface {
	Order(lifetime context.Context, decision auction.Decision, may func() bool) error
}

// Here reads a platform's lists for as long as one process lives, at the address
// that its settings name at the moment.
type Here struct {
	Directory Directory
	Lifetime  context.Context
	Address   func() string
}

// Servers reads the list of servers.
func (h Here) Servers() ([]membership.Server, error) {
	return h.Directory.Servers(h.Lifetime, h.Address())
}

// Nodes reads the list of nodes.
func (h Here) Nodes() ([]membership.Node, error) {
	return h.Directory.Nodes(h.Lifetime, h.Address())
}

// Asking asks servers for their loads for as long as one process lives.
type Asking struct {
	Reports  Reports
	Lifetime context.Context
}

// Report asks one server, within the patience.
func (a Asking) Report(server membership.Server, patience time.Duration) (scheduler.Load, error) {
	lifetime, end := context.WithTimeout(a.Lifetime, patience)
	defer end()
	return a.Reports.Report(lifetime, server)
}
