// Package ports defines the interfaces through which routers and controllers use a platform. With seamloom's
// own protocols, package discovery implements Directory and package modelserver sends orders. A platform with
// other protocols provides its own implementations.
package ports

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Directory reads the server list and the node list of the platform at an address. On a platform without a
// node list, Nodes fails with the code NoSuch and is not called again.
type Directory interface {
	Servers(ctx context.Context, address string) ([]membership.Server, error)
	Nodes(ctx context.Context, address string) ([]membership.Node, error)
}

// LoadReporter requests the load of a model server.
type LoadReporter interface {
	Report(ctx context.Context, server membership.Server) (scheduler.Load, error)
}

// OrderSender orders model servers to take a role.
type OrderSender interface {
	// Order sends the order of a decision, with the fencing token of the router that holds the lease to
	// command the server. It calls maySend immediately before it sends anything, and sends nothing if
	// maySend returns false.
	Order(ctx context.Context, decision auction.Decision, maySend func() bool) error
}

// ProcessDirectory reads a platform's lists for one process: with the process's context, and at the address
// that Address returns at the time of the read, because a reload of the settings can change it. It implements
// the interface Directory of package internal/discovery.
type ProcessDirectory struct {
	Directory Directory
	Context   context.Context
	Address   func() string
}

// Servers reads the server list.
func (d ProcessDirectory) Servers() ([]membership.Server, error) {
	return d.Directory.Servers(d.Context, d.Address())
}

// Nodes reads the node list.
func (d ProcessDirectory) Nodes() ([]membership.Node, error) {
	return d.Directory.Nodes(d.Context, d.Address())
}

// LoadReader reads the loads of model servers for one process, with the process's context. It implements
// the interface LoadReader of package controlplane.
type LoadReader struct {
	Reports LoadReporter
	Context context.Context
}

// ReadLoad reads the load of one server within the timeout.
func (l LoadReader) ReadLoad(server membership.Server, timeout time.Duration) (scheduler.Load, error) {
	ctx, cancel := context.WithTimeout(l.Context, timeout)
	defer cancel()
	return l.Reports.Report(ctx, server)
}
