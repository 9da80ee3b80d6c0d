package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// LoadReader is the port by which the primary asks a model server for its load, for
// all routers.
type LoadReader interface {
	ReadLoad(server membership.Server, timeout time.Duration) (scheduler.Load, error)
}
