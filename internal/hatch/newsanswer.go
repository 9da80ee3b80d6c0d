package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
)

// NewsAnswer is what the primary answers: the drawers that are newer, and a
// hold that confirms the configuration's version. Who is not primary answers
// with the charter alone.
type NewsAnswer struct {
	Leads   bool                           `msgpack:"leads"`
	Charter replication.Membership         `msgpack:"charter"`
	Drawers map[string]replication.Section `msgpack:"drawers,omitempty"`
	Deltas  map[string]Delta               `msgpack:"deltas,omitempty"`
	Menu    replication.Version            `msgpack:"menu"`
	Hold    time.Duration                  `msgpack:"hold"`
	Duties  []lease.Duty                   `msgpack:"duties,omitempty"`
	// Held is how long the question was held back, so that ages are counted from
	// no earlier than they were told.
	Held time.Duration `msgpack:"held,omitempty"`
	// Routers is how many couriers share the servers.
	Routers int          `msgpack:"couriers,omitempty"`
	Servers *ServersNews `msgpack:"servers,omitempty"`
	Loads   *LoadsNews   `msgpack:"loads,omitempty"`
	// Copy is what an expediter that is not primary says of its own copy.
	Copy *CopyNews `msgpack:"copy,omitempty"`
}
