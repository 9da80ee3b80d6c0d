package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/window"
)

// Reports is the port by which the primary asks a model server for its load, for
// all couriers.
type Reports interface {
	Report(server roster.Server, patience time.Duration) (window.Load, error)
}

// Pressures is the port by which a courier asks a model server itself, for the
// market of inquiries.
type Pressures interface {
	Pressure(server roster.Server, patience time.Duration) (pass.Load, error)
}
