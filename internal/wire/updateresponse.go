package wire

import (
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
)

// UpdateResponse is what the primary answers: the sections that are newer, and a
// hold that confirms the configuration's version. Who is not primary answers
// with the membership alone.
type UpdateResponse struct {
	Leads         bool                           `msgpack:"leads"`
	Membership    replication.Membership         `msgpack:"charter"`
	Sections      map[string]replication.Section `msgpack:"drawers,omitempty"`
	Deltas        map[string]Delta               `msgpack:"deltas,omitempty"`
	Configuration replication.Version            `msgpack:"menu"`
	Lease         time.Duration                  `msgpack:"hold"`
	Roles         []lease.Role                   `msgpack:"duties,omitempty"`
	// Waited is how long the question was held back, so that ages are counted from
	// no earlier than they were told.
	Waited time.Duration `msgpack:"held,omitempty"`
	// Routers is how many routers share the servers.
	Routers int            `msgpack:"couriers,omitempty"`
	Servers *ServersUpdate `msgpack:"servers,omitempty"`
	Loads   *LoadsUpdate   `msgpack:"loads,omitempty"`
	// Copy is what a controller that is not primary says of its own copy.
	Copy *CopyState `msgpack:"copy,omitempty"`
}
