package dataplane

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// CallService is who serves opaque calls beside the core's window. A router tells it what
// it needs to know besides.
type CallService interface {
	// SetServing tells until when calls may be admitted: not beyond the router's hold
	// and what it goes on without one.
	SetServing(until time.Time)
	// SetCountOwners gives the way to those who keep counts of what servers read.
	SetCountOwners(owners *CountOwners)
	// SetServers tells which servers there are, before the window knows them.
	SetServers(now time.Time, servers []membership.Server)
}
