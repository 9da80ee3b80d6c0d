package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Reports is the port by which the primary asks a model server for its load, for
// all routers.
type Reports interface {
	Report(server membership.Server, patience time.Duration) (scheduler.Load, error)
}

// Pressures is the port by which a router asks a model server itself, for the
// market of requests.
type Pressures interface {
	Pressure(server membership.Server, patience time.Duration) (auction.Load, error)
}
