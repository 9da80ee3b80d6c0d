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
	Servers(ctx context.Context, address string) ([]membership.Server, error)
	Nodes(ctx context.Context, address string) ([]membership.Node, error)
}

// Reports asks a model server for its load.
type Reports interface {
	Report(ctx context.Context, server membership.Server) (scheduler.Load, error)
}

// Orders commands a model server to take a part, under the fence of its key's
// holder. May is asked at the last moment before anything leaves.
type Orders interface {
	Order(ctx context.Context, decision auction.Decision, may func() bool) error
}

// FixedDirectory reads a platform's lists for as long as one process lives, at the address
// that its settings name at the moment.
type FixedDirectory struct {
	Directory Directory
	Context   context.Context
	Address   func() string
}

// Servers reads the list of servers.
func (h FixedDirectory) Servers() ([]membership.Server, error) {
	return h.Directory.Servers(h.Context, h.Address())
}

// Nodes reads the list of nodes.
func (h FixedDirectory) Nodes() ([]membership.Node, error) {
	return h.Directory.Nodes(h.Context, h.Address())
}

// LoadReader asks servers for their loads for as long as one process lives.
type LoadReader struct {
	Reports Reports
	Context context.Context
}

// ReadLoad reads one server's load, within the timeout.
func (a LoadReader) ReadLoad(server membership.Server, timeout time.Duration) (scheduler.Load, error) {
	ctx, cancel := context.WithTimeout(a.Context, timeout)
	defer cancel()
	return a.Reports.Report(ctx, server)
}
