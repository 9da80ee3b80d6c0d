package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/menu"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/window"
)

// Board is who offers calls to servers. A courier tells it what it learns.
type Board interface {
	// SetConfiguration puts a configuration in force, unless a newer one is.
	SetConfiguration(configuration *menu.Configuration, version larder.Version)
	// SetServing tells until when calls may be let in: not beyond the courier's hold
	// and what it goes on without one.
	SetServing(until time.Time)
	SetServers(now time.Time, servers []roster.Server)
	SetLoads(now time.Time, loads []window.Load)
	// SetCouriers tells how many couriers share the servers.
	SetCouriers(count int)
}
